//! `garnet-bench`: load, experiments and reports.

mod call;
mod fleet;
mod keys;
mod load;
mod mix_shift;
mod options;
mod parallel;
mod relay;
mod report;
mod simulate;
mod soak;
mod text_stream;

use std::process::ExitCode;

use garnet_runtime::command_line;
use options::Options;

const HELP: &str = "\
Usage: garnet-bench VERB [OPTIONS]

  call completion   one completion through a gateway, checked word by word
  call service      one application call through a gateway
  fleet             what one gateway's decisions cost at a fleet's size
  keys              what tenants and their keys cost
  load              a real fleet under load that arrives in an open loop
  mix-shift         goodput and role changes while the token mix shifts
  relay             a gateway beside a relay that only passes on
  report            a page with plots from what load, mix-shift and soak wrote
  simulate          the whole system in virtual time, with faults and checkers
  soak              the real programs as processes, with faults from outside

`garnet-bench VERB --help` lists a verb's options.
Exit codes: 0 all held, 1 something did not, 2 wrong usage.
";

fn main() -> ExitCode {
    let options = match Options::parse() {
        Ok(options) => options,
        Err(error) => return command_line::usage_error(error),
    };
    let outcome = match options.verb() {
        Some("call") => call::run(&options),
        Some("fleet") => fleet::run(&options),
        Some("keys") => keys::run(&options),
        Some("load") => load::run(&options),
        Some("mix-shift") => mix_shift::run(&options),
        Some("relay") => relay::run(&options),
        Some("report") => report::run(&options),
        Some("simulate") => simulate::run(&options),
        Some("soak") => soak::run(&options),
        Some(other) => Err(format!("unknown verb \"{other}\"; see --help")),
        None => {
            garnet_runtime::print_out!("{HELP}");
            return ExitCode::SUCCESS;
        }
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => command_line::usage_error(message),
    }
}

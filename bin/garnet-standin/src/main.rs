//! Stand-ins as processes: `garnet-standin engine|app|platform`.

mod application;
mod arguments;
mod engine;
mod platform;
mod registration;
mod shell;

use std::process::ExitCode;

use arguments::{Arguments, Kind};
use garnet_runtime::{command_line, logging};

fn main() -> ExitCode {
    let arguments = match Arguments::parse() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            garnet_runtime::print_out!("{}", arguments::HELP);
            return ExitCode::SUCCESS;
        }
        Err(error) => return command_line::usage_error(error),
    };
    let _lines = logging::start(&arguments.name);
    let outcome = match arguments.kind {
        Kind::Engine => engine::run(arguments),
        Kind::Application => application::run(arguments),
        Kind::Platform => platform::run(arguments),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(cause = error.to_string().as_str(); "stand_in_failed");
            ExitCode::FAILURE
        }
    }
}

//! `garnet-gateway`: takes requests of callers and hands them to back ends.

mod attempts;
mod callers;
mod context;
mod parse;
mod respond;
mod settings;
mod start;

use std::process::ExitCode;

use garnet_runtime::{command_line, logging};
use settings::{CommandLine, HELP};

fn main() -> ExitCode {
    let command_line = match CommandLine::parse() {
        Ok(Some(command_line)) => command_line,
        Ok(None) => {
            garnet_runtime::print_out!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return command_line::usage_error(error),
    };
    let settings = match command_line.load() {
        Ok(settings) => settings,
        Err(findings) => return command_line::usage_error(findings),
    };
    if command_line.check {
        garnet_runtime::print_line!("the settings are sound");
        return ExitCode::SUCCESS;
    }
    let _lines = logging::start(&settings.name);
    match start::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(cause = error.to_string().as_str(); "gateway_failed");
            eprintln!("garnet-gateway: {error}");
            ExitCode::FAILURE
        }
    }
}

//! `garnetctl`: the operators' command line.

mod arguments;
mod client;
mod commands;
mod output;

use std::process::ExitCode;

use arguments::{Arguments, Parsed};
use garnet_runtime::command_line;

fn main() -> ExitCode {
    match arguments::parse() {
        Ok(Parsed::Help(text)) => {
            garnet_runtime::print_out!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Parsed::Run(arguments)) => run(&arguments),
        Err(error) => command_line::usage_error(error),
    }
}

fn run(arguments: &Arguments) -> ExitCode {
    match commands::run(arguments) {
        Ok(code) => code,
        Err(error) => command_line::usage_error(error),
    }
}

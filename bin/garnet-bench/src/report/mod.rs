//! `garnet-bench report`: a page with plots from what other verbs wrote.

pub(crate) mod measured;
mod page;
mod plots;
#[cfg(test)]
mod tests;

use std::fs;

use crate::options::Options;
use measured::Measured;

const HELP: &str = "\
Usage: garnet-bench report FILE... --output PAGE.html

Draws what `load`, `mix-shift --json` and `soak --json` wrote into one page. All
files that can't be drawn are named together, and nothing is written then.
";

/// Runs the verb.
pub(crate) fn run(options: &Options) -> Result<bool, String> {
    if options.flag("help") {
        garnet_runtime::print_out!("{HELP}");
        return Ok(true);
    }
    let output = options.needed("output")?.to_owned();
    options.check_all_asked()?;
    let names = options.words_after_verb();
    if names.is_empty() {
        return Err("a file is needed; see --help".to_owned());
    }
    let mut files = Vec::new();
    let mut findings = Vec::new();
    for name in names {
        match read(name) {
            Ok(measured) => files.push((name.clone(), measured)),
            Err(finding) => findings.push(format!("{name}: {finding}")),
        }
    }
    if !findings.is_empty() {
        return Err(findings.join("\n"));
    }
    let page = page::page(&files)?;
    fs::write(&output, page).map_err(|error| format!("{output}: {error}"))?;
    garnet_runtime::print_line!("{output}");
    Ok(true)
}

fn read(name: &str) -> Result<Measured, String> {
    let text = fs::read_to_string(name).map_err(|error| error.to_string())?;
    parse(&text)
}

fn parse(text: &str) -> Result<Measured, String> {
    serde_json::from_str::<serde_json::Value>(text).map_err(|error| error.to_string())?;
    serde_json::from_str(text)
        .map_err(|_| "neither of load, nor of mix-shift, nor of soak".to_owned())
}

//! The page: a section for each file, with its figures and plots.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::measured::{Measured, MixShiftReport, SoakReport, Strategy};
use super::plots::{self, Bar};
use crate::load::figures::LoadReport;

const HEAD: &str = "<!doctype html>\n<meta charset=\"utf-8\">\n<title>garnetcourse: measured</title>\n\
    <style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{padding:0.2em 1em;\
    text-align:left}</style>\n<h1>garnetcourse: measured</h1>\n";

/// The page over these files.
pub(super) fn page(files: &[(String, Measured)]) -> Result<String, String> {
    let mut page = HEAD.to_owned();
    for (name, measured) in files {
        // Writing to a string has no way to fail.
        let _written = writeln!(page, "<h2>{}</h2>", escaped(name));
        page += &match measured {
            Measured::Load(report) => load(report)?,
            Measured::MixShift(report) => mix_shift(report)?,
            Measured::Soak(report) => soak(report)?,
        };
    }
    Ok(page)
}

/// Text that a page shows as it is.
pub(super) fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn table(rows: &[(String, String)]) -> String {
    let row = |(name, value): &(String, String)| {
        format!("<tr><th>{}<td>{}\n", escaped(name), escaped(value))
    };
    format!(
        "<table>\n{}</table>\n",
        rows.iter().map(row).collect::<String>()
    )
}

fn counts(title: &str, counts: &BTreeMap<String, u64>) -> Result<String, String> {
    let bar = |(name, count): (&String, &u64)| Bar {
        name: name.clone(),
        value: *count as f64,
    };
    plots::bars(title, "times", &counts.iter().map(bar).collect::<Vec<_>>())
}

fn load(report: &LoadReport) -> Result<String, String> {
    let mut rows = vec![
        ("seed".to_owned(), report.seed.to_string()),
        (
            "offered a second".to_owned(),
            report.offered_per_s.to_string(),
        ),
        (
            "answered a second".to_owned(),
            report.answered_per_s.to_string(),
        ),
    ];
    for (outcome, count) in &report.outcomes {
        rows.push((format!("{outcome:?}"), count.to_string()));
    }
    let streams = [
        ("first token", &report.first_token),
        ("between tokens", &report.between_tokens),
    ];
    let whole = [("texts", &report.text), ("calls", &report.call)];
    let streamed = plots::quantiles("Streams", &streams)?;
    let answers = plots::quantiles("Whole answers, from when they were due", &whole)?;
    Ok(table(&rows) + &streamed + &answers)
}

fn mix_shift(report: &MixShiftReport) -> Result<String, String> {
    let strategies = [
        ("planner", &report.planner),
        ("fixed", &report.fixed),
        ("reactive", &report.reactive),
        ("foresight", &report.foresight),
    ];
    let bars = |value: fn(&Strategy) -> f64| -> Vec<Bar> {
        let bar = |(name, strategy): &(&str, &Strategy)| Bar {
            name: (*name).to_owned(),
            value: value(strategy),
        };
        strategies.iter().map(bar).collect()
    };
    let deployment = format!("<p>Deployment {}</p>\n", escaped(&report.deployment));
    let goodput = plots::bars("Useful answers", "a second", &bars(|s| s.goodput_per_s))?;
    let on_time = plots::bars(
        "On time",
        "part of the requests",
        &bars(|s| s.on_time_share),
    )?;
    let changes = plots::bars("Role changes", "times", &bars(|s| s.role_changes as f64))?;
    Ok(deployment + &goodput + &on_time + &changes)
}

fn soak(report: &SoakReport) -> Result<String, String> {
    let mut rows = vec![
        ("seed".to_owned(), report.soak_seed.to_string()),
        (
            "changes acknowledged".to_owned(),
            report.acknowledged.to_string(),
        ),
        ("reads".to_owned(), report.reads.to_string()),
        ("findings".to_owned(), report.findings.len().to_string()),
    ];
    for finding in &report.findings {
        rows.push(("broken".to_owned(), finding.clone()));
    }
    for (kind, times) in &report.struck {
        rows.push((format!("struck: {kind}"), times.to_string()));
    }
    let calls = counts("What became of calls", &report.calls)?;
    let streams = counts("What became of streams", &report.streams)?;
    Ok(table(&rows) + &calls + &streams)
}

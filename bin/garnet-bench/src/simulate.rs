//! `garnet-bench simulate`: many seeds of the simulator.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use garnet_simulator::{Fault, FaultKind, Report, Scenario, run as run_scenario, shrink};
use garnet_types::{EncodingVersion, Millis, RequestId};
use serde_json::{Value, json};

use crate::options::Options;
use crate::parallel;

const HELP: &str = "\
Usage: garnet-bench simulate [OPTIONS]

  --seeds LIST       seeds, such as 0..100 or 1,5,9 (default 0..20)
  --faults KINDS     all, none, planned, or kinds with commas between them:
                     kill, lose-disk, torn-write, freeze, isolate, cut-inbound,
                     cut-outbound, bad-network, delay-orders,
                     wrong-machine-list, planned-stop, leaving,
                     crashing-request, suspend, name-limit (default all)
  --span-s N         seconds in which faults begin (default 40)
  --steps N          most steps of a run (default: no bound)
  --build-before N   encoding version of the build that replicas and gateways
                     begin on: 11 or 16; they go over to the present one
  --gateways-first   all gateways are of the present build from the start; goes with
                     --build-before
  --deployment NAME  reefline or voorschrift: their counts of processes
  --request ID       prints the course of one request of a single seed
  --only LIST        numbers of the faults to keep, as a failure prints them, or none
  --json             totals as one JSON object

Exit codes: 0 every rule held, 1 one did not, 2 wrong usage.
";

/// Value of `--only` that keeps no fault.
const NO_FAULTS: &str = "none";

pub(crate) fn run(options: &Options) -> Result<bool, String> {
    if options.flag("help") {
        garnet_runtime::print_out!("{HELP}");
        return Ok(true);
    }
    let seeds = options.numbers("seeds", "0..20")?;
    let kinds_text = options.text("faults").unwrap_or("all");
    let kinds = read_kinds(kinds_text)?;
    let span = Millis::from_secs(options.value("span-s", 40)?);
    let most_steps = options.value("steps", u64::MAX)?;
    let build_before = read_build_before(options)?;
    let gateways_first = options.flag("gateways-first");
    if gateways_first && build_before.is_none() {
        return Err("--gateways-first goes with --build-before".to_owned());
    }
    let timeline_of = read_request(options, seeds.len())?;
    check_deployment(options.text("deployment"))?;
    let only = match options.text("only") {
        Some(NO_FAULTS) => Some(Vec::new()),
        Some(_) => Some(options.numbers("only", "")?),
        None => None,
    };
    options.check_all_asked()?;
    let scenario = |seed| Scenario {
        span,
        most_steps,
        build_before,
        gateways_first,
        timeline_of,
        ..Scenario::new(seed, &kinds)
    };
    let started = Instant::now();
    let reports = parallel::map(&seeds, |seed| {
        let scenario = scenario(seed);
        let faults = only.as_ref().map(|only| keep(&scenario, only));
        run_scenario(&Scenario { faults, ..scenario })
    });
    let elapsed = started.elapsed().as_secs_f64();
    let failed: Vec<&Report> = reports
        .iter()
        .filter(|report| !report.violations.is_empty())
        .collect();
    for report in &failed {
        list_violations(report);
    }
    if let Some(first) = failed.first() {
        explain(&scenario(first.seed), first, kinds_text, only.as_deref());
    }
    for entry in reports.iter().flat_map(|report| &report.timeline) {
        eprintln!("{entry}");
    }
    let totals = totals(&reports, failed.len(), elapsed);
    if options.flag("json") {
        garnet_runtime::print_line!("{totals}");
    } else {
        print_totals(&totals);
    }
    Ok(failed.is_empty())
}

/// The request whose course is printed. Each seed has requests of the same ids.
fn read_request(options: &Options, seeds: usize) -> Result<Option<RequestId>, String> {
    let Some(text) = options.text("request") else {
        return Ok(None);
    };
    if seeds != 1 {
        return Err("--request goes with a single seed".to_owned());
    }
    let id: Result<RequestId, _> = text.parse();
    id.map(Some)
        .map_err(|_| format!("--request takes a request id in hex, not \"{text}\""))
}

fn read_build_before(options: &Options) -> Result<Option<EncodingVersion>, String> {
    let spoken = [EncodingVersion::V11, EncodingVersion::V16];
    let Some(text) = options.text("build-before") else {
        return Ok(None);
    };
    let version = text.parse().ok().filter(|version| spoken.contains(version));
    let unknown = || format!("--build-before takes 11 or 16, not \"{text}\"");
    version.map(Some).ok_or_else(unknown)
}

/// The two deployments have the same counts of processes today.
fn check_deployment(name: Option<&str>) -> Result<(), String> {
    match name {
        None | Some("reefline" | "voorschrift") => Ok(()),
        Some(other) => Err(format!("unknown deployment \"{other}\"")),
    }
}

fn read_kinds(text: &str) -> Result<Vec<FaultKind>, String> {
    match text {
        "all" => Ok(FaultKind::ALL.to_vec()),
        "planned" => Ok(FaultKind::PLANNED.to_vec()),
        "none" => Ok(Vec::new()),
        list => list
            .split(',')
            .map(|name| {
                FaultKind::from_name(name).ok_or_else(|| format!("unknown fault \"{name}\""))
            })
            .collect(),
    }
}

/// The faults that the seed draws, only those with the given numbers.
fn keep(scenario: &Scenario, only: &[u64]) -> Vec<Fault> {
    let nothing = Scenario {
        most_steps: 0,
        ..scenario.clone()
    };
    let drawn = run_scenario(&nothing).faults;
    drawn
        .into_iter()
        .enumerate()
        .filter(|(number, _)| only.contains(&(*number as u64)))
        .map(|(_, fault)| fault)
        .collect()
}

fn list_violations(report: &Report) {
    for violation in &report.violations {
        let (rule, detail) = (violation.invariant, &violation.detail);
        eprintln!(
            "seed {}: {rule:?} at {} ms: {detail}",
            report.seed, violation.at_ms
        );
    }
}

fn explain(scenario: &Scenario, report: &Report, kinds: &str, only: Option<&[u64]>) {
    let (faults, last) = shrink(scenario, report.clone());
    let numbers = fault_numbers(&report.faults, &faults, only);
    eprintln!("a rule did not hold at seed {}:", report.seed);
    for violation in &last.violations {
        let (rule, detail) = (violation.invariant, &violation.detail);
        eprintln!("  {rule:?} at {} ms: {detail}", violation.at_ms);
    }
    eprintln!("  with these faults:");
    for fault in &faults {
        let (kind, host) = (fault.kind.as_str(), fault.host);
        eprintln!(
            "    {kind} of {host:?} at {} ms for {} ms",
            fault.at.0, fault.lasts.0
        );
    }
    eprintln!("again: {}", repeat_command(scenario, kinds, &numbers));
}

/// Numbers of the faults in `kept` among all that the seed draws. `played` has only those with
/// the numbers in `only`, if it is given.
fn fault_numbers(played: &[Fault], kept: &[Fault], only: Option<&[u64]>) -> Vec<u64> {
    let drawn: Vec<u64> = match only {
        Some(only) => BTreeSet::from_iter(only.iter().copied())
            .into_iter()
            .collect(),
        None => (0..played.len() as u64).collect(),
    };
    let numbered = drawn.into_iter().zip(played);
    let kept = numbered.filter(|(_, fault)| kept.contains(fault));
    kept.map(|(number, _)| number).collect()
}

/// The command that plays a scenario again with the faults of these numbers.
fn repeat_command(scenario: &Scenario, kinds: &str, fault_numbers: &[u64]) -> String {
    let (seed, span) = (scenario.seed, scenario.span.0 / 1000);
    let mut command =
        format!("garnet-bench simulate --seeds {seed} --faults {kinds} --span-s {span}");
    if let Some(version) = scenario.build_before {
        command += &format!(" --build-before {version}");
    }
    if scenario.gateways_first {
        command += " --gateways-first";
    }
    let numbers: Vec<String> = fault_numbers.iter().map(u64::to_string).collect();
    // The kinds stay: they decide what the seed draws after its faults.
    let only = if numbers.is_empty() {
        NO_FAULTS.to_owned()
    } else {
        numbers.join(",")
    };
    command += &format!(" --only {only}");
    command
}

fn totals(reports: &[Report], failed: usize, elapsed: f64) -> Value {
    let sum = |pick: fn(&Report) -> u64| reports.iter().map(pick).sum::<u64>();
    let simulated = sum(|report| report.simulated_ms) as f64 / 1000.0;
    let mut checks: BTreeMap<String, u64> = BTreeMap::new();
    let mut struck: BTreeMap<&str, u64> = BTreeMap::new();
    let mut refused: BTreeMap<&str, u64> = BTreeMap::new();
    let mut reasons: BTreeMap<&str, u64> = BTreeMap::new();
    let mut leaderless = Vec::new();
    let mut in_force = Vec::new();
    for report in reports {
        for (rule, count) in &report.checks {
            let name = serde_json::to_value(rule).unwrap_or_default();
            *checks
                .entry(name.as_str().unwrap_or_default().to_owned())
                .or_default() += count;
        }
        for (kind, count) in &report.struck {
            *struck.entry(kind.as_str()).or_default() += count;
        }
        for (code, count) in &report.refused {
            *refused.entry(code).or_default() += count;
        }
        for (reason, count) in &report.reasons {
            *reasons.entry(reason).or_default() += count;
        }
        leaderless.extend(&report.leaderless_ms);
        in_force.extend(&report.in_force_ms);
    }
    json!({
        "seeds": reports.len(),
        "failed_seeds": failed,
        "seconds": elapsed,
        "simulated_seconds": simulated,
        "simulated_seconds_per_second": simulated / elapsed,
        "worlds_per_second": reports.len() as f64 / elapsed,
        "requests_sent": sum(|report| report.sent),
        "whole_answers": sum(|report| report.whole),
        "refused": refused,
        "refusal_reasons": reasons,
        "disconnected": sum(|report| report.disconnected),
        "commands_accepted": sum(|report| report.accepted),
        "commands_conflicting": sum(|report| report.conflicts),
        "elections": sum(|report| report.elections),
        "role_changes": sum(|report| report.role_changes),
        "leaderless_ms": quantiles(leaderless),
        "in_force_ms": quantiles(in_force),
        "faults_struck": struck,
        "checks": checks,
    })
}

fn quantiles(mut values: Vec<u64>) -> Value {
    values.sort_unstable();
    let at = |share: f64| {
        let position = (values.len() as f64 * share) as usize;
        values
            .get(position.min(values.len().saturating_sub(1)))
            .copied()
    };
    json!({"count": values.len(), "p50": at(0.5), "p99": at(0.99), "max": at(1.0)})
}

fn print_totals(totals: &Value) {
    let empty = serde_json::Map::new();
    for (name, value) in totals.as_object().unwrap_or(&empty) {
        garnet_runtime::print_line!("{name}={value}");
    }
}

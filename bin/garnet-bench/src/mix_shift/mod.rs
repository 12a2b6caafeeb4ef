//! `garnet-bench mix-shift`: goodput and role changes while the mix shifts.

mod deployments;
mod losses;
mod summary;

use garnet_simulator::{Deployment, Experiment, Report, Scenario, Strategy, run as run_scenario};
use garnet_types::Millis;
use serde_json::{Map, Value, json};

use crate::options::Options;
use crate::parallel;

const HELP: &str = "\
Usage: garnet-bench mix-shift --deployment NAME [OPTIONS]

  --deployment NAME  reefline or voorschrift
  --seeds LIST       seeds, such as 1000..1010 or 1,5,9 (default 0..5); seeds
                     below 1000 are for tuning
  --span-s N         seconds of demand in a run (default 600)
  --price X          the planner's price of a role change (default: deployed)
  --lose WHAT        also run the planner with an engine, a gateway or the
                     leader lost in mid shift: engine, gateway, leader or all
  --json             one JSON object

Exit codes: 0 measured, 1 a rule of the simulator did not hold, 2 wrong usage.
";

pub(crate) fn run(options: &Options) -> Result<bool, String> {
    if options.flag("help") {
        garnet_runtime::print_out!("{HELP}");
        return Ok(true);
    }
    let mut deployment = deployments::by_name(options.needed("deployment")?)?;
    let seeds = options.numbers("seeds", "0..5")?;
    let span = Millis::from_secs(options.value("span-s", 600)?);
    let price = options.value("price", f64::NAN)?;
    let losses = losses::read(options.text("lose"))?;
    options.check_all_asked()?;
    if !price.is_nan() {
        deployment.set_price(price);
    }
    let mut result = Map::new();
    let mut held = true;
    for strategy in Strategy::ALL {
        let reports = run_all(&deployment, strategy, &seeds, span);
        held &= report_violations(&reports);
        let summary = summary::of(&reports);
        result.insert(strategy.as_str().to_owned(), summary);
    }
    if !losses.is_empty() {
        let (value, all_held) = losses::measure(&deployment, &losses, &seeds, span);
        held &= all_held;
        result.insert("losses".to_owned(), value);
    }
    result.insert("deployment".to_owned(), json!(deployment.name));
    result.insert("seeds".to_owned(), json!(seeds));
    print(&Value::Object(result), options.flag("json"));
    Ok(held)
}

/// Runs the same seeds under one strategy.
fn run_all(
    deployment: &Deployment,
    strategy: Strategy,
    seeds: &[u64],
    span: Millis,
) -> Vec<Report> {
    parallel::map(seeds, |seed| {
        run_scenario(&scenario(deployment, strategy, seed, span))
    })
}

fn scenario(deployment: &Deployment, strategy: Strategy, seed: u64, span: Millis) -> Scenario {
    Scenario {
        span,
        engines: deployment.roles.len(),
        experiment: Some(Experiment {
            deployment: deployment.clone(),
            strategy,
        }),
        ..Scenario::new(seed, &[])
    }
}

/// Prints what did not hold; `true` when all did.
fn report_violations(reports: &[Report]) -> bool {
    let mut held = true;
    for report in reports {
        for violation in &report.violations {
            held = false;
            eprintln!(
                "seed {}: {:?} at {} ms: {}",
                report.seed, violation.invariant, violation.at_ms, violation.detail
            );
        }
    }
    held
}

fn print(value: &Value, as_json: bool) {
    if as_json {
        garnet_runtime::print_line!("{value}");
        return;
    }
    for strategy in Strategy::ALL {
        let name = strategy.as_str();
        let figures = &value[name];
        garnet_runtime::print_line!(
            "strategy={name} goodput_per_s={} on_time_share={} role_changes={} ttft_p95_ms={} itl_p95_ms={}",
            figures["goodput_per_s"],
            figures["on_time_share"],
            figures["role_changes"],
            figures["ttft_ms"]["p95"],
            figures["itl_ms"]["p95"],
        );
    }
    if let Some(losses) = value["losses"].as_object() {
        for (lost, figures) in losses {
            garnet_runtime::print_line!("lost={lost} {figures}");
        }
    }
}

//! The planner with a process lost in mid shift: goodput lost, and the time
//! until it is back.

use garnet_simulator::mix::PART;
use garnet_simulator::{
    Deployment, Fault, FaultKind, Host, MixReport, Report, Strategy, run as run_scenario,
};
use garnet_types::Millis;
use serde_json::{Map, Value, json};

use super::{report_violations, scenario};
use crate::parallel;

/// How long a lost process stays away.
const AWAY: Millis = Millis::from_secs(30);
/// Goodput is back when a part reaches this share of the run without a loss.
const BACK: f64 = 0.9;

/// What is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    /// An engine that generates.
    Engine,
    /// One of the gateways.
    Gateway,
    /// The leader of the control group.
    Leader,
}

impl Loss {
    fn as_str(self) -> &'static str {
        match self {
            Loss::Engine => "engine",
            Loss::Gateway => "gateway",
            Loss::Leader => "leader",
        }
    }
}

/// Reads the value of `--lose`.
pub(crate) fn read(text: Option<&str>) -> Result<Vec<Loss>, String> {
    match text {
        None => Ok(Vec::new()),
        Some("engine") => Ok(vec![Loss::Engine]),
        Some("gateway") => Ok(vec![Loss::Gateway]),
        Some("leader") => Ok(vec![Loss::Leader]),
        Some("all") => Ok(vec![Loss::Engine, Loss::Gateway, Loss::Leader]),
        Some(other) => Err(format!("--lose: unknown process \"{other}\"")),
    }
}

/// Runs every seed with and without each loss.
pub(crate) fn measure(
    deployment: &Deployment,
    losses: &[Loss],
    seeds: &[u64],
    span: Millis,
) -> (Value, bool) {
    let undisturbed = super::run_all(deployment, Strategy::Planner, seeds, span);
    let mut result = Map::new();
    let mut held = true;
    for loss in losses {
        let disturbed: Vec<Report> = parallel::map(seeds, |seed| {
            let base = undisturbed.iter().find(|report| report.seed == seed);
            let mut scenario = scenario(deployment, Strategy::Planner, seed, span);
            scenario.faults = Some(
                base.map(|base| fault(*loss, base, span))
                    .into_iter()
                    .collect(),
            );
            run_scenario(&scenario)
        });
        held &= report_violations(&disturbed);
        result.insert(
            loss.as_str().to_owned(),
            compare(&undisturbed, &disturbed, span),
        );
    }
    (Value::Object(result), held)
}

/// The loss in the middle of the run. A run without faults has one leader,
/// which is the one to lose.
fn fault(loss: Loss, undisturbed: &Report, span: Millis) -> Fault {
    let host = match loss {
        Loss::Engine => Host::Engine(4),
        Loss::Gateway => Host::Gateway(0),
        Loss::Leader => Host::Control(undisturbed.last_leader.unwrap_or(0)),
    };
    Fault {
        kind: FaultKind::Kill,
        host,
        at: struck_at(span),
        lasts: AWAY,
    }
}

fn struck_at(span: Millis) -> Millis {
    Millis(span.0 / 2)
}

fn compare(undisturbed: &[Report], disturbed: &[Report], span: Millis) -> Value {
    let goodput = |reports: &[Report]| {
        let sum: f64 = mixes(reports).map(|mix| mix.goodput_per_s).sum();
        sum / reports.len().max(1) as f64
    };
    let recovery: Vec<u64> = mixes(undisturbed)
        .zip(mixes(disturbed))
        .map(|(base, lost)| recovery_time(base, lost, span).0)
        .collect();
    let lost_answers: i64 = mixes(undisturbed)
        .zip(mixes(disturbed))
        .map(|(base, lost)| useful(base) - useful(lost))
        .sum();
    json!({
        "goodput_per_s": goodput(disturbed),
        "goodput_without_loss_per_s": goodput(undisturbed),
        "useful_answers_lost_per_run": lost_answers as f64 / disturbed.len().max(1) as f64,
        "recovery_ms_mean": recovery.iter().sum::<u64>() / recovery.len().max(1) as u64,
        "useful_by_part": parts(disturbed),
        "useful_by_part_without_loss": parts(undisturbed),
        "recovery_ms": recovery,
        "disconnected": disturbed.iter().map(|report| report.disconnected).sum::<u64>(),
    })
}

fn mixes(reports: &[Report]) -> impl Iterator<Item = &MixReport> {
    reports.iter().filter_map(|report| report.mix.as_ref())
}

/// Useful answers of each part of a run, over all runs.
fn parts(reports: &[Report]) -> Vec<u64> {
    let longest = mixes(reports).map(|mix| mix.useful_by_part.len()).max();
    let sum = |part: usize| {
        mixes(reports)
            .filter_map(|mix| mix.useful_by_part.get(part))
            .sum()
    };
    (0..longest.unwrap_or(0)).map(sum).collect()
}

fn useful(mix: &MixReport) -> i64 {
    mix.useful_by_part.iter().sum::<u64>() as i64
}

/// Time from the loss to the first part that is as good as without it.
fn recovery_time(undisturbed: &MixReport, disturbed: &MixReport, span: Millis) -> Millis {
    let first = (struck_at(span).0 / PART.0) as usize;
    let parts = undisturbed
        .useful_by_part
        .iter()
        .zip(&disturbed.useful_by_part);
    let back = parts
        .skip(first)
        .position(|(base, lost)| *lost as f64 >= *base as f64 * BACK);
    Millis(back.unwrap_or(undisturbed.useful_by_part.len()) as u64 * PART.0)
}

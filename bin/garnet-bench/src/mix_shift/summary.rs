//! The figures of one strategy over all seeds.

use std::collections::BTreeMap;

use garnet_simulator::mix::{KindReport, Quantiles};
use garnet_simulator::{MixReport, Report};
use serde_json::{Value, json};

/// Means over the seeds; quantiles are the means of each seed's.
pub(crate) fn of(reports: &[Report]) -> Value {
    let mixes: Vec<&MixReport> = reports
        .iter()
        .filter_map(|report| report.mix.as_ref())
        .collect();
    let mean = |pick: fn(&MixReport) -> f64| {
        mixes.iter().map(|mix| pick(mix)).sum::<f64>() / mixes.len().max(1) as f64
    };
    let changes: u64 = reports.iter().map(|report| report.role_changes).sum();
    let by_seed: Vec<Value> = reports.iter().map(of_seed).collect();
    json!({
        "goodput_per_s": round(mean(|mix| mix.goodput_per_s)),
        "on_time_share": round(mean(|mix| mix.on_time_share)),
        "role_changes": changes,
        "ttft_ms": quantiles(&mixes, |mix| mix.ttft_ms),
        "itl_ms": quantiles(&mixes, |mix| mix.itl_ms),
        "kinds": kinds(&mixes),
        "sendings": reports.iter().map(|report| report.sent).sum::<u64>(),
        "refusal_reasons": reasons(reports),
        "by_seed": by_seed,
    })
}

fn of_seed(report: &Report) -> Value {
    let goodput = report.mix.as_ref().map(|mix| round(mix.goodput_per_s));
    json!({
        "seed": report.seed,
        "goodput_per_s": goodput,
        "role_changes": report.role_changes,
    })
}

fn quantiles(mixes: &[&MixReport], pick: fn(&MixReport) -> Quantiles) -> Value {
    let mean = |part: fn(&Quantiles) -> u64| {
        let sum: u64 = mixes.iter().map(|mix| part(&pick(mix))).sum();
        sum / mixes.len().max(1) as u64
    };
    json!({
        "p50": mean(|times| times.p50),
        "p95": mean(|times| times.p95),
        "p99": mean(|times| times.p99),
    })
}

fn kinds(mixes: &[&MixReport]) -> BTreeMap<&'static str, KindReport> {
    let mut sums: BTreeMap<&'static str, KindReport> = BTreeMap::new();
    for mix in mixes {
        for (name, kind) in &mix.kinds {
            let sum = sums.entry(name).or_default();
            sum.offered += kind.offered;
            sum.useful += kind.useful;
            sum.late += kind.late;
            for (code, count) in &kind.refused {
                *sum.refused.entry(code.clone()).or_default() += count;
            }
        }
    }
    sums
}

fn reasons(reports: &[Report]) -> BTreeMap<&str, u64> {
    let mut sums = BTreeMap::new();
    for report in reports {
        for (reason, count) in &report.reasons {
            *sums.entry(reason.as_str()).or_default() += count;
        }
    }
    sums
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

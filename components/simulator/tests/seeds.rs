//! A fixed set of seeds: every rule holds, and every fault and rule was met.

use std::collections::{BTreeMap, BTreeSet};

use garnet_simulator::{FaultKind, Invariant, Report, Scenario, run};
use rstest::rstest;

fn run_seeds(seeds: std::ops::Range<u64>, kinds: &[FaultKind]) -> Vec<Report> {
    let reports: Vec<Report> = seeds.map(|seed| run(&Scenario::new(seed, kinds))).collect();
    for report in &reports {
        assert!(
            report.violations.is_empty(),
            "seed {}: {:?}",
            report.seed,
            report.violations
        );
    }
    reports
}

#[rstest]
#[case(0)]
#[case(6)]
#[case(12)]
#[case(18)]
fn every_rule_holds_under_all_faults(#[case] first: u64) {
    run_seeds(first..first + 6, &FaultKind::ALL);
}

/// A run in which a fault never struck can't pass for a proof.
#[test]
fn each_fault_alone_strikes_and_breaks_nothing() {
    for kind in FaultKind::ALL {
        let reports = run_seeds(100..102, &[kind]);
        let struck: u64 = reports
            .iter()
            .filter_map(|report| report.struck.get(&kind))
            .sum();
        assert!(struck > 0, "{kind:?} never struck");
    }
}

#[test]
fn every_rule_is_put_to_the_test() {
    let reports = run_seeds(40..52, &FaultKind::ALL);
    let met: BTreeSet<Invariant> = reports
        .iter()
        .flat_map(|report| report.checks.keys().copied())
        .collect();
    let all: BTreeSet<Invariant> = Invariant::ALL.into_iter().collect();
    assert_eq!(met, all);
}

/// Without failures nothing but a raced key is refused: no request hears that
/// it did not run.
#[test]
fn without_faults_nothing_is_turned_away() {
    let reports = run_seeds(0..4, &[]);
    let mut refused: BTreeMap<&str, u64> = BTreeMap::new();
    for report in &reports {
        for (code, count) in &report.refused {
            *refused.entry(code).or_default() += count;
        }
    }
    refused.remove("in_doubt");
    assert!(refused.is_empty(), "{refused:?}");
}

#[test]
fn a_run_is_a_function_of_its_seed() {
    let scenario = Scenario::new(7, &FaultKind::ALL);
    let (one, two) = (run(&scenario), run(&scenario));
    let text = |report: &Report| serde_json::to_string(report).expect("plain data");
    assert_eq!(text(&one), text(&two));
}

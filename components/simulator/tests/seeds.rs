//! A fixed set of seeds: every rule holds, and every fault and rule was met.

use std::collections::{BTreeMap, BTreeSet};

use garnet_simulator::{Fault, FaultKind, Host, Invariant, Report, Scenario, run};
use garnet_types::{EncodingVersion, Millis};
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

/// The kinds that were there before back ends named limits: seeds that showed a fault
/// are played as they were.
fn kinds_without_limits() -> Vec<FaultKind> {
    let later = [FaultKind::NameLimit, FaultKind::Overload];
    let all = FaultKind::ALL.into_iter();
    all.filter(|kind| !later.contains(kind)).collect()
}

/// The kinds that were there before [`FaultKind::ADDED`].
fn other_kinds() -> Vec<FaultKind> {
    let all = FaultKind::ALL.into_iter();
    all.filter(|kind| !FaultKind::ADDED.contains(kind))
        .collect()
}

#[rstest]
#[case(0)]
#[case(6)]
#[case(12)]
#[case(18)]
fn every_rule_holds_under_all_other_faults(#[case] first: u64) {
    run_seeds(first..first + 6, &other_kinds());
}

#[rstest]
#[case(0)]
#[case(6)]
#[case(12)]
#[case(18)]
fn every_rule_holds_under_all_faults(#[case] first: u64) {
    run_seeds(first..first + 6, &FaultKind::ALL);
}

/// An application stood still for nine seconds, and the gateway was killed
/// twice meanwhile: what the first process had sent was answered to the third
/// one, whose attempts have the same names. Real connections end with their
/// process; those of the simulator did not.
#[test]
fn what_a_process_sent_is_answered_to_no_other() {
    run_seeds(795..796, &kinds_without_limits());
}

/// A request that crashed each engine that ran it was sent on for as long as
/// its caller came: alone, without any other fault, it ended engine after
/// engine at two gateways.
#[rstest]
#[case(300)]
#[case(306)]
fn a_request_that_crashes_engines_is_stopped(#[case] first: u64) {
    run_seeds(first..first + 6, &[FaultKind::CrashingRequest]);
}

/// Engines and applications name 0 to 12.5 requests a second, and were sent as many
/// as before: the completions gateway did not hear of it.
#[rstest]
#[case(340)]
#[case(346)]
fn back_ends_that_name_limits_get_no_more(#[case] first: u64) {
    run_seeds(first..first + 6, &[FaultKind::NameLimit]);
}

/// Back ends reject all requests for a while and request a backoff of 0.3 to 8 s. The
/// completions gateway did not hear of it: of thirty seeds eight sent one more than two
/// requests meanwhile.
#[rstest]
#[case(366)]
#[case(372)]
#[case(381)]
fn back_ends_in_backoff_get_nothing(#[case] first: u64) {
    run_seeds(first..first + 6, &[FaultKind::Overload]);
}

/// A gateway whose clock ran 1.2% fast sent three requests 93 ms before the end of a
/// backoff of 8 s by the clock of the world. By its own clock the backoff was over, and no
/// clock that it has tells otherwise: the check goes by the gateway's clock.
#[test]
fn seed_3009_a_backoff_lasts_by_the_clock_of_its_gateway() {
    let kinds = [
        FaultKind::PlannedStop,
        FaultKind::Leaving,
        FaultKind::Overload,
    ];
    run_seeds(3009..3010, &kinds);
}

/// The engine that held a text's KV cache was stopped before the decode engine fetched it,
/// and the text ended with a failure at once.
#[test]
fn seed_18_a_planned_stop_of_an_engine_cuts_no_text() {
    run_seeds(18..19, &[FaultKind::PlannedStop]);
}

/// An instance ended 3 ms before its last report of draining reached the gateway, and the
/// report was put down to its next start, which did not drain.
#[test]
fn seed_207_a_report_of_draining_belongs_to_the_start_that_sent_it() {
    run_seeds(207..208, &[FaultKind::PlannedStop]);
}

/// The engine of a machine that leaves crashed and started again: the list showed the
/// machine as live, while it was judged as leaving.
#[test]
fn seed_3205_a_machine_that_leaves_does_so_after_a_restart() {
    run_seeds(3205..3206, &FaultKind::ALL);
}

/// A late snapshot dropped entries that a new replica had acknowledged, and the group
/// committed nothing any more (`Recovers`: 75 requests without a final answer).
#[test]
fn seed_3069_a_late_snapshot_drops_no_acknowledged_entry() {
    run_seeds(3069..3070, &FaultKind::ALL);
}

/// What a seed draws of the other kinds is the same with the added ones.
#[test]
fn added_kinds_change_no_other_fault() {
    for seed in 0..8 {
        let with = run(&Scenario::new(seed, &FaultKind::ALL)).faults;
        let without = run(&Scenario::new(seed, &other_kinds())).faults;
        let of_others: Vec<_> = with
            .into_iter()
            .filter(|fault| !FaultKind::ADDED.contains(&fault.kind))
            .collect();
        assert_eq!(of_others, without);
    }
}

/// A leader whose machine was suspended wakes with a clock that stood still:
/// by that clock its lease goes on, while the others have elected another one.
#[test]
fn a_clock_that_stops_while_its_machine_is_suspended_breaks_leases() {
    let suspended = |clocks_stop| {
        let suspend = |place| Fault {
            kind: FaultKind::Suspend,
            host: Host::Control(place),
            at: Millis::from_secs(10 + 8 * place as u64),
            lasts: Millis::from_secs(5),
        };
        let faults = Some((0..3).map(suspend).collect());
        let scenario = Scenario {
            faults,
            clocks_stop,
            ..Scenario::new(1, &FaultKind::ALL)
        };
        run(&scenario).violations
    };
    let broken = suspended(true);
    assert!(
        broken
            .iter()
            .any(|one| one.invariant == Invariant::OneLease),
        "{broken:?}"
    );
    assert_eq!(suspended(false), []);
}

/// The completions gateway knows no path of its own: cut off from all back ends, it refuses or
/// fails what the other gateway serves.
#[rstest]
#[case(60_000)]
#[case(60_006)]
fn completions_gateways_that_are_cut_off_serve_their_callers(#[case] first: u64) {
    run_seeds(first..first + 6, &[FaultKind::CutFromBackEnds]);
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
    let mut reports = run_seeds(40..52, &other_kinds());
    reports.extend(run_seeds(320..322, &[FaultKind::CrashingRequest]));
    reports.extend(run_seeds(346..350, &[FaultKind::NameLimit]));
    reports.extend(run_seeds(360..362, &[FaultKind::Overload]));
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

/// A frozen engine, a gateway that was killed and a request that crashes engines:
/// a request whose engine broke off before its first token had no time left for
/// another one, and its caller was told that it had not run ("the deadline can't
/// be met at the present load", `NotRunIsTrue` at 38,942 ms).
#[test]
fn seed_4035_what_may_have_run_is_never_told_not_to_have() {
    run_seeds(4035..4036, &kinds_without_limits());
}

/// Replicas and gateways begin on an earlier build and go over in any order, some back and
/// forth, some rolls halted, beside all other faults. Builds that refuse each other leave
/// gateways without a leader while a roll is halted.
#[rstest]
fn every_rule_holds_while_builds_are_replaced(
    #[values(11, 16)] version: u32,
    #[values(0, 6)] first: u64,
) {
    for seed in first..first + 6 {
        let report = run(&Scenario {
            build_before: Some(EncodingVersion(version)),
            ..Scenario::new(seed, &other_kinds())
        });
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:?}",
            report.violations
        );
        assert!(report.accepted > 0, "seed {seed}");
    }
}

/// Responses that end with their connection, some of them cut at any byte, beside other faults: no
/// caller gets a part of one as a whole answer, and no part is recorded as a result.
#[rstest]
fn no_part_of_a_response_is_answered_as_the_whole(#[values(0, 6)] first: u64) {
    let kinds: Vec<FaultKind> = other_kinds()
        .into_iter()
        .chain([FaultKind::UnframedResponses])
        .collect();
    run_seeds(first..first + 6, &kinds);
    run_seeds(first..first + 6, &[FaultKind::UnframedResponses]);
}

/// Engines of two builds generated parts of one text, and used each other's KV caches.
#[rstest]
fn no_text_is_of_two_builds(#[values(0, 6)] first: u64) {
    let kinds: Vec<FaultKind> = other_kinds()
        .into_iter()
        .chain([FaultKind::ReplaceBuild])
        .collect();
    run_seeds(first..first + 6, &kinds);
    run_seeds(
        first..first + 6,
        &[FaultKind::Kill, FaultKind::ReplaceBuild],
    );
}

/// Only replicas are replaced, beside all faults and a request that crashes engines: the log
/// can't hold a verdict, and a leader of version 11 takes no reports.
#[rstest]
fn a_crashing_request_is_stopped_while_replicas_are_replaced(
    #[values(FaultKind::ALL.to_vec(), vec![FaultKind::CrashingRequest])] kinds: Vec<FaultKind>,
    #[values(5003, 5046)] first: u64,
) {
    for seed in first..first + 6 {
        let report = run(&Scenario {
            build_before: Some(EncodingVersion::V11),
            gateways_first: true,
            ..Scenario::new(seed, &kinds)
        });
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:?}",
            report.violations
        );
    }
}

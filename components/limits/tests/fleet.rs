//! A back end with a rate limit behind one to hundreds of gateways, in virtual time. Whatever
//! faults gateways and leaders have, all gateways together send it at most one and a half times
//! its limit plus five requests in any four seconds.

mod world;

use garnet_types::Millis;
use rstest::rstest;
use world::{Fault, Outcome, Plan, run};

const LENGTH: Millis = Millis::from_secs(40);

fn plan(gateways: usize, limit: &str, seed: u64) -> Plan {
    Plan {
        gateways,
        limit: limit.parse().expect("a rate"),
        requests_per_s: 60.0,
        faults: Vec::new(),
        ends_at: None,
        length: LENGTH,
        seed,
    }
}

fn run_within_limit(plan: &Plan) -> Outcome {
    let outcome = run(plan);
    let allowed = outcome.allowed;
    let most = outcome.most_in_window;
    assert!(most <= allowed, "{most} of {allowed}: {plan:?}");
    outcome
}

/// Without faults the limit is used up, whatever the number of gateways.
#[rstest]
fn a_limit_is_respected_and_used(
    #[values(1, 7, 66, 985)] gateways: usize,
    #[values("0.25", "1.1", "20")] limit: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = run_within_limit(&plan(gateways, limit, seed));
    // All gateways know the limit by then, also those that sent nothing there.
    assert!(
        outcome.most_in_window_of_all <= outcome.allowed,
        "{outcome:?}"
    );
    let limit_per_s: f64 = limit.parse().expect("a number");
    let wanted = 0.8 * limit_per_s * LENGTH.as_secs_f64();
    let arrived = outcome.arrived as f64;
    assert!(arrived + 2.0 >= wanted, "{arrived} of {wanted}");
}

/// A back end with a limit of 0 is sent one request in ten seconds, since its recovery shows only
/// in answers.
#[rstest]
fn a_back_end_with_limit_zero_is_probed(
    #[values(1, 7, 66, 985)] gateways: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = run_within_limit(&plan(gateways, "0", seed));
    assert!((2..=5).contains(&outcome.arrived), "{}", outcome.arrived);
}

/// Restarts, disconnections, suspensions, lost messages and new leaders, alone and overlapping.
#[rstest]
fn a_limit_is_respected_through_faults(
    #[values(1, 7, 66, 985)] gateways: usize,
    #[values("0", "0.25", "1.1", "20")] limit: &str,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let all = [
        Fault::Restart,
        Fault::Disconnection,
        Fault::Suspension,
        Fault::NoLeader,
        Fault::LostMessages,
    ];
    let without_faults = plan(gateways, limit, seed);
    for fault in all {
        let faults = vec![fault; 8];
        run_within_limit(&Plan {
            faults,
            ..without_faults.clone()
        });
    }
    let faults = all.repeat(6);
    run_within_limit(&Plan {
        faults,
        ..without_faults
    });
}

/// A third of the callers has each priority.
#[rstest]
fn the_most_urgent_are_served_first(
    #[values(1, 7, 66, 985)] gateways: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = run_within_limit(&plan(gateways, "10", seed));
    let [most_urgent, .., least_urgent] = outcome.served_by_priority;
    assert!(
        most_urgent >= 4 * least_urgent,
        "{:?}",
        outcome.served_by_priority
    );
}

/// Refusals come within one round trip to the leader, or at once if the gateway knows that the
/// leader has no permit.
#[rstest]
fn refusals_come_within_a_round_trip(
    #[values(7, 66, 985)] gateways: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = run_within_limit(&plan(gateways, "1.1", seed));
    assert!(outcome.refused > 1_000, "{}", outcome.refused);
    assert!(
        outcome.longest_refusal <= world::ROUND_TRIP,
        "{:?}",
        outcome.longest_refusal
    );
}

/// A limit that the back end no longer reports ends at all gateways.
#[rstest]
fn a_limit_ends_when_it_is_no_longer_reported(
    #[values(1, 7, 66, 985)] gateways: usize,
    #[values("0", "1.1", "20")] limit: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    let ends_at = Some(Millis::from_secs(15));
    let outcome = run_within_limit(&Plan {
        ends_at,
        ..plan(gateways, limit, seed)
    });
    assert_eq!(outcome.still_limited, 0);
    assert!(
        outcome.arrived_after_end > 300,
        "{}",
        outcome.arrived_after_end
    );
}

/// A limit ends also if the leader changes meanwhile.
#[rstest]
fn a_limit_ends_under_a_new_leader(
    #[values(7, 66, 985)] gateways: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = run_within_limit(&Plan {
        ends_at: Some(Millis::from_secs(15)),
        faults: vec![Fault::NoLeader; 4],
        ..plan(gateways, "1.1", seed)
    });
    assert_eq!(outcome.still_limited, 0);
}

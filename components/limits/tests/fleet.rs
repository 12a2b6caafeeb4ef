//! A back end that names a limit, before one gateway or before hundreds, in virtual
//! time. Whatever happens to gateways and leaders, it gets no more from all of them
//! than one and a half times its limit and five more in any four seconds.

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

fn holds(plan: &Plan) -> Outcome {
    let outcome = run(plan);
    let allowed = outcome.allowed;
    let most = outcome.most_in_window;
    assert!(most <= allowed, "{most} of {allowed}: {plan:?}");
    outcome
}

/// Nothing happens: what was named is used, whatever the number of gateways.
#[rstest]
fn a_limit_is_kept_and_used(
    #[values(1, 7, 66, 985)] gateways: usize,
    #[values("0.25", "1.1", "20")] limit: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = holds(&plan(gateways, limit, seed));
    // All hear of it within that time, also those that have sent nothing there.
    assert!(outcome.most_of_all <= outcome.allowed, "{outcome:?}");
    let named: f64 = limit.parse().expect("a number");
    let wanted = 0.8 * named * LENGTH.as_secs_f64();
    let arrived = outcome.arrived as f64;
    assert!(arrived + 2.0 >= wanted, "{arrived} of {wanted}");
}

/// A back end that takes nothing is sent one request in ten seconds, so that its
/// recovery is heard of.
#[rstest]
fn one_that_takes_nothing_is_tried_now_and_then(
    #[values(1, 7, 66, 985)] gateways: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = holds(&plan(gateways, "0", seed));
    assert!((2..=5).contains(&outcome.arrived), "{}", outcome.arrived);
}

/// Restarts, cuts, suspensions and new leaders, alone and overlapping.
#[rstest]
fn a_limit_is_kept_through_faults(
    #[values(1, 7, 66, 985)] gateways: usize,
    #[values("0", "0.25", "1.1", "20")] limit: &str,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let all = [
        Fault::Restart,
        Fault::Cut,
        Fault::Suspension,
        Fault::NoLeader,
        Fault::LostMessages,
    ];
    let calm = plan(gateways, limit, seed);
    for fault in all {
        let faults = vec![fault; 8];
        holds(&Plan {
            faults,
            ..calm.clone()
        });
    }
    let faults = all.repeat(6);
    holds(&Plan { faults, ..calm });
}

/// The most urgent are served first: a third of the callers is of each rank.
#[rstest]
fn the_most_urgent_are_served_first(
    #[values(1, 7, 66, 985)] gateways: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = holds(&plan(gateways, "10", seed));
    let [urgent, .., patient] = outcome.served_by_rank;
    assert!(urgent >= 4 * patient, "{:?}", outcome.served_by_rank);
}

/// Whoever is refused hears so before the route's time is over, and at once where
/// the leader has nothing to give.
#[rstest]
fn who_is_refused_hears_so_at_once(
    #[values(7, 66, 985)] gateways: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = holds(&plan(gateways, "1.1", seed));
    assert!(outcome.refused > 1_000, "{}", outcome.refused);
    assert!(
        outcome.longest_refusal <= world::ROUND_TRIP,
        "{:?}",
        outcome.longest_refusal
    );
}

/// A limit that is named no longer is over at all gateways.
#[rstest]
fn a_limit_ends_when_it_is_named_no_longer(
    #[values(1, 7, 66, 985)] gateways: usize,
    #[values("0", "1.1", "20")] limit: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    let ends_at = Some(Millis::from_secs(15));
    let outcome = holds(&Plan {
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

/// Also where leaders change meanwhile.
#[rstest]
fn a_limit_ends_under_a_new_leader(
    #[values(7, 66, 985)] gateways: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = holds(&Plan {
        ends_at: Some(Millis::from_secs(15)),
        faults: vec![Fault::NoLeader; 4],
        ..plan(gateways, "1.1", seed)
    });
    assert_eq!(outcome.still_limited, 0);
}

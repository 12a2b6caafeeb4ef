//! The permits that one leader grants.

use garnet_limits::{
    LimitLedger, LimitReport, PERMIT_LIFETIME, PermitOutcome, PermitRequest, RequestRate,
};
use garnet_types::{BackendId, Millis};
use proptest::prelude::*;
use rstest::rstest;

/// Longest time from sending a request to its arrival at the back end.
const MAX_TRANSIT: Millis = Millis(1_350);
const WINDOW: Millis = Millis::from_secs(4);

fn id(number: usize) -> BackendId {
    BackendId::new(format!("i-{number}"))
}

fn report(backend: BackendId, rate: Option<&str>, ago: Millis) -> LimitReport {
    LimitReport {
        backend,
        start: 1,
        rate: rate.map(|rate| rate.parse().expect("a rate")),
        ago,
    }
}

fn permit_request(backends: &[BackendId], priority: u8) -> PermitRequest {
    PermitRequest {
        number: 7,
        backends: backends.to_vec(),
        priority,
    }
}

fn granted(ledger: &mut LimitLedger, request: &PermitRequest, now: Millis) -> Option<BackendId> {
    match ledger.request_permit(request, now).outcome {
        PermitOutcome::Granted { backend, .. } => Some(backend),
        PermitOutcome::Refused { .. } => None,
    }
}

/// A ledger with one back end that reported this limit at time zero.
fn ledger(rate: &str) -> LimitLedger {
    let mut ledger = LimitLedger::default();
    ledger.apply_report(&report(id(0), Some(rate), Millis::ZERO), Millis::ZERO);
    ledger
}

proptest! {
    /// At most one and a half times the limit plus five requests arrive in any four seconds,
    /// however requests come and however late in the lifetime of its permit each arrives.
    #[test]
    fn arrivals_in_any_window_are_bounded(
        micros_per_s in 0..40_000_000_u64,
        requests in prop::collection::vec((0..400_u64, 0..10_u8, 0..=1_850_u64), 1..400),
    ) {
        let rate = RequestRate::from_micros_per_s(micros_per_s);
        let mut ledger = ledger(&rate.to_string());
        let mut now = Millis::ZERO;
        let mut arrivals: Vec<Millis> = Vec::new();
        let max_delay = (PERMIT_LIFETIME + MAX_TRANSIT).0;
        for (pause, priority, delay) in requests {
            now = now + Millis(pause);
            if granted(&mut ledger, &permit_request(&[id(0)], priority), now).is_some() {
                arrivals.push(now + Millis(delay.min(max_delay)));
            }
        }
        let allowed = (rate.per_s() * 1.5 * WINDOW.as_secs_f64() + 5.0).ceil() as usize;
        for from in &arrivals {
            let in_window = |at: &&Millis| *at >= from && **at < *from + WINDOW;
            let count = arrivals.iter().filter(in_window).count();
            prop_assert!(count <= allowed, "{count} of {allowed}");
        }
    }
}

/// A new leader has no permits at first: requests with permits of its predecessor may still be in
/// flight.
#[test]
fn a_leader_begins_without_permits() {
    let mut ledger = ledger("2");
    let request = permit_request(&[id(0)], 0);
    assert_eq!(granted(&mut ledger, &request, Millis(499)), None);
    assert_eq!(granted(&mut ledger, &request, Millis(500)), Some(id(0)));
    assert_eq!(granted(&mut ledger, &request, Millis(501)), None);
}

/// Of several back ends, the one that has a permit is chosen.
#[test]
fn a_permit_is_for_any_of_several_back_ends() {
    let mut ledger = ledger("0");
    ledger.apply_report(&report(id(1), Some("5"), Millis::ZERO), Millis::ZERO);
    let request = permit_request(&[id(0), id(1), id(2)], 3);
    assert_eq!(granted(&mut ledger, &request, Millis(1_000)), Some(id(1)));
}

/// A leader grants no permit for a back end without a limit on record, since a new leader has
/// none on record.
#[test]
fn no_permit_without_a_limit_on_record() {
    let mut ledger = LimitLedger::default();
    assert_eq!(
        granted(&mut ledger, &permit_request(&[id(0)], 0), Millis(9_000)),
        None
    );
}

/// Refused callers get different retry times, spaced at the rate of the limit.
#[test]
fn retry_times_of_refused_callers_are_spaced() {
    let mut ledger = ledger("2");
    let request = permit_request(&[id(0)], 0);
    let mut retry_times = Vec::new();
    for _ in 0..4 {
        let PermitOutcome::Refused { wait, retry_after } =
            ledger.request_permit(&request, Millis::ZERO).outcome
        else {
            panic!("granted");
        };
        assert_eq!(wait, Millis(500));
        retry_times.push(retry_after.0);
    }
    assert_eq!(retry_times, [500, 1_000, 1_500, 2_000]);
}

/// While urgent requests use all permits, a less urgent one gets none.
#[rstest]
#[case::urgent_requests_take_all(20, false)]
#[case::no_urgent_requests(u64::MAX, true)]
fn urgent_requests_come_first(#[case] urgent_every_ms: u64, #[case] is_granted: bool) {
    let mut ledger = ledger("10");
    let mut less_urgent = 0;
    for now in 1..5_000 {
        let now = Millis(now);
        if now.0.is_multiple_of(urgent_every_ms) {
            let _taken = granted(&mut ledger, &permit_request(&[id(0)], 0), now);
        }
        if now.0.is_multiple_of(50) {
            less_urgent +=
                usize::from(granted(&mut ledger, &permit_request(&[id(0)], 2), now).is_some());
        }
    }
    assert_eq!(less_urgent > 5, is_granted, "{less_urgent}");
}

/// A single answer without a limit may come from a part of the back end that does not report
/// limits. Two in a row end the limit, and older reports that arrive later don't restore it.
#[test]
fn two_answers_without_a_limit_end_it() {
    let mut ledger = ledger("1");
    let no_limit = |ledger: &mut LimitLedger, now| {
        ledger.apply_report(&report(id(0), None, Millis(10)), Millis(now));
    };
    let limit = |ledger: &mut LimitLedger, ago, now| {
        ledger.apply_report(&report(id(0), Some("1"), Millis(ago)), Millis(now));
    };
    no_limit(&mut ledger, 1_000);
    limit(&mut ledger, 0, 1_100);
    no_limit(&mut ledger, 1_200);
    assert_eq!(ledger.list().len(), 1);
    // The request was sent before the limit was last reported, so its answer does not count.
    ledger.apply_report(&report(id(0), None, Millis(300)), Millis(1_300));
    assert_eq!(ledger.list().len(), 1);
    no_limit(&mut ledger, 1_400);
    assert_eq!(ledger.list(), []);
    limit(&mut ledger, 200, 1_500);
    assert_eq!(ledger.list(), []);
    limit(&mut ledger, 0, 1_600);
    assert_eq!(ledger.list().len(), 1);
}

/// The newest report counts, whatever the order of arrival.
#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut ledger = ledger("1");
    ledger.apply_report(&report(id(0), Some("3"), Millis(100)), Millis(1_000));
    ledger.apply_report(&report(id(0), Some("9"), Millis(400)), Millis(1_010));
    assert_eq!(ledger.list()[0].rate.to_string(), "3");
}

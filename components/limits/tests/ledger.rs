//! The permits that one leader hands out.

use garnet_limits::{
    LimitLedger, LimitReport, PERMIT_LASTS, PermitAsk, PermitOutcome, RequestRate,
};
use garnet_types::{BackendId, Millis};
use proptest::prelude::*;
use rstest::rstest;

/// What a request may take on its way, beside the time for which a permit lasts.
const ON_THE_WAY: Millis = Millis(1_350);
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

fn ask(backends: &[BackendId], rank: u8) -> PermitAsk {
    PermitAsk {
        number: 7,
        backends: backends.to_vec(),
        rank,
    }
}

fn granted(ledger: &mut LimitLedger, ask: &PermitAsk, now: Millis) -> Option<BackendId> {
    match ledger.ask(ask, now).outcome {
        PermitOutcome::Granted { backend, .. } => Some(backend),
        PermitOutcome::Refused { .. } => None,
    }
}

/// A ledger with one back end that names this at the start.
fn ledger(rate: &str) -> LimitLedger {
    let mut ledger = LimitLedger::default();
    ledger.note(&report(id(0), Some(rate), Millis::ZERO), Millis::ZERO);
    ledger
}

proptest! {
    /// However callers come and however long their requests are under way, within
    /// what is allowed for that, no four seconds bring more than one and a half times
    /// the limit and five more. A permit is used last thing where that is worst.
    #[test]
    fn no_window_holds_too_much(
        micros_per_s in 0..40_000_000_u64,
        asks in prop::collection::vec((0..400_u64, 0..10_u8, 0..=1_850_u64), 1..400),
    ) {
        let rate = RequestRate::from_micros_per_s(micros_per_s);
        let mut ledger = ledger(&rate.to_string());
        let mut now = Millis::ZERO;
        let mut arrivals: Vec<Millis> = Vec::new();
        let longest = (PERMIT_LASTS + ON_THE_WAY).0;
        for (pause, rank, under_way) in asks {
            now = now + Millis(pause);
            if granted(&mut ledger, &ask(&[id(0)], rank), now).is_some() {
                arrivals.push(now + Millis(under_way.min(longest)));
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

/// A leader that was told a moment ago has nothing to give: what another one gave
/// may be under way.
#[test]
fn a_leader_begins_without_permits() {
    let mut ledger = ledger("2");
    let ask = ask(&[id(0)], 0);
    assert_eq!(granted(&mut ledger, &ask, Millis(499)), None);
    assert_eq!(granted(&mut ledger, &ask, Millis(500)), Some(id(0)));
    assert_eq!(granted(&mut ledger, &ask, Millis(501)), None);
}

/// Of several back ends the one is named that has a permit.
#[test]
fn any_of_several_back_ends_will_do() {
    let mut ledger = ledger("0");
    ledger.note(&report(id(1), Some("5"), Millis::ZERO), Millis::ZERO);
    let ask = ask(&[id(0), id(1), id(2)], 3);
    assert_eq!(granted(&mut ledger, &ask, Millis(1_000)), Some(id(1)));
}

/// Whoever asks for what nobody knows to be limited gets nothing: a leader that has
/// just begun knows nothing.
#[test]
fn what_is_not_known_is_not_given() {
    let mut ledger = LimitLedger::default();
    assert_eq!(granted(&mut ledger, &ask(&[id(0)], 0), Millis(9_000)), None);
}

/// Callers who are refused are told times of their own, at the rate.
#[test]
fn refused_callers_come_back_one_after_the_other() {
    let mut ledger = ledger("2");
    let ask = ask(&[id(0)], 0);
    let mut told = Vec::new();
    for _ in 0..4 {
        let PermitOutcome::Refused { wait, retry_after } = ledger.ask(&ask, Millis::ZERO).outcome
        else {
            panic!("granted");
        };
        assert_eq!(wait, Millis(500));
        told.push(retry_after.0);
    }
    assert_eq!(told, [500, 1_000, 1_500, 2_000]);
}

/// While urgent requests ask for all that there is, a patient one finds nothing.
#[rstest]
#[case::urgent_ones_take_all(20, false)]
#[case::no_urgent_ones(u64::MAX, true)]
fn urgent_requests_come_first(#[case] urgent_every_ms: u64, #[case] is_granted: bool) {
    let mut ledger = ledger("10");
    let mut patient = 0;
    for now in 1..5_000 {
        let now = Millis(now);
        if now.0.is_multiple_of(urgent_every_ms) {
            let _taken = granted(&mut ledger, &ask(&[id(0)], 0), now);
        }
        if now.0.is_multiple_of(50) {
            patient += usize::from(granted(&mut ledger, &ask(&[id(0)], 2), now).is_some());
        }
    }
    assert_eq!(patient > 5, is_granted, "{patient}");
}

/// One answer without a name may come from a part of the back end that does not name
/// it; two in a row end the limit, and reports that were under way don't bring it back.
#[test]
fn a_limit_ends_with_two_answers_that_name_none() {
    let mut ledger = ledger("1");
    let none = |ledger: &mut LimitLedger, now| {
        ledger.note(&report(id(0), None, Millis(10)), Millis(now));
    };
    let named = |ledger: &mut LimitLedger, ago, now| {
        ledger.note(&report(id(0), Some("1"), Millis(ago)), Millis(now));
    };
    none(&mut ledger, 1_000);
    named(&mut ledger, 0, 1_100);
    none(&mut ledger, 1_200);
    assert_eq!(ledger.list().len(), 1);
    // Sent before it was named last: it tells nothing.
    ledger.note(&report(id(0), None, Millis(300)), Millis(1_300));
    assert_eq!(ledger.list().len(), 1);
    none(&mut ledger, 1_400);
    assert_eq!(ledger.list(), []);
    named(&mut ledger, 200, 1_500);
    assert_eq!(ledger.list(), []);
    named(&mut ledger, 0, 1_600);
    assert_eq!(ledger.list().len(), 1);
}

/// The newest report counts, whatever the order in which reports come.
#[test]
fn an_older_word_does_not_replace_a_newer_one() {
    let mut ledger = ledger("1");
    ledger.note(&report(id(0), Some("3"), Millis(100)), Millis(1_000));
    ledger.note(&report(id(0), Some("9"), Millis(400)), Millis(1_010));
    assert_eq!(ledger.list()[0].rate.to_string(), "3");
}

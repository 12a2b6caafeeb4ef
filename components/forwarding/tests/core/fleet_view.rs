//! A gateway's estimates of the fleet, from the leader's digest.

use garnet_control::{
    BackendListHash, BackendRecord, BackendState, GatewayDigest, LoadDigest, PriorityCounts,
};
use garnet_forwarding::{Forwarder, Placement};
use garnet_routes::WorkKind;
use garnet_types::{BackendId, EngineRole, Millis, ServiceId};
use rstest::rstest;

use crate::fleet::{NOW, forwarder, gateway_of, prompt, record, work};

fn id(number: usize) -> BackendId {
    BackendId::new(format!("p-{number}"))
}

/// Prefill engines and one engine that decodes.
fn engines(prefill: usize) -> Vec<BackendRecord> {
    let prefill = (0..prefill).map(|number| {
        let id = format!("p-{number}");
        record(&id, "words", "a", Some(EngineRole::Prefill))
    });
    let decode = record("d-0", "words", "a", Some(EngineRole::Mixed));
    prefill.chain([decode]).collect()
}

fn words() -> ServiceId {
    ServiceId::new("words")
}

/// A digest of these records, with the state that `state` returns for each back end.
fn digest(
    records: &[BackendRecord],
    counted: Option<Millis>,
    state: impl Fn(&BackendId) -> BackendState,
) -> GatewayDigest {
    let mut ids: Vec<BackendId> = records.iter().map(|r| r.registration.id.clone()).collect();
    ids.sort();
    let states: Vec<BackendState> = ids.iter().map(state).collect();
    GatewayDigest {
        digest: LoadDigest::encode(BackendListHash::of(ids.iter()), states),
        counted,
    }
}

fn loaded(tokens: u64) -> BackendState {
    BackendState {
        requests: 1,
        uncached: PriorityCounts::at(0, tokens),
        held_tokens: tokens,
        is_failing: false,
    }
}

fn failing(which: BackendId) -> impl Fn(&BackendId) -> BackendState {
    move |id| BackendState {
        is_failing: *id == which,
        ..BackendState::default()
    }
}

fn uncached(gateway: &Forwarder, id: &BackendId, now: Millis) -> u64 {
    let backend = gateway.backend(id).expect("known");
    backend.load.uncached_tokens(now)
}

#[test]
fn own_work_is_counted_once() {
    let records = engines(2);
    let mut gateway = forwarder(&records);
    gateway.sent(&id(0), Some(&prompt(1, 2, 6_300)), None, 0, NOW);
    let own = uncached(&gateway, &id(0), NOW);
    assert_eq!(own, 6_400);
    let report = gateway.report(NOW);
    assert_eq!(report.backlogs.len(), 1);
    // The leader counts this gateway's report and 640 tokens of a peer.
    let all = |of: &BackendId| loaded(if *of == id(0) { 7_040 } else { 0 });
    let later = NOW + Millis(50);
    gateway.take_digest(&digest(&records, Some(NOW), all), later);
    assert_eq!(uncached(&gateway, &id(0), later), 7_040);
    // The own prompt is prefilled; the peer's tokens are left.
    gateway.prefilled(&id(0), 0, 6_400);
    assert_eq!(uncached(&gateway, &id(0), later), 640);
}

#[test]
fn an_old_estimate_converges_to_the_mean_and_not_to_idle() {
    let records = engines(4);
    let mut gateway = forwarder(&records);
    let all = |of: &BackendId| loaded(if *of == id(0) { 40_000 } else { 0 });
    gateway.take_digest(&digest(&records, None, all), NOW);
    assert_eq!(uncached(&gateway, &id(0), NOW), 40_000);
    assert_eq!(uncached(&gateway, &id(1), NOW), 0);
    let late = NOW + Millis::from_secs(20);
    for number in 0..4 {
        // A quarter of what is queued at all four.
        assert_eq!(uncached(&gateway, &id(number), late), 10_000);
    }
    let between = uncached(&gateway, &id(0), NOW + Millis(400));
    assert!((20_000..30_000).contains(&between), "{between}");
}

#[test]
fn a_digest_of_other_back_ends_is_ignored() {
    let records = engines(4);
    let mut gateway = forwarder(&records);
    let foreign = digest(&engines(3), None, |_| loaded(40_000));
    gateway.take_digest(&foreign, NOW);
    assert_eq!(uncached(&gateway, &id(0), NOW), 0);
}

#[test]
fn a_failing_engine_gets_nothing_while_others_are_healthy() {
    let records = engines(3);
    let mut gateway = gateway_of(&records, 66, 1);
    gateway.take_digest(&digest(&records, None, failing(id(1))), NOW);
    for number in 0..20 {
        let work = work(
            WorkKind::ResumableStream,
            Some(prompt(number, number, 9_000)),
        );
        let placed = gateway.place(&words(), &work, &[], true, NOW);
        let Some(Placement::Handover { prefill_engine, .. }) = placed else {
            panic!("not handed over: {placed:?}");
        };
        assert_ne!(prefill_engine, id(1));
    }
    // The report of a leader that is gone expires.
    let late = NOW + Millis::from_secs(4);
    let backend = gateway.backend(&id(1)).expect("known");
    assert!(!backend.is_open(NOW, false) && backend.is_open(late, false));
}

#[test]
fn work_goes_to_failing_engines_where_there_is_no_other() {
    let records = engines(1);
    let mut gateway = gateway_of(&records, 66, 1);
    gateway.take_digest(&digest(&records, None, failing(id(0))), NOW);
    let work = work(WorkKind::ResumableStream, Some(prompt(1, 2, 9_000)));
    assert!(gateway.place(&words(), &work, &[], true, NOW).is_some());
}

#[test]
fn few_of_many_gateways_try_a_failing_engine() {
    let records = engines(3);
    for gateways in [8, 66, 295] {
        let mut probes = 0;
        let seconds = 20;
        for number in 0..gateways {
            let mut gateway = gateway_of(&records, gateways, number);
            for second in 0..seconds {
                let now = NOW + Millis::from_secs(second);
                gateway.take_digest(&digest(&records, None, failing(id(1))), now);
                let backend = gateway.backend(&id(1)).expect("known");
                probes += u64::from(backend.is_open(now, false));
            }
        }
        // One probe per second on average.
        assert!((8..=40).contains(&probes), "{probes} of {gateways}");
    }
}

#[test]
fn a_refused_connection_closes_a_back_end_at_once_and_is_reported() {
    let records = engines(2);
    let mut gateway = forwarder(&records);
    gateway.sent(&id(0), Some(&prompt(1, 2, 6_300)), None, 0, NOW);
    gateway.unreachable(&id(0), NOW);
    assert!(!gateway.backend(&id(0)).expect("known").is_open(NOW, false));
    let evidence = gateway.report(NOW).evidence;
    assert_eq!(evidence.len(), 1);
    assert_eq!((evidence[0].unreachable, evidence[0].failed), (1, 0));
    assert_eq!(gateway.report(NOW).evidence, []);
}

/// Gateways with equal estimates, older than the time in which all of them choose, don't
/// send to the same engine.
#[test]
fn gateways_with_equal_estimates_do_not_herd() {
    let records = engines(60);
    let idle = |of: &BackendId| loaded(if *of == id(7) { 0 } else { 6_400 });
    let mut to_idle_engine = 0;
    for number in 0..60 {
        let mut gateway = gateway_of(&records, 60, number);
        gateway.take_digest(&digest(&records, None, idle), NOW);
        let work = work(WorkKind::ResumableStream, Some(prompt(1, number, 350)));
        let placed = gateway.place(&words(), &work, &[], true, NOW);
        if let Some(Placement::Handover { prefill_engine, .. }) = placed {
            to_idle_engine += u32::from(prefill_engine == id(7));
        }
    }
    assert!(to_idle_engine <= 12, "{to_idle_engine} of 60");
}

/// Gateways estimate how long engines keep a prefix from the prompts that arrive at
/// themselves.
#[rstest]
#[case::few_prompts(1, 20_000, true)]
#[case::as_many_as_fill_the_memory(295, 20_000, false)]
fn a_prefix_is_assumed_cached_for_the_estimated_lifetime(
    #[case] gateways: u64,
    #[case] tokens: u64,
    #[case] is_held: bool,
) {
    let records = engines(2);
    let mut gateway = gateway_of(&records, gateways, 0);
    let asked = prompt(1, 2, tokens);
    for second in 0..5 {
        let now = NOW + Millis::from_secs(second);
        gateway.note_arrival(&words(), &asked, now);
    }
    let now = NOW + Millis::from_secs(5);
    gateway.note_cached(&id(0), &asked, now);
    gateway.take_digest(&digest(&records, None, |_| BackendState::default()), now);
    let later = now + Millis::from_secs(2);
    let uncached = gateway.uncached_tokens(&id(0), &asked, None, later);
    assert_eq!(uncached == 0, is_held, "{uncached}");
}

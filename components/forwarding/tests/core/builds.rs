//! Placement while engines of several builds serve one service.

use std::collections::BTreeSet;

use garnet_control::{BuildUpdate, EngineBuild};
use garnet_forwarding::{Forwarder, Placement};
use garnet_routes::WorkKind;
use garnet_types::{BackendId, BuildId, EngineRole, Millis, ServiceId};

use crate::fleet::{NOW, engines_named, forwarder, id, prompt, work};

/// For how long a service counts as mixed after the leader's list drops it.
const MIXED_TIME: Millis = Millis::from_secs(60);

fn update(builds: &[(&str, &str)]) -> BuildUpdate {
    let engine = |(backend, build): &(&str, &str)| EngineBuild {
        backend: BackendId::new(*backend),
        build: BuildId::new(*build),
    };
    BuildUpdate {
        engines: builds.iter().map(engine).collect(),
        mixed: vec![words()],
    }
}

fn words() -> ServiceId {
    ServiceId::new("words")
}

/// A gateway before engines with these roles and builds.
fn gateway(engines: &[(&str, EngineRole, &str)]) -> Forwarder {
    let roles: Vec<(&str, EngineRole)> = engines.iter().map(|(id, role, _)| (*id, *role)).collect();
    let builds: Vec<(&str, &str)> = engines.iter().map(|(id, _, build)| (*id, *build)).collect();
    let mut gateway = forwarder(&engines_named(&roles));
    gateway.take_builds(update(&builds), NOW);
    gateway
}

#[test]
fn a_stream_is_placed_at_its_build_only() {
    let mixed = EngineRole::Mixed;
    let mut gateway = gateway(&[("e-1", mixed, "v1"), ("e-2", mixed, "v2")]);
    let mut bound = work(WorkKind::ResumableStream, Some(prompt(7, 1, 400)));
    bound.build = Some(BuildId::new("v2"));
    let placed = gateway.place(&words(), &bound, &[], true, NOW);
    assert_eq!(placed, Some(Placement::One(id("e-2"))));
    let placed = gateway.place(&words(), &bound, &[id("e-2")], true, NOW);
    assert_eq!(placed, None, "no other build takes it");
}

/// A prompt that is long enough for a prefill engine is read elsewhere only if the KV cache can be
/// used there.
#[test]
fn a_kv_cache_stays_within_its_build() {
    let engines = [
        ("p-1", EngineRole::Prefill, "v1"),
        ("g-1", EngineRole::Mixed, "v1"),
        ("g-2", EngineRole::Mixed, "v2"),
        ("p-3", EngineRole::Prefill, "v3"),
    ];
    let mut gateway = gateway(&engines);
    let decode = gateway.place_decode(&words(), &id("p-1"), &[], NOW);
    assert_eq!(decode, Some(id("g-1")));
    let decode = gateway.place_decode(&words(), &id("p-3"), &[], NOW);
    assert_eq!(decode, None);
    for own in 0..20 {
        let work = work(WorkKind::Stream, Some(prompt(own, own, 20_000)));
        match gateway.place(&words(), &work, &[], true, NOW) {
            Some(Placement::Handover { prefill_engine, .. }) => {
                assert_eq!(prefill_engine, id("p-1"), "v3 has no engine that decodes");
            }
            other => panic!("{other:?}"),
        }
    }
}

/// The leader sends an update only on a change, so that a mix of builds that lasts is listed once.
/// Gateways forgot it after the lifetime of a stream.
#[test]
fn a_service_stays_mixed_at_a_gateway_while_the_leader_says_so() {
    let gateway = gateway(&[("e-1", EngineRole::Mixed, "v1")]);
    assert!(gateway.is_mixed(&words(), NOW));
    assert!(gateway.is_mixed(&words(), NOW + MIXED_TIME));
    assert!(gateway.is_mixed(&words(), NOW + MIXED_TIME + MIXED_TIME));
    assert!(!gateway.is_mixed(&ServiceId::new("till"), NOW));
}

/// A new leader that has seen the second build alone lists no service as mixed, while streams of
/// the first build may still be taken up.
#[test]
fn a_service_counts_as_mixed_for_the_lifetime_of_its_streams_after_the_leader_drops_it() {
    let mut gateway = gateway(&[("e-1", EngineRole::Mixed, "v1")]);
    let dropped_at = NOW + MIXED_TIME;
    gateway.take_builds(BuildUpdate::default(), dropped_at);
    assert!(gateway.is_mixed(&words(), dropped_at));
    let last = dropped_at + MIXED_TIME.since(Millis(1));
    assert!(gateway.is_mixed(&words(), last));
    assert_eq!(gateway.mixed_services(last), BTreeSet::from([words()]));
    assert!(!gateway.is_mixed(&words(), dropped_at + MIXED_TIME));
    // Later updates that do not list it do not hold it any longer.
    gateway.take_builds(BuildUpdate::default(), last);
    let after = dropped_at + MIXED_TIME;
    assert!(!gateway.is_mixed(&words(), after));
    assert_eq!(gateway.mixed_services(after), BTreeSet::new());
}

/// The list may be ahead of the configuration, and an engine may restart with another build.
#[test]
fn the_newest_build_of_an_engine_counts() {
    let mut gateway = gateway(&[("e-1", EngineRole::Mixed, "v1")]);
    gateway.take_builds(update(&[("e-1", "v2"), ("e-9", "v2")]), NOW);
    assert_eq!(gateway.build_of(&id("e-1")), Some(&BuildId::new("v2")));
    assert_eq!(gateway.build_of(&id("e-9")), None);
    assert_eq!(gateway.known_builds(), (2, 1));
}

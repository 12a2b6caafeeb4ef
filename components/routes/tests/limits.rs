//! What the engines of a service can hold.

use garnet_routes::{EngineLimits, RouteTable, ServiceSettings};
use garnet_types::{Millis, ServiceId};
use rstest::rstest;

const LIMITS: EngineLimits = EngineLimits {
    slots: 48,
    cache_tokens: 300_000,
    token_bytes: 1,
    link_mbps: 1,
    role_change_ms: Millis(3_000),
    handover_ms: Millis(5_000),
};

#[rstest]
#[case::nothing_is_held(0, 0, 48.0)]
#[case::short_requests_fill_the_slots(10, 10_000, 48.0)]
#[case::long_ones_fill_the_memory(10, 100_000, 30.0)]
#[case::one_larger_than_the_memory(1, 600_000, 0.5)]
fn requests_that_an_engine_takes_at_once(
    #[case] requests: u64,
    #[case] held_tokens: u64,
    #[case] places: f64,
) {
    assert_eq!(LIMITS.effective_slots(requests, held_tokens), places);
}

#[test]
fn limits_are_found_by_service() {
    let service = |name: &str, engine| ServiceSettings {
        name: ServiceId::new(name),
        max_connections: 1,
        buying: None,
        engine,
    };
    let table = RouteTable {
        services: vec![service("till", None), service("words", Some(LIMITS))],
        ..RouteTable::default()
    };
    let limits = |name: &str| table.engine_limits(&ServiceId::new(name));
    assert_eq!(limits("words"), Some(LIMITS));
    assert_eq!(limits("till"), None);
    assert_eq!(limits("none"), None);
}

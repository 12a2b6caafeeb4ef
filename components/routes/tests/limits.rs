//! Engine limits: slots, memory and look-up by service.

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
#[case::no_requests_in_flight(0, 0, 48.0)]
#[case::short_requests_fill_the_slots(10, 10_000, 48.0)]
#[case::long_requests_fill_the_memory(10, 100_000, 30.0)]
#[case::one_request_larger_than_the_memory(1, 600_000, 0.5)]
fn effective_slots_are_limited_by_slots_or_memory(
    #[case] requests: u64,
    #[case] held_tokens: u64,
    #[case] expected: f64,
) {
    assert_eq!(LIMITS.effective_slots(requests, held_tokens), expected);
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

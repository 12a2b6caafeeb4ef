//! Configurations come into force in order and never revert.

use std::sync::Arc;

use garnet_control::{ConfigurationChange, WatchUpdate};
use garnet_types::{BackendId, MachineState};

use crate::fleet::{NOW, configuration, forwarder, record, table};

#[test]
fn an_older_snapshot_is_left_aside() {
    let mut forwarder = forwarder(&[]);
    let older = configuration(4, table(9, &[("other", 1)]), &[]);
    forwarder.update(WatchUpdate::Snapshot(std::sync::Arc::new(older)));
    assert_eq!(forwarder.routes_version(), Some(1));
    assert_eq!(forwarder.configuration_index(), 5);
}

#[test]
fn changes_that_do_not_build_on_what_is_known_are_left_aside() {
    let mut forwarder = forwarder(&[]);
    let change = ConfigurationChange::RoutesPut(Arc::new(table(3, &[("till", 1)])));
    let gap = WatchUpdate::Changes {
        from: 7,
        to: 8,
        changes: vec![(8, change.clone())].into(),
    };
    forwarder.update(gap);
    assert_eq!(forwarder.routes_version(), Some(1));
    let next = WatchUpdate::Changes {
        from: 5,
        to: 6,
        changes: vec![(6, change)].into(),
    };
    forwarder.update(next);
    assert_eq!(forwarder.routes_version(), Some(3));
}

#[test]
fn a_leaving_back_end_takes_no_new_work() {
    let mut leaving = record("i-1", "till", "a", None);
    let mut forwarder = forwarder(std::slice::from_ref(&leaving));
    leaving.machine = MachineState::Leaving;
    let change = ConfigurationChange::BackendPut(leaving);
    forwarder.update(WatchUpdate::Changes {
        from: 5,
        to: 6,
        changes: vec![(6, change)].into(),
    });
    let backend = forwarder.backend(&BackendId::new("i-1")).expect("known");
    assert!(!backend.is_open(NOW, true));
}

#[test]
fn a_split_route_gives_each_service_its_share() {
    let mut forwarder = forwarder(&[]);
    let split = configuration(6, table(2, &[("till", 90), ("words", 10)]), &[]);
    forwarder.update(WatchUpdate::Snapshot(std::sync::Arc::new(split)));
    let words = (0..300)
        .filter_map(|_| forwarder.route("shop.example", "/offers/1"))
        .filter(|choice| choice.service.as_str() == "words")
        .count();
    assert!((28..=32).contains(&words), "{words}");
}

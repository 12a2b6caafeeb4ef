//! Configurations come into force in order and never revert.

use std::sync::Arc;

use garnet_control::{ConfigurationChange, WatchUpdate};
use garnet_forwarding::Forwarder;
use garnet_types::{BackendId, EngineRole, MachineState, Millis, ServiceId};

use crate::fleet::{NOW, configuration, empty_forwarder, forwarder, prompt, record, table};

#[test]
fn an_older_snapshot_is_ignored() {
    let mut forwarder = forwarder(&[]);
    let older = configuration(4, table(9, &[("other", 1)]), &[]);
    forwarder.update(WatchUpdate::Snapshot(older.into()));
    assert_eq!(forwarder.routes_version(), Some(1));
    assert_eq!(forwarder.configuration_index(), 5);
}

#[test]
fn changes_that_do_not_follow_the_known_index_are_ignored() {
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
    forwarder.update(WatchUpdate::Snapshot(split.into()));
    let words = (0..300)
        .filter_map(|_| forwarder.route("shop.example", "/offers/1"))
        .filter(|choice| choice.service.as_str() == "words")
        .count();
    assert!((28..=32).contains(&words), "{words}");
}

/// A forwarder that has just started and has a configuration from a replica without a
/// leader.
fn with_unconfirmed() -> Forwarder {
    let mut forwarder = empty_forwarder();
    let known = configuration(5, table(1, &[("till", 1)]), &[]);
    forwarder.take_unconfirmed(Arc::new(known), NOW);
    forwarder
}

#[test]
fn an_unconfirmed_configuration_serves_until_a_leader_confirms_it() {
    let mut forwarder = with_unconfirmed();
    assert!(forwarder.route("shop.example", "/offers/1").is_some());
    assert!(
        !forwarder.is_confirmed(),
        "an unknown route may be a newer one"
    );
    forwarder.update(WatchUpdate::Current);
    assert!(forwarder.is_confirmed());
    forwarder.forget_unconfirmed(NOW + Millis::from_secs(60));
    assert_eq!(forwarder.routes_version(), Some(1));
}

#[test]
fn an_unconfirmed_configuration_does_not_replace_a_known_one() {
    let mut forwarder = forwarder(&[]);
    let other = configuration(9, table(3, &[("till", 1)]), &[]);
    forwarder.take_unconfirmed(Arc::new(other), NOW);
    assert_eq!(forwarder.routes_version(), Some(1));
    assert!(forwarder.is_confirmed());
}

#[test]
fn an_unconfirmed_configuration_expires() {
    let mut forwarder = with_unconfirmed();
    forwarder.forget_unconfirmed(NOW + Millis::from_secs(10));
    assert_eq!(forwarder.routes_version(), Some(1));
    forwarder.forget_unconfirmed(NOW + Millis::from_secs(11));
    assert_eq!(forwarder.routes_version(), None);
    assert_eq!(
        forwarder.configuration_index(),
        0,
        "a replica can supply one again"
    );
    assert!(forwarder.route("shop.example", "/offers/1").is_none());
}

#[test]
fn the_fixed_part_of_the_budget_is_unused_while_unconfirmed() {
    let service = ServiceId::new("till");
    let mut forwarder = with_unconfirmed();
    assert!(!forwarder.spend_repeat(&service, NOW));
    forwarder.update(WatchUpdate::Current);
    assert!(forwarder.spend_repeat(&service, NOW));
}

/// Number of records that a gateway with `backends` back ends applies when one of them
/// changes.
fn records_applied_by_one_change(backends: usize) -> u64 {
    let of = |number| record(&format!("i-{number:04}"), "till", "a", None);
    let records: Vec<_> = (0..backends).map(of).collect();
    let mut forwarder = forwarder(&records);
    let before = forwarder.records_applied();
    let mut leaving = records[7].clone();
    leaving.machine = MachineState::Leaving;
    forwarder.update(WatchUpdate::Changes {
        from: 5,
        to: 6,
        changes: vec![(6, ConfigurationChange::BackendPut(leaving))].into(),
    });
    forwarder.records_applied() - before
}

/// Guards against applying all records on each change: a gateway rebuilt all of them, and
/// served no request meanwhile.
#[test]
fn a_change_applies_only_the_changed_records() {
    assert_eq!(records_applied_by_one_change(300), 1);
    assert_eq!(records_applied_by_one_change(600), 1);
}

/// A restarted engine under the same id has an empty cache and is not leaving, and the
/// failures of its previous start don't count against it.
#[test]
fn a_restarted_engine_has_no_earlier_state() {
    let mut engine = record("i-1", "words", "a", Some(EngineRole::Prefill));
    let mut forwarder = forwarder(std::slice::from_ref(&engine));
    let id = BackendId::new("i-1");
    let prompt = prompt(7, 8, 4_000);
    forwarder.note_cached(&id, &prompt, NOW);
    assert!(forwarder.uncached_tokens(&id, &prompt, None, NOW) < prompt.tokens);
    forwarder.gone(&id);
    (0..10).for_each(|_| forwarder.failed(&id, NOW));
    assert!(!forwarder.backend(&id).expect("known").is_open(NOW, false));
    engine.observed.as_mut().expect("an engine").incarnation = 2;
    let put = ConfigurationChange::BackendPut(engine);
    forwarder.update(WatchUpdate::Changes {
        from: 5,
        to: 6,
        changes: vec![(6, put)].into(),
    });
    assert!(forwarder.backend(&id).expect("known").is_open(NOW, false));
    assert_eq!(
        forwarder.uncached_tokens(&id, &prompt, None, NOW),
        prompt.tokens
    );
}

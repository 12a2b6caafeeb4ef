//! The configuration lease and the monotonic configuration index.

use garnet_control::{
    CONFIGURATION_LEASE, ConfigurationChange, ControlReply, CopyUpdates, WatchUpdate,
};
use garnet_gateway::Event;
use garnet_types::{BackendId, Execution, MachineState, Millis, OutcomeCode};
use rstest::rstest;

use crate::harness::{Harness, completion, configuration, order};

fn snapshot(index: u64) -> WatchUpdate {
    WatchUpdate::Snapshot(configuration(index).into())
}

fn no_changes(from: u64, to: u64) -> WatchUpdate {
    WatchUpdate::Changes {
        from,
        to,
        changes: Vec::new().into(),
    }
}

#[test]
fn without_a_lease_new_work_is_refused_as_not_run() {
    let mut harness = Harness::ready();
    harness.now = harness.now + CONFIGURATION_LEASE;
    harness.event(completion(1, None));
    let refusal = harness.refusal();
    assert_eq!(refusal.code, OutcomeCode::NotRun);
    assert_eq!(refusal.ran, Execution::No);
    assert!(harness.dispatches().is_empty());
}

/// The lease starts when the watch is sent, not when its answer arrives.
#[test]
fn a_late_answer_gives_a_short_lease() {
    let mut harness = Harness::new(0);
    let sent_at = harness.now;
    harness.now = sent_at + CONFIGURATION_LEASE - Millis(1);
    let update = snapshot(10);
    harness.event(Event::Control(ControlReply::Watch {
        sent_at,
        update,
        group: None,
        gateways: 1,
        digest: None,
        suspects: None,
        copies: CopyUpdates::default(),
    }));
    assert!(harness.gateway.is_ready(harness.now));
    assert!(!harness.gateway.is_ready(sent_at + CONFIGURATION_LEASE));
}

#[rstest]
#[case::snapshot(snapshot(9))]
#[case::changes(no_changes(5, 9))]
#[case::current(WatchUpdate::Current)]
fn after_a_restart_nothing_older_than_the_persisted_index_is_accepted(#[case] update: WatchUpdate) {
    let mut harness = Harness::new(10);
    harness.watch_answered(update);
    assert!(!harness.gateway.is_ready(harness.now));
    harness.watch_answered(snapshot(10));
    assert!(harness.gateway.is_ready(harness.now));
}

#[test]
fn an_older_snapshot_is_ignored() {
    let mut harness = Harness::ready();
    harness.watch_answered(snapshot(9));
    assert_eq!(harness.gateway.configuration_index(), 10);
    harness.watch_answered(snapshot(11));
    assert_eq!(harness.gateway.configuration_index(), 11);
}

#[test]
fn changes_after_a_gap_are_not_applied() {
    let mut harness = Harness::ready();
    harness.watch_answered(no_changes(12, 14));
    assert_eq!(harness.gateway.configuration_index(), 10);
    harness.watch_answered(no_changes(10, 14));
    assert_eq!(harness.gateway.configuration_index(), 14);
}

#[test]
fn a_leaving_back_end_gets_no_new_work() {
    let mut harness = Harness::ready();
    let leaving = BackendId::new("order-1");
    let mut record = configuration(10).backends[&leaving].clone();
    record.machine = MachineState::Leaving;
    harness.watch_answered(WatchUpdate::Changes {
        from: 10,
        to: 11,
        changes: vec![(11, ConfigurationChange::BackendPut(record))].into(),
    });
    for id in 0..20 {
        harness.event(order(id, "GET", None));
    }
    let dispatches = harness.dispatches();
    assert_eq!(dispatches.len(), 20);
    assert!(dispatches.iter().all(|one| one.backend != leaving));
}

#[test]
fn an_unknown_name_is_refused_only_by_a_later_requested_configuration() {
    let mut harness = Harness::ready();
    harness.wait_with_lease(Millis(400));
    harness.now = harness.now + Millis(50);
    let mut call = completion(1, None);
    if let Event::Call(call) = &mut call {
        call.session = Some(garnet_types::SessionId::new("new"));
    }
    harness.event(call);
    assert!(
        harness.answers().is_empty(),
        "it may have been created just now"
    );
    harness.watch_answered(WatchUpdate::Current);
    assert_eq!(harness.refusal().code, OutcomeCode::NotFound);
}

//! Applying the platform's list of machines.
//!
//! Regression: a start with ten thousand engines wrote two log entries for each of them,
//! and once more for each time the list was read before they were committed. Snapshots
//! followed one another, leaders lost their lease, and operators' changes were delayed.

use crate::leader::Leader;
use garnet_control::{
    BackendRegistration, EngineObservation, EnginePolling, Event, MachineEntry, ReplicaSettings,
    UNKNOWN_START,
};
use garnet_types::{
    BackendId, BackendKind, BuildId, EngineAssignment, EngineRole, MachineState, Millis, ModelId,
    ServiceId,
};

pub fn entry(number: usize, state: MachineState) -> MachineEntry {
    MachineEntry {
        is_preemptible: false,
        build: BuildId::default(),
        registration: BackendRegistration {
            id: BackendId::new(format!("engine-{number}")),
            kind: BackendKind::Engine,
            service: ServiceId::new("words"),
            address: format!("10.1.{}.{}:8080", number / 250, number % 250),
            zone: format!("zone-{}", number % 5),
            start: UNKNOWN_START,
        },
        state,
        observed: Some(EngineObservation {
            incarnation: number as u64,
            assignment: EngineAssignment {
                role: EngineRole::Prefill,
                model: ModelId::new("m"),
            },
        }),
    }
}

pub fn list(machines: usize) -> Vec<MachineEntry> {
    (0..machines)
        .map(|number| entry(number, MachineState::Live))
        .collect()
}

pub fn leader() -> Leader {
    let settings = ReplicaSettings {
        engine_polling: EnginePolling::WhileOrdered,
        ..Leader::settings()
    };
    let mut leader = Leader::elected(settings, Vec::new());
    leader.persist();
    leader
}

/// Number of log entries that the leader writes for a list.
fn entries_of(leader: &mut Leader, list: Vec<MachineEntry>) -> u64 {
    let before = leader.replica.node().status().last_index;
    leader.handle_event(Event::Machines(list));
    leader.replica.node().status().last_index - before
}

fn backends(leader: &Leader) -> usize {
    leader.replica.state().configuration.backends.len()
}

#[test]
fn a_start_writes_few_entries_for_many_machines() {
    let small = entries_of(&mut leader(), list(1_000));
    let large = entries_of(&mut leader(), list(2_000));
    assert!(small <= 10, "{small} entries for 1,000 machines");
    assert!(
        large <= 2 * small,
        "{large} entries for 2,000 machines, {small} for 1,000"
    );
}

#[test]
fn a_list_that_is_read_again_before_it_is_committed_adds_nothing() {
    let mut leader = leader();
    entries_of(&mut leader, list(600));
    assert_eq!(entries_of(&mut leader, list(600)), 0);
    leader.persist();
    assert_eq!(backends(&leader), 600);
    assert_eq!(entries_of(&mut leader, list(600)), 0);
}

#[test]
fn only_the_changes_of_a_list_are_recorded() {
    let mut leader = leader();
    entries_of(&mut leader, list(600));
    leader.persist();
    let before = leader.replica.state().configuration.clone();
    let mut next = list(600);
    next[7].state = MachineState::Leaving;
    assert_eq!(entries_of(&mut leader, next), 1);
    leader.persist();
    let after = &leader.replica.state().configuration;
    let changed: Vec<&BackendId> = after
        .backends
        .iter()
        .filter(|(id, record)| before.backends.get(*id) != Some(*record))
        .map(|(id, _)| id)
        .collect();
    assert_eq!(changed, [&BackendId::new("engine-7")]);
    let record = &after.backends[&BackendId::new("engine-7")];
    assert_eq!(record.machine, MachineState::Leaving);
}

#[test]
fn the_loss_of_a_zone_is_one_entry() {
    let mut leader = leader();
    entries_of(&mut leader, list(1_000));
    leader.persist();
    let rest: Vec<MachineEntry> = list(1_000)
        .into_iter()
        .filter(|entry| entry.registration.zone != "zone-0")
        .collect();
    entries_of(&mut leader, rest.clone());
    leader.persist();
    leader.now = leader.now + Millis::from_secs(11);
    leader.run(Millis(500));
    assert_eq!(entries_of(&mut leader, rest), 1);
}

/// An observation without a start changes nothing; one with another start is a restart.
#[test]
fn a_restart_of_an_engine_is_recorded() {
    let mut leader = leader();
    entries_of(&mut leader, list(3));
    leader.persist();
    let mut next = list(3);
    next[2].observed.as_mut().expect("an engine").incarnation = UNKNOWN_START;
    assert_eq!(entries_of(&mut leader, next.clone()), 0);
    next[2].observed.as_mut().expect("an engine").incarnation = 77;
    assert_eq!(entries_of(&mut leader, next), 1);
    leader.persist();
    let backends = &leader.replica.state().configuration.backends;
    let seen = backends[&BackendId::new("engine-2")].observed.as_ref();
    assert_eq!(seen.expect("an engine").incarnation, 77);
}

/// Some sources of the list omit the start: the known start is kept, and nothing is written
/// to the log.
#[test]
fn an_entry_without_a_start_changes_no_record() {
    let mut leader = leader();
    let application = |start| {
        let mut entry = entry(1, MachineState::Live);
        entry.observed = None;
        entry.registration.kind = BackendKind::Application;
        entry.registration.start = start;
        vec![entry]
    };
    assert_eq!(entries_of(&mut leader, application(7)), 1);
    leader.persist();
    assert_eq!(entries_of(&mut leader, application(UNKNOWN_START)), 0);
    assert_eq!(entries_of(&mut leader, application(8)), 1);
    leader.persist();
    assert_eq!(entries_of(&mut leader, application(8)), 0);
}

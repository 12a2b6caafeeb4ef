//! Logs of several encoding versions, and when the level rises.

use std::sync::Arc;

use garnet_control::{
    BackendRegistration, Command, CommandEnvelope, Effect, Event, MachineEntry, OperatorAnswer,
    OperatorRequest, UpgradeSettings,
};
use garnet_routes::{RouteTable, Tenant};
use garnet_types::{
    BackendId, BackendKind, BuildId, EncodingVersion, MachineState, Millis, ServiceId, TenantId,
};
use rstest::rstest;

use crate::leader::{Leader, encoded};

const TICKET: u64 = 7;
const CONNECTION: u64 = 3;

pub fn put(version: u64) -> Command {
    Command::PutRoutes {
        table: Arc::new(RouteTable {
            version,
            ..RouteTable::default()
        }),
        document: format!("version {version}"),
    }
}

fn put_with_tenants(version: u64) -> Command {
    let tenant = Tenant {
        name: TenantId::new("one"),
        priority: None,
        keys: Vec::new(),
    };
    Command::PutRoutes {
        table: Arc::new(RouteTable {
            version,
            tenants: Some(vec![tenant]),
            ..RouteTable::default()
        }),
        document: format!("version {version}"),
    }
}

/// A leader whose log was started by a build of version 11.
pub fn leader_after_version_11() -> Leader {
    let entries = vec![encoded(put(1), EncodingVersion::V11)];
    let mut leader = Leader::elected_with_entries(Leader::settings(), entries);
    leader.persist();
    let _started = leader.replica.take_effects();
    leader
}

pub fn answer_to(leader: &mut Leader, request: OperatorRequest) -> Option<OperatorAnswer> {
    let ticket = TICKET;
    leader
        .replica
        .handle(Event::Operator { ticket, request }, leader.now);
    leader.persist();
    let effects = leader.replica.take_effects();
    effects.into_iter().find_map(|effect| match effect {
        Effect::AnswerOperator { answer, .. } => Some(answer),
        _ => None,
    })
}

pub fn submit(leader: &mut Leader, command: Command) -> Option<OperatorAnswer> {
    let envelope = CommandEnvelope::unnamed(command, Millis::ZERO);
    let wait = false;
    answer_to(leader, OperatorRequest::Command { envelope, wait })
}

fn advance(leader: &mut Leader, time: Millis) {
    let until = leader.now + time;
    while leader.now < until {
        leader.now = leader.now + Millis(100);
        leader.replica.handle(Event::Tick, leader.now);
        leader.persist();
    }
}

fn open_gateway(leader: &mut Leader, version: EncodingVersion) {
    let connection = CONNECTION;
    leader.handle_event(Event::GatewayOpened {
        connection,
        version,
    });
}

/// A replica that skipped an entry it can't read would answer with replaced data and keep
/// it in a snapshot.
#[test]
fn an_entry_of_a_later_build_is_not_skipped() {
    let later = EncodingVersion(EncodingVersion::CURRENT.0 + 1);
    let mut entry = encoded(put(2), EncodingVersion::CURRENT);
    entry[0] = u8::try_from(later.0).expect("a byte");
    let current = EncodingVersion::CURRENT;
    let entries = vec![encoded(put(1), current), entry, encoded(put(3), current)];
    let mut settings = Leader::settings();
    settings.snapshot_every = 1;
    let mut leader = Leader::elected_with_entries(settings, entries);
    leader.persist();
    let halted = leader.replica.halted().expect("it halts");
    assert_eq!(halted.index, 2);
    assert!(
        halted
            .cause
            .to_string()
            .contains(&format!("version {later}"))
    );
    let effects = leader.replica.take_effects();
    let is_reported = |effect: &Effect| matches!(effect, Effect::Halted(_));
    assert!(effects.iter().any(is_reported));
    assert_eq!(leader.replica.state().routes_version(), Some(1));
    assert!(leader.replica.take_snapshot().is_none());
    let answer = answer_to(&mut leader, OperatorRequest::Routes);
    assert_eq!(answer, Some(OperatorAnswer::NotLeader(None)));
    advance(&mut leader, Millis::from_secs(30));
    assert!(!leader.replica.node().is_leader());
    assert_eq!(leader.replica.state().routes_version(), Some(1));
}

/// A claim decoded in the wrong version would be dropped or released.
#[test]
fn an_entry_that_two_versions_decode_differently_halts_the_replica() {
    let claim = garnet_control::ClaimCommand {
        tenant: TenantId::new("one"),
        key: garnet_types::IdempotencyKey::new("key"),
        body_hash: 1,
        claim: garnet_types::ClaimId {
            gateway: garnet_types::GatewayId::new("gateway-1"),
            request: garnet_types::RequestId(1),
        },
    };
    // Version 11 decodes a claim of version 16 as its release.
    let entries = vec![encoded(Command::Claim(claim), EncodingVersion::V16)];
    let mut leader = Leader::elected_with_entries(Leader::settings(), entries);
    leader.persist();
    assert_eq!(leader.replica.halted().map(|halted| halted.index), Some(1));
    assert!(leader.replica.state().claims.is_empty());
}

#[test]
fn new_entries_use_the_version_of_the_log() {
    let mut leader = leader_after_version_11();
    assert_eq!(leader.replica.level(), Some(EncodingVersion::V11));
    submit(&mut leader, put(2));
    assert_eq!(leader.replica.state().routes_version(), Some(2));
    assert_eq!(leader.replica.level(), Some(EncodingVersion::V11));
}

#[test]
fn a_new_group_writes_the_current_version() {
    let mut leader = Leader::elected(Leader::settings(), Vec::new());
    leader.persist();
    submit(&mut leader, put(1));
    assert_eq!(leader.replica.level(), Some(EncodingVersion::CURRENT));
}

/// A complete upgrade can be rolled back for a while; then the level rises.
#[test]
fn the_level_rises_after_the_rollback_window() {
    let mut leader = leader_after_version_11();
    let window = UpgradeSettings::default().rollback_window;
    advance(&mut leader, Millis(window.0 - 1_000));
    assert_eq!(leader.replica.level(), Some(EncodingVersion::V11));
    advance(&mut leader, Millis(2_000));
    assert_eq!(leader.replica.level(), Some(EncodingVersion::CURRENT));
    // Entries after the raise are applied as well.
    submit(&mut leader, put(2));
    assert_eq!(leader.replica.state().routes_version(), Some(2));
}

/// A level that rose while a gateway runs an earlier build would leave it with an old
/// configuration.
#[rstest]
#[case::connected(false)]
#[case::recently_disconnected(true)]
fn the_level_stays_with_a_gateway_of_an_earlier_build(#[case] closes: bool) {
    let mut leader = leader_after_version_11();
    open_gateway(&mut leader, EncodingVersion::V11);
    let window = UpgradeSettings::default().rollback_window;
    advance(&mut leader, window);
    if closes {
        leader.handle_event(Event::GatewayClosed {
            connection: CONNECTION,
        });
    }
    advance(&mut leader, Millis(window.0 - 1_000));
    assert_eq!(leader.replica.level(), Some(EncodingVersion::V11));
    let answer = answer_to(&mut leader, OperatorRequest::RaiseLevel);
    assert!(
        matches!(&answer, Some(OperatorAnswer::NotYet(reason)) if reason.contains("gateways")),
        "{answer:?}"
    );
}

/// The window after the last gateway of an earlier build is the rollback window; a second one
/// after it only prolongs the time in which the log can't hold what the build knows.
#[test]
fn the_level_rises_one_rollback_window_after_the_last_earlier_gateway() {
    let mut leader = leader_after_version_11();
    open_gateway(&mut leader, EncodingVersion::V11);
    advance(&mut leader, Millis::from_secs(5));
    leader.handle_event(Event::GatewayClosed {
        connection: CONNECTION,
    });
    let window = UpgradeSettings::default().rollback_window;
    advance(&mut leader, window + Millis::from_secs(2));
    assert_eq!(leader.replica.level(), Some(EncodingVersion::CURRENT));
}

#[test]
fn an_operator_raises_the_level_at_once() {
    let mut leader = leader_after_version_11();
    let answer = answer_to(&mut leader, OperatorRequest::RaiseLevel);
    assert!(matches!(answer, Some(OperatorAnswer::Committed { .. })));
    assert_eq!(leader.replica.level(), Some(EncodingVersion::CURRENT));
}

/// A change that an earlier build can't express is not dropped in a conversion: it is
/// refused until the level has risen.
#[test]
fn a_change_that_needs_a_higher_level_is_accepted_once_it_has_risen() {
    let mut leader = leader_after_version_11();
    open_gateway(&mut leader, EncodingVersion::V11);
    let refused = submit(&mut leader, put_with_tenants(2));
    assert!(
        matches!(refused, Some(OperatorAnswer::NotYet(_))),
        "{refused:?}"
    );
    advance(&mut leader, Millis::from_secs(2));
    assert_eq!(leader.replica.level(), Some(EncodingVersion::V11));
    leader.handle_event(Event::GatewayClosed {
        connection: CONNECTION,
    });
    advance(&mut leader, UpgradeSettings::default().rollback_window);
    let accepted = submit(&mut leader, put_with_tenants(2));
    assert!(
        matches!(accepted, Some(OperatorAnswer::Committed { .. })),
        "{accepted:?}"
    );
    let routes = leader.replica.state().configuration.routes.as_ref();
    assert!(routes.is_some_and(|table| table.tenants.is_some()));
}

/// Version 11 can't hold starts, so a list with starts would look like a change each time.
#[test]
fn a_list_with_starts_does_not_grow_a_log_of_version_11() {
    let mut leader = leader_after_version_11();
    let entry = MachineEntry {
        registration: BackendRegistration {
            id: BackendId::new("app-1"),
            kind: BackendKind::Application,
            service: ServiceId::new("checkout"),
            address: "10.0.0.9:8000".into(),
            zone: "a".into(),
            start: 31,
        },
        state: MachineState::Leaving,
        observed: None,
        is_preemptible: false,
        build: BuildId::default(),
    };
    let send_list = |leader: &mut Leader| {
        let machines = vec![entry.clone()];
        leader.replica.handle(Event::Machines(machines), leader.now);
        leader.persist();
        leader.replica.node().status().last_index
    };
    let first = send_list(&mut leader);
    let record = &leader.replica.state().configuration.backends[&BackendId::new("app-1")];
    assert_eq!(record.machine, MachineState::Leaving);
    assert_eq!(send_list(&mut leader), first);
    leader
        .replica
        .handle(Event::Machines(Vec::new()), leader.now);
}

/// A log that all versions decode to the same commands is continued in a version that its
/// members read.
#[test]
fn a_log_of_an_unknown_build_continues_in_the_earliest_version_seen() {
    let session = garnet_control::Session {
        id: garnet_types::SessionId::new("session-1"),
        tenant: TenantId::new("one"),
        service: ServiceId::new("chat"),
        model: None,
    };
    let entries = vec![encoded(
        Command::CreateSession(session),
        EncodingVersion::V11,
    )];
    let mut leader = Leader::elected_with_entries(Leader::settings(), entries);
    leader.persist();
    assert_eq!(leader.replica.level(), None);
    open_gateway(&mut leader, EncodingVersion::V11);
    submit(&mut leader, put(1));
    assert_eq!(leader.replica.state().routes_version(), Some(1));
    assert_eq!(leader.replica.level(), Some(EncodingVersion::V11));
}

/// A gateway of an earlier build that fails soon after each start is seen by no periodic check,
/// and would read no log of the new level either.
#[test]
fn a_short_connection_of_an_earlier_gateway_restarts_the_rollback_window() {
    let mut leader = leader_after_version_11();
    let window = UpgradeSettings::default().rollback_window;
    advance(&mut leader, Millis(window.0 - 10_000));
    open_gateway(&mut leader, EncodingVersion::V11);
    leader.handle_event(Event::GatewayClosed {
        connection: CONNECTION,
    });
    advance(&mut leader, Millis::from_secs(20));
    assert_eq!(leader.replica.level(), Some(EncodingVersion::V11));
}

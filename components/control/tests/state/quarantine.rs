//! Requests that crash engines: what gateways receive, and what outlives a leader.

use garnet_control::{
    Command, CommandEnvelope, Configuration, ControlReply, ControlState, Effect, Event,
    GatewayRequest, OperatorRequest, WatchUpdate,
};
use garnet_quarantine::{
    EndedRun, EngineStart, RequestFingerprint, RequestIdentity, RunEnd, RunReport,
    SuspectedRequest, Suspects,
};
use garnet_types::{BackendId, Millis};

use crate::leader::Leader;

/// Time in which all gateways have reported a crash and the leader has acted on it.
const SETTLE_TIME: Millis = Millis(500);

fn request(path: &str) -> RequestFingerprint {
    let identity = RequestIdentity {
        tenant: None,
        method: "POST",
        host: "shop.example",
        path,
        query: None,
        body: b"p",
    };
    identity.fingerprint()
}

fn run(path: &str, engine: &str) -> EndedRun {
    EndedRun {
        fingerprint: request(path),
        end: RunEnd::Crashed(EngineStart {
            backend: BackendId::new(engine),
            incarnation: 0,
        }),
        ago: Millis::ZERO,
    }
}

fn reply_to(leader: &mut Leader, connection: u64, request: GatewayRequest) -> ControlReply {
    let mut replies = leader.replies(connection, request).into_iter();
    replies.next().expect("a reply")
}

fn send_runs(leader: &mut Leader, connection: u64, runs: Vec<EndedRun>) {
    let report = RunReport { runs, through: 7 };
    let reply = reply_to(leader, connection, GatewayRequest::Runs(report));
    assert_eq!(reply, ControlReply::RunsNoted { through: 7 });
}

/// The answer to the watch of a gateway that has no configuration yet.
fn watch(leader: &mut Leader, gateway: &str, connection: u64) -> (Configuration, Option<Suspects>) {
    let request = leader.watch_request(gateway, 0);
    match reply_to(leader, connection, request) {
        ControlReply::Watch {
            update, suspects, ..
        } => match update {
            WatchUpdate::Snapshot(snapshot) => (snapshot.into_inner(), suspects),
            WatchUpdate::UnderWay | WatchUpdate::Current => (Configuration::default(), suspects),
            other => panic!("{other:?}"),
        },
        other => panic!("{other:?}"),
    }
}

fn leader() -> Leader {
    let mut leader = Leader::elected(Leader::settings(), Vec::new());
    leader.run(Millis(500));
    leader
}

/// A leader to which three gateways have reported one crash each, of three engines.
fn with_verdict() -> Leader {
    let mut leader = leader();
    for (connection, engine) in ["e1", "e2", "e3"].into_iter().enumerate() {
        send_runs(&mut leader, connection as u64, vec![run("bad", engine)]);
    }
    leader.run(SETTLE_TIME);
    leader
}

#[test]
fn crashes_reported_by_three_gateways_quarantine_a_request_for_all() {
    let mut leader = with_verdict();
    let (configuration, _) = watch(&mut leader, "g4", 4);
    let record = configuration.quarantine.get(&request("bad"));
    assert_eq!(record.map(|record| record.crashes), Some(3));
    assert_eq!(configuration.quarantine.len(), 1);
}

/// A leader with a slow disk: the verdict after the third crash must reach gateways before
/// it is synced.
#[test]
fn gateways_receive_a_verdict_before_it_is_in_the_log() {
    let mut leader = leader();
    for engine in ["e1", "e2", "e3"] {
        send_runs(&mut leader, 1, vec![run("bad", engine)]);
    }
    let until = leader.now + SETTLE_TIME;
    while leader.now < until {
        leader.now = leader.now + Millis(50);
        leader.handle_event(Event::Tick);
    }
    let (configuration, suspects) = watch(&mut leader, "g1", 1);
    assert!(configuration.quarantine.is_empty(), "nothing was synced");
    assert_eq!(
        suspects.map(|sent| sent.refused),
        Some(vec![request("bad")])
    );
}

#[test]
fn a_suspected_request_is_sent_once_and_resent_after_a_while() {
    let mut leader = leader();
    assert_eq!(watch(&mut leader, "g1", 1).1, Some(Suspects::default()));
    assert_eq!(watch(&mut leader, "g1", 1).1, None);
    send_runs(&mut leader, 1, vec![run("bad", "e1"), run("bad", "e2")]);
    leader.run(SETTLE_TIME);
    let sent = watch(&mut leader, "g1", 1).1.expect("an update");
    assert_eq!(sent.suspected, [request("bad")]);
    assert_eq!(watch(&mut leader, "g1", 1).1, None);
    assert!(
        watch(&mut leader, "g1", 9).1.is_some(),
        "another connection"
    );
    leader.run(Millis::from_secs(1));
    assert!(watch(&mut leader, "g1", 9).1.is_some(), "it may be lost");
}

#[test]
fn a_verdict_outlives_its_leader() {
    let leader = with_verdict();
    let bytes = leader.replica.state().encode().expect("its own format");
    let state = ControlState::decode(&bytes).expect("its own state");
    assert!(state.configuration.quarantine.contains_key(&request("bad")));
    let command = Command::QuarantineRequest {
        fingerprint: request("bad"),
        crashes: 3,
    };
    let mut next = Leader::elected(Leader::settings(), vec![command]);
    next.run(Millis(500));
    // Gateways repeat all their reports to a new leader, which must not cause a new
    // verdict.
    let runs = ["e1", "e2", "e3"].map(|engine| run("bad", engine));
    send_runs(&mut next, 1, runs.to_vec());
    let effects = next.run(SETTLE_TIME);
    let is_verdict = |effect: &Effect| matches!(effect, Effect::Quarantined(_));
    assert!(!effects.iter().any(is_verdict));
    let (configuration, _) = watch(&mut next, "g1", 1);
    assert!(configuration.quarantine.contains_key(&request("bad")));
}

#[test]
fn a_request_that_an_operator_releases_starts_over() {
    let mut leader = with_verdict();
    let command = Command::ReleaseRequest(request("bad"));
    let envelope = CommandEnvelope::unnamed(command, leader.now);
    let wait = false;
    let release = OperatorRequest::Command { envelope, wait };
    leader.handle_event(Event::Operator {
        ticket: 1,
        request: release,
    });
    leader.run(SETTLE_TIME);
    let quarantine = |leader: &Leader| leader.replica.state().configuration.quarantine.len();
    assert_eq!(quarantine(&leader), 0);
    send_runs(&mut leader, 1, vec![run("bad", "e4"), run("bad", "e5")]);
    leader.run(SETTLE_TIME);
    assert_eq!(quarantine(&leader), 0);
    send_runs(&mut leader, 1, vec![run("bad", "e6")]);
    leader.run(SETTLE_TIME);
    assert_eq!(quarantine(&leader), 1);
}

#[test]
fn a_quarantine_expires_after_hours() {
    let mut leader = with_verdict();
    leader.now = leader.now + Millis::from_secs(4 * 3600);
    // The leader has to be elected again after so long a silence.
    leader.run(Millis::from_secs(5));
    let quarantine = &leader.replica.state().configuration.quarantine;
    assert!(quarantine.is_empty());
}

#[test]
fn the_quarantine_is_bounded() {
    let mut state = ControlState::default();
    for number in 0..1100_u64 {
        let command = Command::QuarantineRequest {
            fingerprint: request(&format!("r{number}")),
            crashes: 3,
        };
        let envelope = CommandEnvelope::unnamed(command, Millis(number));
        state.apply(number + 1, 1, &envelope);
    }
    let quarantine = &state.configuration.quarantine;
    assert_eq!(quarantine.len(), 1024);
    assert!(quarantine.contains_key(&request("r1099")));
    assert!(!quarantine.contains_key(&request("r0")));
}

/// Guards against losing the gateway that saw two crashes and its leader at the same
/// moment: the request then crashed two more engines than necessary.
#[test]
fn suspected_requests_outlive_the_leader_and_all_gateways() {
    let mut leader = leader();
    send_runs(&mut leader, 1, vec![run("bad", "e1"), run("bad", "e2")]);
    leader.run(SETTLE_TIME);
    let suspects = &leader.replica.state().suspects;
    assert_eq!(suspects[&request("bad")].engines.len(), 2);
    let logged = SuspectedRequest {
        fingerprint: request("bad"),
        engines: suspects[&request("bad")].engines.clone(),
    };
    let command = Command::NoteSuspects(vec![logged]);
    let mut next = Leader::elected(Leader::settings(), vec![command]);
    next.run(Millis(500));
    send_runs(&mut next, 1, vec![run("bad", "e3")]);
    next.run(SETTLE_TIME);
    let state = next.replica.state();
    assert!(state.configuration.quarantine.contains_key(&request("bad")));
    assert!(state.suspects.is_empty(), "it is refused, not suspected");
}

#[test]
fn a_completed_request_is_no_longer_suspected() {
    let mut leader = leader();
    send_runs(&mut leader, 1, vec![run("sound", "e1"), run("sound", "e2")]);
    leader.run(SETTLE_TIME);
    assert_eq!(leader.replica.state().suspects.len(), 1);
    let completed = EndedRun {
        end: RunEnd::Completed,
        ..run("sound", "e3")
    };
    send_runs(&mut leader, 1, vec![completed]);
    leader.run(SETTLE_TIME);
    assert!(leader.replica.state().suspects.is_empty());
}

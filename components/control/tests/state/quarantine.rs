//! Requests under which engines end: what gateways are told, and what lasts.

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

/// All gateways have told of a crash, and the leader has weighed it, by then.
const SETTLED: Millis = Millis(500);

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

fn tell(leader: &mut Leader, connection: u64, runs: Vec<EndedRun>) {
    let report = RunReport { runs, through: 7 };
    let reply = reply_to(leader, connection, GatewayRequest::Runs(report));
    assert_eq!(reply, ControlReply::RunsNoted { through: 7 });
}

/// What a gateway hears that works by no configuration yet.
fn watch(leader: &mut Leader, gateway: &str, connection: u64) -> (Configuration, Option<Suspects>) {
    let request = leader.watch_of(gateway, 0);
    match reply_to(leader, connection, request) {
        ControlReply::Watch {
            update, suspects, ..
        } => match update {
            WatchUpdate::Snapshot(whole) => (whole.into_inner(), suspects),
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

/// Each gateway saw one engine end; together they saw three.
fn with_verdict() -> Leader {
    let mut leader = leader();
    for (connection, engine) in ["e1", "e2", "e3"].into_iter().enumerate() {
        tell(&mut leader, connection as u64, vec![run("bad", engine)]);
    }
    leader.run(SETTLED);
    leader
}

#[test]
fn what_three_gateways_saw_one_each_binds_all() {
    let mut leader = with_verdict();
    let (configuration, _) = watch(&mut leader, "g4", 4);
    let record = configuration.quarantine.get(&request("bad"));
    assert_eq!(record.map(|record| record.crashes), Some(3));
    assert_eq!(configuration.quarantine.len(), 1);
}

/// The third crash is far from the log when gateways hear of it: its disk may
/// be slow.
#[test]
fn gateways_hear_a_verdict_before_the_log_has_it() {
    let mut leader = leader();
    for engine in ["e1", "e2", "e3"] {
        tell(&mut leader, 1, vec![run("bad", engine)]);
    }
    let until = leader.now + SETTLED;
    while leader.now < until {
        leader.now = leader.now + Millis(50);
        leader.take(Event::Tick);
    }
    let (configuration, suspects) = watch(&mut leader, "g1", 1);
    assert!(configuration.quarantine.is_empty(), "nothing was synced");
    assert_eq!(
        suspects.map(|told| told.refused),
        Some(vec![request("bad")])
    );
}

#[test]
fn a_suspected_request_is_told_once_and_again_after_a_while() {
    let mut leader = leader();
    assert_eq!(watch(&mut leader, "g1", 1).1, Some(Suspects::default()));
    assert_eq!(watch(&mut leader, "g1", 1).1, None);
    tell(&mut leader, 1, vec![run("bad", "e1"), run("bad", "e2")]);
    leader.run(SETTLED);
    let told = watch(&mut leader, "g1", 1).1.expect("news");
    assert_eq!(told.suspected, [request("bad")]);
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
    // Gateways tell a new leader all anew: it is no news.
    let runs = ["e1", "e2", "e3"].map(|engine| run("bad", engine));
    tell(&mut next, 1, runs.to_vec());
    let effects = next.run(SETTLED);
    let is_verdict = |effect: &Effect| matches!(effect, Effect::Quarantined(_));
    assert!(!effects.iter().any(is_verdict));
    let (configuration, _) = watch(&mut next, "g1", 1);
    assert!(configuration.quarantine.contains_key(&request("bad")));
}

#[test]
fn an_operator_releases_a_request_and_it_begins_anew() {
    let mut leader = with_verdict();
    let command = Command::ReleaseRequest(request("bad"));
    let envelope = CommandEnvelope::unnamed(command, leader.now);
    let wait = false;
    let release = OperatorRequest::Command { envelope, wait };
    leader.take(Event::Operator {
        ticket: 1,
        request: release,
    });
    leader.run(SETTLED);
    let quarantine = |leader: &Leader| leader.replica.state().configuration.quarantine.len();
    assert_eq!(quarantine(&leader), 0);
    tell(&mut leader, 1, vec![run("bad", "e4"), run("bad", "e5")]);
    leader.run(SETTLED);
    assert_eq!(quarantine(&leader), 0);
    tell(&mut leader, 1, vec![run("bad", "e6")]);
    leader.run(SETTLED);
    assert_eq!(quarantine(&leader), 1);
}

#[test]
fn a_request_is_refused_for_hours() {
    let mut leader = with_verdict();
    leader.now = leader.now + Millis::from_secs(4 * 3600);
    // It leads anew after so long a silence.
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

/// The gateway that saw two crashes and the leader that it told were lost in
/// the same moment, and the request crashed two more engines than it had to.
#[test]
fn what_is_suspected_outlives_the_leader_and_all_gateways() {
    let mut leader = leader();
    tell(&mut leader, 1, vec![run("bad", "e1"), run("bad", "e2")]);
    leader.run(SETTLED);
    let suspects = &leader.replica.state().suspects;
    assert_eq!(suspects[&request("bad")].engines.len(), 2);
    let logged = SuspectedRequest {
        fingerprint: request("bad"),
        engines: suspects[&request("bad")].engines.clone(),
    };
    let command = Command::NoteSuspects(vec![logged]);
    let mut next = Leader::elected(Leader::settings(), vec![command]);
    next.run(Millis(500));
    tell(&mut next, 1, vec![run("bad", "e3")]);
    next.run(SETTLED);
    let state = next.replica.state();
    assert!(state.configuration.quarantine.contains_key(&request("bad")));
    assert!(state.suspects.is_empty(), "it is refused, not suspected");
}

#[test]
fn a_request_that_came_to_its_end_leaves_the_log() {
    let mut leader = leader();
    tell(&mut leader, 1, vec![run("sound", "e1"), run("sound", "e2")]);
    leader.run(SETTLED);
    assert_eq!(leader.replica.state().suspects.len(), 1);
    let completed = EndedRun {
        end: RunEnd::Completed,
        ..run("sound", "e3")
    };
    tell(&mut leader, 1, vec![completed]);
    leader.run(SETTLED);
    assert!(leader.replica.state().suspects.is_empty());
}

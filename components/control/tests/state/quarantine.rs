//! Requests that crash engines: what gateways receive, and what outlives a leader.

use garnet_consensus::{Entry, EntryPayload, Envelope, Member, Membership, Message};
use garnet_control::{
    Command, CommandEnvelope, Configuration, ControlReply, ControlState, Effect, Event,
    GatewayRequest, OperatorRequest, Session, UpgradeSettings, WatchUpdate,
};
use garnet_quarantine::{
    EndedRun, EngineStart, RequestFingerprint, RequestIdentity, RunEnd, RunReport,
    SuspectedRequest, Suspects,
};
use garnet_types::{BackendId, EncodingVersion, Millis, ReplicaId, ServiceId, SessionId, TenantId};
use rstest::rstest;

use crate::leader::{Leader, encoded};
use crate::level::{answer_to, leader_after_version_11, put, submit};

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

/// Connection of a gateway of version 11, which keeps the level there.
const EARLIER_GATEWAY: u64 = 9;

fn open_earlier_gateway(leader: &mut Leader) {
    leader.handle_event(Event::GatewayOpened {
        connection: EARLIER_GATEWAY,
        version: EncodingVersion::V11,
    });
}

fn close_earlier_gateway(leader: &mut Leader) {
    leader.handle_event(Event::GatewayClosed {
        connection: EARLIER_GATEWAY,
    });
}

/// A leader of the present version with a log of version 11, while builds are replaced.
fn leader_below_the_level() -> Leader {
    let mut leader = leader_after_version_11();
    open_earlier_gateway(&mut leader);
    leader.run(Millis(500));
    leader
}

/// Raises the level by an operator's request, as soon as the earlier gateway has been gone for
/// long enough.
fn raise_level(leader: &mut Leader) {
    leader.run(UpgradeSettings::default().rollback_window + SETTLE_TIME);
    answer_to(leader, OperatorRequest::RaiseLevel);
    leader.run(SETTLE_TIME);
    assert_eq!(leader.replica.level(), Some(EncodingVersion::CURRENT));
}

fn report_three_crashes(leader: &mut Leader) {
    let runs = ["e1", "e2", "e3"].map(|engine| run("bad", engine));
    send_runs(leader, 1, runs.to_vec());
}

fn refused(leader: &mut Leader, gateway: &str, connection: u64) -> Vec<RequestFingerprint> {
    let (_, suspects) = watch(leader, gateway, connection);
    suspects.map_or(Vec::new(), |suspects| suspects.refused)
}

fn is_in_log(leader: &Leader) -> bool {
    let quarantine = &leader.replica.state().configuration.quarantine;
    quarantine.contains_key(&request("bad"))
}

/// A build that is replaced process by process: the log can't hold a verdict yet, but gateways
/// can be sent one.
#[test]
fn below_the_level_three_crashes_refuse_a_request() {
    let mut leader = leader_below_the_level();
    report_three_crashes(&mut leader);
    leader.run(SETTLE_TIME);
    assert_eq!(leader.replica.level(), Some(EncodingVersion::V11));
    assert_eq!(refused(&mut leader, "g1", 1), [request("bad")]);
}

#[test]
fn below_the_level_two_crashes_make_a_request_suspected() {
    let mut leader = leader_below_the_level();
    send_runs(&mut leader, 1, vec![run("bad", "e1"), run("bad", "e2")]);
    leader.run(SETTLE_TIME);
    let suspects = watch(&mut leader, "g1", 1).1.expect("a list");
    assert_eq!(suspects.suspected, [request("bad")]);
}

#[test]
fn a_verdict_from_below_the_level_reaches_the_log_when_the_level_rises() {
    let mut leader = leader_after_version_11();
    leader.run(Millis(500));
    report_three_crashes(&mut leader);
    leader.run(SETTLE_TIME);
    assert!(!is_in_log(&leader));
    raise_level(&mut leader);
    let quarantine = &leader.replica.state().configuration.quarantine;
    let record = quarantine.get(&request("bad")).expect("in the log");
    assert_eq!(record.crashes, 3);
    assert!(record.until > leader.now + Millis::from_secs(3 * 3600));
}

/// The crashes are older than their lifetime when the level rises; the verdict is not.
#[rstest]
#[case::short_roll(Millis::from_secs(5))]
#[case::long_roll(Millis::from_secs(1000))]
fn a_verdict_outlives_a_roll_longer_than_the_lifetime_of_a_crash(#[case] roll: Millis) {
    let mut leader = leader_below_the_level();
    report_three_crashes(&mut leader);
    leader.run(roll);
    close_earlier_gateway(&mut leader);
    let window = UpgradeSettings::default().rollback_window;
    leader.run(window + window + SETTLE_TIME);
    assert_eq!(leader.replica.level(), Some(EncodingVersion::CURRENT));
    assert!(is_in_log(&leader));
}

/// A roll may be halted for longer than a quarantine lasts.
#[test]
fn below_the_level_a_verdict_has_an_end() {
    let mut leader = leader_below_the_level();
    report_three_crashes(&mut leader);
    leader.run(SETTLE_TIME);
    assert_eq!(refused(&mut leader, "g1", 1), [request("bad")]);
    leader.run(Millis::from_secs(4 * 3600));
    assert_eq!(leader.replica.level(), Some(EncodingVersion::V11));
    assert_eq!(refused(&mut leader, "g1", 1), []);
}

/// A log that does not show its version yet: the leader decides, and learns from the refused
/// proposal that the log is of version 11.
#[test]
fn a_verdict_that_could_not_be_proposed_is_proposed_again() {
    let session = Session {
        id: SessionId::new("session-1"),
        tenant: TenantId::new("one"),
        service: ServiceId::new("chat"),
        model: None,
    };
    let entry = encoded(Command::CreateSession(session), EncodingVersion::V11);
    let mut leader = Leader::elected_with_entries(Leader::settings(), vec![entry]);
    leader.persist();
    open_earlier_gateway(&mut leader);
    assert_eq!(leader.replica.level(), None);
    report_three_crashes(&mut leader);
    // Without a pause the suspect is proposed first, which shows the version.
    leader.now = leader.now + Millis(400);
    leader.run(Millis(50));
    assert_eq!(refused(&mut leader, "g1", 1), [request("bad")]);
    submit(&mut leader, put(1));
    assert_eq!(leader.replica.level(), Some(EncodingVersion::V11));
    close_earlier_gateway(&mut leader);
    raise_level(&mut leader);
    assert!(is_in_log(&leader), "refused in memory only");
}

/// Longest time from a report until all gateways may ask for the verdict: the delay of reports
/// and one interval of the leader's periodic work.
const VERDICT_TIME: Millis = Millis(450);

#[test]
fn below_the_level_a_new_leader_refuses_a_request_that_is_reported_again() {
    for _leader in 0..2 {
        let mut leader = leader_below_the_level();
        assert_eq!(refused(&mut leader, "g1", 1), []);
        report_three_crashes(&mut leader);
        leader.run(VERDICT_TIME);
        assert_eq!(refused(&mut leader, "g1", 1), [request("bad")]);
    }
}

/// A replica that does not lead, with a gateway's report connection.
fn follower() -> Leader {
    let mut follower = Leader::restarted(Leader::settings(), Vec::new(), 0);
    send_report(&mut follower, REPORT_CONNECTION, Vec::new());
    follower
}

const REPORT_CONNECTION: u64 = 21;

fn send_report(replica: &mut Leader, connection: u64, runs: Vec<EndedRun>) -> Vec<ControlReply> {
    let report = RunReport { runs, through: 7 };
    replica.replies(connection, GatewayRequest::Runs(report))
}

fn refused_in(replies: &[ControlReply]) -> Vec<RequestFingerprint> {
    let suspects = replies.iter().find_map(|reply| match reply {
        ControlReply::Watch { suspects, .. } => suspects.clone(),
        _ => None,
    });
    suspects.map_or(Vec::new(), |suspects| suspects.refused)
}

fn is_referred_to_leader(replies: &[ControlReply]) -> bool {
    matches!(replies, [ControlReply::NotLeader { .. }])
}

/// While the leader is of a version without reports, a replica of this build adds up the crashes
/// that the gateways saw.
#[test]
fn a_replica_that_does_not_lead_refuses_what_is_reported_to_it() {
    let mut follower = follower();
    let other_gateway = REPORT_CONNECTION + 1;
    send_report(&mut follower, other_gateway, Vec::new());
    send_report(&mut follower, other_gateway, vec![run("bad", "e1")]);
    let runs = vec![run("bad", "e2"), run("bad", "e3")];
    let replies = send_report(&mut follower, REPORT_CONNECTION, runs);
    assert!(replies.contains(&ControlReply::RunsNoted { through: 7 }));
    follower.run(SETTLE_TIME);
    for connection in [REPORT_CONNECTION, other_gateway] {
        let replies = send_report(&mut follower, connection, Vec::new());
        assert_eq!(refused_in(&replies), [request("bad")]);
    }
}

/// Without `NotLeader` the gateway would go on sending its requests to this replica.
#[test]
fn a_report_on_another_connection_is_referred_to_the_leader() {
    let mut follower = follower();
    let watch = follower.watch_request("g1", 0);
    assert!(is_referred_to_leader(&follower.replies(1, watch)));
    let replies = send_report(&mut follower, 1, vec![run("bad", "e1")]);
    assert!(is_referred_to_leader(&replies));
    let connection = REPORT_CONNECTION;
    follower.handle_event(Event::GatewayClosed { connection });
    let replies = send_report(&mut follower, connection, vec![run("bad", "e1")]);
    assert!(is_referred_to_leader(&replies));
}

/// A member that votes for the replica and, unless it is cut off, stores its entries.
const PEER: ReplicaId = ReplicaId(2);

fn from_peer(replica: &mut Leader, term: u64, message: Message) {
    let envelope = Envelope {
        from: PEER,
        to: ReplicaId(1),
        term,
        message,
    };
    replica.replica.handle(Event::Peer(envelope), replica.now);
    replica.persist();
}

/// The peer's answer to a message, if it gives one.
fn answer_of_peer(message: Message, stores: bool) -> Option<Message> {
    match message {
        Message::RequestVote { pre_vote, .. } => Some(Message::VoteReply {
            pre_vote,
            granted: true,
        }),
        Message::Append {
            previous_index,
            entries,
            sent_at,
            ..
        } => stores.then(|| Message::AppendReply {
            match_index: previous_index + entries.len() as u64,
            accepted: true,
            sent_at,
        }),
        _ => None,
    }
}

/// One step of the time, in which the peer answers. Returns the other effects.
fn step_with_peer(replica: &mut Leader, stores: bool) -> Vec<Effect> {
    let mut others = Vec::new();
    let mut effects = replica.run(Millis(50));
    while !effects.is_empty() {
        for effect in std::mem::take(&mut effects) {
            match effect {
                Effect::SendPeer(sent) if sent.to == PEER => {
                    if let Some(answer) = answer_of_peer(sent.message, stores) {
                        from_peer(replica, sent.term, answer);
                    }
                }
                Effect::SendPeer(_) => {}
                other => others.push(other),
            }
        }
        effects = replica.replica.take_effects();
    }
    others
}

fn elect(replica: &mut Leader, stores: bool) {
    for _ in 0..200 {
        if replica.replica.node().is_leader() {
            return;
        }
        step_with_peer(replica, stores);
    }
    panic!("not elected");
}

fn run_with_peer(replica: &mut Leader, time: Millis) -> Vec<Effect> {
    let until = replica.now + time;
    let mut effects = Vec::new();
    while replica.now < until {
        effects.extend(step_with_peer(replica, true));
    }
    effects
}

/// Another member leads from now on.
fn append_from_new_leader(replica: &mut Leader, previous: (u64, u64), entries: Vec<Entry>) {
    let term = replica.replica.node().status().term + 1;
    let message = Message::Append {
        previous_index: previous.0,
        previous_term: previous.1,
        commit_index: previous.0 + entries.len() as u64,
        entries,
        sent_at: replica.now,
    };
    from_peer(replica, term, message);
    assert!(!replica.replica.node().is_leader());
}

/// After its term a replica receives no reports of completed runs or answers of engines, which
/// would clear a request. This concerns a fleet of one build too.
#[test]
fn a_former_leader_decides_nothing_on_the_reports_of_its_term() {
    let mut replica = Leader::restarted(Leader::settings(), Vec::new(), 0);
    elect(&mut replica, true);
    run_with_peer(&mut replica, SETTLE_TIME);
    report_three_crashes(&mut replica);
    append_from_new_leader(&mut replica, (0, 0), Vec::new());
    let effects = replica.run(SETTLE_TIME);
    let is_verdict = |effect: &Effect| matches!(effect, Effect::Quarantined(_));
    assert!(!effects.iter().any(is_verdict), "{effects:?}");
    elect(&mut replica, true);
    run_with_peer(&mut replica, SETTLE_TIME);
    assert!(!is_in_log(&replica), "refused without a report");
}

/// The log holds the verdict, but the replica receives it in a snapshot.
#[test]
fn a_verdict_that_came_in_a_snapshot_is_not_made_again_after_its_release() {
    let mut follower = follower();
    let runs = ["e1", "e2", "e3"].map(|engine| run("bad", engine));
    send_report(&mut follower, REPORT_CONNECTION, runs.to_vec());
    follower.run(SETTLE_TIME);
    let state = with_verdict().replica.state().encode().expect("its own");
    let member = || Member {
        peer_address: "10.0.0.1:7380".into(),
        admin_address: "10.0.0.1:8144".into(),
        voter: true,
    };
    let members = (1..=3).map(|id| (ReplicaId(id), member())).collect();
    let chunk = Message::SnapshotChunk {
        index: 50,
        snapshot_term: 2,
        membership: Membership { members },
        offset: 0,
        data: state,
        done: true,
        sent_at: follower.now,
    };
    let term = follower.replica.node().status().term + 1;
    from_peer(&mut follower, term, chunk);
    assert!(is_in_log(&follower));
    let release = Command::ReleaseRequest(request("bad"));
    let entry = Entry {
        index: 51,
        term,
        payload: EntryPayload::Command(encoded(release, EncodingVersion::CURRENT)),
    };
    append_from_new_leader(&mut follower, (50, 2), vec![entry]);
    assert!(!is_in_log(&follower));
    elect(&mut follower, true);
    run_with_peer(&mut follower, SETTLE_TIME);
    assert!(!is_in_log(&follower), "made again after its release");
}

/// The replica that took the reports is elected. Until it has committed an entry, its list must
/// not lack the verdict that its gateways know from it.
#[test]
fn a_receiver_that_is_elected_still_sends_its_verdict() {
    let mut follower = follower();
    let runs = ["e1", "e2", "e3"].map(|engine| run("bad", engine));
    send_report(&mut follower, REPORT_CONNECTION, runs.to_vec());
    follower.run(SETTLE_TIME);
    let replies = send_report(&mut follower, REPORT_CONNECTION, Vec::new());
    assert_eq!(refused_in(&replies), [request("bad")]);
    elect(&mut follower, false);
    let replies = send_report(&mut follower, REPORT_CONNECTION, Vec::new());
    let lists = replies.iter().filter_map(|reply| match reply {
        ControlReply::Watch { suspects, .. } => suspects.clone(),
        _ => None,
    });
    for list in lists {
        assert_eq!(list.refused, [request("bad")]);
    }
}

//! Parts of prompts that crash engines: what gateways receive, and what outlives a leader.

use garnet_control::{
    Command, CommandEnvelope, ControlReply, Effect, Event, GatewayRequest, OperatorRequest,
};
use garnet_quarantine::{
    BrokenPromptRun, EndedRun, EngineStart, PartId, PartSet, PromptLog, PromptReport,
    RequestFingerprint, RequestIdentity, RunEnd, RunReport, SoundPart, Suspects, TrackedParts,
};
use garnet_types::{BackendId, EncodingVersion, Millis, ServiceId};

use crate::leader::Leader;
use crate::level::leader_after_version_11;

/// Time in which all gateways have reported a crash and the leader has acted on it.
const SETTLE_TIME: Millis = Millis(1_500);
const FIRST: PartId = PartId(0x5c1e);
const BAD: PartId = PartId(0xbad0);
const REPORT_CONNECTION: u64 = 21;

fn service() -> ServiceId {
    ServiceId::new("words")
}

fn set(parts: &[PartId]) -> RequestFingerprint {
    PartSet::new(service(), parts.to_vec()).fingerprint()
}

fn request(number: u64) -> RequestFingerprint {
    let identity = RequestIdentity {
        tenant: None,
        method: "POST",
        host: "shop.example",
        path: &format!("/{number}"),
        query: None,
        body: b"p",
    };
    identity.fingerprint()
}

fn engine(number: u64) -> EngineStart {
    EngineStart {
        backend: BackendId::new(format!("e{number}")),
        incarnation: 0,
    }
}

fn broken(number: u64) -> BrokenPromptRun {
    BrokenPromptRun {
        service: service(),
        request: request(number),
        parts: vec![FIRST, BAD],
        engine: engine(number),
        ago: Millis(10),
    }
}

fn sound(part: PartId) -> SoundPart {
    SoundPart {
        service: service(),
        part,
        ago: Millis::ZERO,
    }
}

fn send(replica: &mut Leader, connection: u64, report: PromptReport) -> Vec<ControlReply> {
    replica.replies(connection, GatewayRequest::PromptRuns(report))
}

fn send_broken(replica: &mut Leader, connection: u64, number: u64) {
    let report = PromptReport {
        broken: vec![broken(number)],
        through: 7,
        ..PromptReport::default()
    };
    let replies = send(replica, connection, report);
    assert_eq!(replies, [ControlReply::PromptRunsNoted { through: 7 }]);
}

fn send_sound(replica: &mut Leader, connection: u64, part: PartId) {
    let report = PromptReport {
        sound: vec![sound(part)],
        ..PromptReport::default()
    };
    assert_eq!(send(replica, connection, report), []);
}

fn open_gateway(leader: &mut Leader, connection: u64, version: EncodingVersion) {
    leader.handle_event(Event::GatewayOpened {
        connection,
        version,
    });
}

fn watch(leader: &mut Leader, gateway: &str, connection: u64) -> Vec<ControlReply> {
    let request = leader.watch_request(gateway, 0);
    leader.replies(connection, request)
}

fn tracked(replies: &[ControlReply]) -> Option<Vec<TrackedParts>> {
    replies.iter().find_map(|reply| match reply {
        ControlReply::PromptEvidence(evidence) => Some(evidence.tracked.clone()),
        _ => None,
    })
}

fn suspects(replies: &[ControlReply]) -> Option<Suspects> {
    replies.iter().find_map(|reply| match reply {
        ControlReply::Watch { suspects, .. } => suspects.clone(),
        _ => None,
    })
}

fn leader() -> Leader {
    let mut leader = Leader::elected(Leader::settings(), Vec::new());
    leader.run(Millis(500));
    leader
}

/// Two gateways report five crashes in turn, and one that the first part is sound.
fn report_five_crashes(leader: &mut Leader) {
    send_sound(leader, 2, FIRST);
    for number in 0..5 {
        send_broken(leader, number % 2, number);
    }
    leader.run(SETTLE_TIME);
}

fn is_in_log(leader: &Leader, set: RequestFingerprint) -> bool {
    let configuration = &leader.replica.state().configuration;
    configuration.quarantine.contains_key(&set)
}

#[test]
fn crashes_reported_by_several_gateways_quarantine_a_part_for_all() {
    let mut leader = leader();
    report_five_crashes(&mut leader);
    let quarantine = &leader.replica.state().configuration.quarantine;
    let record = quarantine.get(&set(&[BAD])).expect("in the log");
    assert_eq!(record.crashes, 5);
    assert_eq!(quarantine.len(), 1);
}

#[test]
fn gateways_are_asked_which_parts_are_sound_until_they_tell() {
    let mut leader = leader();
    open_gateway(&mut leader, 3, EncodingVersion::CURRENT);
    assert_eq!(tracked(&watch(&mut leader, "g3", 3)), None);
    send_broken(&mut leader, 1, 0);
    leader.run(Millis(500));
    let asked = |parts: &[PartId]| {
        let parts = parts.to_vec();
        let service = service();
        Some(vec![TrackedParts { service, parts }])
    };
    assert_eq!(tracked(&watch(&mut leader, "g3", 3)), asked(&[FIRST, BAD]));
    assert_eq!(tracked(&watch(&mut leader, "g3", 3)), None, "sent once");
    leader.run(Millis::from_secs(1));
    let again = tracked(&watch(&mut leader, "g3", 3));
    assert!(again.is_some(), "it may be lost");
    send_sound(&mut leader, 3, FIRST);
    leader.run(Millis(500));
    assert_eq!(tracked(&watch(&mut leader, "g3", 3)), asked(&[BAD]));
}

#[test]
fn a_gateway_of_an_earlier_version_is_not_asked() {
    let mut leader = leader();
    open_gateway(&mut leader, 3, EncodingVersion::V19);
    send_broken(&mut leader, 1, 0);
    leader.run(Millis(500));
    assert_eq!(tracked(&watch(&mut leader, "g3", 3)), None);
}

#[test]
fn a_part_that_is_one_crash_from_a_verdict_is_suspected() {
    let mut leader = leader();
    send_sound(&mut leader, 2, FIRST);
    for number in 0..4 {
        send_broken(&mut leader, 1, number);
    }
    leader.run(SETTLE_TIME);
    let list = suspects(&watch(&mut leader, "g1", 1)).expect("a list");
    assert_eq!(list.suspected, [set(&[BAD])]);
    assert_eq!(list.refused, []);
}

/// A leader with a slow disk: the verdict reaches gateways before it is synced.
#[test]
fn gateways_receive_a_verdict_on_a_part_before_it_is_in_the_log() {
    let mut leader = leader();
    for number in 0..5 {
        send_broken(&mut leader, 1, number);
    }
    let until = leader.now + SETTLE_TIME;
    while leader.now < until {
        leader.now = leader.now + Millis(50);
        leader.handle_event(Event::Tick);
    }
    let list = suspects(&watch(&mut leader, "g1", 1)).expect("a list");
    assert_eq!(list.refused, [set(&[FIRST, BAD])], "not told apart");
    assert!(!is_in_log(&leader, set(&[FIRST, BAD])));
}

/// The gateway that saw four crashes and the leader restart together; other gateways have the runs
/// from the leader and report them to the next one.
#[test]
fn crashes_that_only_a_gateway_and_a_leader_knew_outlive_both() {
    let mut before = leader();
    open_gateway(&mut before, 3, EncodingVersion::CURRENT);
    watch(&mut before, "g3", 3);
    for number in 0..4 {
        send_broken(&mut before, 1, number);
    }
    before.run(SETTLE_TIME);
    let shared = watch(&mut before, "g3", 3);
    let evidence = shared.iter().find_map(|reply| match reply {
        ControlReply::PromptEvidence(evidence) => Some(evidence.clone()),
        _ => None,
    });
    let mut witness = PromptLog::default();
    witness.take_evidence(evidence.expect("the runs"), Millis(5_000));
    let report = |log: &mut PromptLog| log.report(Millis(6_000));
    assert_eq!(report(&mut witness), None, "the leader has them");
    witness.on_leader_change(Millis(6_000));
    let runs = report(&mut witness).expect("the runs").broken;
    let mut next = leader();
    send_sound(&mut next, 1, FIRST);
    let report = PromptReport {
        broken: runs,
        ..PromptReport::default()
    };
    send(&mut next, 3, report);
    send_broken(&mut next, 2, 4);
    next.run(SETTLE_TIME);
    assert!(is_in_log(&next, set(&[BAD])));
}

/// Runs of others are kept by a few gateways, not by a thousand.
#[test]
fn only_some_gateways_are_sent_the_runs_of_others() {
    let mut leader = leader();
    for connection in 10..40 {
        open_gateway(&mut leader, connection, EncodingVersion::CURRENT);
        watch(&mut leader, &format!("g{connection}"), connection);
    }
    send_broken(&mut leader, 1, 0);
    leader.run(Millis(500));
    let mut witnesses = 0;
    for connection in 10..40 {
        let replies = watch(&mut leader, &format!("g{connection}"), connection);
        let has_runs = |reply: &&ControlReply| match reply {
            ControlReply::PromptEvidence(evidence) => !evidence.runs.is_empty(),
            _ => false,
        };
        witnesses += replies.iter().filter(has_runs).count();
    }
    assert_eq!(witnesses, 8);
}

#[test]
fn a_verdict_on_a_part_outlives_its_leader() {
    let command = Command::QuarantineRequest {
        fingerprint: set(&[BAD]),
        crashes: 5,
    };
    let mut next = Leader::elected(Leader::settings(), vec![command]);
    next.run(Millis(500));
    let effects = {
        report_five_crashes(&mut next);
        next.run(SETTLE_TIME)
    };
    let is_verdict = |effect: &Effect| matches!(effect, Effect::PartsQuarantined(_));
    assert!(!effects.iter().any(is_verdict), "{effects:?}");
    assert!(is_in_log(&next, set(&[BAD])));
}

#[test]
fn a_part_that_an_operator_releases_starts_over() {
    let mut leader = leader();
    report_five_crashes(&mut leader);
    let command = Command::ReleaseRequest(set(&[BAD]));
    let envelope = CommandEnvelope::unnamed(command, leader.now);
    let wait = false;
    leader.handle_event(Event::Operator {
        ticket: 1,
        request: OperatorRequest::Command { envelope, wait },
    });
    leader.run(SETTLE_TIME);
    assert!(!is_in_log(&leader, set(&[BAD])));
    for number in 10..14 {
        send_broken(&mut leader, 1, number);
    }
    leader.run(SETTLE_TIME);
    assert!(!is_in_log(&leader, set(&[BAD])));
    send_broken(&mut leader, 1, 14);
    leader.run(SETTLE_TIME);
    assert!(is_in_log(&leader, set(&[BAD])));
}

/// The first part turns out to be sound only after it was refused together with the other one.
#[test]
fn a_verdict_is_narrowed_in_the_log_when_a_part_turns_out_to_be_sound() {
    let mut leader = leader();
    for number in 0..5 {
        send_broken(&mut leader, 1, number);
    }
    leader.run(SETTLE_TIME);
    assert!(is_in_log(&leader, set(&[FIRST, BAD])));
    send_sound(&mut leader, 1, FIRST);
    leader.run(SETTLE_TIME);
    assert!(is_in_log(&leader, set(&[BAD])));
    assert!(!is_in_log(&leader, set(&[FIRST, BAD])));
}

/// A sound request was running at three of the crashes that a part caused.
#[test]
fn crashes_that_a_part_causes_do_not_count_against_requests() {
    let mut leader = leader();
    report_five_crashes(&mut leader);
    let run = |number| EndedRun {
        fingerprint: request(99),
        end: RunEnd::Crashed(engine(number)),
        ago: Millis::ZERO,
    };
    let report = RunReport {
        runs: (0..3).map(run).collect(),
        through: 3,
    };
    leader.replies(1, GatewayRequest::Runs(report));
    leader.run(SETTLE_TIME);
    assert!(!is_in_log(&leader, request(99)));
    assert!(is_in_log(&leader, set(&[BAD])));
}

/// While builds are replaced the log is of version 11, which can't hold a verdict.
#[test]
fn below_the_level_five_crashes_refuse_a_part() {
    let mut leader = leader_after_version_11();
    open_gateway(&mut leader, 9, EncodingVersion::V11);
    leader.run(Millis(500));
    report_five_crashes(&mut leader);
    assert_eq!(leader.replica.level(), Some(EncodingVersion::V11));
    let list = suspects(&watch(&mut leader, "g1", 1)).expect("a list");
    assert_eq!(list.refused, [set(&[BAD])]);
}

/// While the leader is of a version without reports, another replica receives them.
#[test]
fn a_replica_that_does_not_lead_decides_on_parts_for_report_connections() {
    let mut follower = Leader::restarted(Leader::settings(), Vec::new(), 0);
    let asking = || GatewayRequest::Runs(RunReport::default());
    let replies = send(&mut follower, REPORT_CONNECTION, PromptReport::default());
    let is_referred = matches!(replies[..], [ControlReply::NotLeader { .. }]);
    assert!(is_referred, "it has not opened as a report connection");
    for connection in [REPORT_CONNECTION, REPORT_CONNECTION + 1] {
        follower.replies(connection, asking());
        open_gateway(&mut follower, connection, EncodingVersion::CURRENT);
    }
    report_five_crashes_to_follower(&mut follower);
    for connection in [REPORT_CONNECTION, REPORT_CONNECTION + 1] {
        let replies = follower.replies(connection, asking());
        let list = suspects(&replies).expect("a list");
        assert_eq!(list.refused, [set(&[BAD])]);
        assert!(tracked(&replies).is_some(), "asked which are sound");
    }
}

fn report_five_crashes_to_follower(follower: &mut Leader) {
    send_sound(follower, REPORT_CONNECTION, FIRST);
    for number in 0..5 {
        send_broken(follower, REPORT_CONNECTION + number % 2, number);
    }
    follower.run(SETTLE_TIME);
}

/// A sound request that many callers send was running at three of the crashes. It was refused before
/// the part was known, for four hours.
#[test]
fn a_request_beside_a_probable_part_is_not_refused() {
    let mut leader = leader();
    send_sound(&mut leader, 2, FIRST);
    for number in 0..3 {
        send_broken(&mut leader, number % 2, number);
        let run = EndedRun {
            fingerprint: request(99),
            end: RunEnd::Crashed(engine(number)),
            ago: Millis::ZERO,
        };
        let report = RunReport {
            runs: vec![run],
            through: 1,
        };
        leader.replies(1, GatewayRequest::Runs(report));
    }
    leader.run(SETTLE_TIME);
    assert!(!is_in_log(&leader, request(99)));
}

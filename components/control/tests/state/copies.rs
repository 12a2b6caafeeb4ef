//! Copies of prompt prefixes, which the leader passes on to gateways.

use garnet_control::{
    BackendListHash, BackendRegistration, Command, ControlReply, CopyUpdates, Event,
    GatewayRequest, PromptCopy, UNKNOWN_START,
};
use garnet_types::{BackendId, BackendKind, GatewayId, Millis, PrefixId, ServiceId};

use crate::leader::Leader;

/// Maximum number of copies in one answer.
const MAX_IN_ANSWER: usize = 256;

fn copies(prefixes: std::ops::Range<u64>) -> Vec<PromptCopy> {
    let copy = |prefix| PromptCopy {
        prefix: PrefixId(prefix),
        backend: BackendId::new("engine-1"),
    };
    prefixes.map(copy).collect()
}

/// Sends a watch in which a gateway reports `reported`; returns the copies in the answer.
fn watch(leader: &mut Leader, gateway: &str, reported: Vec<PromptCopy>) -> Vec<PromptCopy> {
    let request = GatewayRequest::Watch {
        gateway: GatewayId::new(gateway),
        configuration_index: 1,
        sent_at: leader.now,
        group_index: u64::MAX,
        mix: Vec::new(),
        backlogs: Vec::new(),
        evidence: Vec::new(),
        copies: reported,
    };
    let mut replies = leader.replies(1, request).into_iter();
    let received = replies.find_map(|reply| match reply {
        ControlReply::Watch { copies, .. } => Some(copies),
        _ => None,
    });
    named(&received.expect("an answer"))
}

/// The back ends of the configuration, in order.
fn ids() -> Vec<BackendId> {
    ["engine-0", "engine-1"].map(BackendId::new).to_vec()
}

/// The copies of an update, with the names of the engines.
fn named(updates: &CopyUpdates) -> Vec<PromptCopy> {
    assert_eq!(updates.members, BackendListHash::of(ids().iter()));
    let copy = |copy: &garnet_control::PositionedCopy| PromptCopy {
        prefix: copy.prefix,
        backend: ids()[usize::from(copy.place)].clone(),
    };
    updates.copies.iter().map(copy).collect()
}

fn leader() -> Leader {
    let put = |id: BackendId| {
        Command::PutBackend(BackendRegistration {
            id,
            kind: BackendKind::Engine,
            service: ServiceId::new("words"),
            address: "10.1.0.1:8080".to_owned(),
            zone: "a".to_owned(),
            start: UNKNOWN_START,
        })
    };
    let commands = ids().into_iter().map(put).collect();
    let mut leader = Leader::elected(Leader::settings(), commands);
    leader.persist();
    let _answers = leader.replica.take_effects();
    leader
}

#[test]
fn each_gateway_is_sent_once_what_its_peers_reported() {
    let mut leader = leader();
    assert_eq!(watch(&mut leader, "a", copies(0..2)), []);
    assert_eq!(watch(&mut leader, "b", copies(2..3)), copies(0..2));
    assert_eq!(watch(&mut leader, "b", Vec::new()), []);
    assert_eq!(watch(&mut leader, "a", Vec::new()), copies(2..3));
    // A gateway that connects later is sent all copies.
    assert_eq!(watch(&mut leader, "c", Vec::new()), copies(0..3));
}

#[test]
fn an_answer_is_bounded_and_the_rest_follows() {
    let mut leader = leader();
    let all = copies(0..MAX_IN_ANSWER as u64 + 10);
    watch(&mut leader, "a", all.clone());
    let mut received = watch(&mut leader, "b", Vec::new());
    assert_eq!(received.len(), MAX_IN_ANSWER);
    received.extend(watch(&mut leader, "b", Vec::new()));
    assert_eq!(received, all);
}

#[test]
fn old_reports_are_forgotten() {
    let mut leader = leader();
    watch(&mut leader, "a", copies(0..2));
    leader.now = leader.now + Millis(20_001);
    leader.handle_event(Event::Tick);
    assert_eq!(watch(&mut leader, "b", copies(2..3)), []);
    assert_eq!(watch(&mut leader, "a", Vec::new()), copies(2..3));
}

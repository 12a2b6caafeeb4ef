//! Transfer of the full configuration to many gateways.
//!
//! Regression: at a start with ten thousand engines each of a thousand gateways asked for
//! the full configuration while the log kept growing. The leader queued a separate copy of
//! 0.9 MB for each; the copies waited for a saturated link, gateways received nothing for
//! over a second, reconnected and asked again, and leaders ran out of memory or lost their
//! lease.

use garnet_control::{
    Configuration, ConfigurationLoader, ConfigurationPart, ControlReply, Event, GatewayRequest,
    MachineEntry, PartOutcome, PartRequest, WatchUpdate,
};
use garnet_types::{MachineState, Millis};

use crate::leader::Leader;
use crate::machine_list::{entry, leader, list};

/// Encoded length of a reply, in bytes.
fn len_bytes(reply: &ControlReply) -> usize {
    let encoded = bincode::serde::encode_to_vec(reply, bincode::config::standard());
    encoded.expect("plain data").len()
}

fn reply(leader: &mut Leader, request: GatewayRequest) -> ControlReply {
    let mut replies = leader.replies(1, request).into_iter();
    replies.next().expect("a leader answers")
}

fn watch(leader: &mut Leader, gateway: usize, index: u64) -> ControlReply {
    let request = leader.watch_request(&format!("gateway-{gateway}"), index);
    reply(leader, request)
}

fn update(reply: &ControlReply) -> &WatchUpdate {
    match reply {
        ControlReply::Watch { update, .. } => update,
        other => panic!("{other:?}"),
    }
}

fn leader_with(machines: usize) -> Leader {
    let mut leader = leader();
    apply_list(&mut leader, list(machines));
    leader
}

fn apply_list(leader: &mut Leader, list: Vec<MachineEntry>) {
    leader.handle_event(Event::Machines(list));
    leader.persist();
    let _effects = leader.replica.take_effects();
}

/// Loads all parts and calls `between` after each of them. Returns the configuration and
/// the length of the longest part in bytes.
fn load(leader: &mut Leader, mut between: impl FnMut(&mut Leader)) -> (Configuration, usize) {
    let offer = watch(leader, 1, 0);
    let mut longest = 0;
    let WatchUpdate::Parts { index } = update(&offer) else {
        panic!("{offer:?}");
    };
    let mut loader = ConfigurationLoader::default();
    let mut next = loader.on_offer(*index, leader.now);
    loop {
        let part_request = next.expect("a part is to be asked for");
        let answer = reply(leader, GatewayRequest::Part(part_request));
        longest = longest.max(len_bytes(&answer));
        let ControlReply::Part(Some(part)) = answer else {
            panic!("{answer:?}");
        };
        match loader.take(part, leader.now) {
            PartOutcome::Next(part_request) => next = Some(part_request),
            PartOutcome::Complete(configuration) => return (configuration, longest),
            PartOutcome::Ignored => panic!("{part_request:?} is ignored"),
        }
        between(leader);
    }
}

#[test]
fn no_part_grows_with_the_fleet() {
    let (small, longest_of_small) = load(&mut leader_with(2_000), |_| {});
    let (large, longest_of_large) = load(&mut leader_with(4_000), |_| {});
    assert_eq!((small.backends.len(), large.backends.len()), (2_000, 4_000));
    assert!(longest_of_small < 32 * 1024, "{longest_of_small} bytes");
    assert!(
        longest_of_large <= longest_of_small * 11 / 10,
        "{longest_of_small} bytes for 2,000 engines, {longest_of_large} for 4,000"
    );
}

#[test]
fn a_gateway_is_sent_the_leaders_configuration() {
    let mut leader = leader_with(1_500);
    let (loaded, _) = load(&mut leader, |_| {});
    assert_eq!(loaded, leader.replica.state().configuration);
}

/// Changes made while the parts are transferred follow as incremental changes.
#[test]
fn changes_during_the_transfer_follow() {
    let mut leader = leader_with(1_500);
    let mut left = 0;
    let (mut loaded, _) = load(&mut leader, |leader| {
        let mut changed = list(1_500);
        for entry in &mut changed[..=left] {
            entry.state = MachineState::Leaving;
        }
        left += 1;
        apply_list(leader, changed);
    });
    assert!(left > 1, "the configuration came in one part");
    let answer = watch(&mut leader, 1, loaded.index);
    let WatchUpdate::Changes { from, changes, .. } = update(&answer) else {
        panic!("{answer:?}");
    };
    assert_eq!(*from, loaded.index);
    for (index, change) in changes.iter() {
        loaded.change(*index, change);
    }
    assert_eq!(loaded, leader.replica.state().configuration);
}

/// Gateways that connect while the log grows are sent the same bytes.
#[test]
fn a_start_makes_one_copy_for_all_gateways() {
    let mut leader = leader_with(2_000);
    let mut indices = Vec::new();
    for gateway in 0..50 {
        let offer = watch(&mut leader, gateway, 0);
        let WatchUpdate::Parts { index } = update(&offer) else {
            panic!("{offer:?}");
        };
        indices.push(*index);
        let mut next = list(2_000 + gateway);
        next.push(entry(9_000 + gateway, MachineState::Live));
        apply_list(&mut leader, next);
    }
    indices.dedup();
    assert_eq!(indices.len(), 1, "{indices:?}");
}

/// A part may be lost with the connection on which it was requested.
#[test]
fn a_lost_part_is_requested_again() {
    let mut leader = leader_with(2_000);
    let mut loader = ConfigurationLoader::default();
    let first = loader.on_offer(7, leader.now);
    assert_eq!(
        first,
        Some(PartRequest {
            index: 7,
            number: 0
        })
    );
    assert_eq!(loader.on_offer(7, leader.now), None);
    loader.on_connected();
    assert_eq!(loader.on_offer(7, leader.now), first);
    leader.now = leader.now + Millis::from_secs(1);
    assert_eq!(loader.on_offer(7, leader.now), first);
}

#[test]
fn a_part_of_another_configuration_is_ignored() {
    let mut leader = leader_with(2_000);
    let offer = watch(&mut leader, 1, 0);
    let WatchUpdate::Parts { index } = *update(&offer) else {
        panic!("{offer:?}");
    };
    let stale = PartRequest {
        index: index - 1,
        number: 0,
    };
    let answer = reply(&mut leader, GatewayRequest::Part(stale));
    assert_eq!(answer, ControlReply::Part(None));
    let part_request = PartRequest { index, number: 1 };
    let answer = reply(&mut leader, GatewayRequest::Part(part_request));
    let ControlReply::Part(Some(part)) = answer else {
        panic!("{answer:?}");
    };
    let mut loader = ConfigurationLoader::default();
    loader.on_offer(index, leader.now);
    assert_eq!(loader.take(part.clone(), leader.now), PartOutcome::Ignored);
    let resent: ConfigurationPart = part;
    assert_eq!(loader.take(resent, leader.now), PartOutcome::Ignored);
}

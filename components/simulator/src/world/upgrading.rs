//! Replicas and gateways that go over from one build to another, and back.

use garnet_control::{ControlReply, Event as ControlEvent, GatewayRequest, UpgradeSettings, v11};
use garnet_types::{EncodingVersion, Millis, ReplicaId};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::checker::Invariant;
use crate::message::Host;
use crate::scenario::Scenario;

use super::{World, WorldEvent};

/// A complete upgrade can be rolled back for so long.
const ROLLBACK_WINDOW: Millis = Millis::from_secs(4);
/// The first process goes over then.
const FIRST_MOVE: Millis = Millis::from_secs(6);
/// A roll that is halted goes on so long after the last fault begins, ...
const HALTED_FOR: Millis = Millis::from_secs(20);
/// ... and all have gone over within this time.
const REST_WITHIN: Millis = Millis::from_secs(10);
/// Gateways serve so long after the last disturbance.
const CALM: Millis = Millis::from_secs(10);
/// One in so many goes back once before it stays.
const BACK_PART: f64 = 0.3;
/// Keeps the other random draws of a seed as they are without an upgrade.
const SEED: u64 = 0x7570_6772_6164_6500;

/// A process goes over to a build.
#[derive(Debug, Clone, Copy)]
pub(super) struct Move {
    pub(super) at: Millis,
    pub(super) host: Host,
    to: EncodingVersion,
}

/// How a replica of this version stands beside others.
pub(crate) fn upgrade_settings(version: EncodingVersion) -> UpgradeSettings {
    UpgradeSettings {
        version,
        rollback_window: ROLLBACK_WINDOW,
    }
}

/// When a halted roll goes on: just before, all gateways serve.
pub(super) fn halted_until(scenario: &Scenario) -> Millis {
    scenario.span + HALTED_FOR
}

/// When which process goes over, in any order. Every other roll is halted at some
/// process. All have gone over at the end.
pub(super) fn plan(scenario: &Scenario) -> Vec<Move> {
    let Some(before) = scenario.build_before else {
        return Vec::new();
    };
    let mut random = Pcg64Mcg::seed_from_u64(scenario.seed ^ SEED);
    let controls = (0..scenario.controls).map(Host::Control);
    let gateways = match scenario.gateways_first {
        true => 0..0,
        false => 0..scenario.gateways,
    };
    let gateways = gateways.map(Host::Gateway);
    let mut hosts: Vec<Host> = controls.chain(gateways).collect();
    hosts.shuffle(&mut random);
    let last = scenario.span.max(FIRST_MOVE + Millis(1));
    let before_halt = match random.random_bool(0.5) {
        true => random.random_range(1..hosts.len()),
        false => hosts.len(),
    };
    let goes_on = halted_until(scenario);
    let mut moves = Vec::new();
    for (number, host) in hosts.into_iter().enumerate() {
        let to = EncodingVersion::CURRENT;
        if number >= before_halt {
            let at = goes_on + Millis(random.random_range(1..REST_WITHIN.0));
            moves.push(Move { at, host, to });
            continue;
        }
        let at = Millis(random.random_range(FIRST_MOVE.0..last.0));
        moves.push(Move { at, host, to });
        if random.random_bool(BACK_PART) {
            let back_at = at + Millis(random.random_range(100..6_000));
            let again_at = back_at + Millis(random.random_range(100..6_000));
            moves.push(Move {
                at: back_at,
                host,
                to: before,
            });
            moves.push(Move {
                at: again_at,
                host,
                to,
            });
        }
    }
    moves
}

impl World {
    /// A process ends and starts again as another build.
    pub(super) fn move_over(&mut self, number: usize) {
        let Move { host, to, .. } = self.moves[number];
        // After the level has risen there is no way back.
        let is_back = to < EncodingVersion::CURRENT;
        if is_back && self.highest_level() > Some(to) {
            return;
        }
        match host {
            Host::Control(place) => self.controls[place].version = to,
            Host::Gateway(place) => self.gateways[place].version = to,
            _ => return,
        }
        self.note_trouble(host);
        self.end_process(host);
        let down = Millis(self.random.random_range(100..1_000));
        self.schedule(self.now + down, WorldEvent::Start(host));
    }

    fn highest_level(&self) -> Option<EncodingVersion> {
        let running = self
            .controls
            .iter()
            .filter_map(|host| host.running.as_ref());
        running.filter_map(|running| running.replica.level()).max()
    }

    /// Whether a message between replicas arrives: none does at a level above the version
    /// of the other end.
    pub(super) fn opens_peer(&mut self, from: usize, to: usize, sender: ReplicaId) -> bool {
        if self.scenario.build_before.is_none() {
            return true;
        }
        let level = |place: usize| {
            let running = self.controls[place].running.as_ref();
            running.and_then(|running| running.replica.level())
        };
        let version = self.controls[from].version;
        let is_refused = level(to) > Some(version) || level(from) > Some(self.controls[to].version);
        if is_refused {
            return false;
        }
        let id = sender;
        self.control_event(to, ControlEvent::MemberOpened { id, version });
        true
    }

    /// Version of the connection between a gateway and a replica.
    pub(super) fn connection_version(&self, gateway: usize, control: usize) -> EncodingVersion {
        let versions = [
            self.gateways[gateway].version,
            self.controls[control].version,
        ];
        versions[0].min(versions[1])
    }

    /// A gateway's request as the replica receives it.
    pub(super) fn request_received(
        &mut self,
        gateway: usize,
        control: usize,
        request: GatewayRequest,
    ) -> Option<GatewayRequest> {
        if self.scenario.build_before.is_none() {
            return Some(request);
        }
        let version = self.connection_version(gateway, control);
        let connection = gateway as u64;
        let opened = ControlEvent::GatewayOpened {
            connection,
            version,
        };
        self.control_event(control, opened);
        if version > EncodingVersion::V11 {
            return Some(request);
        }
        v11::GatewayRequest::of(request).map(Into::into)
    }

    /// A replica's reply as the gateway receives it.
    pub(super) fn reply_received(
        &self,
        gateway: usize,
        control: usize,
        reply: ControlReply,
    ) -> Option<ControlReply> {
        if self.connection_version(gateway, control) > EncodingVersion::V11 {
            return Some(reply);
        }
        let converted = v11::ControlReply::of(&reply).ok()??;
        Some(converted.into())
    }

    /// Gateways of either build serve while a roll is halted.
    pub(super) fn check_halted(&mut self) {
        let is_calm = self.open_faults == 0 && self.now.since(self.disturbed_at) >= CALM;
        if !is_calm {
            return;
        }
        let silent: Vec<usize> = (0..self.gateways.len())
            .filter(|place| !self.is_gateway_ready(*place))
            .collect();
        self.checker
            .check(Invariant::Recovers, silent.is_empty(), self.now, || {
                format!("gateways {silent:?} take no work while a roll is halted")
            });
    }

    /// The level has risen by the end.
    pub(super) fn check_level(&mut self) {
        if self.scenario.build_before.is_none() {
            return;
        }
        let level = self.highest_level();
        let has_risen = level == Some(EncodingVersion::CURRENT);
        self.checker
            .check(Invariant::Recovers, has_risen, self.now, || {
                format!("the level is {level:?} at the end")
            });
    }
}

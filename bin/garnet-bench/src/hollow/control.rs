//! The control group before hollow gateways and engines.

use garnet_control::{
    ClaimCommand, ClaimRequest, Command, CommandEnvelope, ControlReply, EngineRequest, Event,
    GatewayRequest, MachineEntry, OperatorRequest, PoolMix, WatchUpdate,
};
use garnet_types::{
    BackendId, ClaimId, EngineAssignment, EngineCapacity, EngineStatus, Fence, GatewayId,
    IdempotencyKey, MachineState, Millis, OrderAnswer, RecordedResponse, RequestId, ServiceId,
    TenantId,
};
use garnet_wire::Frame;
use serde::Serialize;

use super::group::{Group, Leaving, REPLICAS, encode};
use super::meter::{heap_bytes, heap_mb_since};
use super::size::Size;

/// How often the daemons look at the clock.
const TICK: Millis = Millis(20);
/// How often a gateway asks for changes: the daemon's default.
const WATCH_INTERVAL: Millis = Millis(400);
/// How often a replica reads the platform's list: the daemon's default.
const LIST_INTERVAL: Millis = Millis(500);
/// Most time to find a leader and to load the fleet.
const SETUP: Millis = Millis::from_secs(30);
/// Bytes of a recorded answer of an application.
const RECORDED_BYTES: usize = 600;

/// What was measured at one size.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ControlFigures {
    pub(crate) size: Size,
    /// Share of one core, in percent.
    pub(crate) leader_cpu_percent: f64,
    pub(crate) follower_cpu_percent: f64,
    /// The longest single event on the leader's loop, in milliseconds.
    pub(crate) leader_longest_ms: f64,
    /// Heap of one replica.
    pub(crate) replica_heap_mb: f64,
    /// Encoded state: the snapshot and, without claims, what a gateway loads.
    pub(crate) state_mb: f64,
    pub(crate) leader_messages_per_s: f64,
    pub(crate) leader_gateway_kb_per_s: f64,
    pub(crate) leader_peer_kb_per_s: f64,
    pub(crate) leader_engine_kb_per_s: f64,
    pub(crate) list_kb_per_s: f64,
    pub(crate) follower_peer_kb_per_s: f64,
    /// Control traffic of one gateway without changes.
    pub(crate) gateway_watch_kb_per_s: f64,
    /// Configuration that a gateway without any loads.
    pub(crate) gateway_load_mb: f64,
}

/// Runs `seconds` of virtual time at one size.
pub(crate) fn measure(size: Size, seconds: u64) -> Result<ControlFigures, String> {
    let heap_before = heap_bytes();
    let mut fleet = HollowFleet::new(size)?;
    fleet.set_up()?;
    fleet.run_for(Millis::from_secs(2));
    let heap_mb = heap_mb_since(heap_before);
    fleet.group.reset_usage();
    fleet.gateway_bytes = 0;
    fleet.run_for(Millis::from_secs(seconds));
    fleet.figures(heap_mb, seconds)
}

/// Gateways and engines that are only their messages.
struct HollowFleet {
    size: Size,
    group: Group,
    leader: usize,
    now: Millis,
    index: u64,
    statuses: Vec<EngineStatus>,
    list: Vec<u8>,
    sent_changes: usize,
    sent_claims: usize,
    gateway_bytes: u64,
    started_at: Millis,
}

impl HollowFleet {
    fn new(size: Size) -> Result<Self, String> {
        let statuses = (0..size.engines).map(hollow_status).collect();
        let machines: Vec<MachineEntry> = (0..size.engines)
            .map(|number| MachineEntry {
                registration: Size::registration(number),
                state: MachineState::Live,
                observed: None,
            })
            .collect();
        Ok(HollowFleet {
            size,
            group: Group::new(Millis(1000))?,
            leader: 0,
            now: Millis(1000),
            index: 0,
            statuses,
            list: serde_json::to_vec(&machines).unwrap_or_default(),
            sent_changes: 0,
            sent_claims: 0,
            gateway_bytes: 0,
            started_at: Millis(1000),
        })
    }

    /// Finds a leader, creates the sessions, and waits for the engines.
    fn set_up(&mut self) -> Result<(), String> {
        let until = self.now + SETUP;
        while self.group.leader().is_none() {
            self.step_clock(until)?;
            self.exchange();
        }
        self.leader = self.group.leader().unwrap_or_default();
        for number in 0..self.size.tenants {
            self.command(Command::CreateSession(Size::session(number)));
            if number % 64 == 0 {
                self.exchange();
            }
        }
        while !self.is_loaded() {
            self.step_clock(until)?;
            self.read_list();
            self.exchange();
        }
        self.started_at = self.now;
        Ok(())
    }

    fn step_clock(&mut self, until: Millis) -> Result<(), String> {
        self.now = self.now + TICK;
        self.group.tick(self.now);
        if self.now > until {
            return Err("the hollow fleet was not ready in time".to_owned());
        }
        Ok(())
    }

    fn is_loaded(&self) -> bool {
        let configuration = &self.group.replica(self.leader).state().configuration;
        let observed = configuration
            .backends
            .values()
            .filter(|record| record.observed.is_some())
            .count();
        observed == self.size.engines && configuration.sessions.len() == self.size.tenants
    }

    fn command(&mut self, command: Command) {
        let envelope = CommandEnvelope::unnamed(command, self.now);
        let request = OperatorRequest::Command {
            envelope,
            wait: false,
        };
        let event = Event::Operator { ticket: 0, request };
        self.group.event(self.leader, event);
    }

    fn run_for(&mut self, span: Millis) {
        let until = self.now + span;
        while self.now < until {
            let before = self.now;
            self.now = self.now + TICK;
            self.group.tick(self.now);
            self.watch(before);
            self.read_list();
            self.change();
            self.claim();
            self.exchange();
        }
    }

    /// Every gateway asks once in an interval, spread evenly over it.
    fn watch(&mut self, before: Millis) {
        self.index = self.group.replica(self.leader).state().configuration.index;
        let due = |at: Millis, number: usize| {
            let offset = number as u64 * WATCH_INTERVAL.0 / self.size.gateways as u64;
            (at.0 + offset) / WATCH_INTERVAL.0
        };
        let asking: Vec<usize> = (0..self.size.gateways)
            .filter(|number| due(before, *number) != due(self.now, *number))
            .collect();
        for number in asking {
            let frame = Frame::Gateway(GatewayRequest::Watch {
                gateway: GatewayId::new(format!("gateway-{number}.1")),
                configuration_index: self.index,
                sent_at: self.now,
                group_index: 0,
                mix: vec![hollow_mix(number)],
                backlogs: Vec::new(),
                copies: Vec::new(),
            });
            self.gateway_bytes += self.group.gateway_asks(self.leader, frame) as u64;
        }
    }

    fn read_list(&mut self) {
        if self.now.0.is_multiple_of(LIST_INTERVAL.0) {
            for place in 0..REPLICAS {
                self.group.machines(place, &self.list);
            }
        }
    }

    fn change(&mut self) {
        let due = self.due(self.size.changes_per_second);
        while self.sent_changes < due {
            self.sent_changes += 1;
            let document = format!("# change {}\n", self.sent_changes);
            let name = "urgent".to_owned();
            self.command(Command::PutPolicy { name, document });
        }
    }

    /// A claim and its result.
    fn claim(&mut self) {
        let due = self.due(self.size.claims_per_second);
        while self.sent_claims < due {
            self.sent_claims += 1;
            let claim = hollow_claim(self.sent_claims);
            let response = RecordedResponse {
                status: 200,
                content_type: "application/json".to_owned(),
                body: vec![b'x'; RECORDED_BYTES],
                served_by: "application-1".to_owned(),
            };
            for request in [
                ClaimRequest::Claim(claim.clone()),
                ClaimRequest::Record { claim, response },
            ] {
                let frame = Frame::Gateway(GatewayRequest::Claim(request));
                self.group.gateway_asks(self.leader, frame);
            }
        }
    }

    /// How many events of a rate are due by now.
    fn due(&self, per_second: usize) -> usize {
        let elapsed = self.now.since(self.started_at).0 as usize;
        per_second * elapsed / 1000
    }

    /// Lets the group work and engines answer, until nothing is left.
    fn exchange(&mut self) {
        loop {
            let leaving = self.group.run();
            let mut answered = false;
            for message in leaving {
                match message {
                    Leaving::Engine(engine, request) => {
                        answered = true;
                        self.answer_as_engine(engine, &request);
                    }
                    Leaving::Gateway(frame) => {
                        self.gateway_bytes += encode(frame).len() as u64;
                    }
                }
            }
            if !answered {
                return;
            }
        }
    }

    fn answer_as_engine(&mut self, engine: BackendId, request: &EngineRequest) {
        let number = engine.as_str().trim_start_matches("engine-").parse();
        let Some(status) = number
            .ok()
            .and_then(|number: usize| self.statuses.get(number))
        else {
            return;
        };
        match request {
            EngineRequest::Status => self.group.engine_tells(self.leader, engine, status),
            EngineRequest::Order(_) => {
                let answer = OrderAnswer::Busy(status.clone());
                self.group.order_answered(self.leader, engine, &answer);
            }
        }
    }

    fn figures(&self, heap_mb: f64, seconds: u64) -> Result<ControlFigures, String> {
        if self.group.leader() != Some(self.leader) {
            return Err("the leader changed while it was measured".to_owned());
        }
        let follower = (self.leader + 1) % REPLICAS;
        let leader = self.group.usage(self.leader);
        let follower = self.group.usage(follower);
        let time = seconds as f64;
        let kb_per_s = |bytes: u64| bytes as f64 / time / 1000.0;
        let percent = |usage: &super::group::Usage| usage.meter.spent.as_secs_f64() / time * 100.0;
        let state = self.group.replica(self.leader).state();
        let snapshot = WatchUpdate::Snapshot(std::sync::Arc::new(state.configuration.clone()));
        let load = encode(Frame::Control(ControlReply::Watch {
            sent_at: Millis::ZERO,
            update: snapshot,
            group: None,
            gateways: 1,
            backlogs: None,
            copies: Vec::new(),
        }));
        Ok(ControlFigures {
            size: self.size,
            leader_cpu_percent: percent(&leader),
            follower_cpu_percent: percent(&follower),
            leader_longest_ms: leader.longest.as_secs_f64() * 1000.0,
            replica_heap_mb: heap_mb / REPLICAS as f64,
            state_mb: state.encode().len() as f64 / 1e6,
            leader_messages_per_s: leader.messages as f64 / time,
            leader_gateway_kb_per_s: kb_per_s(leader.gateway_bytes),
            leader_peer_kb_per_s: kb_per_s(leader.peer_bytes),
            leader_engine_kb_per_s: kb_per_s(leader.engine_bytes),
            list_kb_per_s: kb_per_s(leader.list_bytes),
            follower_peer_kb_per_s: kb_per_s(follower.peer_bytes),
            gateway_watch_kb_per_s: kb_per_s(self.gateway_bytes) / self.size.gateways as f64,
            gateway_load_mb: load.len() as f64 / 1e6,
        })
    }
}

fn hollow_status(number: usize) -> EngineStatus {
    EngineStatus {
        incarnation: 1,
        highest_fence: Some(Fence::default()),
        assignment: EngineAssignment {
            role: Size::role(number),
            model: Size::model(number),
        },
        changing: None,
        running: 4,
        capacity: EngineCapacity::default(),
    }
}

fn hollow_mix(number: usize) -> PoolMix {
    PoolMix {
        service: ServiceId::new("language"),
        model: Size::model(number),
        requests: 3,
        prompt_bound: 2,
        prompt_tokens: 3000,
        output_tokens: 600,
    }
}

fn hollow_claim(number: usize) -> ClaimCommand {
    ClaimCommand {
        tenant: TenantId::new(format!("tenant-{}", number % 1000)),
        key: IdempotencyKey::new(format!("key-{number:020}")),
        body_hash: number as u64,
        claim: ClaimId {
            gateway: GatewayId::new("gateway-1.1"),
            request: RequestId(number as u64),
        },
    }
}

//! Fixtures: records, configurations, and forwarders that have them.

use std::sync::Arc;

use garnet_control::{
    BackendListHash, BackendRecord, BackendRegistration, BackendState, Backlog, Configuration,
    GatewayDigest, LoadDigest, UNKNOWN_START, WatchUpdate,
};
use garnet_forwarding::{
    Forwarder, ForwarderSettings, Prompt, PromptPart, SharedRetryBudget, Work,
};
use garnet_routes::{EngineLimits, Route, RouteTable, ServiceSettings, WeightedService, WorkKind};
use garnet_test_support::live_record;
use garnet_types::{
    BackendId, BackendKind, EngineAssignment, EngineRole, Millis, ModelId, ServiceId,
};

pub const NOW: Millis = Millis(10_000);

pub fn record(id: &str, service: &str, zone: &str, role: Option<EngineRole>) -> BackendRecord {
    let assignment = role.map(|role| EngineAssignment {
        role,
        model: ModelId::new("m"),
    });
    let registration = BackendRegistration {
        id: BackendId::new(id),
        kind: match role {
            Some(_) => BackendKind::Engine,
            None => BackendKind::Application,
        },
        service: ServiceId::new(service),
        address: format!("10.0.0.1:{}", 8000 + id.len()),
        zone: zone.to_owned(),
        start: UNKNOWN_START,
    };
    live_record(registration, assignment)
}

pub fn id(name: &str) -> BackendId {
    BackendId::new(name)
}

/// Two instances of an application.
pub fn instances() -> Vec<BackendRecord> {
    ["till-a", "till-b"]
        .iter()
        .map(|id| record(id, "till", "a", None))
        .collect()
}

/// Engines of one service with these roles.
pub fn engines_named(roles: &[(&str, EngineRole)]) -> Vec<BackendRecord> {
    let engine = |(id, role): &(&str, EngineRole)| record(id, "words", "a", Some(*role));
    roles.iter().map(engine).collect()
}

pub fn route(split: &[(&str, u32)]) -> Route {
    let share = |(service, weight): &(&str, u32)| WeightedService {
        service: ServiceId::new(*service),
        weight: *weight,
    };
    Route {
        name: "offers".into(),
        host: "shop.example".into(),
        path_prefix: "/offers/".into(),
        kind: WorkKind::Repeatable,
        timeout_ms: Millis(1000),
        objective_ms: Millis(100),
        pause_objective_ms: None,
        priority: 1,
        max_attempts: 2,
        public: false,
        services: split.iter().map(share).collect(),
    }
}

pub fn table(version: u64, split: &[(&str, u32)]) -> RouteTable {
    RouteTable {
        version,
        routes: vec![route(split)],
        ..RouteTable::default()
    }
}

pub fn configuration(index: u64, table: RouteTable, records: &[BackendRecord]) -> Configuration {
    let by_id = |record: &BackendRecord| (record.registration.id.clone(), record.clone());
    Configuration {
        index,
        routes: Some(Arc::new(table)),
        backends: records.iter().map(by_id).collect(),
        ..Configuration::default()
    }
}

/// A forwarder without a configuration.
pub fn empty_forwarder() -> Forwarder {
    Forwarder::new(ForwarderSettings {
        zone: "a".into(),
        budget: SharedRetryBudget {
            per_request: 0.2,
            extra: 50.0,
            window: Millis::from_secs(10),
        },
        first_draw: 0.25,
    })
}

pub fn forwarder(records: &[BackendRecord]) -> Forwarder {
    let mut forwarder = empty_forwarder();
    let configuration = configuration(5, table(1, &[("till", 1)]), records);
    forwarder.update(WatchUpdate::Snapshot(configuration.into()));
    forwarder
}

pub fn work(kind: WorkKind, prompt: Option<Prompt>) -> Work {
    Work {
        kind,
        priority: 1,
        objective: Millis(500),
        max_attempts: 2,
        prompt,
        is_deferred: false,
        build: None,
    }
}

/// A prompt with a shared part and a part of its own.
pub fn prompt(shared: u64, own: u64, tokens: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        parts: vec![part(shared, tokens), part(own, 100)],
        tokens: tokens + 100,
        output_tokens: 10,
        likely_output_tokens: None,
    }
}

/// One of `gateways` gateways, before engines with a cache of 400,000 tokens each;
/// `number` makes its draws differ from its peers'.
pub fn gateway_of(records: &[BackendRecord], gateways: u64, number: u64) -> Forwarder {
    let mut gateway = Forwarder::new(ForwarderSettings {
        zone: "a".into(),
        budget: SharedRetryBudget {
            per_request: 0.2,
            extra: 50.0,
            window: Millis::from_secs(10),
        },
        first_draw: (number as f64 + 0.5) / gateways as f64,
    });
    let services = vec![ServiceSettings {
        name: ServiceId::new("words"),
        max_connections: 100,
        buying: None,
        engine: Some(EngineLimits {
            slots: 64,
            cache_tokens: 400_000,
            token_bytes: 1,
            link_mbps: 1,
            role_change_ms: Millis(3000),
            handover_ms: Millis(5000),
        }),
    }];
    let table = RouteTable {
        services,
        ..table(1, &[("till", 1)])
    };
    let configuration = configuration(5, table, records);
    gateway.update(WatchUpdate::Snapshot(configuration.into()));
    gateway.set_gateways(gateways);
    gateway
}

/// Delivers a digest of what peer gateways have in flight; back ends that are not named
/// have nothing.
pub fn receive_digest(gateway: &mut Forwarder, backlogs: &[Backlog]) {
    let ids: Vec<BackendId> = gateway.backend_ids().cloned().collect();
    let state = |id: &BackendId| {
        let backlog = backlogs.iter().find(|backlog| backlog.backend == *id);
        backlog.map_or(BackendState::default(), |backlog| BackendState {
            requests: backlog.requests,
            uncached: backlog.uncached,
            held_tokens: backlog.held_tokens,
            is_failing: false,
        })
    };
    let states: Vec<BackendState> = ids.iter().map(state).collect();
    let leader_digest = GatewayDigest {
        digest: LoadDigest::encode(BackendListHash::of(ids.iter()), states),
        counted: None,
    };
    gateway.take_digest(&leader_digest, NOW);
}

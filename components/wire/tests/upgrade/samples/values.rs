//! Values that occur in the samples of commands and frames.

use std::sync::Arc;

use garnet_consensus::{Member, Membership};
use garnet_control::*;
use garnet_quarantine::{EngineStart, RequestFingerprint};
use garnet_routes::*;
use garnet_types::*;

pub(super) fn assignment(role: EngineRole) -> EngineAssignment {
    EngineAssignment {
        role,
        model: ModelId::new("m"),
    }
}
pub(super) fn observation(role: EngineRole) -> EngineObservation {
    EngineObservation {
        incarnation: 77,
        assignment: assignment(role),
    }
}
pub(super) fn claim(key: &str) -> ClaimCommand {
    ClaimCommand {
        tenant: TenantId::new("pharmacy"),
        key: IdempotencyKey::new(key),
        body_hash: 9000,
        claim: ClaimId {
            gateway: GatewayId::new("gateway-1"),
            request: RequestId(500),
        },
    }
}
pub(super) fn response() -> RecordedResponse {
    RecordedResponse {
        status: 200,
        content_type: "application/json".into(),
        body: b"{\"held\":true}".to_vec(),
        served_by: "app-1".into(),
    }
}
pub(super) fn session() -> Session {
    Session {
        id: SessionId::new("session-1"),
        tenant: TenantId::new("pharmacy"),
        service: ServiceId::new("chat"),
        model: Some(ModelId::new("m")),
    }
}
pub(super) fn table(version: u64) -> RouteTable {
    let mut t = RouteTable {
        version,
        routes: vec![Route {
            name: "offers".into(),
            host: "shop.example".into(),
            path_prefix: "/offers/".into(),
            kind: WorkKind::ResumableStream,
            timeout_ms: Millis(5000),
            objective_ms: Millis(600),
            pause_objective_ms: Some(Millis(300)),
            priority: 1,
            max_attempts: 2,
            services: vec![
                WeightedService {
                    service: ServiceId::new("chat"),
                    weight: 90,
                },
                WeightedService {
                    service: ServiceId::new("checkout"),
                    weight: 10,
                },
            ],
            public: false,
        }],
        services: vec![
            ServiceSettings {
                name: ServiceId::new("chat"),
                max_connections: 360,
                engine: Some(EngineLimits {
                    slots: 64,
                    cache_tokens: 433_612,
                    token_bytes: 18_432,
                    link_mbps: 370_000,
                    role_change_ms: Millis(3600),
                    handover_ms: Millis(5000),
                }),
                buying: None,
            },
            ServiceSettings {
                name: ServiceId::new("checkout"),
                max_connections: 100,
                engine: None,
                buying: None,
            },
        ],
        limits: CallerLimits {
            max_head_bytes: 16_384,
            max_body_bytes: 4_194_304,
            head_timeout_ms: Millis(3000),
            idle_timeout_ms: Millis(15_000),
        },
        tenants: None,
    };
    t.routes.truncate(8);
    t
}
pub(super) fn registration(id: &str, kind: BackendKind) -> BackendRegistration {
    BackendRegistration {
        id: BackendId::new(id),
        kind,
        service: ServiceId::new(if kind == BackendKind::Engine {
            "chat"
        } else {
            "checkout"
        }),
        address: format!("10.0.0.9:{}", 8000 + id.len()),
        zone: "zone-a".into(),
        start: if kind == BackendKind::Application {
            31
        } else {
            0
        },
    }
}
pub(super) fn document(version: u64) -> String {
    format!("{{\"version\":{version},\"note\":\"as the operator wrote it\"}}")
}

pub(super) fn fingerprint() -> RequestFingerprint {
    "000000000000000000000000000000aa".parse().unwrap()
}
pub(super) fn record(id: &str, machine: MachineState, order: bool) -> BackendRecord {
    BackendRecord {
        registration: registration(id, BackendKind::Engine),
        machine,
        desired: Some(assignment(EngineRole::Prefill)),
        observed: Some(observation(EngineRole::Decode)),
        order: order.then(|| OutstandingOrder {
            fence: Fence { term: 3, index: 44 },
            assignment: assignment(EngineRole::Prefill),
            out_of_service_since: 44,
        }),
        revision: 45,
    }
}
pub(super) fn configuration() -> Configuration {
    let mut c = Configuration::default();
    c.change(40, &ConfigurationChange::SessionCreated(session()));
    c.change(41, &ConfigurationChange::RoutesPut(Arc::new(table(7))));
    c.change(
        42,
        &ConfigurationChange::PolicyPut {
            name: "urgent".into(),
            record: PolicyRecord {
                document: "class = 1".into(),
                revision: 42,
            },
        },
    );
    c.change(
        43,
        &ConfigurationChange::BackendPut(record("engine-1", MachineState::Live, true)),
    );
    c.change(
        45,
        &ConfigurationChange::BackendPut(record("engine-2", MachineState::Leaving, false)),
    );
    c
}
pub(super) fn membership() -> Membership {
    Membership {
        members: [(
            ReplicaId(1),
            Member {
                peer_address: "10.0.0.1:7400".into(),
                admin_address: "10.0.0.1:8100".into(),
                voter: true,
            },
        )]
        .into_iter()
        .collect(),
    }
}
/// A route table with all the fields that version 11 lacks.
pub(super) fn full_table() -> RouteTable {
    let mut table = table(9);
    table.routes[0].public = true;
    table.services[0].buying = Some(ScalingSettings {
        least_in_zone: 1,
        most_in_zone: 5,
        start_ms: Millis(9000),
        preemptible_price: Some(PriceMilli(400)),
        zone_prices: [("zone-a".to_owned(), PriceMilli(900))].into(),
    });
    let digest = "sha256:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
    table.tenants = Some(vec![Tenant {
        name: TenantId::new("pharmacy"),
        priority: Some(1),
        keys: vec![digest.parse().expect("a digest")],
    }]);
    table
}

pub(super) fn engine_start() -> EngineStart {
    EngineStart {
        backend: BackendId::new("engine-1"),
        incarnation: 77,
    }
}

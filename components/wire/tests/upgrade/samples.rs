//! The values whose encodings are recorded.

use std::sync::Arc;

use garnet_consensus::{Entry, EntryPayload, Envelope, Member, Membership, Message};
use garnet_control::*;
use garnet_limits::{
    LimitEntry, LimitReport, LimitReports, PermitAnswer, PermitAsk, PermitOutcome,
};
use garnet_quarantine::{
    EndedRun, EngineStart, RequestFingerprint, RunEnd, RunReport, SuspectedRequest, Suspects,
};
use garnet_routes::*;
use garnet_types::*;
use garnet_wire::{Frame, Sender};

fn assignment(role: EngineRole) -> EngineAssignment {
    EngineAssignment {
        role,
        model: ModelId::new("m"),
    }
}
fn observation(role: EngineRole) -> EngineObservation {
    EngineObservation {
        incarnation: 77,
        assignment: assignment(role),
    }
}
fn claim(key: &str) -> ClaimCommand {
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
fn response() -> RecordedResponse {
    RecordedResponse {
        status: 200,
        content_type: "application/json".into(),
        body: b"{\"held\":true}".to_vec(),
        served_by: "app-1".into(),
    }
}
fn session() -> Session {
    Session {
        id: SessionId::new("session-1"),
        tenant: TenantId::new("pharmacy"),
        service: ServiceId::new("chat"),
        model: Some(ModelId::new("m")),
    }
}
fn table(version: u64) -> RouteTable {
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
fn registration(id: &str, kind: BackendKind) -> BackendRegistration {
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
fn document(version: u64) -> String {
    format!("{{\"version\":{version},\"note\":\"as the operator wrote it\"}}")
}

pub fn commands() -> Vec<(&'static str, Command)> {
    let engine = || BackendId::new("engine-1");
    let fence = Fence { term: 3, index: 44 };
    vec![
        ("create_session", Command::CreateSession(session())),
        (
            "close_session",
            Command::CloseSession(SessionId::new("session-1")),
        ),
        (
            "put_policy",
            Command::PutPolicy {
                name: "urgent".into(),
                document: "class = 1".into(),
            },
        ),
        ("withdraw_policy", Command::WithdrawPolicy("urgent".into())),
        (
            "put_routes",
            Command::PutRoutes {
                table: Arc::new(table(7)),
                document: document(7),
            },
        ),
        (
            "put_backend",
            Command::PutBackend(registration("app-1", BackendKind::Application)),
        ),
        (
            "set_machine",
            Command::SetMachine {
                backend: engine(),
                state: MachineState::Leaving,
            },
        ),
        ("remove_backend", Command::RemoveBackend(engine())),
        (
            "assign",
            Command::Assign {
                engine: engine(),
                assignment: assignment(EngineRole::Prefill),
            },
        ),
        ("begin_order", Command::BeginOrder(engine())),
        (
            "renew_order",
            Command::RenewOrder {
                engine: engine(),
                replaces: fence,
            },
        ),
        (
            "settle_order",
            Command::SettleOrder {
                engine: engine(),
                fence,
                observation: observation(EngineRole::Prefill),
            },
        ),
        (
            "observe",
            Command::Observe {
                engine: engine(),
                observation: observation(EngineRole::Decode),
            },
        ),
        ("claim", Command::Claim(claim("a"))),
        ("release_claim", Command::ReleaseClaim(claim("a"))),
        (
            "record_result",
            Command::RecordResult {
                claim: claim("a"),
                response: response(),
            },
        ),
    ]
}

fn fingerprint() -> RequestFingerprint {
    "000000000000000000000000000000aa".parse().unwrap()
}
pub fn later_commands() -> Vec<(&'static str, Command)> {
    let note = MachineNote {
        registration: registration("app-1", BackendKind::Application),
        state: MachineState::Live,
        observed: Some(observation(EngineRole::Decode)),
    };
    let report = UsageReport {
        gateway: GatewayId::new("gateway-1"),
        number: 3,
        counts: vec![UsageCount {
            window: UsageWindow(7),
            tenant: TenantId::new("one"),
            requests: 5,
        }],
    };
    vec![
        (
            "begin_idle_order",
            Command::BeginIdleOrder(BackendId::new("engine-1")),
        ),
        ("begin_tenure", Command::BeginTenure(ReplicaId(2))),
        ("count_usage", Command::CountUsage(vec![report])),
        ("close_usage", Command::CloseUsage(UsageWindow(7))),
        (
            "note_needed",
            Command::NoteNeeded {
                service: ServiceId::new("chat"),
                engines: 12,
            },
        ),
        ("usage_told", Command::UsageTold(UsageWindow(7))),
        (
            "quarantine_request",
            Command::QuarantineRequest {
                fingerprint: fingerprint(),
                crashes: 3,
            },
        ),
        ("release_request", Command::ReleaseRequest(fingerprint())),
        (
            "note_suspects",
            Command::NoteSuspects(vec![SuspectedRequest {
                fingerprint: fingerprint(),
                engines: Vec::new(),
            }]),
        ),
        ("note_machines", Command::NoteMachines(vec![note])),
        (
            "forget_machines",
            Command::ForgetMachines(vec![BackendId::new("engine-1")]),
        ),
    ]
}
pub fn later_frames() -> Vec<(&'static str, Frame)> {
    let report = UsageReport {
        gateway: GatewayId::new("gateway-1"),
        number: 3,
        counts: vec![UsageCount {
            window: UsageWindow(7),
            tenant: TenantId::new("one"),
            requests: 5,
        }],
    };
    vec![
        (
            "gateway_usage",
            Frame::Gateway(GatewayRequest::Usage(report)),
        ),
        (
            "gateway_part",
            Frame::Gateway(GatewayRequest::Part(PartRequest {
                index: 41,
                number: 2,
            })),
        ),
        (
            "control_usage",
            Frame::Control(ControlReply::Usage(UsageReceipt {
                logged: 3,
                closed_through: Some(UsageWindow(6)),
                time: Millis(9000),
            })),
        ),
        (
            "control_runs_noted",
            Frame::Control(ControlReply::RunsNoted { through: 8 }),
        ),
        (
            "control_part_gone",
            Frame::Control(ControlReply::Part(None)),
        ),
        (
            "control_parts",
            watch_reply(WatchUpdate::Parts { index: 41 }),
        ),
        ("control_under_way", watch_reply(WatchUpdate::UnderWay)),
    ]
}

fn record(id: &str, machine: MachineState, order: bool) -> BackendRecord {
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
fn configuration() -> Configuration {
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
fn changes() -> Vec<(u64, ConfigurationChange)> {
    vec![
        (40, ConfigurationChange::SessionCreated(session())),
        (
            41,
            ConfigurationChange::SessionClosed(SessionId::new("session-1")),
        ),
        (42, ConfigurationChange::RoutesPut(Arc::new(table(8)))),
        (
            43,
            ConfigurationChange::PolicyPut {
                name: "urgent".into(),
                record: PolicyRecord {
                    document: "class = 1".into(),
                    revision: 43,
                },
            },
        ),
        (44, ConfigurationChange::PolicyWithdrawn("urgent".into())),
        (
            45,
            ConfigurationChange::BackendPut(record("engine-1", MachineState::Live, true)),
        ),
        (
            46,
            ConfigurationChange::BackendRemoved(BackendId::new("engine-2")),
        ),
    ]
}
fn digest() -> ToldDigest {
    let ids = [
        BackendId::new("engine-1"),
        BackendId::new("engine-2"),
        BackendId::new("engine-3"),
    ];
    let states = [
        BackendState::default(),
        BackendState {
            requests: 4,
            uncached: ByRank::at(1, 640),
            held_tokens: 1280,
            is_failing: false,
        },
        BackendState {
            requests: 0,
            uncached: ByRank::default(),
            held_tokens: 0,
            is_failing: true,
        },
    ];
    ToldDigest {
        digest: LoadDigest::encode(MembersHash::of(ids.iter()), states),
        counted: Some(Millis(990)),
    }
}
fn watch_reply(update: WatchUpdate) -> Frame {
    Frame::Control(ControlReply::Watch {
        sent_at: Millis(1000),
        update,
        group: Some(GroupView {
            index: 5,
            addresses: vec!["10.0.0.1:7400".into(), "10.0.0.2:7400".into()],
        }),
        gateways: 7,
        digest: Some(digest()),
        copies: CopyNews {
            members: MembersHash::of([BackendId::new("engine-1")].iter()),
            copies: vec![PlacedCopy {
                prefix: PrefixId(0xabc),
                place: 1,
            }],
        },
        suspects: None,
    })
}
fn peer(message: Message) -> Frame {
    Frame::Peer(Envelope {
        from: ReplicaId(1),
        to: ReplicaId(2),
        term: 9,
        message,
    })
}
fn membership() -> Membership {
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
pub fn frames(version: EncodingVersion) -> Vec<(&'static str, Frame)> {
    vec![
        (
            "hello_replica",
            Frame::Hello {
                version,
                sender: Sender::Replica {
                    id: ReplicaId(1),
                    address: "10.0.0.1:7400".into(),
                },
            },
        ),
        (
            "hello_gateway",
            Frame::Hello {
                version,
                sender: Sender::Gateway(GatewayId::new("gateway-1")),
            },
        ),
        (
            "peer_request_vote",
            peer(Message::RequestVote {
                pre_vote: true,
                transfer: false,
                last_index: 88,
                last_term: 8,
            }),
        ),
        (
            "peer_vote_reply",
            peer(Message::VoteReply {
                pre_vote: true,
                granted: true,
            }),
        ),
        (
            "peer_append",
            peer(Message::Append {
                previous_index: 87,
                previous_term: 8,
                entries: vec![
                    Entry {
                        index: 88,
                        term: 9,
                        payload: EntryPayload::Noop,
                    },
                    Entry {
                        index: 89,
                        term: 9,
                        payload: EntryPayload::Command(vec![1, 2, 3]),
                    },
                    Entry {
                        index: 90,
                        term: 9,
                        payload: EntryPayload::Membership(membership()),
                    },
                ],
                commit_index: 87,
                sent_at: Millis(1234),
            }),
        ),
        (
            "peer_append_reply",
            peer(Message::AppendReply {
                match_index: 90,
                accepted: true,
                sent_at: Millis(1234),
            }),
        ),
        (
            "peer_snapshot_chunk",
            peer(Message::SnapshotChunk {
                index: 60,
                snapshot_term: 7,
                membership: membership(),
                offset: 0,
                data: vec![9, 8, 7],
                done: true,
                sent_at: Millis(1300),
            }),
        ),
        (
            "peer_snapshot_reply",
            peer(Message::SnapshotReply {
                index: 60,
                next_offset: 3,
                sent_at: Millis(1300),
            }),
        ),
        ("peer_timeout_now", peer(Message::TimeoutNow)),
        (
            "join",
            Frame::Join(JoinRequest {
                id: ReplicaId(4),
                peer_address: "10.0.0.4:7400".into(),
                admin_address: "10.0.0.4:8100".into(),
            }),
        ),
        (
            "gateway_watch",
            Frame::Gateway(GatewayRequest::Watch {
                gateway: GatewayId::new("gateway-1"),
                configuration_index: 41,
                sent_at: Millis(1000),
                group_index: 5,
                mix: vec![PoolMix {
                    service: ServiceId::new("chat"),
                    model: ModelId::new("m"),
                    requests: 9,
                    prompt_bound: 4,
                    prompt_tokens: 8000,
                    output_tokens: 300,
                }],
                backlogs: vec![Backlog {
                    backend: BackendId::new("engine-1"),
                    requests: 3,
                    uncached: ByRank::at(2, 900),
                    held_tokens: 2000,
                }],
                evidence: vec![Evidence {
                    backend: BackendId::new("engine-1"),
                    answered: 5,
                    failed: 1,
                    unreachable: 2,
                }],
                copies: vec![PromptCopy {
                    prefix: PrefixId(0xabc),
                    backend: BackendId::new("engine-1"),
                }],
            }),
        ),
        (
            "gateway_claim",
            Frame::Gateway(GatewayRequest::Claim(ClaimRequest::Claim(claim("a")))),
        ),
        (
            "gateway_release",
            Frame::Gateway(GatewayRequest::Claim(ClaimRequest::Release(claim("a")))),
        ),
        (
            "gateway_record",
            Frame::Gateway(GatewayRequest::Claim(ClaimRequest::Record {
                claim: claim("a"),
                response: response(),
            })),
        ),
        ("control_current", watch_reply(WatchUpdate::Current)),
        (
            "control_changes",
            watch_reply(WatchUpdate::Changes {
                from: 39,
                to: 46,
                changes: Arc::new(changes()).into(),
            }),
        ),
        (
            "control_snapshot",
            watch_reply(WatchUpdate::Snapshot(Arc::new(configuration()).into())),
        ),
        (
            "control_claim_granted",
            Frame::Control(ControlReply::Claim {
                claim: claim("a"),
                answer: ClaimAnswer::Granted,
            }),
        ),
        (
            "control_claim_held",
            Frame::Control(ControlReply::Claim {
                claim: claim("a"),
                answer: ClaimAnswer::Held,
            }),
        ),
        (
            "control_claim_recorded",
            Frame::Control(ControlReply::Claim {
                claim: claim("a"),
                answer: ClaimAnswer::Recorded(response()),
            }),
        ),
        (
            "control_claim_body_differs",
            Frame::Control(ControlReply::Claim {
                claim: claim("a"),
                answer: ClaimAnswer::BodyDiffers,
            }),
        ),
        (
            "control_claim_released",
            Frame::Control(ControlReply::Claim {
                claim: claim("a"),
                answer: ClaimAnswer::Released,
            }),
        ),
        (
            "control_claim_full",
            Frame::Control(ControlReply::Claim {
                claim: claim("a"),
                answer: ClaimAnswer::Full,
            }),
        ),
        (
            "control_claim_noted",
            Frame::Control(ControlReply::Claim {
                claim: claim("a"),
                answer: ClaimAnswer::Noted,
            }),
        ),
        (
            "control_not_leader",
            Frame::Control(ControlReply::NotLeader {
                leader: Some("10.0.0.2:7400".into()),
                last_known: Some(Arc::new(configuration()).into()),
            }),
        ),
    ]
}

/// A table with all that version 11 has no place for.
fn whole_table() -> RouteTable {
    let mut table = table(9);
    table.routes[0].public = true;
    table.services[0].buying = Some(BuyingTerms {
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

fn engine_start() -> EngineStart {
    EngineStart {
        backend: BackendId::new("engine-1"),
        incarnation: 77,
    }
}

fn whole_changes() -> Vec<(u64, ConfigurationChange)> {
    let record = QuarantineRecord {
        crashes: 3,
        until: Millis(99_000),
    };
    let mut changes = changes();
    changes.push((47, ConfigurationChange::RoutesPut(Arc::new(whole_table()))));
    changes.push((
        48,
        ConfigurationChange::RequestQuarantined(fingerprint(), record),
    ));
    changes.push((49, ConfigurationChange::RequestReleased(fingerprint())));
    changes
}

/// Commands that were recorded from version 17 on.
pub fn commands_since_17() -> Vec<(&'static str, Command)> {
    let suspects = vec![SuspectedRequest {
        fingerprint: fingerprint(),
        engines: vec![engine_start()],
    }];
    vec![
        (
            "put_whole_routes",
            Command::PutRoutes {
                table: Arc::new(whole_table()),
                document: document(9),
            },
        ),
        ("note_suspect", Command::NoteSuspects(suspects)),
        ("raise_level", Command::RaiseLevel(EncodingVersion::V17)),
    ]
}

/// Frames that were recorded from version 17 on.
pub fn frames_since_17() -> Vec<(&'static str, Frame)> {
    let runs = vec![
        EndedRun {
            fingerprint: fingerprint(),
            end: RunEnd::Crashed(engine_start()),
            ago: Millis(40),
        },
        EndedRun {
            fingerprint: fingerprint(),
            end: RunEnd::Completed,
            ago: Millis(20),
        },
    ];
    let rate = "1.5".parse().expect("a rate");
    let engine = || BackendId::new("engine-1");
    let limit_report = LimitReport {
        backend: engine(),
        start: 77,
        rate: Some(rate),
        ago: Millis(5),
    };
    let reports = LimitReports {
        number: 4,
        reports: vec![limit_report],
    };
    let ask = PermitAsk {
        number: 6,
        backends: vec![engine()],
        rank: 1,
    };
    let granted = PermitOutcome::Granted {
        backend: engine(),
        is_due: true,
    };
    let refused = PermitOutcome::Refused {
        wait: Millis(300),
        retry_after: Millis(700),
    };
    let place = PartRequest {
        index: 41,
        number: 0,
    };
    let part = |content: PartContent| ConfigurationPart {
        place,
        parts: 2,
        content: content.into(),
    };
    let limits = LimitUpdate {
        term: 9,
        number: 2,
        reports_taken: 4,
        limits: vec![LimitEntry {
            backend: engine(),
            rate,
        }]
        .into(),
    };
    let suspects = Suspects {
        suspected: vec![fingerprint()],
        refused: vec![fingerprint()],
    };
    let with_suspects = match watch_reply(WatchUpdate::Current) {
        Frame::Control(ControlReply::Watch {
            sent_at,
            update,
            group,
            gateways,
            digest,
            copies,
            ..
        }) => Frame::Control(ControlReply::Watch {
            sent_at,
            update,
            group,
            gateways,
            digest,
            copies,
            suspects: Some(suspects),
        }),
        other => other,
    };
    let control = |reply: ControlReply| Frame::Control(reply);
    vec![
        (
            "welcome",
            Frame::Welcome {
                version: EncodingVersion::V17,
            },
        ),
        (
            "gateway_runs",
            Frame::Gateway(GatewayRequest::Runs(RunReport { runs, through: 8 })),
        ),
        (
            "gateway_limit_reports",
            Frame::Gateway(GatewayRequest::LimitReports {
                gateway: GatewayId::new("gateway-1"),
                reports,
            }),
        ),
        (
            "gateway_permit",
            Frame::Gateway(GatewayRequest::Permit(ask)),
        ),
        (
            "control_whole_changes",
            watch_reply(WatchUpdate::Changes {
                from: 39,
                to: 49,
                changes: whole_changes().into(),
            }),
        ),
        ("control_suspects", with_suspects),
        (
            "control_part_rest",
            control(ControlReply::Part(Some(part(PartContent::Rest(
                configuration(),
            ))))),
        ),
        (
            "control_part_backends",
            control(ControlReply::Part(Some(part(PartContent::Backends(vec![
                record("engine-1", MachineState::Live, true),
            ]))))),
        ),
        ("control_limits", control(ControlReply::Limits(limits))),
        (
            "control_permit_granted",
            control(ControlReply::Permit(PermitAnswer {
                number: 6,
                outcome: granted,
            })),
        ),
        (
            "control_permit_refused",
            control(ControlReply::Permit(PermitAnswer {
                number: 6,
                outcome: refused,
            })),
        ),
    ]
}

const POLICY: &str = r#"# How Reefline's work is treated. The first rule that matches decides.

[[rule]]
when = 'service == "tillside" && path.startsWith("/basket")'
class = "urgent"
deadline_ms = 3000
repeatable = false

[[rule]]
when = 'service == "tillside" && path.startsWith("/receipt")'
class = "interactive"
deadline_ms = 5000

[[rule]]
when = 'service == "shopwords" && session.startsWith("summaries")'
class = "deferrable"
deadline_ms = 120000
may_wait = true

[[rule]]
when = 'service == "shopwords"'
class = "interactive"
deadline_ms = 8000
tenant_tokens_per_second = 20000

[planner]
role_change_price = 40.0
"#;

/// What the folders hold, in order.
pub fn acknowledged_commands() -> Vec<Command> {
    let mut all = Vec::new();
    let e = |n: u32| BackendId::new(format!("engine-{n}"));
    all.push(Command::PutRoutes {
        table: Arc::new(table(6)),
        document: document(6),
    });
    for n in 1..=4 {
        all.push(Command::PutBackend(registration(
            &format!("engine-{n}"),
            BackendKind::Engine,
        )));
        all.push(Command::Observe {
            engine: e(n),
            observation: observation(if n <= 2 {
                EngineRole::Prefill
            } else {
                EngineRole::Decode
            }),
        });
    }
    all.push(Command::PutBackend(registration(
        "app-1",
        BackendKind::Application,
    )));
    all.push(Command::SetMachine {
        backend: e(4),
        state: MachineState::Leaving,
    });
    all.push(Command::Assign {
        engine: e(1),
        assignment: assignment(EngineRole::Decode),
    });
    all.push(Command::BeginOrder(e(1)));
    all.push(Command::CreateSession(session()));
    all.push(Command::PutPolicy {
        name: "urgent".into(),
        document: POLICY.into(),
    });
    all.push(Command::Claim(claim("held")));
    all.push(Command::Claim(claim("recorded")));
    all.push(Command::RecordResult {
        claim: claim("recorded"),
        response: response(),
    });
    all.push(Command::Claim(claim("released")));
    all.push(Command::ReleaseClaim(claim("released")));
    all.push(Command::PutRoutes {
        table: Arc::new(table(7)),
        document: document(7),
    });
    all
}

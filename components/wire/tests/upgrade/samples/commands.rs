//! Samples of the log's commands.

use std::sync::Arc;

use garnet_control::*;
use garnet_quarantine::SuspectedRequest;
use garnet_types::*;

use super::values::*;

/// Commands that are recorded for each version.
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

/// Commands that are recorded from version 16 on.
pub fn commands_since_16() -> Vec<(&'static str, Command)> {
    let update = MachineUpdate {
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
        ("note_machines", Command::NoteMachines(vec![update])),
        (
            "forget_machines",
            Command::ForgetMachines(vec![BackendId::new("engine-1")]),
        ),
    ]
}
/// Commands that are recorded from version 17 on.
pub fn commands_since_17() -> Vec<(&'static str, Command)> {
    let suspects = vec![SuspectedRequest {
        fingerprint: fingerprint(),
        engines: vec![engine_start()],
    }];
    vec![
        (
            "put_whole_routes",
            Command::PutRoutes {
                table: Arc::new(full_table()),
                document: document(9),
            },
        ),
        ("note_suspect", Command::NoteSuspects(suspects)),
        ("raise_level", Command::RaiseLevel(EncodingVersion::V17)),
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

/// The commands in the logs of the recorded folders, in order.
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

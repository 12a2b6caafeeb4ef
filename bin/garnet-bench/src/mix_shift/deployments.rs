//! The users' two deployments, as experiments run them.
//!
//! Policies and planners are the files that `scripts/fleet` deploys. What the
//! callers ask is ours: the users' page gives shapes, not figures.

use garnet_control::planner_settings;
use garnet_planner::PlannerSettings;
use garnet_settings::Document;
use garnet_simulator::{Deployment, RequestKind};
use garnet_types::{EngineCapacity, EngineRole, Millis};

use EngineRole::{Decode, Prefill};

const REEFLINE_PLANNER: &str = include_str!("../../../../deploy/reefline/planner.toml");
const REEFLINE_POLICY: &str = include_str!("../../../../deploy/reefline/policies/reefline.toml");
const VOORSCHRIFT_PLANNER: &str = include_str!("../../../../deploy/voorschrift/planner.toml");
const VOORSCHRIFT_POLICY: &str =
    include_str!("../../../../deploy/voorschrift/policies/voorschrift.toml");
/// Service of the engines in the simulated fleet; policies name the real one.
const SIMULATED_SERVICE: &str = "language";

/// The deployment of a name.
pub(crate) fn by_name(name: &str) -> Result<Deployment, String> {
    match name {
        "reefline" => reefline(),
        "voorschrift" => voorschrift(),
        other => Err(format!(
            "unknown deployment \"{other}\": reefline or voorschrift"
        )),
    }
}

/// Shop texts: questions of support staff over long receipts, offers while a
/// player looks, and catalogue summaries that can wait.
fn reefline() -> Result<Deployment, String> {
    let summaries = RequestKind {
        name: "summary",
        session: "summaries",
        prompt_tokens: 2000..4000,
        output_tokens: 100..200,
        deadline: Millis(120_000),
    };
    Ok(Deployment {
        name: "reefline",
        roles: vec![Prefill, Prefill, Decode, Decode, Decode],
        capacity: EngineCapacity::default(),
        planner: planner(REEFLINE_PLANNER)?,
        policy: REEFLINE_POLICY.replace("shopwords", SIMULATED_SERVICE),
        prompt_heavy: RequestKind {
            name: "receipt",
            session: "support",
            prompt_tokens: 1500..4500,
            output_tokens: 20..60,
            deadline: Millis(8000),
        },
        output_heavy: RequestKind {
            name: "offer",
            session: "offers",
            prompt_tokens: 100..400,
            output_tokens: 100..250,
            deadline: Millis(8000),
        },
        deferrable: Some((summaries, 0.08)),
    })
}

/// Verdicts over long histories at the counter, and letters to care teams.
fn voorschrift() -> Result<Deployment, String> {
    Ok(Deployment {
        name: "voorschrift",
        roles: vec![Prefill, Prefill, Prefill, Decode, Decode],
        capacity: EngineCapacity::default(),
        planner: planner(VOORSCHRIFT_PLANNER)?,
        policy: VOORSCHRIFT_POLICY.replace("herhaal-llm", SIMULATED_SERVICE),
        prompt_heavy: RequestKind {
            name: "verdict",
            session: "counter",
            prompt_tokens: 2000..6000,
            output_tokens: 10..40,
            deadline: Millis(8000),
        },
        output_heavy: RequestKind {
            name: "letter",
            session: "letters",
            prompt_tokens: 150..500,
            output_tokens: 150..300,
            deadline: Millis(12_000),
        },
        deferrable: None,
    })
}

fn planner(text: &str) -> Result<PlannerSettings, String> {
    Document::read("planner.toml", text, |table| {
        table.table("planner", planner_settings).flatten()
    })
    .map_err(|findings| findings.to_string())?
    .ok_or_else(|| "the planner is not enabled".to_owned())
}

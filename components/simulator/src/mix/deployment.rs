//! A deployment as an experiment sees it.

use std::ops::Range;

use garnet_planner::PlannerSettings;
use garnet_types::{EngineCapacity, EngineRole, Millis, SessionId, TenantId};

/// One kind of request, and how it is asked.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// Its name in reports.
    pub name: &'static str,
    /// How the names of its sessions begin; policies match on it.
    pub session: &'static str,
    /// Tokens of a prompt.
    pub prompt_tokens: Range<u64>,
    /// Tokens of an answer.
    pub output_tokens: Range<u64>,
    /// An answer that comes later is useless, counted from the first sending.
    pub deadline: Millis,
}

/// Sessions of a kind, each of another tenant.
pub(crate) const SESSIONS_OF_A_KIND: usize = 24;

impl RequestKind {
    /// The name of a session.
    pub(crate) fn session_id(&self, number: usize) -> SessionId {
        SessionId::new(format!("{}-{number}", self.session))
    }

    /// The tenant of a session.
    pub(crate) fn tenant_id(&self, number: usize) -> TenantId {
        TenantId::new(format!("{}-{number}", self.name))
    }

    /// Mean tokens of prompt and answer.
    pub fn mean_tokens(&self) -> (f64, f64) {
        let mean = |range: &Range<u64>| (range.start + range.end - 1) as f64 / 2.0;
        (mean(&self.prompt_tokens), mean(&self.output_tokens))
    }
}

/// A deployment: its engines, its policy and what its callers ask.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Roles at the start, which the fixed strategy keeps.
    pub roles: Vec<EngineRole>,
    /// Speed of each engine.
    pub capacity: EngineCapacity,
    /// Settings of its planner.
    pub planner: PlannerSettings,
    /// Its policy document.
    pub policy: String,
    /// Requests with long prompts and short answers.
    pub prompt_heavy: RequestKind,
    /// Requests with short prompts and long answers.
    pub output_heavy: RequestKind,
    /// Requests that may wait, and their share of all.
    pub deferrable: Option<(RequestKind, f64)>,
}

impl Deployment {
    /// Replaces the price of a role change, in the policy's and the planner's
    /// settings.
    pub fn set_price(&mut self, price: f64) {
        self.planner.role_change_price = price;
        let lines = self.policy.lines().map(|line| {
            if line.starts_with("role_change_price") {
                format!("role_change_price = {price:.1}")
            } else {
                line.to_owned()
            }
        });
        self.policy = lines.collect::<Vec<_>>().join("\n");
    }

    /// The kinds of requests, by number.
    pub fn kinds(&self) -> Vec<&RequestKind> {
        let deferrable = self.deferrable.iter().map(|(kind, _)| kind);
        [&self.prompt_heavy, &self.output_heavy]
            .into_iter()
            .chain(deferrable)
            .collect()
    }

    /// Share of each kind when `prompt_share` of the others is prompt-heavy.
    pub fn shares(&self, prompt_share: f64) -> Vec<f64> {
        let waiting = self.deferrable.as_ref().map_or(0.0, |(_, share)| *share);
        let mut shares = vec![
            (1.0 - waiting) * prompt_share,
            (1.0 - waiting) * (1.0 - prompt_share),
        ];
        if waiting > 0.0 {
            shares.push(waiting);
        }
        shares
    }

    /// Requests a second that the engines could serve at most, if they could
    /// be divided over the phases without rest.
    pub fn ideal_rate(&self, prompt_share: f64) -> f64 {
        let decode_rate = self.capacity.decode_slots as f64 * 1000.0 / self.capacity.decode_step_ms;
        let engine_seconds: f64 = self
            .kinds()
            .iter()
            .zip(self.shares(prompt_share))
            .map(|(kind, share)| {
                let (prompt, output) = kind.mean_tokens();
                share * (prompt / self.capacity.prefill_tokens_per_second + output / decode_rate)
            })
            .sum();
        self.roles.len() as f64 / engine_seconds
    }
}

//! A request inside the gateway, from arrival to its final answer.

use garnet_control::ClaimCommand;
use garnet_quarantine::{RequestFingerprint, RequestIdentity};
use garnet_types::{BackendId, Millis, ModelId, ServiceId, TenantId, Verdict};

use crate::body_hash::body_hash;
use crate::call::{Call, Work};
use crate::effects::{AttemptId, KvSource};
use crate::gateway::AwaitedPermit;

/// Where a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It names something unknown; a watch sent after its arrival will tell.
    AwaitingConfiguration,
    /// The claim on its key is not answered yet.
    Claiming { sent_at: Millis },
    /// It waits for room.
    Waiting,
    /// It waits for the leader's permit.
    AwaitingPermit(AwaitedPermit),
    /// An engine reads its prompt for another one.
    Prefilling { attempt: AttemptId },
    /// An engine generates its text.
    Generating { attempt: AttemptId },
    /// An application instance works on it.
    Running { attempt: AttemptId },
}

/// A request that has no final answer yet, or whose result is still recorded.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) call: Call,
    pub(crate) stage: Stage,
    pub(crate) arrived_at: Millis,
    pub(crate) deadline: Millis,
    pub(crate) tenant: TenantId,
    pub(crate) service: ServiceId,
    pub(crate) verdict: Verdict,
    pub(crate) claim: Option<ClaimCommand>,
    pub(crate) delivered: Vec<String>,
    pub(crate) prompt_tokens: u64,
    pub(crate) prompt_blocks: Vec<u64>,
    /// Back ends that this request failed at.
    pub(crate) failed_backends: Vec<BackendId>,
    /// Whether an engine has read its prompt for another one.
    pub(crate) is_prefilled: bool,
    /// KV cache of its prompt that no engine has imported.
    pub(crate) kv_cache: Option<KvSource>,
    /// Whether any back end may have begun it.
    pub(crate) may_have_run: bool,
    /// The same, before the attempt that is under way.
    pub(crate) may_have_run_before: bool,
    /// Whether the caller has its answer: what goes on only serves a resend.
    pub(crate) answered: bool,
    pub(crate) resumed: u32,
    /// Permits that were asked for since its last attempt.
    pub(crate) permits_requested: u8,
    /// When its attempt began.
    pub(crate) dispatched_at: Millis,
    /// When its attempt began or last gave tokens.
    pub(crate) progress_at: Millis,
}

impl Request {
    pub(crate) fn model(&self) -> Option<&ModelId> {
        match &self.call.work {
            Work::Completion { model, .. } => Some(model),
            Work::Application { .. } => None,
        }
    }

    /// Most tokens of the whole text; zero for an application call.
    pub(crate) fn max_tokens(&self) -> u64 {
        match &self.call.work {
            Work::Completion { max_tokens, .. } => *max_tokens,
            Work::Application { .. } => 0,
        }
    }

    /// Hash of the tenant and of everything that is asked.
    pub(crate) fn body_hash(&self) -> u64 {
        body_hash(&self.tenant, &self.call.work)
    }

    /// Stands for the request in whichever attempt of its caller. How a caller
    /// wants its text handed over, and how long, does not count.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        let model_path;
        let service_path;
        let (method, path, query, body) = match &self.call.work {
            Work::Completion { model, prompt, .. } => {
                model_path = format!("/completions/{model}");
                ("POST", model_path.as_str(), None, prompt.as_bytes())
            }
            Work::Application {
                service,
                method,
                path,
                body,
                ..
            } => {
                service_path = format!("/services/{service}{path}");
                let (path, query) = match service_path.split_once('?') {
                    Some((path, query)) => (path, Some(query)),
                    None => (service_path.as_str(), None),
                };
                (method.as_str(), path, query, body.as_slice())
            }
        };
        let identity = RequestIdentity {
            tenant: Some(&self.tenant),
            method,
            host: "",
            path,
            query,
            body,
        };
        identity.fingerprint()
    }

    /// Tokens that are still to be generated.
    pub(crate) fn remaining_tokens(&self) -> u64 {
        self.max_tokens()
            .saturating_sub(self.delivered.len() as u64)
    }

    /// Whether an engine only reads its prompt now.
    pub(crate) fn is_prefilling(&self) -> bool {
        matches!(self.stage, Stage::Prefilling { .. })
    }

    /// Whether it may go to a second back end after one may have begun it.
    pub(crate) fn is_repeatable(&self) -> bool {
        let safe = match &self.call.work {
            Work::Completion { .. } => true,
            Work::Application { method, .. } => matches!(method.as_str(), "GET" | "HEAD"),
        };
        safe && self.call.key.is_none() && self.verdict.repeatable
    }

    /// From its dispatch on, a request counts as begun until the back end says
    /// otherwise.
    pub(crate) fn record_dispatch(&mut self, now: Millis) {
        self.record_prefill_dispatch(now);
        self.may_have_run = true;
    }

    /// A prefill generates nothing: the request has not run by it.
    pub(crate) fn record_prefill_dispatch(&mut self, now: Millis) {
        self.progress_at = now;
        self.dispatched_at = now;
        self.permits_requested = 0;
        self.may_have_run_before = self.may_have_run;
    }

    /// The back end of the latest dispatch provably did not begin it.
    pub(crate) fn record_not_started(&mut self) {
        self.may_have_run = self.may_have_run_before;
    }

    /// The attempt that is under way.
    pub(crate) fn attempt(&self) -> Option<AttemptId> {
        match self.stage {
            Stage::Prefilling { attempt }
            | Stage::Generating { attempt }
            | Stage::Running { attempt } => Some(attempt),
            _ => None,
        }
    }
}

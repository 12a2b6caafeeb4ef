//! The state of a request in the gateway, from arrival to its final answer.

use garnet_control::ClaimCommand;
use garnet_quarantine::{RequestFingerprint, RequestIdentity};
use garnet_types::{BackendId, BuildId, Millis, ModelId, ServiceId, TenantId, Verdict};

use crate::body_hash::body_hash;
use crate::call::{Call, Work};
use crate::effects::{AttemptId, KvSource};
use crate::gateway::AwaitedPermit;

/// The processing stage of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The request contains an unknown name and waits for the answer to a watch that was sent
    /// after its arrival.
    AwaitingConfiguration,
    /// The claim on its idempotency key hasn't been answered yet.
    Claiming { sent_at: Millis },
    /// The request waits for capacity.
    Waiting,
    /// The request waits for a permit from the leader.
    AwaitingPermit(AwaitedPermit),
    /// An engine prefills the prompt for a decode engine.
    Prefilling { attempt: AttemptId },
    /// An engine generates the text.
    Generating { attempt: AttemptId },
    /// An application instance runs the request.
    Running { attempt: AttemptId },
}

/// A request without a final answer, or one whose attempt continues for a resend.
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
    /// Build of the engine that generated the first token, once that engine has reported it.
    pub(crate) build: Option<BuildId>,
    pub(crate) prompt_tokens: u64,
    pub(crate) prompt_blocks: Vec<u64>,
    /// Back ends at which this request failed.
    pub(crate) failed_backends: Vec<BackendId>,
    /// Whether a prefill for a decode engine has completed.
    pub(crate) is_prefilled: bool,
    /// KV cache of the prompt that no decode engine has imported yet.
    pub(crate) kv_cache: Option<KvSource>,
    /// Whether any back end may have started the request.
    pub(crate) may_have_run: bool,
    /// The value of `may_have_run` before the current attempt.
    pub(crate) may_have_run_before: bool,
    /// Whether the caller has its answer; a continuing attempt only serves a resend.
    pub(crate) answered: bool,
    pub(crate) resumed: u32,
    /// Permits requested since the last attempt.
    pub(crate) permits_requested: u8,
    /// When the current attempt started.
    pub(crate) dispatched_at: Millis,
    /// When the current attempt started or last received tokens.
    pub(crate) progress_at: Millis,
}

impl Request {
    pub(crate) fn model(&self) -> Option<&ModelId> {
        match &self.call.work {
            Work::Completion { model, .. } => Some(model),
            Work::Application { .. } => None,
        }
    }

    /// Maximum number of tokens of the complete text; zero for an application call.
    pub(crate) fn max_tokens(&self) -> u64 {
        match &self.call.work {
            Work::Completion { max_tokens, .. } => *max_tokens,
            Work::Application { .. } => 0,
        }
    }

    /// Hash of the tenant and the content of the request.
    pub(crate) fn body_hash(&self) -> u64 {
        body_hash(&self.tenant, &self.call.work)
    }

    /// Identifies the request across all attempts of its caller. The delivery mode and the maximum
    /// length of the text are not included.
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

    /// Number of tokens that remain to be generated.
    pub(crate) fn remaining_tokens(&self) -> u64 {
        self.max_tokens()
            .saturating_sub(self.delivered.len() as u64)
    }

    /// Whether a token has been generated. What follows has to come from an engine of the same
    /// build.
    pub(crate) fn has_begun(&self) -> bool {
        !self.delivered.is_empty()
    }

    /// Records the build that began the text, if it is known and the first one was not.
    pub(crate) fn bind_build(&mut self, build: Option<&BuildId>) {
        if self.build.is_none() {
            self.build = build.cloned();
        }
    }

    /// Whether the current attempt is a prefill.
    pub(crate) fn is_prefilling(&self) -> bool {
        matches!(self.stage, Stage::Prefilling { .. })
    }

    /// Whether the request may be sent to a second back end after one may have started it.
    pub(crate) fn is_repeatable(&self) -> bool {
        let safe = match &self.call.work {
            Work::Completion { .. } => true,
            Work::Application { method, .. } => matches!(method.as_str(), "GET" | "HEAD"),
        };
        safe && self.call.key.is_none() && self.verdict.repeatable
    }

    /// Records a dispatch. The request counts as possibly run from now on, unless the back end
    /// proves otherwise.
    pub(crate) fn record_dispatch(&mut self, now: Millis) {
        self.record_prefill_dispatch(now);
        self.may_have_run = true;
    }

    /// Records the dispatch of a prefill. A prefill generates no tokens, so the request doesn't
    /// count as run because of it.
    pub(crate) fn record_prefill_dispatch(&mut self, now: Millis) {
        self.progress_at = now;
        self.dispatched_at = now;
        self.permits_requested = 0;
        self.may_have_run_before = self.may_have_run;
    }

    /// Records that the back end provably did not start the current attempt.
    pub(crate) fn record_not_started(&mut self) {
        self.may_have_run = self.may_have_run_before;
    }

    /// The attempt in flight.
    pub(crate) fn attempt(&self) -> Option<AttemptId> {
        match self.stage {
            Stage::Prefilling { attempt }
            | Stage::Generating { attempt }
            | Stage::Running { attempt } => Some(attempt),
            _ => None,
        }
    }
}

//! What a gateway takes and what it wants done.

use garnet_control::{ControlReply, GatewayRequest};
use garnet_limits::RequestRate;
use garnet_routing::{LoadReport, RetryAfter};
use garnet_types::{BackendId, Class, Millis, ModelId, RecordedResponse, RequestId};
use serde::{Deserialize, Serialize};

use crate::call::{Answer, Call};

/// One try of a request at one back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u64);

/// Where an engine fetches a KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvSource {
    /// Address of the engine that holds it.
    pub address: String,
    /// Its name there.
    pub handle: u64,
}

/// Work for one back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Job {
    /// Read a prompt and keep its KV cache for another engine.
    Prefill {
        /// Model that must be loaded.
        model: ModelId,
        /// Prompt with the tokens generated so far.
        prompt: String,
        /// Priority.
        class: Class,
    },
    /// Generate tokens.
    Generate {
        /// Model that must be loaded.
        model: ModelId,
        /// The prompt.
        prompt: String,
        /// Most tokens of the whole text.
        max_tokens: u64,
        /// Number of the first token wanted: those before it were delivered.
        from_token: u64,
        /// KV cache to import; `None` when the engine reads the prompt itself.
        kv: Option<KvSource>,
        /// Priority.
        class: Class,
    },
    /// Call an application instance.
    Application {
        /// HTTP method.
        method: String,
        /// Path with its query.
        path: String,
        /// Content type of the body.
        content_type: String,
        /// Body.
        body: Vec<u8>,
        /// Key, passed on so that the application can tell a repetition.
        key: Option<String>,
    },
}

/// What became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The head of the answer: requests a second that the back end takes from all gateways
    /// together; `None` where it names no limit.
    Limit(Option<RequestRate>),
    /// The head of the answer requests a backoff.
    Backoff(RetryAfter),
    /// The head of the answer reports that the back end drains.
    Draining,
    /// The prompt is read; its KV cache has this name.
    Prefilled {
        /// Name of the KV cache at the engine.
        handle: u64,
    },
    /// Tokens of the text, numbered from zero.
    Tokens {
        /// Number of the first one.
        first: u64,
        /// The tokens.
        tokens: Vec<String>,
    },
    /// The engine's explicit end.
    Finished {
        /// Tokens of the whole text.
        total: u64,
    },
    /// A whole response of an application.
    Response(RecordedResponse),
    /// Provably not begun: no byte reached the back end, or it said so.
    NotStarted {
        /// Whether the back end takes no new work on purpose.
        draining: bool,
    },
    /// Provably not begun: the KV cache to import is not there. The back end is sound;
    /// the engine that read the prompt has ended or has dropped it.
    CacheGone,
    /// It may have begun; no whole answer came.
    Broken,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A request arrived.
    Call(Call),
    /// A caller left before its answer.
    CallerDisconnected(RequestId),
    /// Something became of an attempt.
    Attempt(AttemptId, AttemptEvent),
    /// A control replica replied.
    Control(ControlReply),
    /// An engine reported its load.
    Load(BackendId, LoadReport),
    /// The highest configuration index on disk is now this.
    IndexPersisted(u64),
    /// A planned stop: finish what is there, refuse what comes.
    Drain,
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Hand tokens to a caller that streams.
    Tokens {
        /// The request.
        request: RequestId,
        /// Number of the first token.
        first: u64,
        /// The tokens.
        tokens: Vec<String>,
    },
    /// Give the one final answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Start an attempt.
    Dispatch {
        /// The attempt.
        attempt: AttemptId,
        /// The request that it is for.
        request: RequestId,
        /// The back end.
        backend: BackendId,
        /// Its address.
        address: String,
        /// The work.
        job: Job,
        /// Time left to the request's deadline.
        remaining: Millis,
    },
    /// Break an attempt off.
    Cancel(AttemptId),
    /// Send to the leader.
    SendControl(GatewayRequest),
    /// Ask an engine for its load.
    PollLoad {
        /// The engine.
        backend: BackendId,
        /// Its address.
        address: String,
    },
    /// Save the highest configuration index, then tell it.
    PersistIndex(u64),
}

//! Inputs (events) and outputs (effects) of the gateway's state machine.

use garnet_control::{ControlReply, GatewayRequest};
use garnet_limits::RequestRate;
use garnet_routing::{LoadReport, RetryAfter};
use garnet_types::{
    BackendId, BuildId, Class, EncodingVersion, Millis, ModelId, RecordedResponse, RequestId,
};
use serde::{Deserialize, Serialize};

use crate::call::{Answer, Call};

/// Identifier of one attempt to run a request at one back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u64);

/// Source from which a decode engine fetches a KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvSource {
    /// Address of the engine that holds it.
    pub address: String,
    /// Handle of the cache at that engine.
    pub handle: u64,
    /// Build of that engine, if it is known.
    pub build: Option<BuildId>,
}

/// A job sent to one back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Job {
    /// Prefill a prompt and keep its KV cache for a decode engine.
    Prefill {
        /// Model that must be loaded.
        model: ModelId,
        /// Prompt, followed by the tokens generated so far.
        prompt: String,
        /// Priority.
        class: Class,
        /// Build of the engine, if it is known.
        build: Option<BuildId>,
    },
    /// Generate tokens.
    Generate {
        /// Model that must be loaded.
        model: ModelId,
        /// The prompt.
        prompt: String,
        /// Maximum number of tokens of the complete text.
        max_tokens: u64,
        /// Index of the first token to send; earlier tokens were already delivered.
        from_token: u64,
        /// KV cache to import; `None` if the engine prefills the prompt itself.
        kv: Option<KvSource>,
        /// Priority.
        class: Class,
        /// Build of the engine, if it is known.
        build: Option<BuildId>,
    },
    /// Call an application instance.
    Application {
        /// HTTP method.
        method: String,
        /// Path including the query.
        path: String,
        /// Content type of the body.
        content_type: String,
        /// Request body.
        body: Vec<u8>,
        /// Idempotency key, forwarded so that the application can detect repetitions.
        key: Option<String>,
    },
}

/// Progress or outcome of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The response headers were received: requests per second that the back end accepts from
    /// all gateways together, or `None` if it reports no limit.
    Limit(Option<RequestRate>),
    /// The response headers request a backoff.
    Backoff(RetryAfter),
    /// The response headers report that the back end is draining.
    Draining,
    /// The prefill is complete.
    Prefilled {
        /// Handle of the KV cache at the engine.
        handle: u64,
    },
    /// Tokens of the text, numbered from zero.
    Tokens {
        /// Index of the first of these tokens.
        first: u64,
        /// The tokens.
        tokens: Vec<String>,
    },
    /// The engine reported the end of the text.
    Finished {
        /// Number of tokens of the complete text.
        total: u64,
    },
    /// A complete response of an application.
    Response(RecordedResponse),
    /// A response of an application that has ended with its connection, and may be incomplete.
    UnmarkedResponse(RecordedResponse),
    /// The attempt was provably not started: no byte reached the back end, or the back end
    /// rejected it.
    NotStarted {
        /// Whether the back end rejected the attempt because it is draining.
        draining: bool,
    },
    /// The attempt was provably not started, because the KV cache to import doesn't exist any
    /// more. The decode engine is healthy; the prefill engine has stopped or dropped the cache.
    CacheGone,
    /// The attempt may have started, but its connection ended before a complete answer was
    /// received, as it does if the back end crashes.
    Broken,
    /// The attempt may have started, but its answer failed or was given up while the back end was
    /// connected.
    AnswerGivenUp,
}

/// An input to the gateway.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A request arrived.
    Call(Call),
    /// A caller disconnected before its answer.
    CallerDisconnected(RequestId),
    /// An attempt made progress or ended.
    Attempt(AttemptId, AttemptEvent),
    /// A control replica replied.
    Control(ControlReply),
    /// A connection to a replica that may lead is open; it uses this version.
    LeaderConnected(EncodingVersion),
    /// A report connection is open, to a replica that may not have any of the runs; see
    /// [`Gateway::next_run_report`](crate::Gateway::next_run_report).
    ReportConnected,
    /// A replica replied on the report connection.
    ReportReply(ControlReply),
    /// An engine reported its load.
    Load(BackendId, LoadReport),
    /// This configuration index is now the highest on disk.
    IndexPersisted(u64),
    /// A planned stop begins: finish open requests and refuse new ones.
    Drain {
        /// When all requests that are still open have to be answered, if the end of the process is
        /// known.
        ends_at: Option<Millis>,
    },
}

/// An output of the gateway, to be carried out by the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send tokens to a streaming caller.
    Tokens {
        /// The request.
        request: RequestId,
        /// Index of the first token.
        first: u64,
        /// The tokens.
        tokens: Vec<String>,
    },
    /// Send the final answer to a caller.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Start an attempt at a back end.
    Dispatch {
        /// The attempt.
        attempt: AttemptId,
        /// The request.
        request: RequestId,
        /// The back end.
        backend: BackendId,
        /// Its address.
        address: String,
        /// The job.
        job: Job,
        /// Time until the deadline of the request.
        remaining: Millis,
    },
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Send a message to the leader of the control group.
    SendControl(GatewayRequest),
    /// Poll the load of an engine.
    PollLoad {
        /// The engine.
        backend: BackendId,
        /// Its address.
        address: String,
    },
    /// Write the highest configuration index to disk, then report [`Event::IndexPersisted`].
    PersistIndex(u64),
}

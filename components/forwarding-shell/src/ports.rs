//! The ports to callers and back ends.

use std::cell::OnceCell;
use std::rc::Rc;

use garnet_forwarding::{Credential, LoadReport, NotRunReason, Prompt, ReportedLimit, RetryAfter};
use garnet_quarantine::{RequestFingerprint, RequestIdentity};
use garnet_routes::Route;
use garnet_runtime::Body;
use garnet_types::{BackendId, Millis, TenantId};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts as ResponseParts;
use hyper::{Request, Response};

/// What a caller says about its request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallFacts {
    /// The caller's name for it.
    pub id: String,
    /// Host that it is meant for.
    pub host: String,
    /// How long the caller waits.
    pub deadline: Option<Millis>,
    /// What it presents to prove who it is.
    pub credential: Credential,
    /// Its prompt, for work of engines.
    pub prompt: Option<Prompt>,
    /// Last event of a stream that the caller has, to go on after it.
    pub resume_after: Option<String>,
}

/// A request as it is passed on; its bytes are kept once.
#[derive(Debug)]
pub struct Call {
    /// What is known of it.
    pub facts: CallFacts,
    /// Its head.
    pub head: Rc<RequestParts>,
    /// Its body.
    pub body: Bytes,
    /// Whose it is; `None` where callers are not asked for keys.
    pub tenant: Option<TenantId>,
    fingerprint: OnceCell<RequestFingerprint>,
}

impl Call {
    /// A request with what its caller says of it.
    pub fn new(
        facts: CallFacts,
        head: RequestParts,
        body: Bytes,
        tenant: Option<TenantId>,
    ) -> Self {
        Call {
            facts,
            head: Rc::new(head),
            body,
            tenant,
            fingerprint: OnceCell::new(),
        }
    }

    /// What stands for the request in whichever attempt of its caller. The body
    /// is hashed where it is first asked for.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let identity = RequestIdentity {
                tenant: self.tenant.as_ref(),
                method: self.head.method.as_str(),
                host: &self.facts.host,
                path: self.head.uri.path(),
                query: self.head.uri.query(),
                body: &self.body,
            };
            identity.fingerprint()
        })
    }
}

/// Where a prompt's KV cache is to be had.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvSource {
    /// Address of the engine that read the prompt.
    pub address: String,
    /// Its name for the cache.
    pub handle: String,
}

/// An engine that holds a prompt's prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopySource {
    /// The engine.
    pub backend: BackendId,
    /// Its address.
    pub address: String,
}

/// Part of a request that a back end is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobPhase {
    /// All of it.
    Whole,
    /// Read the prompt and keep its KV cache for another engine; what the
    /// prefill engine lacks of its prefix is copied first.
    Prefill(Option<CopySource>),
    /// Go on from a KV cache.
    Decode(KvSource),
}

/// What a back end is asked to do.
#[derive(Debug, Clone)]
pub struct Job {
    /// Which part of the request.
    pub phase: JobPhase,
    /// The back end that is meant, and no other at its address.
    pub backend: BackendId,
    /// Time that is left.
    pub remaining: Millis,
    /// Rank: 0 is the most urgent.
    pub priority: u8,
    /// Event after which a stream goes on.
    pub resume_after: Option<String>,
}

/// What the head of an answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadMeaning {
    /// The back end's own answer to this request.
    Answer,
    /// The back end did not run the request.
    NotRun(NotRunReason),
    /// Another back end stands at the address.
    AnotherBackend,
    /// The answer belongs to another request.
    OtherRequest,
}

/// The head of an answer, read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedHead {
    /// What it means.
    pub meaning: HeadMeaning,
    /// Load that came with it.
    pub load: Option<LoadReport>,
    /// Limit of its back end.
    pub limit: ReportedLimit,
    /// Backoff that its back end requests.
    pub retry_after: Option<RetryAfter>,
    /// Whether its back end reports that it is draining.
    pub draining: bool,
    /// Names in it that nobody here knows, each with its value.
    pub unknown_headers: Vec<(HeaderName, HeaderValue)>,
}

/// The answer to [`JobPhase::ReadPrompt`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillAnswer {
    /// The engine's name for the KV cache.
    pub handle: String,
}

/// Reads requests of callers and marks answers of the gateway's own.
pub trait CallerPort {
    /// The facts of a request.
    ///
    /// # Errors
    /// What is wrong with it, for the caller to read.
    fn read(&self, head: &RequestParts) -> Result<CallFacts, String>;
    /// How long callers of the route wait for the next event of a stream, the
    /// first one included.
    fn longest_gap(&self, route: &Route) -> Millis;
    /// Marks an answer that the gateway gives itself as one to this request.
    fn mark(&self, response: &mut Response<Body>, facts: &CallFacts);
    /// Path of the readiness page.
    fn ready_path(&self) -> &str;
}

/// Speaks to back ends.
pub trait BackendPort {
    /// The request that does the job.
    fn request(&self, call: &Call, job: &Job) -> Request<Full<Bytes>>;
    /// Reads the head of an answer.
    fn read_head(&self, call: &Call, job: &Job, head: &ResponseParts) -> ParsedHead;
    /// Reads the body of the answer to [`JobPhase::ReadPrompt`].
    fn read_prefill_answer(&self, body: &[u8]) -> Option<PrefillAnswer>;
    /// The request that frees a KV cache that nobody takes.
    fn release(&self, handle: &str) -> Request<Full<Bytes>>;
}

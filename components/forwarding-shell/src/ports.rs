//! The ports to callers and back ends.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use garnet_forwarding::{Credential, LoadReport, NotRunReason, Prompt, ReportedLimit, RetryAfter};
use garnet_quarantine::{RequestFingerprint, RequestIdentity};
use garnet_routes::Route;
use garnet_runtime::{Body, ConnectionId};
use garnet_types::{BackendId, Millis, TenantId};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts as ResponseParts;
use hyper::{Request, Response};

use crate::answer_head::AnswerHead;

/// What a caller states about its request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallFacts {
    /// The caller's id for the request.
    pub id: String,
    /// Host that the request addresses.
    pub host: String,
    /// How long the caller waits for the answer.
    pub deadline: Option<Millis>,
    /// What the caller presents to authenticate.
    pub credential: Credential,
    /// The prompt, if the request is work for engines.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller has, for a stream to resume after it.
    pub resume_after: Option<String>,
    /// The caller's id for the request that brought the first event of that stream.
    pub resumes: Option<String>,
}

/// A request as it is passed on. All attempts share its bytes.
#[derive(Debug)]
pub struct Call {
    /// What its caller states about it.
    pub facts: CallFacts,
    /// The head of the request.
    pub head: Rc<RequestParts>,
    /// The body of the request.
    pub body: Bytes,
    /// The caller's tenant; `None` if callers are not asked for keys.
    pub tenant: Option<TenantId>,
    fingerprint: OnceCell<RequestFingerprint>,
    /// Connections on which an attempt was answered.
    answered_on: RefCell<Vec<ConnectionId>>,
    /// Number of attempts that ran, may have run or may still run.
    possible_runs: Cell<u32>,
    /// When the work on the request began for the last time, if no earlier attempt may have run.
    work_began_at: Cell<Option<Millis>>,
}

impl Call {
    /// Creates a call for the request.
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
            answered_on: RefCell::default(),
            possible_runs: Cell::new(0),
            work_began_at: Cell::new(None),
        }
    }

    /// Notes that a back end or a relay begins with the request. What an attempt has begun that may
    /// still run counts from its beginning.
    pub(crate) fn note_work_begins(&self, now: Millis) {
        if !self.may_have_run() {
            self.work_began_at.set(Some(now));
        }
    }

    /// When the work that led to the answer began; `None` if nothing was sent.
    pub(crate) fn work_began_at(&self) -> Option<Millis> {
        self.work_began_at.get()
    }

    /// Notes that the request is sent, so that it may run.
    pub(crate) fn begin_attempt(&self) {
        self.possible_runs.set(self.possible_runs.get() + 1);
    }

    /// Notes that an attempt has certainly not run and will not.
    pub(crate) fn attempt_did_not_run(&self) {
        let runs = self.possible_runs.get();
        self.possible_runs.set(runs.saturating_sub(1));
    }

    /// Whether any attempt may have run or may still run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.possible_runs.get() > 0
    }

    /// Notes that an attempt was answered on a connection.
    pub(crate) fn note_answered_on(&self, connection: ConnectionId) {
        self.answered_on.borrow_mut().push(connection);
    }

    /// Whether another attempt may use a connection. A surplus copy of an answer arrives on the
    /// connection of that answer, and its id does not distinguish attempts of one request.
    pub(crate) fn may_use(&self, connection: ConnectionId) -> bool {
        !self.answered_on.borrow().contains(&connection)
    }

    /// The fingerprint of the request, which is the same in each retry of its caller.
    /// The body is hashed on first use.
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

/// Where a decode engine fetches the KV cache of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvSource {
    /// Address of the engine that prefilled the prompt.
    pub address: String,
    /// That engine's handle for the cache.
    pub handle: String,
}

/// An engine that holds a prompt's prefix in its cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopySource {
    /// The engine.
    pub backend: BackendId,
    /// Its address.
    pub address: String,
}

/// The phase of a request that a back end performs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobPhase {
    /// The whole request.
    Whole,
    /// Prefill the prompt and keep its KV cache for a decode engine. What the prefill
    /// engine lacks of the prefix is copied from the source first, if one is given.
    Prefill(Option<CopySource>),
    /// Decode from the KV cache of another engine.
    Decode(KvSource),
}

/// What is requested of a back end.
#[derive(Debug, Clone)]
pub struct Job {
    /// The phase of the request.
    pub phase: JobPhase,
    /// The back end that is addressed; no other one at its address may do the job.
    pub backend: BackendId,
    /// Time that remains for the request.
    pub remaining: Millis,
    /// Engine priority; 0 is the most urgent.
    pub priority: u8,
    /// Id of the event after which a stream resumes.
    pub resume_after: Option<String>,
}

/// What the head of an answer to the request means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadMeaning {
    /// The back end's own answer to this request.
    Answer,
    /// The back end did not run the request.
    NotRun(NotRunReason),
    /// Another back end answers at the address.
    AnotherBackend,
}

impl HeadMeaning {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            HeadMeaning::Answer => "answer",
            HeadMeaning::NotRun(reason) => reason.as_str(),
            HeadMeaning::AnotherBackend => "another_backend",
        }
    }
}

/// The parsed head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedHead {
    /// What the head means.
    pub meaning: HeadMeaning,
    /// Load report of the back end.
    pub load: Option<LoadReport>,
    /// Limit that the back end reports.
    pub limit: ReportedLimit,
    /// Backoff that the back end requests.
    pub retry_after: Option<RetryAfter>,
    /// Whether the back end reports that it is draining.
    pub draining: bool,
    /// Headers that the adapter does not know or can't read.
    pub unknown_headers: Vec<(HeaderName, HeaderValue)>,
}

/// The answer to [`JobPhase::Prefill`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillAnswer {
    /// The engine's handle for the KV cache.
    pub handle: String,
}

/// Parses requests of callers and marks the gateway's own answers.
pub trait CallerPort {
    /// Parses the head of a request.
    ///
    /// # Errors
    /// What is wrong with the request, as a text for the caller.
    fn read(&self, head: &RequestParts) -> Result<CallFacts, String>;
    /// How long callers of the route wait for the next event of a stream, the
    /// first one included.
    fn longest_gap(&self, route: &Route) -> Millis;
    /// Marks one of the gateway's own answers as the answer to this request.
    fn mark(&self, response: &mut Response<Body>, facts: &CallFacts);
    /// Path of the readiness page.
    fn ready_path(&self) -> &str;
}

/// Builds requests to back ends and parses their answers.
pub trait BackendPort {
    /// Builds the request for a job.
    fn request(&self, call: &Call, job: &Job) -> Request<Full<Bytes>>;
    /// Id of the request that an answer belongs to; `None` if its head does not name one.
    fn answered_id<'a>(&self, head: &'a ResponseParts) -> Option<&'a str>;
    /// Parses the head of an answer.
    fn read_head(&self, job: &Job, head: &AnswerHead<'_>) -> ParsedHead;
    /// Parses the body of the answer to [`JobPhase::Prefill`].
    fn read_prefill_answer(&self, body: &[u8]) -> Option<PrefillAnswer>;
    /// Builds a request that any back end answers at once and does not run.
    fn probe(&self) -> Request<Full<Bytes>>;
    /// Builds the request that frees a KV cache that no decode engine takes.
    fn release(&self, handle: &str) -> Request<Full<Bytes>>;
}

//! The builds at which streams began: what one build of an engine began, no other continues.
//!
//! Contract: a stream that its client takes up, at any gateway, goes on at the build that began it, or
//! is refused as not run. A gateway knows the builds of the streams that it began, and requests those
//! of other gateways' streams from the leader, each after it was asked for: what it was sent before may
//! be out of date. Where streams of several builds may live, it reports each of its own to the leader;
//! see `docs/design/engine-builds.md`.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use garnet_control::{BuildUpdate, GatewayRequest, RecentStreams, StreamKey, StreamNote};
use garnet_routes::WorkKind;
use garnet_types::{BuildId, EncodingVersion, Millis, ServiceId};
use smol::channel::{Sender, bounded};

use crate::answers::{OwnAnswer, retry_after};
use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};
use crate::request::RunningRequest;
use crate::timeout::with_timeout;

/// Longest wait for the leader's answer: a round trip to another region.
const MAX_WAIT: Millis = Millis(250);
/// Maximum number of own streams whose builds are kept: ten times those of one lifetime at the
/// intended load of a gateway.
const MAX_OWN_STREAMS: usize = 4_096;

/// Number of answers to watches after which a gateway has received all engines that the leader knew
/// when it named a build: one may have been under way, and builds follow the next one.
const WATCHES_TO_UPDATE: usize = 2;

/// A stream that this gateway began.
struct OwnStream {
    service: ServiceId,
    build: BuildId,
}

/// A question to the leader that is not answered yet.
struct Question {
    service: ServiceId,
    /// Those who wait for the answer.
    waiters: Vec<Sender<Option<BuildId>>>,
}

impl Question {
    fn request(&self, stream: StreamKey) -> GatewayRequest {
        GatewayRequest::FindStreamOf {
            stream,
            service: self.service.clone(),
        }
    }
}

/// A gateway's knowledge of the builds of streams.
pub(crate) struct StreamBuilds {
    requests: Sender<GatewayRequest>,
    own: RefCell<RecentStreams<OwnStream>>,
    /// Services whose streams are reported to the leader.
    reported: RefCell<BTreeSet<ServiceId>>,
    questions: RefCell<HashMap<StreamKey, Question>>,
    /// Those who wait for the next answer to a watch.
    watch_waiters: RefCell<Vec<Sender<()>>>,
    /// Version of the last connection to a leader.
    leader_version: Cell<EncodingVersion>,
}

impl StreamBuilds {
    pub(crate) fn new(requests: Sender<GatewayRequest>) -> Self {
        StreamBuilds {
            requests,
            own: RefCell::new(RecentStreams::new(MAX_OWN_STREAMS)),
            reported: RefCell::default(),
            questions: RefCell::default(),
            watch_waiters: RefCell::default(),
            leader_version: Cell::new(EncodingVersion::CURRENT),
        }
    }

    /// Has all streams reported and all questions asked again: a new connection may lead to another
    /// leader, and what was sent on the last one may be lost.
    pub(crate) fn on_connected(&self, version: EncodingVersion) {
        self.leader_version.set(version);
        self.reported.borrow_mut().clear();
        for (stream, question) in self.questions.borrow().iter() {
            let request = question.request(*stream);
            if self.may_ask(&request) {
                // The waiters of a lost question time out.
                let _lost = self.requests.try_send(request);
            }
        }
    }

    /// Takes the leader's answer.
    pub(crate) fn on_answer(&self, stream: StreamKey, build: Option<&BuildId>) {
        let question = self.questions.borrow_mut().remove(&stream);
        for waiter in question.into_iter().flat_map(|question| question.waiters) {
            // The waiter may have timed out.
            let _gone = waiter.try_send(build.cloned());
        }
    }

    /// Takes note of an answer to a watch.
    pub(crate) fn on_watch_answer(&self) {
        for waiter in self.watch_waiters.take() {
            // The waiter may have timed out.
            let _gone = waiter.try_send(());
        }
    }

    async fn next_watch_answer(&self) {
        let (waiter, answered) = bounded(1);
        self.watch_waiters.borrow_mut().push(waiter);
        let _late = with_timeout(Some(MAX_WAIT), answered.recv()).await;
    }

    fn report(&self, notes: Vec<StreamNote>) {
        if !notes.is_empty() {
            // A stream whose note is lost is refused when it is taken up.
            let _lost = self.requests.try_send(GatewayRequest::NoteStreams(notes));
        }
    }

    fn add_waiter(
        &self,
        stream: StreamKey,
        service: &ServiceId,
        waiter: Sender<Option<BuildId>>,
    ) -> GatewayRequest {
        let mut questions = self.questions.borrow_mut();
        let question = questions.entry(stream).or_insert_with(|| Question {
            service: service.clone(),
            waiters: Vec::new(),
        });
        question.waiters.push(waiter);
        question.request(stream)
    }

    /// Asks the leader for the build that may continue a stream of another gateway.
    async fn ask_leader(&self, stream: StreamKey, service: &ServiceId) -> Option<BuildId> {
        let (waiter, answer) = bounded(1);
        let request = self.add_waiter(stream, service, waiter);
        let found = if self.may_ask(&request) {
            // A lost question is asked again on the next connection.
            let _lost = self.requests.try_send(request);
            let answered = async { answer.recv().await.ok().flatten() };
            with_timeout(Some(MAX_WAIT), answered).await.flatten()
        } else {
            None
        };
        self.questions.borrow_mut().remove(&stream);
        found
    }

    /// Whether the leader can answer: one of an earlier version does not name the only build of a
    /// service.
    fn may_ask(&self, request: &GatewayRequest) -> bool {
        request.since() <= self.leader_version.get()
    }

    /// The build of a stream that this gateway began.
    fn of_own(&self, stream: StreamKey) -> Option<BuildId> {
        let own = self.own.borrow();
        own.get(stream).map(|stream| stream.build.clone())
    }
}

/// Applies an update of builds. If the engines of a service have become of several builds, or the
/// leader may be another one, the service's streams so far are reported to the leader.
pub(crate) fn on_builds<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    update: BuildUpdate,
) {
    let now = gateway.now();
    let listed = update.mixed.len();
    let mut forwarder = gateway.forwarder.borrow_mut();
    forwarder.take_builds(update, now);
    let (engines, builds) = forwarder.known_builds();
    let mixed = forwarder.mixed_services(now);
    drop(forwarder);
    log::info!(
        engines = engines,
        builds = builds,
        listed_as_mixed = listed,
        mixed_services = mixed.len();
        "builds_known"
    );
    let StreamBuilds { own, reported, .. } = &gateway.stream_builds;
    let new: BTreeSet<ServiceId> = mixed.difference(&reported.borrow()).cloned().collect();
    let notes = notes_of(&own.borrow(), &new);
    *reported.borrow_mut() = mixed;
    gateway.stream_builds.report(notes);
}

/// The notes of all streams of these services.
fn notes_of(own: &RecentStreams<OwnStream>, services: &BTreeSet<ServiceId>) -> Vec<StreamNote> {
    let of_services = own
        .iter()
        .filter(|(_, stream)| services.contains(&stream.service));
    let note = |(key, stream): (StreamKey, &OwnStream)| StreamNote {
        stream: key,
        build: stream.build.clone(),
    };
    of_services.map(note).collect()
}

/// Binds a stream that has begun to the build of its engine.
pub(crate) fn bind_to_engine<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &mut RunningRequest,
) {
    if running.work.kind != WorkKind::ResumableStream {
        return;
    }
    let now = gateway.now();
    let forwarder = gateway.forwarder.borrow();
    let engine = running.served_by.as_ref();
    let Some(build) = engine.and_then(|engine| forwarder.build_of(engine)) else {
        return;
    };
    running.work.build = Some(build.clone());
    let key = StreamKey::of(&running.call.facts.id);
    let stream = OwnStream {
        service: running.service.clone(),
        build: build.clone(),
    };
    let note = StreamNote {
        stream: key,
        build: build.clone(),
    };
    let is_mixed = forwarder.is_mixed(&running.service, now);
    drop(forwarder);
    gateway
        .stream_builds
        .own
        .borrow_mut()
        .insert(key, stream, now);
    if is_mixed {
        gateway.stream_builds.report(vec![note]);
    }
}

/// Binds a stream that its client, or a peer gateway, takes up to the build that began it.
///
/// # Errors
/// The refusal, if it is not known which build began it.
pub(crate) async fn bind_taken_up<C: CallerPort, B: BackendPort>(
    gateway: &Rc<Gateway<C, B>>,
    running: &mut RunningRequest,
) -> Result<(), OwnAnswer> {
    let facts = &running.call.facts;
    let is_taken_up =
        running.work.kind == WorkKind::ResumableStream && facts.resume_after.is_some();
    if !is_taken_up || running.work.build.is_some() {
        return Ok(());
    }
    let builds = &gateway.stream_builds;
    // A peer gateway resumes a stream under the id with which it began, unless the client has
    // taken that up as well.
    let own_id = running.is_relayed.then_some(&facts.id);
    let begun_as = own_id.into_iter().chain(&facts.resumes);
    let streams: Vec<StreamKey> = begun_as.map(|request| StreamKey::of(request)).collect();
    if let Some(build) = streams.iter().find_map(|stream| builds.of_own(*stream)) {
        running.work.build = Some(build);
        log_taken_up(running, "own");
        return Ok(());
    }
    // The last one is what the client names. Without it, the only build of the service serves.
    let stream = streams.last().copied();
    let stream = stream.unwrap_or_else(|| StreamKey::of(&facts.id));
    if let Some(build) = builds.ask_leader(stream, &running.service).await {
        wait_for_engines(gateway, &running.service, &build).await;
        running.work.build = Some(build);
        log_taken_up(running, "leader");
        return Ok(());
    }
    log_taken_up(running, "unknown");
    Err(OwnAnswer::NotRun(retry_after(running.work.objective)))
}

/// Waits until engines of a build are known that the leader has named: a gateway that was suspended
/// may not have received them yet.
async fn wait_for_engines<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    service: &ServiceId,
    build: &BuildId,
) {
    for _ in 0..WATCHES_TO_UPDATE {
        if gateway.forwarder.borrow().has_engine_of(service, build) {
            return;
        }
        gateway.stream_builds.next_watch_answer().await;
    }
}

/// Logs how the build of a stream that is taken up was determined.
fn log_taken_up(running: &RunningRequest, source: &str) {
    let facts = &running.call.facts;
    log::info!(
        request = facts.id.as_str(),
        resumes = facts.resumes.as_deref().unwrap_or_default(),
        service = running.service.as_str(),
        build = running.work.build.as_ref().map_or("", BuildId::as_str),
        source = source;
        "stream_taken_up"
    );
}

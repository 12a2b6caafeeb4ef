//! A gateway under test with its configuration, and helpers to feed it events.

use garnet_control::{
    BackendRecord, BackendRegistration, ClaimAnswer, ClaimRequest, Configuration, ControlReply,
    CopyUpdates, GatewayRequest, UNKNOWN_START, WatchUpdate,
};
use garnet_gateway::{
    Answer, AttemptEvent, AttemptId, Call, Effect, Event, Gateway, GatewaySettings, Job, Work,
};
use garnet_routing::LoadReport;
use garnet_test_support::live_record;
use garnet_types::{
    BackendId, BackendKind, BuildId, EngineAssignment, EngineCapacity, EngineRole, GatewayId,
    IdempotencyKey, Millis, ModelId, Refusal, RequestId, ServiceId,
};

pub const MODEL: &str = "model";
pub const ENGINES: &str = "language";
pub const APPLICATIONS: &str = "orders";

/// A dispatch emitted by the gateway.
#[derive(Debug, Clone)]
pub struct Dispatched {
    pub attempt: AttemptId,
    pub backend: BackendId,
    pub job: Job,
}

/// A gateway and the effects that the test hasn't taken yet.
pub struct Harness {
    pub gateway: Gateway,
    pub now: Millis,
    effects: Vec<Effect>,
}

impl Harness {
    /// A gateway with [`configuration`] and a lease, to which all engines have reported.
    pub fn ready() -> Self {
        let mut harness = Harness::without_reports();
        harness.report_loads();
        harness
    }

    /// A gateway with [`configuration`] and a lease, to which no engine has reported.
    pub fn without_reports() -> Self {
        let mut harness = Harness::new(0);
        harness.watch_answered(WatchUpdate::Snapshot(configuration(10).into()));
        harness.event(Event::IndexPersisted(10));
        harness
    }

    /// A gateway with [`split_configuration`] and a lease, to which all engines have reported.
    pub fn split() -> Self {
        let mut harness = Harness::split_without_reports();
        harness.report_loads();
        harness
    }

    /// A gateway with [`split_configuration`] and a lease, to which no engine has reported.
    pub fn split_without_reports() -> Self {
        let mut harness = Harness::new(0);
        harness.watch_answered(WatchUpdate::Snapshot(split_configuration(10).into()));
        harness.event(Event::IndexPersisted(10));
        harness
    }

    /// A gateway without a configuration, with a persisted configuration index.
    pub fn new(highest_index: u64) -> Self {
        let settings = GatewaySettings {
            highest_index,
            ..GatewaySettings::new(GatewayId::new("gateway-1.1"), 1)
        };
        Harness {
            gateway: Gateway::new(settings),
            now: Millis(10_000),
            effects: Vec::new(),
        }
    }

    pub fn event(&mut self, event: Event) {
        self.gateway.handle(event, self.now);
        self.effects.extend(self.gateway.take_effects());
    }

    /// Answers a watch that was sent now.
    pub fn watch_answered(&mut self, update: WatchUpdate) {
        let sent_at = self.now;
        self.event(Event::Control(ControlReply::Watch {
            sent_at,
            update,
            group: None,
            gateways: 1,
            digest: None,
            suspects: None,
            copies: CopyUpdates::default(),
        }));
    }

    /// Advances the time by one step and ticks the gateway.
    pub fn wait(&mut self, span: Millis) {
        self.now = self.now + span;
        self.event(Event::Tick);
    }

    /// Advances the time while the leader answers every watch.
    pub fn wait_with_lease(&mut self, span: Millis) {
        let until = self.now + span;
        while self.now < until {
            self.wait(Millis(100));
            self.watch_answered(WatchUpdate::Current);
        }
    }

    /// Reports the loads of both engines, which are idle.
    fn report_loads(&mut self) {
        for engine in ["engine-1", "engine-2"] {
            self.report_load(engine);
        }
    }

    /// Reports the load of an idle engine.
    pub fn report_load(&mut self, id: &str) {
        self.report_load_of_build(id, "");
    }

    /// Reports the load of an idle engine of a build.
    pub fn report_load_of_build(&mut self, id: &str, build: &str) {
        let report = LoadReport {
            incarnation: 1,
            build: BuildId::new(build),
            role: EngineRole::Mixed,
            accepting: true,
            queued_prompt_tokens: 0,
            active_sequences: 0,
            age_ms: 0,
            capacity: EngineCapacity::default(),
            cache_events: Vec::new(),
        };
        self.event(Event::Load(BackendId::new(id), report));
    }

    pub fn attempt(&mut self, attempt: AttemptId, event: AttemptEvent) {
        self.event(Event::Attempt(attempt, event));
    }

    pub fn tokens(&mut self, attempt: AttemptId, first: u64, tokens: &[&str]) {
        let tokens = tokens.iter().map(|token| (*token).to_owned()).collect();
        self.attempt(attempt, AttemptEvent::Tokens { first, tokens });
    }

    /// All dispatches since the last call.
    pub fn dispatches(&mut self) -> Vec<Dispatched> {
        self.take(|effect| match effect {
            Effect::Dispatch {
                attempt,
                backend,
                job,
                ..
            } => Some(Dispatched {
                attempt: *attempt,
                backend: backend.clone(),
                job: job.clone(),
            }),
            _ => None,
        })
    }

    /// The only dispatch since the last call.
    pub fn dispatch(&mut self) -> Dispatched {
        let mut dispatches = self.dispatches();
        assert_eq!(dispatches.len(), 1, "{dispatches:?}");
        dispatches.remove(0)
    }

    /// All final answers since the last call.
    pub fn answers(&mut self) -> Vec<(RequestId, Answer)> {
        self.take(|effect| match effect {
            Effect::Answer { request, answer } => Some((*request, answer.clone())),
            _ => None,
        })
    }

    /// The only final answer since the last call.
    pub fn answer(&mut self) -> Answer {
        let mut answers = self.answers();
        assert_eq!(answers.len(), 1, "{answers:?}");
        answers.remove(0).1
    }

    /// The only final answer since the last call, which must be a refusal.
    pub fn refusal(&mut self) -> Refusal {
        match self.answer() {
            Answer::Refused(refusal) => refusal,
            other => panic!("not refused: {other:?}"),
        }
    }

    /// Tokens sent to callers since the last call.
    pub fn sent_tokens(&mut self) -> Vec<(u64, Vec<String>)> {
        self.take(|effect| match effect {
            Effect::Tokens { first, tokens, .. } => Some((*first, tokens.clone())),
            _ => None,
        })
    }

    /// Claim requests since the last call.
    pub fn claim_requests(&mut self) -> Vec<ClaimRequest> {
        self.take(|effect| match effect {
            Effect::SendControl(GatewayRequest::Claim(request)) => Some(request.clone()),
            _ => None,
        })
    }

    /// Answers the only claim request since the last call.
    pub fn answer_claim(&mut self, answer: ClaimAnswer) {
        let mut requests = self.claim_requests();
        assert_eq!(requests.len(), 1, "{requests:?}");
        let claim = requests.remove(0).claim().clone();
        self.event(Event::Control(ControlReply::Claim { claim, answer }));
    }

    pub fn take<T>(&mut self, select: impl Fn(&Effect) -> Option<T>) -> Vec<T> {
        let mut selected = Vec::new();
        self.effects.retain(|effect| match select(effect) {
            Some(value) => {
                selected.push(value);
                false
            }
            None => true,
        });
        selected
    }
}

/// One prefill engine and one decode engine, with two application instances.
pub fn split_configuration(index: u64) -> Configuration {
    let mut configuration = configuration(index);
    for (id, role) in [
        ("engine-1", EngineRole::Prefill),
        ("engine-2", EngineRole::Decode),
    ] {
        let record = configuration.backends.get_mut(&BackendId::new(id));
        let observed = record.and_then(|record| record.observed.as_mut());
        observed.expect("an engine").assignment.role = role;
    }
    configuration
}

/// Two mixed engines and two application instances.
pub fn configuration(index: u64) -> Configuration {
    let records = [
        record("engine-1", BackendKind::Engine),
        record("engine-2", BackendKind::Engine),
        record("order-1", BackendKind::Application),
        record("order-2", BackendKind::Application),
    ];
    Configuration {
        index,
        backends: records
            .into_iter()
            .map(|record| (record.registration.id.clone(), record))
            .collect(),
        ..Configuration::default()
    }
}

fn record(id: &str, kind: BackendKind) -> BackendRecord {
    let service = match kind {
        BackendKind::Engine => ENGINES,
        BackendKind::Application => APPLICATIONS,
    };
    let assignment = (kind == BackendKind::Engine).then(|| EngineAssignment {
        role: EngineRole::Mixed,
        model: ModelId::new(MODEL),
    });
    let registration = BackendRegistration {
        id: BackendId::new(id),
        kind,
        service: ServiceId::new(service),
        address: id.to_owned(),
        zone: "a".to_owned(),
        start: UNKNOWN_START,
    };
    live_record(registration, assignment)
}

/// A streamed completion.
pub fn completion(id: u64, key: Option<&str>) -> Event {
    Event::Call(Call {
        id: RequestId(id),
        tenant: None,
        session: None,
        key: key.map(IdempotencyKey::new),
        deadline: Some(Millis(10_000)),
        work: Work::Completion {
            model: ModelId::new(MODEL),
            prompt: "a short prompt".to_owned(),
            max_tokens: 3,
            stream: true,
            chat: false,
        },
    })
}

/// A call to the application service.
pub fn order(id: u64, method: &str, key: Option<&str>) -> Event {
    Event::Call(Call {
        id: RequestId(id),
        tenant: None,
        session: None,
        key: key.map(IdempotencyKey::new),
        deadline: Some(Millis(3000)),
        work: Work::Application {
            service: ServiceId::new(APPLICATIONS),
            method: method.to_owned(),
            path: "/orders".to_owned(),
            content_type: "text/plain".to_owned(),
            body: b"two boxes".to_vec(),
        },
    })
}

//! One real gateway before hollow replicas, engines and callers.

use garnet_control::{
    BackendRecord, Configuration, ControlReply, EngineObservation, GatewayRequest, PolicyRecord,
    WatchUpdate,
};
use garnet_gateway::{
    AttemptEvent, AttemptId, Call, Effect, Event, Gateway, GatewaySettings, Job, Work,
};
use garnet_routing::{CacheEvent, LoadReport};
use garnet_types::{EngineAssignment, EngineCapacity, GatewayId, MachineState, Millis, RequestId};
use serde::Serialize;

use super::meter::{Meter, heap_bytes, heap_mb_since};
use super::size::Size;

/// How often the daemon looks at the clock.
const TICK: Millis = Millis(20);
/// Blocks that an engine stores into its prefix cache, a second.
const BLOCKS_PER_SECOND: u64 = 16;
/// Blocks that an engine's first report tells of: a million tokens.
const BLOCKS_AT_START: u64 = 16 * 1024;
/// Words of a prompt: the brief's pieces.
const PROMPT_WORDS: usize = 2000;
/// Tokens of an answer: the target's tokens over its requests.
const ANSWER_TOKENS: u64 = 370;
/// Tokens that reach the gateway in one piece.
const TOKENS_IN_PIECE: u64 = 10;
/// A policy as a deployment has it.
const POLICY: &str = include_str!("../../../../deploy/voorschrift/policies/voorschrift.toml");

/// What was measured at one size.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct GatewayFigures {
    pub(crate) size: Size,
    /// Share of one core without requests, in percent.
    pub(crate) idle_cpu_percent: f64,
    /// Share of one core with requests, in percent.
    pub(crate) cpu_percent: f64,
    /// Processor time of one request, in microseconds.
    pub(crate) request_us: f64,
    /// Heap after the load reports of [`FILL`].
    pub(crate) heap_mb: f64,
    /// Load reports a second.
    pub(crate) reports_per_s: f64,
    /// Bodies of load reports.
    pub(crate) report_kb_per_s: f64,
    /// Whole answers of the run.
    pub(crate) answers: u64,
}

/// Time in which the beliefs about engines fill up before the measurement.
const FILL: Millis = Millis::from_secs(60);

/// Runs `seconds` of virtual time at one size.
pub(crate) fn measure(size: Size, seconds: u64) -> Result<GatewayFigures, String> {
    let heap_before = heap_bytes();
    let mut run = GatewayRun::new(size);
    run.advance(FILL);
    let heap_mb = heap_mb_since(heap_before);
    run.reset();
    run.advance(Millis::from_secs(seconds));
    let idle = run.meter;
    let (reports, report_bytes) = (run.reports, run.report_bytes);
    run.reset();
    run.requests_due = true;
    run.advance(Millis::from_secs(seconds));
    if run.refused > 0 {
        return Err(format!("{} requests were refused", run.refused));
    }
    let time = seconds as f64;
    let busy = run.meter.spent.as_secs_f64();
    let sent = (size.requests_per_second as f64 * time).max(1.0);
    Ok(GatewayFigures {
        size,
        idle_cpu_percent: idle.spent.as_secs_f64() / time * 100.0,
        cpu_percent: busy / time * 100.0,
        request_us: (busy - idle.spent.as_secs_f64()) / sent * 1e6,
        heap_mb,
        reports_per_s: reports as f64 / time,
        report_kb_per_s: report_bytes as f64 / time / 1000.0,
        answers: run.answers,
    })
}

/// A gateway and what its hollow surroundings have in hand.
struct GatewayRun {
    size: Size,
    gateway: Gateway,
    meter: Meter,
    now: Millis,
    prompt: String,
    requests_due: bool,
    sent: u64,
    requests_started_at: Millis,
    reports: u64,
    report_bytes: u64,
    answers: u64,
    refused: u64,
    pending: Vec<Event>,
    /// Number of each engine's next cache event.
    next_event: Vec<u64>,
}

impl GatewayRun {
    fn new(size: Size) -> Self {
        let settings = GatewaySettings::new(GatewayId::new("gateway-1.1"), 1);
        let mut run = GatewayRun {
            size,
            gateway: Gateway::new(settings),
            meter: Meter::default(),
            now: Millis(1000),
            prompt: "word ".repeat(PROMPT_WORDS),
            requests_due: false,
            sent: 0,
            requests_started_at: Millis(1000),
            reports: 0,
            report_bytes: 0,
            answers: 0,
            refused: 0,
            pending: Vec::new(),
            next_event: vec![0; size.engines],
        };
        let update = WatchUpdate::Snapshot(std::sync::Arc::new(configuration(size)));
        let sent_at = run.now;
        run.pending.push(Event::Control(ControlReply::Watch {
            sent_at,
            update,
            group: None,
            gateways: 1,
            backlogs: None,
            copies: Vec::new(),
        }));
        run
    }

    fn reset(&mut self) {
        self.meter = Meter::default();
        self.reports = 0;
        self.report_bytes = 0;
        self.requests_started_at = self.now;
        self.sent = 0;
    }

    fn advance(&mut self, span: Millis) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + TICK;
            self.pending.push(Event::Tick);
            self.call();
            self.settle();
        }
    }

    fn call(&mut self) {
        if !self.requests_due {
            return;
        }
        let elapsed = self.now.since(self.requests_started_at).0;
        let due = self.size.requests_per_second as u64 * elapsed / 1000;
        while self.sent < due {
            self.sent += 1;
            let tenant = self.sent as usize % self.size.tenants;
            let session = Size::session(tenant);
            self.pending.push(Event::Call(Call {
                id: RequestId(self.sent + self.answers + (1 << 32)),
                tenant: None,
                session: Some(session.id),
                key: None,
                deadline: None,
                work: Work::Completion {
                    model: session.model.unwrap_or_default(),
                    prompt: self.prompt.clone(),
                    max_tokens: ANSWER_TOKENS,
                    stream: true,
                    chat: false,
                },
            }));
        }
    }

    /// Lets the gateway work and its surroundings answer.
    fn settle(&mut self) {
        while !self.pending.is_empty() {
            for event in std::mem::take(&mut self.pending) {
                let effects = self.meter.measure(|| {
                    self.gateway.handle(event, self.now);
                    self.gateway.take_effects()
                });
                for effect in effects {
                    self.answer(effect);
                }
            }
        }
    }

    fn answer(&mut self, effect: Effect) {
        match effect {
            Effect::SendControl(GatewayRequest::Watch { sent_at, .. }) => {
                let update = WatchUpdate::Current;
                self.pending.push(Event::Control(ControlReply::Watch {
                    sent_at,
                    update,
                    group: None,
                    gateways: 1,
                    backlogs: None,
                    copies: Vec::new(),
                }));
            }
            Effect::PollLoad { backend, .. } => {
                let number = backend.as_str().trim_start_matches("engine-").parse();
                let report = self.report(number.unwrap_or_default());
                let bytes = serde_json::to_vec(&report).unwrap_or_default();
                self.reports += 1;
                self.report_bytes += bytes.len() as u64;
                let parsed = self
                    .meter
                    .measure(|| serde_json::from_slice::<LoadReport>(&bytes));
                if let Ok(report) = parsed {
                    self.pending.push(Event::Load(backend, report));
                }
            }
            Effect::PersistIndex(index) => self.pending.push(Event::IndexPersisted(index)),
            Effect::Dispatch { attempt, job, .. } => self.work(attempt, &job),
            Effect::Answer { answer, .. } => match answer {
                garnet_gateway::Answer::Refused(_) => self.refused += 1,
                _ => self.answers += 1,
            },
            _ => {}
        }
    }

    /// An engine does a job at once.
    fn work(&mut self, attempt: AttemptId, job: &Job) {
        let mut event = |event| self.pending.push(Event::Attempt(attempt, event));
        match job {
            Job::Prefill { .. } => event(AttemptEvent::Prefilled { handle: 1 }),
            Job::Generate { max_tokens, .. } => {
                let mut first = 0;
                while first < *max_tokens {
                    let count = TOKENS_IN_PIECE.min(max_tokens - first);
                    let tokens = vec!["word".to_owned(); count as usize];
                    event(AttemptEvent::Tokens { first, tokens });
                    first += count;
                }
                event(AttemptEvent::Finished { total: *max_tokens });
            }
            Job::Application { .. } => event(AttemptEvent::NotStarted { draining: false }),
        }
    }

    /// A load report with the blocks stored since the last one.
    fn report(&mut self, number: usize) -> LoadReport {
        let end = BLOCKS_AT_START + self.now.0 * BLOCKS_PER_SECOND / 1000;
        let first = std::mem::replace(&mut self.next_event[number], end);
        let event = |sequence: u64| CacheEvent {
            sequence,
            block: sequence.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ number as u64,
            stored: true,
        };
        LoadReport {
            incarnation: 1,
            role: Size::role(number),
            accepting: true,
            queued_prompt_tokens: 400,
            active_sequences: 4,
            age_ms: 300,
            capacity: EngineCapacity::default(),
            cache_events: (first..end).map(event).collect(),
        }
    }
}

fn configuration(size: Size) -> Configuration {
    let record = |number: usize| BackendRecord {
        registration: Size::registration(number),
        machine: MachineState::Live,
        desired: None,
        observed: Some(EngineObservation {
            incarnation: 1,
            assignment: EngineAssignment {
                role: Size::role(number),
                model: Size::model(number),
            },
        }),
        order: None,
        revision: 1,
    };
    let policy = PolicyRecord {
        document: POLICY.to_owned(),
        revision: 1,
    };
    let sessions = (0..size.tenants).map(|number| {
        let session = Size::session(number);
        (session.id.clone(), session)
    });
    Configuration {
        routes: None,
        index: 1,
        sessions: sessions.collect(),
        policies: [("voorschrift".to_owned(), policy)].into(),
        backends: (0..size.engines)
            .map(|number| (Size::engine(number), record(number)))
            .collect(),
    }
}

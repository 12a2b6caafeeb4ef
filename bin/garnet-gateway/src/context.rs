//! The gateway's state machine and everything that carries its effects out.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use garnet_control::GatewayRequest;
use garnet_gateway::{Answer, AttemptId, Effect, Event, Gateway};
use garnet_quarantine::RunReport;
use garnet_runtime::{ByteBudget, Clock, HttpClient};
use garnet_types::{Millis, RequestId};
use smol::channel::Sender;
use smol::{LocalExecutor, Task};

use crate::attempts;

/// What a caller's handler hears.
#[derive(Debug)]
pub(crate) enum CallerMessage {
    /// Tokens of a streamed text.
    Tokens(Vec<String>),
    /// The final answer.
    Answer(Answer),
}

/// What is open at the moment.
#[derive(Default)]
struct Open {
    callers: HashMap<RequestId, Sender<CallerMessage>>,
    attempts: HashMap<AttemptId, Task<()>>,
    /// Next cache event wanted of each engine, and its incarnation.
    cache_cursors: HashMap<String, (u64, u64)>,
}

/// Shared by all tasks of the process.
#[derive(Clone)]
pub(crate) struct Context {
    gateway: Rc<RefCell<Gateway>>,
    open: Rc<RefCell<Open>>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) http: HttpClient,
    /// For the bodies and answers that the process buffers.
    pub(crate) buffer_budget: ByteBudget,
    pub(crate) clock: Clock,
    pub(crate) max_body_bytes: usize,
    to_control: Sender<GatewayRequest>,
    to_disk: Sender<u64>,
}

impl Context {
    pub(crate) fn new(
        gateway: Gateway,
        executor: Rc<LocalExecutor<'static>>,
        clock: Clock,
        max_body_bytes: usize,
        to_control: Sender<GatewayRequest>,
        to_disk: Sender<u64>,
    ) -> Self {
        let buffer_budget = ByteBudget::default();
        Context {
            gateway: Rc::new(RefCell::new(gateway)),
            open: Rc::default(),
            http: HttpClient::new(Rc::clone(&executor)).with_budget(buffer_budget.clone()),
            buffer_budget,
            executor,
            clock,
            max_body_bytes,
            to_control,
            to_disk,
        }
    }

    /// Takes an event and carries out what follows from it.
    pub(crate) fn handle(&self, event: Event) {
        let effects = {
            let mut gateway = self.gateway.borrow_mut();
            gateway.handle(event, self.clock.now());
            gateway.take_effects()
        };
        for effect in effects {
            self.carry_out(effect);
        }
    }

    /// Looks at the state machine.
    pub(crate) fn with_gateway<T>(&self, look: impl FnOnce(&Gateway, Millis) -> T) -> T {
        look(&self.gateway.borrow(), self.clock.now())
    }

    /// Whether runs are reported on the report connection.
    pub(crate) fn uses_report_connection(&self) -> bool {
        self.gateway.borrow().uses_report_connection()
    }

    /// The runs to report on the report connection, or `None` while the leader takes the
    /// reports.
    pub(crate) fn next_run_report(&self) -> Option<RunReport> {
        let now = self.clock.now();
        self.gateway.borrow_mut().next_run_report(now)
    }

    /// Registers a caller for its messages.
    pub(crate) fn open_caller(&self, request: RequestId, sender: Sender<CallerMessage>) {
        self.open.borrow_mut().callers.insert(request, sender);
    }

    /// Notes that a caller needs nothing more. One without its final answer
    /// has left.
    pub(crate) fn close_caller(&self, request: RequestId) {
        let without_answer = self.open.borrow_mut().callers.remove(&request).is_some();
        if without_answer {
            self.handle(Event::CallerDisconnected(request));
        }
    }

    /// Notes that an attempt's task is at its end.
    pub(crate) fn end_attempt(&self, attempt: AttemptId) {
        if let Some(task) = self.open.borrow_mut().attempts.remove(&attempt) {
            // It runs this very line: dropping it would only cancel the rest.
            task.detach();
        }
    }

    /// Where to go on reading an engine's cache events.
    pub(crate) fn cache_cursor(&self, engine: &str) -> u64 {
        let open = self.open.borrow();
        open.cache_cursors.get(engine).map_or(0, |(_, next)| *next)
    }

    /// Notes how far an engine's cache events were read.
    pub(crate) fn note_cache_cursor(&self, engine: &str, incarnation: u64, next: u64) {
        let mut open = self.open.borrow_mut();
        let cursor = open
            .cache_cursors
            .entry(engine.to_owned())
            .or_insert((incarnation, 0));
        if cursor.0 == incarnation {
            cursor.1 = cursor.1.max(next);
        } else {
            // Another start of the engine counts from zero again.
            *cursor = (incarnation, 0);
        }
    }

    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::Tokens {
                request, tokens, ..
            } => self.tell_caller(request, CallerMessage::Tokens(tokens)),
            Effect::Answer { request, answer } => {
                self.tell_caller(request, CallerMessage::Answer(answer));
                self.open.borrow_mut().callers.remove(&request);
            }
            Effect::Dispatch {
                attempt,
                address,
                job,
                remaining,
                backend,
                ..
            } => {
                let run = attempts::run(self.clone(), attempt, backend, address, job, remaining);
                let task = self.executor.spawn(run);
                self.open.borrow_mut().attempts.insert(attempt, task);
            }
            Effect::Cancel(attempt) => {
                // Dropping the task closes the connection.
                let task = self.open.borrow_mut().attempts.remove(&attempt);
                drop(task);
            }
            Effect::SendControl(request) => {
                // What is lost is sent again.
                let _lost = self.to_control.try_send(request);
            }
            Effect::PollLoad { backend, address } => {
                let poll = attempts::poll_load(self.clone(), backend, address);
                self.executor.spawn(poll).detach();
            }
            Effect::PersistIndex(index) => {
                let _stopping = self.to_disk.try_send(index);
            }
        }
    }

    fn tell_caller(&self, request: RequestId, message: CallerMessage) {
        if let Some(sender) = self.open.borrow().callers.get(&request) {
            // The caller may just be leaving.
            let _gone = sender.try_send(message);
        }
    }
}

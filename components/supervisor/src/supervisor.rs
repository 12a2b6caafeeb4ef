//! Children, their restarts and their ordered stop.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use displaydoc::Display;
use smol::LocalExecutor;
use smol::Task;
use smol::channel::{Receiver, Sender, unbounded};
use thiserror::Error;

use crate::stop::{StopHandle, StopSignal, stop_channel};

/// Why a child ended without being asked to.
#[derive(Debug, Display, Error)]
pub enum ChildError {
    /// {0}
    Failed(String),
}

impl ChildError {
    /// A failure with its cause as text.
    pub fn new(cause: impl std::fmt::Display) -> Self {
        ChildError::Failed(cause.to_string())
    }
}

/// Why a supervisor gave up.
#[derive(Debug, Display, Error)]
pub enum SupervisorError {
    /// child {name} failed too often, last with: {cause}
    TooManyRestarts {
        /// The child.
        name: &'static str,
        /// Its last failure.
        cause: String,
    },
    /// child {name} failed and may not be restarted: {cause}
    ChildFailed {
        /// The child.
        name: &'static str,
        /// Its failure.
        cause: String,
    },
}

/// When a child is started again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Restart {
    /// Whenever it ends.
    Permanent,
    /// When it fails.
    Transient,
    /// Never: its failure is the supervisor's failure.
    Essential,
}

/// Which children are restarted with one that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// Only that one.
    OneForOne,
    /// That one and those started after it.
    RestForOne,
}

/// How many restarts a supervisor bears.
#[derive(Debug, Clone, Copy)]
pub struct Intensity {
    /// Most restarts.
    pub restarts: usize,
    /// Within this time.
    pub within: Duration,
}

impl Default for Intensity {
    fn default() -> Self {
        Intensity {
            restarts: 5,
            within: Duration::from_secs(10),
        }
    }
}

type ChildFuture = Pin<Box<dyn Future<Output = Result<(), ChildError>>>>;

/// How a child is started.
pub struct ChildSpec {
    name: &'static str,
    restart: Restart,
    start: Box<dyn Fn(StopSignal) -> ChildFuture>,
}

impl ChildSpec {
    /// A child that is started by `start`, again for each restart.
    pub fn new<F>(
        name: &'static str,
        restart: Restart,
        start: impl Fn(StopSignal) -> F + 'static,
    ) -> Self
    where
        F: Future<Output = Result<(), ChildError>> + 'static,
    {
        ChildSpec {
            name,
            restart,
            start: Box::new(move |signal| Box::pin(start(signal))),
        }
    }
}

struct Running {
    task: Task<()>,
    stop: StopHandle,
    generation: u64,
}

struct Ended {
    position: usize,
    generation: u64,
    result: Result<(), ChildError>,
}

/// Starts children and watches them.
pub struct Supervisor {
    executor: Rc<LocalExecutor<'static>>,
    strategy: Strategy,
    intensity: Intensity,
    specs: Vec<ChildSpec>,
    running: Vec<Option<Running>>,
    restarts: VecDeque<Instant>,
    generation: u64,
    ended: (Sender<Ended>, Receiver<Ended>),
}

impl Supervisor {
    /// A supervisor without children.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        strategy: Strategy,
        intensity: Intensity,
    ) -> Self {
        Supervisor {
            executor,
            strategy,
            intensity,
            specs: Vec::new(),
            running: Vec::new(),
            restarts: VecDeque::new(),
            generation: 0,
            ended: unbounded(),
        }
    }

    /// Adds a child, to be started after those added before.
    #[must_use]
    pub fn child(mut self, spec: ChildSpec) -> Self {
        self.specs.push(spec);
        self
    }

    /// Runs until the planned stop, or until a failure is too much.
    ///
    /// # Errors
    /// When a child may not be restarted, or was restarted too often. The
    /// other children are stopped in order before this returns.
    pub async fn run(mut self, stop: StopSignal) -> Result<(), SupervisorError> {
        self.running.resize_with(self.specs.len(), || None);
        for position in 0..self.specs.len() {
            self.start(position);
        }
        let outcome = self.watch(&stop).await;
        self.stop_from(0).await;
        outcome
    }

    async fn watch(&mut self, stop: &StopSignal) -> Result<(), SupervisorError> {
        let ended = self.ended.1.clone();
        loop {
            let next = async { ended.recv().await.ok() };
            let stopped = async {
                stop.stopped().await;
                None
            };
            match smol::future::or(stopped, next).await {
                Some(ended) => self.handle_end(ended).await?,
                None => return Ok(()),
            }
        }
    }

    async fn handle_end(&mut self, ended: Ended) -> Result<(), SupervisorError> {
        let current = self.running[ended.position]
            .as_ref()
            .is_some_and(|running| running.generation == ended.generation);
        if !current {
            return Ok(());
        }
        self.running[ended.position] = None;
        let spec = &self.specs[ended.position];
        let name = spec.name;
        let cause = match ended.result {
            Ok(()) if spec.restart != Restart::Permanent => return Ok(()),
            Ok(()) => "it ended".to_owned(),
            Err(error) => error.to_string(),
        };
        log::warn!(child = name, cause = cause.as_str(); "child_failed");
        if spec.restart == Restart::Essential {
            return Err(SupervisorError::ChildFailed { name, cause });
        }
        if self.restarted_too_often() {
            return Err(SupervisorError::TooManyRestarts { name, cause });
        }
        self.restart(ended.position).await;
        Ok(())
    }

    fn restarted_too_often(&mut self) -> bool {
        let now = Instant::now();
        let within = self.intensity.within;
        self.restarts.retain(|at| now.duration_since(*at) <= within);
        self.restarts.push_back(now);
        self.restarts.len() > self.intensity.restarts
    }

    async fn restart(&mut self, position: usize) {
        match self.strategy {
            Strategy::OneForOne => self.start(position),
            Strategy::RestForOne => {
                self.stop_from(position).await;
                for later in position..self.specs.len() {
                    self.start(later);
                }
            }
        }
    }

    fn start(&mut self, position: usize) {
        self.generation += 1;
        let generation = self.generation;
        let (stop, signal) = stop_channel();
        let child = (self.specs[position].start)(signal);
        let sender = self.ended.0.clone();
        let task = self.executor.spawn(async move {
            let result = child.await;
            let ended = Ended {
                position,
                generation,
                result,
            };
            // The supervisor may be gone already.
            let _unheard = sender.try_send(ended);
        });
        self.running[position] = Some(Running {
            task,
            stop,
            generation,
        });
    }

    /// Stops the children from `first` on, the last one first.
    async fn stop_from(&mut self, first: usize) {
        for position in (first..self.running.len()).rev() {
            if let Some(running) = self.running[position].take() {
                running.stop.stop();
                running.task.await;
            }
        }
    }
}

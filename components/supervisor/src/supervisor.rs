//! Starting, restarting and stopping children in order.

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

/// Why a child failed.
#[derive(Debug, Display, Error)]
pub enum ChildError {
    /// {0}
    Failed(String),
}

impl ChildError {
    /// Creates a failure with its cause as text.
    pub fn new(cause: impl std::fmt::Display) -> Self {
        ChildError::Failed(cause.to_string())
    }
}

/// Why a supervisor failed.
#[derive(Debug, Display, Error)]
pub enum SupervisorError {
    /// child {name} failed too often, last with: {cause}
    TooManyRestarts {
        /// Name of the child.
        name: &'static str,
        /// Its last failure.
        cause: String,
    },
    /// child {name} failed and may not be restarted: {cause}
    ChildFailed {
        /// Name of the child.
        name: &'static str,
        /// Its failure.
        cause: String,
    },
}

/// When a child is restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Restart {
    /// Whenever it ends.
    Permanent,
    /// When it fails.
    Transient,
    /// Never: its failure makes the supervisor fail.
    Essential,
}

/// Which children are restarted when one fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// Only the failed child.
    OneForOne,
    /// The failed child and those started after it.
    RestForOne,
}

/// How many restarts a supervisor allows before it fails.
#[derive(Debug, Clone, Copy)]
pub struct Intensity {
    /// Maximum number of restarts.
    pub restarts: usize,
    /// Period within which the restarts are counted.
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

/// Describes a child and how it is started.
pub struct ChildSpec {
    name: &'static str,
    restart: Restart,
    start: Box<dyn Fn(StopSignal) -> ChildFuture>,
}

impl ChildSpec {
    /// Creates the description of a child. `start` is called at each start and restart.
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

struct RunningChild {
    task: Task<()>,
    stop: StopHandle,
    generation: u64,
}

struct ChildExit {
    position: usize,
    generation: u64,
    result: Result<(), ChildError>,
}

/// Starts children and monitors them.
pub struct Supervisor {
    executor: Rc<LocalExecutor<'static>>,
    strategy: Strategy,
    intensity: Intensity,
    specs: Vec<ChildSpec>,
    running: Vec<Option<RunningChild>>,
    restarts: VecDeque<Instant>,
    generation: u64,
    exits: (Sender<ChildExit>, Receiver<ChildExit>),
}

impl Supervisor {
    /// Creates a supervisor without children.
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
            exits: unbounded(),
        }
    }

    /// Adds a child, which is started after those added earlier.
    #[must_use]
    pub fn child(mut self, spec: ChildSpec) -> Self {
        self.specs.push(spec);
        self
    }

    /// Runs until the planned stop, or until a failure that is not handled by a restart.
    ///
    /// # Errors
    /// When a child may not be restarted, or was restarted too often. The
    /// other children are stopped in order before this returns.
    pub async fn run(mut self, stop: StopSignal) -> Result<(), SupervisorError> {
        self.running.resize_with(self.specs.len(), || None);
        for position in 0..self.specs.len() {
            self.start(position);
        }
        let outcome = self.monitor(&stop).await;
        self.stop_from(0).await;
        outcome
    }

    async fn monitor(&mut self, stop: &StopSignal) -> Result<(), SupervisorError> {
        let exits = self.exits.1.clone();
        loop {
            let next = async { exits.recv().await.ok() };
            let stopped = async {
                stop.stopped().await;
                None
            };
            match smol::future::or(stopped, next).await {
                Some(ended) => self.handle_exit(ended).await?,
                None => return Ok(()),
            }
        }
    }

    async fn handle_exit(&mut self, ended: ChildExit) -> Result<(), SupervisorError> {
        let is_current = self.running[ended.position]
            .as_ref()
            .is_some_and(|running| running.generation == ended.generation);
        if !is_current {
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
        let sender = self.exits.0.clone();
        let task = self.executor.spawn(async move {
            let result = child.await;
            let ended = ChildExit {
                position,
                generation,
                result,
            };
            // The send fails only when the supervisor was dropped already.
            let _receiver_closed = sender.try_send(ended);
        });
        self.running[position] = Some(RunningChild {
            task,
            stop,
            generation,
        });
    }

    /// Stops the children from position `first` on, in reverse order.
    async fn stop_from(&mut self, first: usize) {
        for position in (first..self.running.len()).rev() {
            if let Some(running) = self.running[position].take() {
                running.stop.stop();
                running.task.await;
            }
        }
    }
}

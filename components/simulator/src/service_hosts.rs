//! Engines and applications as hosts of the simulation.

use std::collections::BTreeMap;

use garnet_gateway::AttemptId;
use garnet_stand_in::text::other_build;
use garnet_stand_in::{ApplicationStandIn, EngineSettings, EngineStandIn, JobId};
use garnet_types::{BuildId, EngineAssignment, EngineCapacity, EngineRole, Fence, Millis, ModelId};

/// Model that all engines of the simulation hold.
pub(crate) const MODEL: &str = "model";
/// Service of the engines.
pub(crate) const ENGINE_SERVICE: &str = "language";
/// Service of the application instances.
pub(crate) const APPLICATION_SERVICE: &str = "orders";

/// A job of a gateway at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobOwner {
    pub(crate) gateway: usize,
    pub(crate) gateway_start: u64,
    pub(crate) attempt: AttemptId,
}

/// One place for an engine.
pub(crate) struct EngineHost {
    pub(crate) engine: Option<EngineStandIn>,
    /// Highest fence on its disk.
    pub(crate) kept_fence: Fence,
    pub(crate) jobs: BTreeMap<JobId, JobOwner>,
    settings: EngineSettings,
    starts: u64,
    pub(crate) draining: bool,
    /// When the platform began to say that the machine is leaving.
    pub(crate) leaving_since: Option<Millis>,
}

impl EngineHost {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        EngineHost {
            engine: None,
            kept_fence: Fence::default(),
            jobs: BTreeMap::new(),
            settings,
            starts: 0,
            draining: false,
            leaving_since: None,
        }
    }

    /// Number of this start.
    pub(crate) fn starts(&self) -> u64 {
        self.starts
    }

    /// Has the next start be of another build.
    pub(crate) fn replace_build(&mut self) {
        let other = other_build(self.settings.build.as_str());
        self.settings.build = BuildId::new(other);
    }

    pub(crate) fn start(&mut self) {
        self.starts += 1;
        let settings = self.settings.clone();
        self.engine = Some(EngineStandIn::new(settings, self.starts, self.kept_fence));
        self.draining = false;
    }

    /// Ends the process; gives the jobs whose connections end with it.
    pub(crate) fn crash(&mut self) -> Vec<JobOwner> {
        self.engine = None;
        std::mem::take(&mut self.jobs).into_values().collect()
    }
}

/// A call that an application instance works on.
#[derive(Debug, Clone)]
pub(crate) struct OpenCall {
    pub(crate) owner: JobOwner,
    pub(crate) request: garnet_types::RequestId,
    pub(crate) key: Option<String>,
    pub(crate) path: String,
    pub(crate) body: String,
    pub(crate) is_safe: bool,
}

/// One place for an application instance.
pub(crate) struct ApplicationHost {
    pub(crate) application: ApplicationStandIn,
    pub(crate) up: bool,
    pub(crate) draining: bool,
    pub(crate) open: BTreeMap<u64, OpenCall>,
    pub(crate) leaving_since: Option<Millis>,
    starts: u64,
}

impl ApplicationHost {
    pub(crate) fn new(place: usize) -> Self {
        ApplicationHost {
            application: ApplicationStandIn::new(format!("application-{place}")),
            up: false,
            draining: false,
            open: BTreeMap::new(),
            leaving_since: None,
            starts: 0,
        }
    }

    /// Number of this start.
    pub(crate) fn starts(&self) -> u64 {
        self.starts
    }

    pub(crate) fn start(&mut self) {
        self.starts += 1;
        self.up = true;
        self.draining = false;
    }

    /// Ends the process; gives the calls whose connections end with it.
    pub(crate) fn crash(&mut self) -> Vec<JobOwner> {
        self.up = false;
        let open = std::mem::take(&mut self.open);
        open.into_values().map(|call| call.owner).collect()
    }
}

/// Settings of an engine for the callers who try everything: fast, so that
/// much happens in a run.
pub(crate) fn fast_engine(role: EngineRole) -> EngineSettings {
    EngineSettings {
        capacity: EngineCapacity {
            prefill_tokens_per_second: 20_000.0,
            decode_step_ms: 10.0,
            ..EngineCapacity::default()
        },
        role_change: Millis(1200),
        report_lag: Millis(300),
        ..ordinary_engine(role)
    }
}

/// Settings of an engine of ordinary size.
pub(crate) fn ordinary_engine(role: EngineRole) -> EngineSettings {
    EngineSettings::new(EngineAssignment {
        role,
        model: ModelId::new(MODEL),
    })
}

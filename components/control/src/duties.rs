//! Duties towards the platform that one replica does at a time.
//!
//! The holder is the leader, under its lease. It begins a tenure with a command
//! of the log; the index of that command is the fencing token of its calls,
//! which no other holder can ever use and which rises from one tenure to the
//! next. A holder whose call was refused, or may still be carried out, begins
//! another tenure before it calls again: the former call is void from then on.

use garnet_planner::EngineKind;
use garnet_types::{Millis, ReplicaId, ServiceId, UsageWindow};
use serde::{Deserialize, Serialize};

use crate::usage::WindowCounts;

/// Tenures that are remembered, to know whether a holder comes back.
const REMEMBERED: usize = 4;

/// The right to call, from one command of the log on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// Who holds it.
    pub holder: ReplicaId,
    /// The term that its holder leads.
    pub term: u64,
    /// Log index: the fencing token.
    pub token: u64,
}

/// The present tenure and the ones before it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenures {
    /// The newest one first.
    latest: Vec<Tenure>,
}

impl Tenures {
    /// A holder begins a tenure.
    pub(crate) fn begin(&mut self, tenure: Tenure) {
        self.latest.insert(0, tenure);
        self.latest.truncate(REMEMBERED);
    }

    /// The present tenure.
    pub fn current(&self) -> Option<&Tenure> {
        self.latest.first()
    }

    /// What a new holder has to wait for before its first call.
    pub(crate) fn predecessor_of(&self, holder: ReplicaId) -> Predecessor {
        match self
            .latest
            .iter()
            .position(|tenure| tenure.holder == holder)
        {
            Some(0) => Predecessor::Itself,
            Some(_) => Predecessor::AnotherAfterItself,
            None if self.latest.is_empty() => Predecessor::Nobody,
            None => Predecessor::Another,
        }
    }
}

/// Who held a duty before a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Predecessor {
    /// Nobody, as far as remembered.
    Nobody,
    /// The holder itself.
    Itself,
    /// Another replica.
    Another,
    /// Another replica, and the holder itself before that: the two must not be
    /// seen to take turns.
    AnotherAfterItself,
}

/// Settings of the duties.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutySettings {
    /// Whether the platform refuses calls with a lower token than it has seen.
    pub fences_checked: bool,
    /// Within this time two holders must not be seen to take turns.
    pub alternation_window: Millis,
    /// Longest time that a call takes; its connection is closed then.
    pub call_timeout: Millis,
    /// Length of the windows over which usage is told; `None` tells none.
    pub usage_window: Option<Millis>,
    /// Whether engines are bought and given back.
    pub buys_engines: bool,
}

/// On top of every wait: a clock that runs slow, a call that is on its way.
const WAIT_MARGIN: Millis = Millis(500);

impl DutySettings {
    /// How long a new holder waits from the beginning of its term.
    pub(crate) fn wait_after(&self, before: Predecessor) -> Millis {
        match before {
            Predecessor::Nobody | Predecessor::Itself => Millis::ZERO,
            // What the former holder has sent is void by its token.
            Predecessor::Another if self.fences_checked => Millis::ZERO,
            Predecessor::Another => self.call_timeout + WAIT_MARGIN,
            Predecessor::AnotherAfterItself => {
                self.alternation_window.max(self.call_timeout) + WAIT_MARGIN
            }
        }
    }
}

/// A call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyCall {
    /// Fencing token.
    pub token: u64,
    /// What is told or ordered.
    pub duty: Duty,
}

/// What is told or ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Duty {
    /// Usage in a window, which never changes.
    Usage {
        /// The window.
        window: UsageWindow,
        /// Requests by tenant.
        counts: WindowCounts,
    },
    /// How many engines of a kind a zone shall have.
    Fleet {
        /// Their service.
        service: ServiceId,
        /// The zone.
        zone: String,
        /// Their kind.
        kind: EngineKind,
        /// How many.
        engines: u32,
    },
}

/// What calls are about: of those about one subject the platform takes none
/// with a lower token than it has seen, and one at a time is under way.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    /// Usage in all windows.
    Usage,
    /// Engines of a service in a zone.
    Fleet(ServiceId, String),
}

impl Duty {
    pub(crate) fn subject(&self) -> Subject {
        match self {
            Duty::Usage { .. } => Subject::Usage,
            Duty::Fleet { service, zone, .. } => Subject::Fleet(service.clone(), zone.clone()),
        }
    }

    /// Whether a call that is carried out later than the next one does harm.
    pub(crate) fn may_arrive_late(&self) -> bool {
        match self {
            // It says the same whenever it comes.
            Duty::Usage { .. } => true,
            Duty::Fleet { .. } => false,
        }
    }
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyAnswer {
    /// It was carried out.
    Done,
    /// It was refused: a higher token was seen, or it can't be carried out now.
    Refused,
    /// Too many calls are made.
    Throttled,
    /// No answer came: it may be carried out, also later.
    Unknown,
}

impl DutyAnswer {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            DutyAnswer::Done => "done",
            DutyAnswer::Refused => "refused",
            DutyAnswer::Throttled => "throttled",
            DutyAnswer::Unknown => "unknown",
        }
    }
}

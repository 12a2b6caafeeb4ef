//! Duties towards the platform, which one replica holds at a time.
//!
//! The holder is the leader, under its lease. It begins a tenure with a log command; the
//! log index of that command is the fencing token of its calls. No other holder can use
//! the same token, and tokens increase from one tenure to the next. A holder whose call
//! was refused, or may still be carried out, begins another tenure before it calls again,
//! which makes the earlier call void.

use garnet_planner::EngineKind;
use garnet_types::{Millis, ReplicaId, ServiceId, UsageWindow};
use serde::{Deserialize, Serialize};

use crate::usage::WindowCounts;

/// Number of tenures that are kept, to detect a holder that held the duties before.
const KEPT_TENURES: usize = 4;

/// The right to call the platform, given by one log command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// The replica that holds it.
    pub holder: ReplicaId,
    /// Term in which the holder is the leader.
    pub term: u64,
    /// The fencing token, a log index.
    pub token: u64,
}

/// The current tenure and the ones before it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenures {
    /// The tenures, newest first.
    latest: Vec<Tenure>,
}

impl Tenures {
    /// Begins a tenure.
    pub(crate) fn begin(&mut self, tenure: Tenure) {
        self.latest.insert(0, tenure);
        self.latest.truncate(KEPT_TENURES);
    }

    /// The current tenure.
    pub fn current(&self) -> Option<&Tenure> {
        self.latest.first()
    }

    /// Who held the duties before `holder`, which decides how long it waits before its
    /// first call.
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

/// Who held the duties before a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Predecessor {
    /// No replica, as far as tenures are kept.
    Nobody,
    /// The holder itself.
    Itself,
    /// Another replica.
    Another,
    /// Another replica, and the holder itself before that: the platform must not see the
    /// two alternate.
    AnotherAfterItself,
}

/// Settings of the duties.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutySettings {
    /// Whether the platform refuses calls with a lower token than it has seen.
    pub fences_checked: bool,
    /// Time within which the platform must not see two holders alternate.
    pub alternation_window: Millis,
    /// Longest duration of a call, after which its connection is closed.
    pub call_timeout: Millis,
    /// Length of the windows for which usage is reported; `None` reports none.
    pub usage_window: Option<Millis>,
    /// Whether engines are bought and released.
    pub buys_engines: bool,
}

/// Added to every wait, for slow clocks and for calls in flight.
const WAIT_MARGIN: Millis = Millis(500);

impl DutySettings {
    /// How long a new holder waits from the beginning of its term.
    pub(crate) fn wait_after(&self, predecessor: Predecessor) -> Millis {
        match predecessor {
            Predecessor::Nobody | Predecessor::Itself => Millis::ZERO,
            // The token makes calls of the previous holder void.
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
    /// What is reported or ordered.
    pub duty: Duty,
}

/// What is reported or ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Duty {
    /// Reports the usage in a closed window, which never changes.
    Usage {
        /// The window.
        window: UsageWindow,
        /// Requests by tenant.
        counts: WindowCounts,
    },
    /// Orders the number of engines of one kind in a zone.
    Fleet {
        /// Service of the engines.
        service: ServiceId,
        /// The zone.
        zone: String,
        /// Kind of the engines.
        kind: EngineKind,
        /// Wanted number of engines.
        engines: u32,
    },
}

/// Subject of a call. Of the calls about one subject the platform refuses those with a
/// lower token than it has seen, and at most one is in flight.
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

    /// Returns whether the call does no harm when it is carried out after the next one.
    pub(crate) fn may_arrive_late(&self) -> bool {
        match self {
            // A closed window never changes, so a late call reports the same counts.
            Duty::Usage { .. } => true,
            Duty::Fleet { .. } => false,
        }
    }
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyAnswer {
    /// The call was carried out.
    Done,
    /// The platform refused the call: it has seen a higher token, or it can't carry out
    /// the call now.
    Refused,
    /// The platform refused the call because of too many calls.
    Throttled,
    /// No answer arrived; the call may have been or may yet be carried out.
    Unknown,
}

impl DutyAnswer {
    /// Name of the answer in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            DutyAnswer::Done => "done",
            DutyAnswer::Refused => "refused",
            DutyAnswer::Throttled => "throttled",
            DutyAnswer::Unknown => "unknown",
        }
    }
}

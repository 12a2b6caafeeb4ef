//! Messages of gateways and the leader about limits and permits.

use garnet_types::{BackendId, Millis};
use serde::{Deserialize, Serialize};

use crate::rate::RequestRate;

/// A permit may be used for so long after it was asked for, by the clock of the
/// gateway that asked: an answer of the leader and the request's own way out.
pub const PERMIT_LASTS: Millis = Millis(500);

/// The limit in an answer of a back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The back end.
    pub backend: BackendId,
    /// Which start of it.
    pub start: u64,
    /// The limit; `None` where the answer names none.
    pub rate: Option<RequestRate>,
    /// Age of the report: time since the answer came that named a limit, or since the
    /// request was sent whose answer named none.
    pub ago: Millis,
}

/// Reports that a gateway sends to the leader in one message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReports {
    /// Sequence number of the message on its connection, which the leader acknowledges.
    pub number: u64,
    /// The reports.
    pub reports: Vec<LimitReport>,
}

/// A limit in the leader's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitEntry {
    /// The back end.
    pub backend: BackendId,
    /// Requests a second that it takes from all gateways together.
    pub rate: RequestRate,
}

/// All limits that the leader of a term knows.
#[derive(Debug, Clone, Copy)]
pub struct LimitList<'a> {
    /// The term.
    pub term: u64,
    /// Rises with each change of the list in the term.
    pub number: u64,
    /// Number of the last [`LimitReports`] of the gateway that is applied.
    pub reports_taken: u64,
    /// The limits.
    pub limits: &'a [LimitEntry],
}

/// A gateway has a request that one of these back ends could take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// The gateway's name for the question.
    pub number: u64,
    /// The back ends; any of them will do.
    pub backends: Vec<BackendId>,
    /// Urgency of the request, 0 first.
    pub rank: u8,
}

/// The leader's answer to a [`PermitAsk`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// Copied from the question.
    pub number: u64,
    /// What is allowed.
    pub outcome: PermitOutcome,
}

/// What a gateway may do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitOutcome {
    /// Send one request, within [`PERMIT_LASTS`].
    Granted {
        /// Where to.
        backend: BackendId,
        /// Whether no gateway has reported the limit of the back end for a while.
        is_due: bool,
    },
    /// Send none.
    Refused {
        /// Until then none of the back ends has a permit for a request of this rank.
        wait: Millis,
        /// Retry time of this request's caller; each caller gets its own.
        retry_after: Millis,
    },
}

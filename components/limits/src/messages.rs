//! Messages between gateways and the leader about limits and permits.

use garnet_types::{BackendId, Millis};
use serde::{Deserialize, Serialize};

use crate::rate::RequestRate;

/// How long a permit is valid, counted from its request by the clock of the requesting gateway.
/// It covers the leader's answer and the time until the request is sent.
pub const PERMIT_LIFETIME: Millis = Millis(500);

/// The limit that one answer of a back end reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The back end.
    pub backend: BackendId,
    /// The start of the back end that answered.
    pub start: u64,
    /// The limit, or `None` if the answer reported none.
    pub rate: Option<RequestRate>,
    /// Age of the report: time since an answer with a limit arrived, or since the request was
    /// sent whose answer reported none.
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

/// All limits that the leader of a term has on record.
#[derive(Debug, Clone, Copy)]
pub struct LimitList<'a> {
    /// The term.
    pub term: u64,
    /// Version of the list; increases with each change within the term.
    pub number: u64,
    /// Number of the gateway's last [`LimitReports`] that the leader has applied.
    pub reports_taken: u64,
    /// The limits.
    pub limits: &'a [LimitEntry],
}

/// A gateway's request for a permit at one of several back ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number by which the gateway matches the answer.
    pub number: u64,
    /// The back ends that can take the request.
    pub backends: Vec<BackendId>,
    /// Priority of the request, 0 first.
    #[serde(rename = "rank")]
    pub priority: u8,
}

/// The leader's answer to a [`PermitRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// Number of the permit request.
    pub number: u64,
    /// Whether a permit was granted.
    pub outcome: PermitOutcome,
}

/// The leader's decision on a [`PermitRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitOutcome {
    /// The gateway may send one request within [`PERMIT_LIFETIME`].
    Granted {
        /// The back end that the permit is for.
        backend: BackendId,
        /// Whether no gateway has reported the limit of the back end recently.
        is_due: bool,
    },
    /// The gateway may send nothing now.
    Refused {
        /// Time until one of the back ends has a permit for a request of this priority.
        wait: Millis,
        /// Retry time for this request's caller; each caller gets a different one.
        retry_after: Millis,
    },
}

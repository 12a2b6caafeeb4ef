//! Transfer of the full configuration to a gateway, in parts.
//!
//! Contract: the parts of one configuration are built and encoded once for all
//! gateways, and a gateway requests the next part when it has received the previous one.
//! So the leader holds one configuration and at most one part for each gateway, a
//! connection is never silent for longer than one part takes on it, and a gateway that
//! loses its connection resumes with the same part. Changes made since then follow as
//! incremental changes once all parts have arrived.

use garnet_types::Millis;
use serde::{Deserialize, Serialize};

use crate::configuration::{BackendRecord, Configuration};
use crate::shared::Shared;

/// Number of back ends in one part: about 13 KB on the wire, half a second at the
/// 24 KB/s that control traffic may use on a node. A gateway closes a connection that is
/// silent for 1.2 s.
pub(crate) const BACKENDS_IN_PART: usize = 512;
/// A part that has not arrived after this time is requested again. As its connection is
/// still open, the sender dropped it from a full queue.
const PART_TIMEOUT: Millis = Millis::from_secs(1);

/// Identifies one part of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// Index of the configuration.
    pub index: u64,
    /// Number of the part, from 0.
    pub number: u32,
}

/// Content of a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartContent {
    /// Everything but the back ends; this is the first part.
    Rest(Configuration),
    /// Some of the back ends, in order.
    Backends(Vec<BackendRecord>),
}

/// One part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationPart {
    /// The request that this part answers.
    pub place: PartRequest,
    /// Number of parts of the configuration.
    pub parts: u32,
    /// Content of the part.
    pub content: Shared<PartContent>,
}

/// All parts of the configuration at one index.
#[derive(Debug, Clone)]
pub(crate) struct Parts {
    index: u64,
    parts: Vec<Shared<PartContent>>,
}

impl Parts {
    /// Splits a configuration into parts.
    pub(crate) fn of(configuration: &Configuration) -> Self {
        let rest = Configuration {
            index: configuration.index,
            sessions: configuration.sessions.clone(),
            routes: configuration.routes.clone(),
            policies: configuration.policies.clone(),
            backends: Default::default(),
            quarantine: configuration.quarantine.clone(),
        };
        let records: Vec<BackendRecord> = configuration.backends.values().cloned().collect();
        let backends = records.chunks(BACKENDS_IN_PART);
        let backends = backends.map(|part| PartContent::Backends(part.to_vec()));
        let parts = std::iter::once(PartContent::Rest(rest)).chain(backends);
        Parts {
            index: configuration.index,
            parts: parts.map(Shared::from).collect(),
        }
    }

    /// Index of the configuration.
    pub(crate) fn index(&self) -> u64 {
        self.index
    }

    /// Number of parts.
    pub(crate) fn len(&self) -> u32 {
        self.parts.len() as u32
    }

    /// The requested part; `None` if it belongs to another configuration.
    pub(crate) fn part(&self, request: PartRequest) -> Option<ConfigurationPart> {
        let content = self.parts.get(request.number as usize)?;
        (request.index == self.index).then(|| ConfigurationPart {
            place: request,
            parts: self.len(),
            content: content.clone(),
        })
    }
}

/// A transfer in progress.
#[derive(Debug, Clone)]
struct Transfer {
    /// The part that was requested last.
    next: PartRequest,
    requested_at: Millis,
    configuration: Configuration,
}

/// Result of adding a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartOutcome {
    /// The next part has to be requested.
    Next(PartRequest),
    /// The part was the last one, and the configuration is complete.
    Complete(Configuration),
    /// The part is not the one that was requested last.
    Ignored,
}

/// The gateway's side of the transfer: collects the parts of a configuration.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationLoader {
    transfer: Option<Transfer>,
}

impl ConfigurationLoader {
    /// Handles the leader's offer of the configuration at `index` in parts. Returns the
    /// part to request, unless one was requested and may still arrive.
    pub fn on_offer(&mut self, index: u64, now: Millis) -> Option<PartRequest> {
        let transfer = self.transfer.as_mut();
        if let Some(transfer) = transfer.filter(|transfer| transfer.next.index == index) {
            if now.since(transfer.requested_at) < PART_TIMEOUT {
                return None;
            }
            transfer.requested_at = now;
            return Some(transfer.next);
        }
        let next = PartRequest { index, number: 0 };
        self.transfer = Some(Transfer {
            next,
            requested_at: now,
            configuration: Configuration::default(),
        });
        Some(next)
    }

    /// Handles a new connection: a part requested on the previous one won't arrive, so
    /// it may be requested again at once.
    pub fn on_connected(&mut self) {
        if let Some(transfer) = &mut self.transfer {
            transfer.requested_at = Millis::ZERO;
        }
    }

    /// Adds a part that has arrived.
    pub fn take(&mut self, part: ConfigurationPart, now: Millis) -> PartOutcome {
        let awaited = self.transfer.as_mut();
        let Some(transfer) = awaited.filter(|transfer| transfer.next == part.place) else {
            return PartOutcome::Ignored;
        };
        match part.content.into_inner() {
            PartContent::Rest(rest) => transfer.configuration = rest,
            PartContent::Backends(records) => {
                let records = records.into_iter();
                let by_id = records.map(|record| (record.registration.id.clone(), record));
                transfer.configuration.backends.extend(by_id);
            }
        }
        transfer.next.number += 1;
        transfer.requested_at = now;
        if transfer.next.number < part.parts {
            return PartOutcome::Next(transfer.next);
        }
        let complete = self.transfer.take().map(|transfer| transfer.configuration);
        complete.map_or(PartOutcome::Ignored, PartOutcome::Complete)
    }
}

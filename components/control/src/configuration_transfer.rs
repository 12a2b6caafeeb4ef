//! The whole configuration in parts, which a gateway takes one after the other.
//!
//! Contract: the parts of one configuration are made and encoded once, whatever
//! the number of gateways that take them, and a gateway asks for the next one when
//! it has the one before. So the leader holds one configuration and at most one
//! part for each gateway, a connection is never silent for longer than a part takes
//! on it, and who loses its connection goes on where it was. What has changed since
//! comes as changes, when all parts are there.

use garnet_types::Millis;
use serde::{Deserialize, Serialize};

use crate::configuration::{BackendRecord, Configuration};
use crate::shared::Shared;

/// Back ends in one part: some 13 KB as it is sent, half a second at the 24 KB a
/// second that control may cost a node. A gateway leaves a connection that is silent
/// for 1.2 s.
pub(crate) const BACKENDS_IN_PART: usize = 512;
/// A part that was asked for and is not there after this time is asked for again:
/// its connection is open, so it was dropped where too much waited for it.
const PART_LOST_AFTER: Millis = Millis::from_secs(1);

/// Names one part of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// Index of the configuration.
    pub index: u64,
    /// Number of the part, from 0.
    pub number: u32,
}

/// What a part holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartContent {
    /// Everything but the back ends: the first part.
    Rest(Configuration),
    /// Some of the back ends, in their order.
    Backends(Vec<BackendRecord>),
}

/// One part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationPart {
    /// Which one it is.
    pub place: PartRequest,
    /// How many there are.
    pub parts: u32,
    /// What it holds.
    pub content: Shared<PartContent>,
}

/// All parts of the configuration at one index.
#[derive(Debug, Clone)]
pub(crate) struct Parts {
    index: u64,
    parts: Vec<Shared<PartContent>>,
}

impl Parts {
    /// Divides a configuration.
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

    /// How many there are.
    pub(crate) fn len(&self) -> u32 {
        self.parts.len() as u32
    }

    /// One of them; `None` where it is of another configuration.
    pub(crate) fn part(&self, place: PartRequest) -> Option<ConfigurationPart> {
        let content = self.parts.get(place.number as usize)?;
        (place.index == self.index).then(|| ConfigurationPart {
            place,
            parts: self.len(),
            content: content.clone(),
        })
    }
}

/// A whole configuration that a gateway is taking.
#[derive(Debug, Clone)]
struct Loading {
    /// The part that was asked for, and when.
    next: PartRequest,
    asked_at: Millis,
    configuration: Configuration,
}

/// What becomes of a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartOutcome {
    /// Another one is to be asked for.
    Next(PartRequest),
    /// It was the last one: the configuration is whole.
    Complete(Configuration),
    /// It is not the one that was asked for.
    Ignored,
}

/// The gateway's side: what it has of a whole configuration so far.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationLoader {
    loading: Option<Loading>,
}

impl ConfigurationLoader {
    /// Notes that the leader has the configuration of this index in parts. Gives
    /// the part to ask for, where none is under way.
    pub fn on_offer(&mut self, index: u64, now: Millis) -> Option<PartRequest> {
        let loading = self.loading.as_mut();
        if let Some(loading) = loading.filter(|loading| loading.next.index == index) {
            if now.since(loading.asked_at) < PART_LOST_AFTER {
                return None;
            }
            loading.asked_at = now;
            return Some(loading.next);
        }
        let next = PartRequest { index, number: 0 };
        self.loading = Some(Loading {
            next,
            asked_at: now,
            configuration: Configuration::default(),
        });
        Some(next)
    }

    /// Forgets that a part was asked for: the connection is another one.
    pub fn on_connected(&mut self) {
        if let Some(loading) = &mut self.loading {
            loading.asked_at = Millis::ZERO;
        }
    }

    /// Takes a part.
    pub fn take(&mut self, part: ConfigurationPart, now: Millis) -> PartOutcome {
        let awaited = self.loading.as_mut();
        let Some(loading) = awaited.filter(|loading| loading.next == part.place) else {
            return PartOutcome::Ignored;
        };
        match part.content.into_inner() {
            PartContent::Rest(rest) => loading.configuration = rest,
            PartContent::Backends(records) => {
                let records = records.into_iter();
                let by_id = records.map(|record| (record.registration.id.clone(), record));
                loading.configuration.backends.extend(by_id);
            }
        }
        loading.next.number += 1;
        loading.asked_at = now;
        if loading.next.number < part.parts {
            return PartOutcome::Next(loading.next);
        }
        let whole = self.loading.take().map(|loading| loading.configuration);
        whole.map_or(PartOutcome::Ignored, PartOutcome::Complete)
    }
}

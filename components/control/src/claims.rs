//! Claims on idempotency keys, which make a request run at most once.
//!
//! Expiry: a claim and its recorded answer are kept for [`CLAIM_RETENTION`] after the
//! claim was made, by the clock of the log. At [`MAX_CLAIMS`] new claims are refused;
//! none is dropped early, since a resent request could then run a second time.

use std::collections::{BTreeMap, VecDeque};

use garnet_types::{ClaimId, IdempotencyKey, Millis, RecordedResponse, TenantId};
use serde::{Deserialize, Serialize};

use crate::answer::ClaimAnswer;
use crate::command::ClaimCommand;

/// How long a claim is kept: one day.
pub const CLAIM_RETENTION: Millis = Millis::from_secs(24 * 3600);
/// Maximum number of claims that are kept.
pub const MAX_CLAIMS: usize = 500_000;
/// Largest answer that is recorded, in bytes.
pub const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// Its owner may have dispatched the request.
    Owned(ClaimId),
    /// The request has run, and this is its answer.
    Recorded(RecordedResponse),
    /// The last owner released the claim; its request never ran.
    Released(ClaimId),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    body_hash: u64,
    state: ClaimState,
}

/// A tenant's key.
type Key = (TenantId, IdempotencyKey);

/// All claims, with a queue of their expiry times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    records: BTreeMap<Key, ClaimRecord>,
    expiry: VecDeque<(Millis, Key)>,
}

impl Claims {
    /// Claims a key. The same claim made again gets the same answer.
    pub fn claim(&mut self, command: &ClaimCommand, at: Millis) -> ClaimAnswer {
        self.expire(at);
        let key = (command.tenant.clone(), command.key.clone());
        let Some(record) = self.records.get_mut(&key) else {
            return self.insert(key, command, ClaimState::Owned(command.claim.clone()), at);
        };
        if let ClaimState::Released(previous) = &record.state {
            if *previous == command.claim {
                return ClaimAnswer::Released;
            }
            record.body_hash = command.body_hash;
            record.state = ClaimState::Owned(command.claim.clone());
            return ClaimAnswer::Granted;
        }
        if record.body_hash != command.body_hash {
            return ClaimAnswer::BodyDiffers;
        }
        match &record.state {
            ClaimState::Recorded(response) => ClaimAnswer::Recorded(response.clone()),
            ClaimState::Owned(owner) if *owner == command.claim => ClaimAnswer::Granted,
            _ => ClaimAnswer::Held,
        }
    }

    /// Releases a claim. A claim that is not in the log yet is recorded as released, so
    /// that it is not granted if it arrives later.
    pub fn release(&mut self, command: &ClaimCommand, at: Millis) -> ClaimAnswer {
        self.expire(at);
        let key = (command.tenant.clone(), command.key.clone());
        match self.records.get_mut(&key) {
            None => {
                let released = ClaimState::Released(command.claim.clone());
                self.insert(key, command, released, at);
            }
            Some(record) => {
                if record.state == ClaimState::Owned(command.claim.clone()) {
                    record.state = ClaimState::Released(command.claim.clone());
                }
            }
        }
        ClaimAnswer::Noted
    }

    /// Records the answer of the owner's request; only the first one counts.
    pub fn record(&mut self, command: &ClaimCommand, response: RecordedResponse) -> ClaimAnswer {
        let key = (command.tenant.clone(), command.key.clone());
        if let Some(record) = self.records.get_mut(&key)
            && record.state == ClaimState::Owned(command.claim.clone())
        {
            record.state = ClaimState::Recorded(response);
        }
        ClaimAnswer::Noted
    }

    /// Number of claims that are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn insert(
        &mut self,
        key: Key,
        command: &ClaimCommand,
        state: ClaimState,
        at: Millis,
    ) -> ClaimAnswer {
        if self.records.len() >= MAX_CLAIMS {
            return ClaimAnswer::Full;
        }
        let record = ClaimRecord {
            body_hash: command.body_hash,
            state,
        };
        self.records.insert(key.clone(), record);
        self.expiry.push_back((at + CLAIM_RETENTION, key));
        ClaimAnswer::Granted
    }

    fn expire(&mut self, at: Millis) {
        while self.expiry.front().is_some_and(|(due, _)| *due <= at) {
            if let Some((_, key)) = self.expiry.pop_front() {
                self.records.remove(&key);
            }
        }
    }
}

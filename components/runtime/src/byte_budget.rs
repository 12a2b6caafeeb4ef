//! A budget for the bytes of others that a process buffers, shared by all its requests.
//!
//! Contract: the reservations of a budget never exceed its limit together. What is refused leaves
//! every reservation as it was; dropping a reservation frees it. A large reservation may grow up
//! to the room that is left without it (the dynamic thresholds of shared-memory switches), so
//! that the share of each shrinks as the budget fills; a part of the budget is for small ones
//! alone, and a part of that for short ones (docs/design/buffered-bytes.md).

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use displaydoc::Display;
use garnet_types::ByteCount;
use thiserror::Error;

/// Budget of a process whose settings state no size of its memory.
pub const DEFAULT_LIMIT: ByteCount = ByteCount(64 * 1024 * 1024);
/// Largest reservation that may take the part of the budget for small ones.
pub const MAX_SMALL: ByteCount = ByteCount(64 * 1024);
/// The part of the budget for small reservations: one in this many bytes.
const SMALL_PART: usize = 8;
/// Largest reservation that may take the part of the budget for short ones, as those of most
/// requests.
pub const MAX_SHORT: ByteCount = ByteCount(4 * 1024);
/// The part of the budget for short reservations: one in this many bytes.
const SHORT_PART: usize = 512;

/// A budget; clones share it.
#[derive(Debug, Clone)]
pub struct ByteBudget(Arc<Account>);

#[derive(Debug)]
struct Account {
    limit: usize,
    used: AtomicUsize,
    peak: AtomicUsize,
    refusals: AtomicU64,
}

/// no room for {wanted} bytes in a buffer budget of {limit} bytes, of which {used} are used
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct BudgetExceeded {
    /// Size that the refused reservation would have had.
    pub wanted: ByteCount,
    /// Limit of the budget.
    pub limit: ByteCount,
    /// Size of all reservations, the refused one included as it was before.
    pub used: ByteCount,
}

impl BudgetExceeded {
    /// Whether a large reservation was refused. A small one is refused only if the budget is
    /// spent by others.
    pub fn was_large(&self) -> bool {
        self.wanted > MAX_SMALL
    }
}

impl Default for ByteBudget {
    fn default() -> Self {
        ByteBudget::new(DEFAULT_LIMIT)
    }
}

impl ByteBudget {
    /// Creates a budget.
    pub fn new(limit: ByteCount) -> Self {
        ByteBudget(Arc::new(Account {
            limit: limit.0,
            used: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            refusals: AtomicU64::new(0),
        }))
    }

    /// Size of all reservations that the budget allows.
    pub fn limit(&self) -> ByteCount {
        ByteCount(self.0.limit)
    }

    /// Size of all reservations now.
    pub fn used(&self) -> ByteCount {
        ByteCount(self.0.used.load(Ordering::Relaxed))
    }

    /// Highest size of all reservations so far.
    pub fn peak(&self) -> ByteCount {
        ByteCount(self.0.peak.load(Ordering::Relaxed))
    }

    /// How often a reservation was refused more room.
    pub fn refusals(&self) -> u64 {
        self.0.refusals.load(Ordering::Relaxed)
    }

    /// Creates an empty reservation.
    pub fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            held: 0,
        }
    }

    /// Whether a reservation may have `wanted` bytes, if the others have `others`.
    fn allows(&self, wanted: usize, others: usize) -> bool {
        if wanted <= MAX_SMALL.0 {
            let for_short = if wanted <= MAX_SHORT.0 {
                0
            } else {
                self.0.limit / SHORT_PART
            };
            return wanted <= (self.0.limit - for_short).saturating_sub(others);
        }
        let for_large = self.0.limit - self.0.limit / SMALL_PART;
        let left_to_others = for_large.checked_sub(others.saturating_add(wanted));
        left_to_others.is_some_and(|left| wanted <= left)
    }
}

/// A part of a budget, freed when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: ByteBudget,
    held: usize,
}

impl Reservation {
    /// Size of the reservation.
    pub fn size(&self) -> ByteCount {
        ByteCount(self.held)
    }

    /// Takes what is reserved, if there is any, and leaves an empty reservation.
    pub(crate) fn take(&mut self) -> Option<Reservation> {
        if self.held == 0 {
            return None;
        }
        let empty = self.budget.reserve();
        Some(std::mem::replace(self, empty))
    }

    /// Whether the reservation may have this size now.
    pub fn may_have(&self, wanted: usize) -> bool {
        let used = self.budget.0.used.load(Ordering::Relaxed);
        wanted <= self.held || self.budget.allows(wanted, used - self.held)
    }

    /// Reserves `wanted` bytes outside the part for small reservations, if there is room. Whoever
    /// holds the reservation goes on without room as well.
    pub fn try_reserve(&mut self, wanted: usize) {
        let account = &self.budget.0;
        let for_large = account.limit - account.limit / SMALL_PART;
        let used = account.used.load(Ordering::Relaxed);
        if used.saturating_add(wanted) <= for_large {
            // The limit allows it.
            let _reserved = self.resize(wanted);
        }
    }

    /// Changes the size of the reservation. Making it smaller never fails.
    ///
    /// # Errors
    /// If the budget has no room; the size is unchanged then.
    pub fn resize(&mut self, wanted: usize) -> Result<(), BudgetExceeded> {
        let account = &self.budget.0;
        if wanted <= self.held {
            account
                .used
                .fetch_sub(self.held - wanted, Ordering::Relaxed);
            self.held = wanted;
            return Ok(());
        }
        // Reservations grow on the thread of the event loop only, so that `used` can't rise
        // between the check and the addition. Others may drop theirs meanwhile.
        if !self.may_have(wanted) {
            account.refusals.fetch_add(1, Ordering::Relaxed);
            return Err(BudgetExceeded {
                wanted: ByteCount(wanted),
                limit: self.budget.limit(),
                used: self.budget.used(),
            });
        }
        let growth = wanted - self.held;
        let used = account.used.fetch_add(growth, Ordering::Relaxed) + growth;
        account.peak.fetch_max(used, Ordering::Relaxed);
        self.held = wanted;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.used.fetch_sub(self.held, Ordering::Relaxed);
    }
}

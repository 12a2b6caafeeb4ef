//! A buffer whose memory is reserved from a budget.
//!
//! Contract: the memory of the buffer, and of the bytes that it becomes, is reserved until the
//! last reference to them is dropped.

use hyper::body::Bytes;

use crate::byte_budget::{BudgetExceeded, ByteBudget, Reservation};

/// A buffer that grows within a budget.
#[derive(Debug)]
pub struct ByteBuffer {
    bytes: Vec<u8>,
    /// Of the size of the capacity of `bytes`.
    reservation: Reservation,
}

impl ByteBuffer {
    /// Creates an empty buffer.
    pub fn new(budget: &ByteBudget) -> Self {
        ByteBuffer {
            bytes: Vec::new(),
            reservation: budget.reserve(),
        }
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// If the budget has no room; the buffer is unchanged then.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<(), BudgetExceeded> {
        self.make_room(self.bytes.len() + bytes.len())?;
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Makes room for `len` bytes: half as much again as the buffer has, so that it is seldom
    /// moved, or exactly `len` if the budget has no more.
    fn make_room(&mut self, len: usize) -> Result<(), BudgetExceeded> {
        let capacity = self.bytes.capacity();
        if len <= capacity {
            return Ok(());
        }
        let generous = len.max(capacity + capacity / 2);
        let size = if self.reservation.may_have(generous) {
            generous
        } else {
            len
        };
        self.reservation.resize(size)?;
        self.bytes.reserve_exact(size - self.bytes.len());
        Ok(())
    }

    /// Takes the bytes without their reservation's slack; dropping all references to them frees
    /// the reservation.
    pub fn freeze(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.bytes.shrink_to_fit();
        // Making a reservation smaller never fails.
        let _shrunk = self.reservation.resize(self.bytes.len());
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for ByteBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

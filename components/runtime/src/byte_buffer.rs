//! A buffer whose memory is reserved from a budget.
//!
//! Contract: the memory of the buffer, and of the bytes that it becomes, is reserved until the
//! last reference to them is dropped. The buffer consists of pieces of one size: buffers that grow
//! by moving leave holes in the memory of the process, beside what is reserved.

use hyper::body::Bytes;

use crate::byte_budget::{BudgetExceeded, ByteBudget, Reservation};

/// Size of a piece, as of the buffers into which a connection is read.
const PIECE_BYTES: usize = 16 * 1024;

/// A buffer that grows within a budget.
#[derive(Debug)]
pub struct ByteBuffer {
    /// Pieces of [`PIECE_BYTES`].
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    /// Of the size of the pieces, slack included.
    reservation: Reservation,
}

impl ByteBuffer {
    /// Creates an empty buffer.
    pub fn new(budget: &ByteBudget) -> Self {
        ByteBuffer {
            full: Vec::new(),
            last: Vec::new(),
            reservation: budget.reserve(),
        }
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.full.len() * PIECE_BYTES + self.last.len()
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// If the budget has no room; the buffer is unchanged then.
    pub fn extend(&mut self, mut bytes: &[u8]) -> Result<(), BudgetExceeded> {
        self.reserve(self.len() + bytes.len())?;
        while !bytes.is_empty() {
            if self.last.len() == PIECE_BYTES {
                self.full.push(std::mem::take(&mut self.last));
            }
            let len = bytes.len().min(PIECE_BYTES - self.last.len());
            let (part, rest) = bytes.split_at(len);
            self.make_room_in_last(len);
            self.last.extend_from_slice(part);
            bytes = rest;
        }
        Ok(())
    }

    /// Reserves room for `len` bytes in whole pieces, or half as much again as there is of the
    /// first one; exactly `len` if the budget has no more.
    fn reserve(&mut self, len: usize) -> Result<(), BudgetExceeded> {
        let reserved = self.reservation.size().0;
        if len <= reserved {
            return Ok(());
        }
        let generous = if len <= PIECE_BYTES {
            len.max(reserved + reserved / 2).min(PIECE_BYTES)
        } else {
            len.next_multiple_of(PIECE_BYTES)
        };
        let size = if self.reservation.may_have(generous) {
            generous
        } else {
            len
        };
        self.reservation.resize(size)
    }

    /// Makes room for `len` more bytes in the last piece: what is reserved for it.
    fn make_room_in_last(&mut self, len: usize) {
        if self.last.capacity() - self.last.len() >= len {
            return;
        }
        let reserved = self.reservation.size().0 - self.full.len() * PIECE_BYTES;
        let size = reserved.min(PIECE_BYTES);
        self.last.reserve_exact(size - self.last.len());
    }

    /// Takes the bytes without their reservation's slack; dropping all references to them frees
    /// the reservation.
    pub fn freeze(mut self) -> Bytes {
        if self.is_empty() {
            return Bytes::new();
        }
        let bytes = self.take_bytes();
        // Making a reservation smaller never fails.
        let _shrunk = self.reservation.resize(bytes.len());
        Bytes::from_owner(FrozenBytes {
            bytes,
            _reservation: self.reservation,
        })
    }

    /// Takes the bytes as one. Each piece is freed as it is copied, so that little memory is there
    /// twice.
    fn take_bytes(&mut self) -> Vec<u8> {
        let mut last = std::mem::take(&mut self.last);
        if self.full.is_empty() {
            last.shrink_to_fit();
            return last;
        }
        let mut bytes = Vec::with_capacity(self.full.len() * PIECE_BYTES + last.len());
        for piece in self.full.drain(..) {
            bytes.extend_from_slice(&piece);
        }
        bytes.extend_from_slice(&last);
        bytes
    }
}

/// The bytes of a buffer, and their reservation.
#[derive(Debug)]
struct FrozenBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for FrozenBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

//! What the next start may find: the last state that was believed, or one that an
//! operation in progress may have left.

use std::fmt::Debug;

use proptest::prelude::*;

/// The states of one store that the next start may read back.
#[derive(Debug, Clone)]
pub struct Believed<T> {
    possible: Vec<T>,
}

impl<T: Debug + Clone + PartialEq> Believed<T> {
    pub fn new(state: T) -> Self {
        Believed {
            possible: vec![state],
        }
    }

    /// An operation begins that may leave one of these states if it does not return.
    pub fn begin(&mut self, states: impl IntoIterator<Item = T>) {
        self.possible.extend(states);
    }

    /// The state is known, and must not be lost from now on.
    pub fn settle(&mut self, state: T) {
        self.possible = vec![state];
    }

    /// Checks a state that a start has read back.
    pub fn check(&self, found: &T) -> Result<(), TestCaseError> {
        let is_possible = self.possible.contains(found);
        prop_assert!(is_possible, "found {found:?}, not {:?}", self.possible);
        Ok(())
    }
}

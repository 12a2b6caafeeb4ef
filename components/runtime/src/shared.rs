//! A value shared by several tasks of one event loop, which a reload of the
//! settings may replace.

use std::cell::RefCell;
use std::rc::Rc;

/// A shared value; clones refer to the same value.
#[derive(Debug, Default)]
pub struct Shared<T>(Rc<RefCell<T>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Shared(Rc::clone(&self.0))
    }
}

impl<T: Clone> Shared<T> {
    /// Creates a shared value.
    pub fn new(value: T) -> Self {
        Shared(Rc::new(RefCell::new(value)))
    }

    /// Replaces the value for all clones.
    pub fn replace(&self, value: T) {
        *self.0.borrow_mut() = value;
    }

    /// Returns a copy of the current value.
    pub fn current(&self) -> T {
        self.0.borrow().clone()
    }
}

//! A value that several tasks of one loop share, and that settings which are
//! read again may replace.

use std::cell::RefCell;
use std::rc::Rc;

/// The value; its clones are the same one.
#[derive(Debug, Default)]
pub struct Shared<T>(Rc<RefCell<T>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Shared(Rc::clone(&self.0))
    }
}

impl<T: Clone> Shared<T> {
    /// Starts with a value.
    pub fn new(value: T) -> Self {
        Shared(Rc::new(RefCell::new(value)))
    }

    /// Replaces the value for all.
    pub fn replace(&self, value: T) {
        *self.0.borrow_mut() = value;
    }

    /// The value as it stands.
    pub fn current(&self) -> T {
        self.0.borrow().clone()
    }
}

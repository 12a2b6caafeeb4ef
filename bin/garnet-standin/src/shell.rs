//! What the stand-in processes share.

use std::cell::RefCell;
use std::rc::Rc;

pub(crate) use garnet_runtime::{Shell, bind, read_json};

/// Stops the whole process for a while, as a paused machine would.
pub(crate) fn freeze(milliseconds: u64) {
    std::thread::sleep(std::time::Duration::from_millis(milliseconds));
}

/// Shared state of one process on its one thread.
pub(crate) type Shared<T> = Rc<RefCell<T>>;

//! Durable state of one process: log segments, snapshots and small values.
//!
//! Contract: [`ReplicaStorage::write`] returns only when what it was given is
//! synced. After a crash at any moment, [`ReplicaStorage::open`] gives back
//! everything that a finished call wrote, and refuses a folder whose synced
//! content is damaged, naming the place. A failed write or sync is final: the
//! storage refuses to go on, since the kernel may have dropped the data.
//!
//! All file access goes through [`Directory`], so that the simulator can lose
//! and tear what was not synced.

mod directory;
mod error;
mod frame;
mod identity;
mod memory;
mod replica;
mod value;

pub use directory::{Directory, DiskDirectory};
pub use error::StorageError;
pub use identity::{DiskIdentity, FORMAT_VERSION};
pub use memory::{MemoryDirectory, PowerLoss};
pub use replica::{Recovered, ReplicaStorage};
pub use value::{load_value, save_value};

//! Durable state of one process: log segments, snapshots and small values.
//!
//! Contract: [`ReplicaStorage::write`] returns only after its input is synced.
//! After a crash at any moment, [`ReplicaStorage::open`] recovers everything that
//! a completed call wrote, and makes durable whatever else it recovers: the process that
//! wrote it may have been killed before its sync. It refuses a folder whose synced content
//! is damaged, and reports the file and offset of the damage. Except on a full disk, a
//! failed write or sync is final: the storage refuses further calls, since the kernel may
//! have dropped the data.
//!
//! All file access goes through [`Directory`], so that the simulator can lose
//! or tear writes that were not synced.

mod directory;
mod error;
mod frame;
mod identity;
mod memory;
mod memory_file;
mod replica;
mod value;

pub use directory::{Directory, DiskDirectory};
pub use error::StorageError;
pub use identity::{DiskIdentity, FORMAT_VERSION};
pub use memory::{MemoryDirectory, PowerLoss};
pub use memory_file::ChangeFate;
pub use replica::{Recovered, ReplicaStorage};
pub use value::{load_value, save_value};

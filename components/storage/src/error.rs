//! Errors of a data folder.

use std::io;

use displaydoc::Display;
use thiserror::Error;

/// A failure of the data folder. Only a call that failed on a full disk may be retried,
/// see [`StorageError::is_full`].
#[derive(Debug, Display, Error)]
pub enum StorageError {
    /// {operation} of {file}: {source}
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The file of the operation.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// {file} is damaged at byte {offset}: {reason}
    Damaged {
        /// The file.
        file: String,
        /// Offset at which the damage begins.
        offset: u64,
        /// What is wrong with the content.
        reason: &'static str,
    },
    /// the data folder has format {found}, but this build supports no format above {known}
    NewerFormat {
        /// Format of the folder.
        found: u32,
        /// Newest format that this build supports.
        known: u32,
    },
    /// the data folder belongs to {found}, not to {expected}
    WrongOwner {
        /// Owner recorded in the folder.
        found: String,
        /// Owner that the process expects.
        expected: String,
    },
    /// a value can't be encoded: {0}
    Encode(String),
    /// an earlier write or sync failed; the process must restart
    Poisoned,
}

impl StorageError {
    /// Whether the disk was full, so that the same call may be retried.
    pub fn is_full(&self) -> bool {
        match self {
            StorageError::Io { source, .. } => source.kind() == io::ErrorKind::StorageFull,
            _ => false,
        }
    }

    pub(crate) fn io(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_owned();
        move |source| StorageError::Io {
            operation,
            file,
            source,
        }
    }
}

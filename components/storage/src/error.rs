//! What can go wrong with a data folder.

use std::io;

use displaydoc::Display;
use thiserror::Error;

/// A failure of the data folder. Only a full disk is waited for, see
/// [`StorageError::is_full`]; nothing else is retried.
#[derive(Debug, Display, Error)]
pub enum StorageError {
    /// {operation} of {file}: {source}
    Io {
        /// What was tried.
        operation: &'static str,
        /// On which file.
        file: String,
        /// The system's answer.
        source: io::Error,
    },
    /// {file} is damaged at byte {offset}: {reason}
    Damaged {
        /// The file.
        file: String,
        /// Where the damage begins.
        offset: u64,
        /// What is wrong there.
        reason: &'static str,
    },
    /// the folder has format {found}, this program knows {known}
    NewerFormat {
        /// Version found.
        found: u32,
        /// Version known.
        known: u32,
    },
    /// the folder belongs to {found}, not to {expected}
    WrongOwner {
        /// Owner named in the folder.
        found: String,
        /// Owner that was expected.
        expected: String,
    },
    /// a value can't be encoded: {0}
    Encode(String),
    /// an earlier write or sync failed; the process must restart
    Poisoned,
}

impl StorageError {
    /// Whether the disk had no room: the same call may be made again.
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

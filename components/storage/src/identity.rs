//! The owner of a data folder.

use serde::{Deserialize, Serialize};

use crate::directory::Directory;
use crate::error::StorageError;
use crate::value::{load_value, save_value};

/// Format of the files that this build writes.
pub const FORMAT_VERSION: u32 = 1;
const IDENTITY_FILE: &str = "identity";

/// Identity of a data folder, written and synced when the folder is created, before
/// anything else.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskIdentity {
    /// Format of the folder.
    pub format: u32,
    /// Name of the process that owns the folder, such as `control-2`.
    pub owner: String,
    /// Given by the caller when the folder is created: a random number, except for an
    /// initial member of a control group. An empty disk that replaces this one gets
    /// another number, so that its owner is not mistaken for the previous one.
    pub incarnation: u64,
}

impl DiskIdentity {
    /// Reads the identity, or creates one with `new_incarnation`. The second value
    /// of the result is whether it was created.
    ///
    /// # Errors
    /// When the folder has a newer format or another owner.
    pub fn open_or_create(
        directory: &mut dyn Directory,
        owner: &str,
        new_incarnation: u64,
    ) -> Result<(Self, bool), StorageError> {
        if let Some(found) = load_value::<DiskIdentity>(directory, IDENTITY_FILE)? {
            found.check(owner)?;
            return Ok((found, false));
        }
        let identity = DiskIdentity {
            format: FORMAT_VERSION,
            owner: owner.to_owned(),
            incarnation: new_incarnation,
        };
        save_value(directory, IDENTITY_FILE, &identity)?;
        Ok((identity, true))
    }

    fn check(&self, owner: &str) -> Result<(), StorageError> {
        if self.format > FORMAT_VERSION {
            return Err(StorageError::NewerFormat {
                found: self.format,
                known: FORMAT_VERSION,
            });
        }
        if self.owner != owner {
            return Err(StorageError::WrongOwner {
                found: self.owner.clone(),
                expected: owner.to_owned(),
            });
        }
        Ok(())
    }
}

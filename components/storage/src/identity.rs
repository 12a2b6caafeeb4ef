//! Who a data folder belongs to.

use serde::{Deserialize, Serialize};

use crate::directory::Directory;
use crate::error::StorageError;
use crate::value::{load_value, save_value};

/// Format of the files that this version writes.
pub const FORMAT_VERSION: u32 = 1;
const FILE: &str = "identity";

/// Written and synced when a folder is made, before anything else.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskIdentity {
    /// Format of the folder.
    pub format: u32,
    /// Role and place of the owner, such as `control-2`.
    pub owner: String,
    /// Drawn at random when the disk is made: an empty disk that replaces this
    /// one gets another number, so its owner can't pass for the former one.
    pub incarnation: u64,
}

impl DiskIdentity {
    /// Reads the identity, or makes the folder one with `fresh`.
    ///
    /// # Errors
    /// When the folder is of a newer format or of another owner.
    pub fn open_or_create(
        directory: &mut dyn Directory,
        owner: &str,
        fresh: u64,
    ) -> Result<(Self, bool), StorageError> {
        if let Some(found) = load_value::<DiskIdentity>(directory, FILE)? {
            found.check(owner)?;
            return Ok((found, false));
        }
        let identity = DiskIdentity {
            format: FORMAT_VERSION,
            owner: owner.to_owned(),
            incarnation: fresh,
        };
        save_value(directory, FILE, &identity)?;
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

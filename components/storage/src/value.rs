//! One small value in one file, replaced atomically.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::directory::Directory;
use crate::error::StorageError;
use crate::frame;

/// Suffix of a file that is not completely written yet.
pub(crate) const TEMPORARY_SUFFIX: &str = ".tmp";

pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StorageError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map_err(|error| StorageError::Encode(error.to_string()))
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8], file: &str) -> Result<T, StorageError> {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map(|(value, _)| value)
        .map_err(|_| StorageError::Damaged {
            file: file.to_owned(),
            offset: 0,
            reason: "the content does not decode as the expected type",
        })
}

/// Replaces the value in `name`. The new value is durable when this returns.
///
/// # Errors
/// When a disk operation fails. The file then holds the old value, or the new one if only
/// the last sync failed.
pub fn save_value<T: Serialize>(
    directory: &mut dyn Directory,
    name: &str,
    value: &T,
) -> Result<(), StorageError> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    let bytes = frame::encode(&encode(value)?);
    let stale = directory
        .list()
        .map_err(StorageError::io("list", name))?
        .contains(&temporary);
    if stale {
        directory
            .remove(&temporary)
            .map_err(StorageError::io("remove", &temporary))?;
    }
    directory
        .append(&temporary, &bytes)
        .map_err(StorageError::io("write", &temporary))?;
    directory
        .sync(&temporary)
        .map_err(StorageError::io("sync", &temporary))?;
    directory
        .rename(&temporary, name)
        .map_err(StorageError::io("rename", &temporary))?;
    directory
        .sync_names()
        .map_err(StorageError::io("sync of the folder for", name))
}

/// Loads the value in `name`, or `None` when it was never saved, and makes it durable: the
/// process that saved it may have been killed before its last sync.
///
/// # Errors
/// When the file can't be read or synced, or is damaged.
pub fn load_value<T: DeserializeOwned>(
    directory: &mut dyn Directory,
    name: &str,
) -> Result<Option<T>, StorageError> {
    let names = directory.list().map_err(StorageError::io("list", name))?;
    if !names.iter().any(|found| found == name) {
        return Ok(None);
    }
    let value = read_value(directory, name)?;
    directory
        .sync(name)
        .map_err(StorageError::io("sync", name))?;
    directory
        .sync_names()
        .map_err(StorageError::io("sync of the folder for", name))?;
    Ok(Some(value))
}

/// Reads the value in `name`, durable or not.
pub(crate) fn read_value<T: DeserializeOwned>(
    directory: &dyn Directory,
    name: &str,
) -> Result<T, StorageError> {
    let bytes = directory
        .read(name)
        .map_err(StorageError::io("read", name))?;
    let frames = frame::read_all(&bytes);
    match frames.payloads.as_slice() {
        [payload] => decode(payload, name),
        _ => Err(StorageError::Damaged {
            file: name.to_owned(),
            offset: frames.valid_length as u64,
            reason: "the checksum does not match",
        }),
    }
}

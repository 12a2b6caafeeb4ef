//! A folder in memory that can lose unsynced writes, for tests and the simulator.

use std::collections::BTreeMap;
use std::io;

use crate::directory::Directory;

/// The effect of a power loss on bytes that were written and not synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PowerLoss {
    /// They are lost.
    DropUnsynced,
    /// Only the first ones, up to the given number, are kept, as by a torn write.
    KeepPrefix(usize),
    /// All of them are kept, but the byte at this offset from the first unsynced one
    /// is changed.
    Flip(usize),
}

#[derive(Debug, Clone, Default)]
struct MemoryFile {
    content: Vec<u8>,
    synced_length: usize,
}

/// Files in memory. Names are durable after [`Directory::sync_names`].
#[derive(Debug, Clone, Default)]
pub struct MemoryDirectory {
    files: BTreeMap<String, MemoryFile>,
    durable: BTreeMap<String, MemoryFile>,
    /// When set, each write or sync fails as on a broken disk.
    pub broken: bool,
    /// When set, each write or sync fails as on a full disk, and a write leaves its
    /// first half behind.
    pub full: bool,
    /// When set, the disk breaks after this number of further writes and syncs, as by a
    /// crash in the middle of a save.
    pub operations_until_failure: Option<u32>,
    /// Number of syncs of file content.
    pub syncs: u64,
}

impl MemoryDirectory {
    /// The folder in its state after a power loss.
    pub fn after_power_loss(&self, loss: PowerLoss) -> MemoryDirectory {
        let mut survived = BTreeMap::new();
        for (name, durable) in &self.durable {
            let current = self.files.get(name).unwrap_or(durable);
            survived.insert(name.clone(), file_after_power_loss(current, loss));
        }
        MemoryDirectory {
            files: survived.clone(),
            durable: survived,
            broken: false,
            full: false,
            operations_until_failure: None,
            syncs: 0,
        }
    }

    /// Total bytes of all files.
    pub fn total_bytes(&self) -> usize {
        self.files.values().map(|file| file.content.len()).sum()
    }

    /// Flips one byte, to simulate damage of the medium.
    pub fn damage(&mut self, name: &str, offset: usize) {
        if let Some(file) = self.files.get_mut(name)
            && let Some(byte) = file.content.get_mut(offset)
        {
            *byte ^= 0xff;
        }
    }

    fn check(&mut self) -> io::Result<()> {
        match &mut self.operations_until_failure {
            Some(0) => self.broken = true,
            Some(left) => *left -= 1,
            None => {}
        }
        if self.broken {
            return Err(io::Error::other("the disk fails"));
        }
        if self.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn file(&mut self, name: &str) -> io::Result<&mut MemoryFile> {
        self.files
            .get_mut(name)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

fn file_after_power_loss(file: &MemoryFile, loss: PowerLoss) -> MemoryFile {
    let synced = file.synced_length;
    let mut content = match loss {
        PowerLoss::DropUnsynced => file.content[..synced].to_vec(),
        PowerLoss::KeepPrefix(bytes) => {
            file.content[..file.content.len().min(synced + bytes)].to_vec()
        }
        PowerLoss::Flip(_) => file.content.clone(),
    };
    if let PowerLoss::Flip(offset) = loss
        && let Some(byte) = content.get_mut(synced + offset)
    {
        *byte ^= 0x5a;
    }
    MemoryFile {
        synced_length: content.len(),
        content,
    }
}

impl Directory for MemoryDirectory {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.files
            .get(name)
            .map(|file| file.content.clone())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let checked = self.check();
        let is_full = self.full && !self.broken;
        if checked.is_err() && !is_full {
            return checked;
        }
        let file = self.files.entry(name.to_owned()).or_default();
        let written = if is_full {
            bytes.len() / 2
        } else {
            bytes.len()
        };
        file.content.extend_from_slice(&bytes[..written]);
        checked
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.check()?;
        let file = self.file(name)?;
        file.content.truncate(length as usize);
        file.synced_length = file.synced_length.min(file.content.len());
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.check()?;
        self.syncs += 1;
        let file = self.file(name)?;
        file.synced_length = file.content.len();
        let synced = file.clone();
        if let Some(durable) = self.durable.get_mut(name) {
            *durable = synced;
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.check()?;
        let file = self.file(from)?.clone();
        self.files.remove(from);
        self.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.check()?;
        self.file(name)?;
        self.files.remove(name);
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.check()?;
        self.durable = self.files.clone();
        Ok(())
    }
}

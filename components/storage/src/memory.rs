//! A folder in memory that can lose unsynced writes, for tests and the simulator.

use std::collections::BTreeMap;
use std::io;

use crate::directory::Directory;
use crate::memory_file::{ChangeFate, MemoryFile};

/// The effect of a power loss on bytes that were written and not synced. Unsynced changes
/// of names are lost.
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

/// Identifies a file whatever its name.
type FileId = u64;

#[derive(Debug, Clone)]
enum NameChange {
    Created {
        name: String,
        file: FileId,
    },
    Renamed {
        from: String,
        to: String,
        file: FileId,
    },
    Removed {
        name: String,
        file: FileId,
    },
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, FileId>) {
        match self {
            NameChange::Created { name, file } => {
                names.insert(name.clone(), *file);
            }
            NameChange::Renamed { from, to, file } => {
                remove_name(names, from, *file);
                names.insert(to.clone(), *file);
            }
            NameChange::Removed { name, file } => remove_name(names, name, *file),
        }
    }
}

/// Removes a name, unless it belongs to another file.
fn remove_name(names: &mut BTreeMap<String, FileId>, name: &str, file: FileId) {
    if names.get(name) == Some(&file) {
        names.remove(name);
    }
}

/// Files in memory. Names are durable after [`Directory::sync_names`].
#[derive(Debug, Clone, Default)]
pub struct MemoryDirectory {
    files: BTreeMap<FileId, MemoryFile>,
    names: BTreeMap<String, FileId>,
    synced_names: BTreeMap<String, FileId>,
    /// Changes of names since the last sync of names, in order.
    unsynced_names: Vec<NameChange>,
    next_file: FileId,
    /// When set, each write or sync fails as on a broken disk.
    pub broken: bool,
    /// When set, each write or sync fails as on a full disk, and a write leaves its
    /// first half behind.
    pub full: bool,
    /// When set, the disk breaks after this number of further writes and syncs, as by a
    /// crash in the middle of a save.
    pub operations_until_failure: Option<u32>,
    /// Bytes that the write at which the disk breaks leaves behind, as by a process that
    /// is killed in the middle of it.
    pub bytes_of_failed_write: usize,
    /// Number of syncs of file content.
    pub syncs: u64,
    /// Number of syncs of names.
    pub name_syncs: u64,
}

impl MemoryDirectory {
    /// The folder in its state after a power loss.
    pub fn after_power_loss(&self, loss: PowerLoss) -> MemoryDirectory {
        self.survivors(&self.synced_names, |file| match loss {
            PowerLoss::DropUnsynced => file.without_unsynced(),
            PowerLoss::KeepPrefix(bytes) => file.with_unsynced_prefix(bytes),
            PowerLoss::Flip(offset) => file.with_unsynced_flipped(offset),
        })
    }

    /// The folder in its state after a power loss that decides on each unsynced change of
    /// a name or a file by itself.
    pub fn after_power_loss_with(
        &self,
        next_fate: &mut dyn FnMut() -> ChangeFate,
    ) -> MemoryDirectory {
        let mut names = self.synced_names.clone();
        for change in &self.unsynced_names {
            if next_fate() == ChangeFate::Kept {
                change.apply(&mut names);
            }
        }
        self.survivors(&names, |file| file.with_fates(next_fate))
    }

    /// The folder as the next process finds it after the death of the process: everything
    /// is there, and what was not synced still is not.
    pub fn after_process_death(&self) -> MemoryDirectory {
        MemoryDirectory {
            broken: false,
            full: false,
            operations_until_failure: None,
            bytes_of_failed_write: 0,
            ..self.clone()
        }
    }

    /// Total bytes of all files.
    pub fn total_bytes(&self) -> usize {
        let files = self.names.values().filter_map(|id| self.files.get(id));
        files.map(|file| file.content().len()).sum()
    }

    /// Flips one byte, to simulate damage of the medium.
    pub fn damage(&mut self, name: &str, offset: usize) {
        if let Ok(file) = self.file(name) {
            file.damage(offset);
        }
    }

    fn survivors(
        &self,
        names: &BTreeMap<String, FileId>,
        mut survive: impl FnMut(&MemoryFile) -> MemoryFile,
    ) -> MemoryDirectory {
        let is_named = |id: &FileId| names.values().any(|named| named == id);
        let named = self.files.iter().filter(|(id, _)| is_named(id));
        MemoryDirectory {
            files: named.map(|(id, file)| (*id, survive(file))).collect(),
            names: names.clone(),
            synced_names: names.clone(),
            next_file: self.next_file,
            ..MemoryDirectory::default()
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

    /// Bytes of a write of `length` that reach the file; fewer where the write fails.
    fn written_bytes(&self, length: usize, was_broken: bool) -> usize {
        if was_broken {
            0
        } else if self.broken {
            length.min(self.bytes_of_failed_write)
        } else if self.full {
            length / 2
        } else {
            length
        }
    }

    fn id(&self, name: &str) -> io::Result<FileId> {
        let id = self.names.get(name).copied();
        id.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn file(&mut self, name: &str) -> io::Result<&mut MemoryFile> {
        let id = self.id(name)?;
        let file = self.files.get_mut(&id);
        file.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn change_names(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.unsynced_names.push(change);
    }

    fn create(&mut self, name: &str) {
        let file = self.next_file;
        self.next_file += 1;
        self.files.insert(file, MemoryFile::default());
        self.change_names(NameChange::Created {
            name: name.to_owned(),
            file,
        });
    }
}

impl Directory for MemoryDirectory {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let file = self.files.get(&self.id(name)?);
        file.map(|file| file.content().to_vec())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let was_broken = self.broken;
        let checked = self.check();
        let written = self.written_bytes(bytes.len(), was_broken);
        let leaves_a_part = written > 0 || (self.full && !self.broken);
        if checked.is_err() && !leaves_a_part {
            return checked;
        }
        if self.id(name).is_err() {
            self.create(name);
        }
        self.file(name)?.append(&bytes[..written]);
        checked
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.check()?;
        self.file(name)?.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.check()?;
        self.syncs += 1;
        self.file(name)?.sync();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.check()?;
        let file = self.id(from)?;
        self.change_names(NameChange::Renamed {
            from: from.to_owned(),
            to: to.to_owned(),
            file,
        });
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.check()?;
        let file = self.id(name)?;
        self.change_names(NameChange::Removed {
            name: name.to_owned(),
            file,
        });
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.check()?;
        self.name_syncs += 1;
        self.synced_names = self.names.clone();
        self.unsynced_names.clear();
        let names = &self.names;
        self.files
            .retain(|id, _| names.values().any(|named| named == id));
        Ok(())
    }
}

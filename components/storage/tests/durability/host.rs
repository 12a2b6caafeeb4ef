//! A machine with one disk, on which processes live one after another.

use garnet_storage::{
    ChangeFate, DiskIdentity, MemoryDirectory, ReplicaStorage, StorageError, load_value, save_value,
};
use proptest::prelude::*;

use crate::believed::Believed;
use crate::disk_log::{Call, DiskLog, Transition};
use crate::lives::{End, Life, Operation};

/// Small, so that every few frames start a segment.
const SEGMENT_BYTES: u64 = 250;
const OWNER: &str = "control-1";
const VALUE_FILE: &str = "value";

type Storage<'a> = ReplicaStorage<&'a mut MemoryDirectory>;

/// The disk, and what the next start may find in its stores.
pub struct Host {
    disk: MemoryDirectory,
    /// Processes started so far, of which each has another identity to offer.
    starts: u64,
    /// Values saved so far.
    values: u64,
    identity: Believed<Option<u64>>,
    value: Believed<Option<u64>>,
    log: Believed<DiskLog>,
}

impl Default for Host {
    fn default() -> Self {
        Host {
            disk: MemoryDirectory::default(),
            starts: 0,
            values: 0,
            identity: Believed::new(None),
            value: Believed::new(None),
            log: Believed::new(DiskLog::default()),
        }
    }
}

/// Whether the process goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fortune {
    Lives,
    Died,
}

impl Host {
    /// Starts a process, which does its operations until it dies.
    pub fn live(&mut self, life: &Life) -> Result<(), TestCaseError> {
        self.starts += 1;
        let mut disk = std::mem::take(&mut self.disk);
        disk.bytes_of_failed_write = life.bytes_of_last_write;
        disk.operations_until_failure = life.steps_of_start;
        if life.starts_on_full_disk {
            disk.full = true;
            self.start(&mut disk, &Life::default())?;
            disk.full = false;
        }
        if !disk.broken {
            self.start(&mut disk, life)?;
        }
        self.disk = match &life.end {
            End::Kill => disk.after_process_death(),
            End::PowerLoss(fates) => {
                let mut fates = fates.iter().copied().cycle();
                disk.after_power_loss_with(&mut || fates.next().unwrap_or(ChangeFate::Lost))
            }
        };
        Ok(())
    }

    /// Opens all stores, in the order of a replica, and does the operations of `life`.
    fn start(&mut self, disk: &mut MemoryDirectory, life: &Life) -> Result<(), TestCaseError> {
        let before = self.identity.clone();
        self.identity.begin([Some(self.starts)]);
        match DiskIdentity::open_or_create(disk, OWNER, self.starts) {
            Ok((identity, created)) => {
                let found = Some(identity.incarnation);
                before.check(&found.filter(|_| !created))?;
                self.identity.settle(found);
            }
            Err(error) => return excuse(&error, disk),
        }
        match load_value(disk, VALUE_FILE) {
            Ok(value) => {
                self.value.check(&value)?;
                self.value.settle(value);
            }
            Err(error) => return excuse(&error, disk),
        }
        match ReplicaStorage::open_with_segment_bytes(&mut *disk, SEGMENT_BYTES) {
            Ok((mut storage, recovered)) => {
                let log = DiskLog::of(&recovered);
                self.log.check(&log)?;
                self.log.settle(log.clone());
                storage.directory_mut().operations_until_failure = life.steps_after_start;
                self.operate_all(&mut storage, log, life)
            }
            Err(error) => excuse(&error, disk),
        }
    }

    fn operate_all(
        &mut self,
        storage: &mut Storage<'_>,
        mut log: DiskLog,
        life: &Life,
    ) -> Result<(), TestCaseError> {
        for (place, operation) in life.operations.iter().enumerate() {
            storage.directory_mut().full = life.full_at == Some(place);
            let fortune = match log.transition(operation) {
                Some(transition) => self.change_log(storage, &mut log, &transition)?,
                None if matches!(operation, Operation::SaveValue) => self.change_value(storage)?,
                None => Fortune::Lives,
            };
            if fortune == Fortune::Died {
                break;
            }
        }
        Ok(())
    }

    fn change_log(
        &mut self,
        storage: &mut Storage<'_>,
        log: &mut DiskLog,
        transition: &Transition,
    ) -> Result<Fortune, TestCaseError> {
        self.log.begin([transition.after.clone()]);
        self.log.begin(transition.unfinished.clone());
        let fortune = until_there_is_space(storage, |storage| match &transition.call {
            Call::Write(ready) => storage.write(ready),
            Call::SaveSnapshot(snapshot) => storage.save_snapshot(snapshot),
        })?;
        if fortune == Fortune::Lives {
            *log = transition.after.clone();
            self.log.settle(log.clone());
        }
        Ok(fortune)
    }

    fn change_value(&mut self, storage: &mut Storage<'_>) -> Result<Fortune, TestCaseError> {
        self.values += 1;
        let value = self.values;
        self.value.begin([Some(value)]);
        let fortune = until_there_is_space(storage, |storage| {
            save_value(storage.directory_mut(), VALUE_FILE, &value)
        })?;
        if fortune == Fortune::Lives {
            self.value.settle(Some(value));
        }
        Ok(fortune)
    }
}

/// Does something, and once more where the disk was full.
fn until_there_is_space(
    storage: &mut Storage<'_>,
    mut work: impl FnMut(&mut Storage<'_>) -> Result<(), StorageError>,
) -> Result<Fortune, TestCaseError> {
    let mut result = work(storage);
    if let Err(error) = &result
        && error.is_full()
    {
        storage.directory_mut().full = false;
        result = work(storage);
    }
    match result {
        Ok(()) => Ok(Fortune::Lives),
        Err(error) => excuse(&error, storage.directory()).map(|()| Fortune::Died),
    }
}

/// A call may fail because the process died at that step, or because the disk is full.
fn excuse(error: &StorageError, disk: &MemoryDirectory) -> Result<(), TestCaseError> {
    let is_excused = disk.broken || (disk.full && error.is_full());
    prop_assert!(is_excused, "{error}");
    Ok(())
}

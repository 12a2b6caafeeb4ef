//! Opens the data folder of a replica: its identity and its durable state.

use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use garnet_consensus::{Config, Member, Membership, Restored};
use garnet_control::{LogCompactor, Replica, ReplicaSettings, STATE_FORMAT};
use garnet_runtime::Clock;
use garnet_storage::{
    DiskDirectory, DiskIdentity, Recovered, ReplicaStorage, StorageError, load_value, save_value,
};
use garnet_types::{EncodingVersion, ReplicaId};
use xxhash_rust::xxh3::xxh3_64;

use crate::disk_space::wait_for_space;
use crate::joining::MemberAddress;

/// File in which an initial member stores the initial group, which later starts load.
const INITIAL_GROUP_FILE: &str = "first-group";
/// How often opening is retried on a full disk. It blocks the thread, since nothing else
/// runs yet.
const SPACE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The group at its first start.
#[derive(Debug, Clone)]
pub enum InitialGroup {
    /// Members with the identities from the settings.
    WithIds(Membership),
    /// Members whose identities are derived from their addresses. The group is stored
    /// on disk, since the settings may list other addresses later.
    ByAddress(Vec<MemberAddress>),
}

/// Settings for opening a data folder.
#[derive(Debug, Clone)]
pub struct OpenSettings {
    /// Name of the process, to which the folder belongs.
    pub name: String,
    /// Path of the data folder.
    pub data: PathBuf,
    /// Identity at the first start of the group, if the replica is one of its first
    /// members; otherwise the identity is random.
    pub initial_id: Option<ReplicaId>,
    /// The group at its first start.
    pub initial_group: InitialGroup,
    /// Settings of the replica. Its identity and seed are filled in by [`open`].
    pub replica: ReplicaSettings,
}

/// A replica that was restored from its data folder.
pub struct OpenedReplica {
    /// Identity of the replica, which is bound to its disk.
    pub id: ReplicaId,
    pub(crate) replica: Replica,
    pub(crate) storage: ReplicaStorage<DiskDirectory>,
    pub(crate) clock: Clock,
}

/// Identity of an initial member that is known by its address only.
pub fn replica_id_for(address: &MemberAddress) -> ReplicaId {
    ReplicaId(xxh3_64(address.peer.as_bytes()))
}

/// Opens the data folder. An identity is bound to the disk: a process that starts with an
/// empty folder is a new replica, unless this is the first start of the group. While the
/// disk is full this waits, until `stop_requested` returns true; it returns `None` then.
///
/// # Errors
/// When the folder can't be used, or holds data that this build can't read.
pub fn open(
    settings: &OpenSettings,
    clock: Clock,
    stop_requested: impl Fn() -> bool,
) -> io::Result<Option<OpenedReplica>> {
    let open_stores = || {
        if stop_requested() {
            return Ok(None);
        }
        Stores::open(settings).map(Some)
    };
    let opened = wait_for_space(open_stores, || thread::sleep(SPACE_RETRY_INTERVAL))?;
    let Some(stores) = opened else {
        return Ok(None);
    };
    let Stores {
        id,
        created,
        group,
        storage,
        recovered,
    } = stores;
    log::info!(
        replica = id.0,
        new_disk = created,
        term = recovered.hard_state.term,
        entries = recovered.entries.len(),
        commit_index = recovered.commit_index,
        cut_bytes = recovered.truncated_bytes,
        snapshot_index = recovered.snapshot_index(),
        protocol = EncodingVersion::CURRENT.0,
        state_format = STATE_FORMAT;
        "data_folder_opened"
    );
    let restored = Restored {
        hard_state: recovered.hard_state,
        snapshot: recovered.snapshot,
        entries: recovered.entries,
        commit_index: recovered.commit_index,
        initial_membership: group,
    };
    let mut replica_settings = settings.replica.clone();
    replica_settings.consensus = Config {
        id,
        seed: rand::random(),
        ..replica_settings.consensus
    };
    let replica =
        Replica::new(replica_settings, restored, clock.now()).map_err(io::Error::other)?;
    Ok(Some(OpenedReplica {
        id,
        replica,
        storage,
        clock,
    }))
}

/// What the data folder holds.
struct Stores {
    id: ReplicaId,
    /// Whether the folder had no identity before.
    created: bool,
    group: Membership,
    storage: ReplicaStorage<DiskDirectory>,
    recovered: Recovered,
}

impl Stores {
    /// Opens all stores of the folder. An error on a full disk is of the kind
    /// [`io::ErrorKind::StorageFull`].
    fn open(settings: &OpenSettings) -> io::Result<Self> {
        let directory = DiskDirectory::open(&settings.data).map_err(|error| {
            let folder = settings.data.display();
            io::Error::new(error.kind(), format!("data folder {folder}: {error}"))
        })?;
        Stores::read(directory, settings).map_err(|error| match error.is_full() {
            true => io::Error::new(io::ErrorKind::StorageFull, error),
            false => io::Error::other(error),
        })
    }

    fn read(mut directory: DiskDirectory, settings: &OpenSettings) -> Result<Self, StorageError> {
        let new_incarnation = settings.initial_id.map_or_else(rand::random, |id| id.0);
        let (identity, created) =
            DiskIdentity::open_or_create(&mut directory, &settings.name, new_incarnation)?;
        let id = ReplicaId(identity.incarnation);
        let group = initial_group(&mut directory, settings, id)?;
        let version = settings.replica.upgrade.version;
        let (storage, recovered) = recover(directory, version, group.clone())?;
        Ok(Stores {
            id,
            created,
            group,
            storage,
            recovered,
        })
    }
}

/// Recovers the log and the snapshot. A log that is larger than a running replica lets it
/// become is replaced by a snapshot while it is read.
fn recover(
    directory: DiskDirectory,
    version: EncodingVersion,
    group: Membership,
) -> Result<(ReplicaStorage<DiskDirectory>, Recovered), StorageError> {
    let compactor = LogCompactor::new(version, group);
    let mut is_compacted = false;
    let (mut storage, recovered) = ReplicaStorage::open_with(directory, |log| {
        is_compacted |= compactor.compact(&mut log.snapshot, &mut log.entries, log.commit_index);
    })?;
    if let Some(snapshot) = recovered.snapshot.as_ref().filter(|_| is_compacted) {
        log::info!(index = snapshot.index, bytes = snapshot.data.len(); "log_compacted_at_start");
        match storage.save_snapshot(snapshot) {
            Ok(()) => {}
            // The log on disk is complete without it.
            Err(error) if error.is_full() => {
                log::warn!(cause = error.to_string().as_str(); "snapshot_left");
            }
            Err(error) => return Err(error),
        }
    }
    Ok((storage, recovered))
}

/// The group that is valid before the log holds any membership entry. It is empty for a
/// replica that joins later, which learns the group from its leader.
fn initial_group(
    directory: &mut DiskDirectory,
    settings: &OpenSettings,
    id: ReplicaId,
) -> Result<Membership, StorageError> {
    let addresses = match &settings.initial_group {
        InitialGroup::WithIds(members) if members.members.contains_key(&id) => {
            return Ok(members.clone());
        }
        InitialGroup::WithIds(_) => return Ok(Membership::default()),
        InitialGroup::ByAddress(addresses) => addresses,
    };
    if let Some(group) = load_value(directory, INITIAL_GROUP_FILE)? {
        return Ok(group);
    }
    // The first start, or one after a kill between the identity and this file.
    let member = |address: &MemberAddress| {
        let member = Member {
            peer_address: address.peer.clone(),
            admin_address: address.admin.clone(),
            voter: true,
        };
        (replica_id_for(address), member)
    };
    let members = addresses.iter().map(member).collect();
    let group = Membership { members };
    if !group.members.contains_key(&id) {
        return Ok(Membership::default());
    }
    save_value(directory, INITIAL_GROUP_FILE, &group)?;
    Ok(group)
}

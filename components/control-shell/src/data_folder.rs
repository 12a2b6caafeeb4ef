//! Opens the data folder: who this replica is, and what it knows.

use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use garnet_consensus::{Config, Member, Membership, Restored};
use garnet_control::{Replica, ReplicaSettings, STATE_FORMAT};
use garnet_runtime::Clock;
use garnet_storage::{
    DiskDirectory, DiskIdentity, ReplicaStorage, StorageError, load_value, save_value,
};
use garnet_types::{EncodingVersion, ReplicaId};
use xxhash_rust::xxh3::xxh3_64;

use crate::disk_space::wait_for_space;
use crate::joining::MemberAddress;

/// The group that a replica was born into, kept for later starts.
const FIRST_GROUP_FILE: &str = "first-group";
/// How often a full disk is looked at. Nothing else runs yet.
const LOOK_FOR_ROOM: Duration = Duration::from_millis(200);

/// The group at its very first start.
#[derive(Debug, Clone)]
pub enum InitialGroup {
    /// Members with the identities that the settings give them.
    WithIds(Membership),
    /// Members whose identities follow from their addresses. It is kept on
    /// disk, since the settings name other addresses later.
    ByAddress(Vec<MemberAddress>),
}

/// What opening needs.
#[derive(Debug, Clone)]
pub struct OpenSettings {
    /// Name of the process.
    pub name: String,
    /// Data folder.
    pub data: PathBuf,
    /// Identity at the first start of the group, if it has one from then.
    pub initial_id: Option<ReplicaId>,
    /// The group at its first start.
    pub initial_group: InitialGroup,
    /// Settings of the replica; its identity and seed are filled in.
    pub replica: ReplicaSettings,
}

/// What was opened.
pub struct OpenedReplica {
    /// The identity of the disk.
    pub id: ReplicaId,
    pub(crate) replica: Replica,
    pub(crate) storage: ReplicaStorage<DiskDirectory>,
    pub(crate) clock: Clock,
}

/// Identity of a first member that is known by its address only.
pub fn replica_id_for(address: &MemberAddress) -> ReplicaId {
    ReplicaId(xxh3_64(address.peer.as_bytes()))
}

/// Opens the data folder. An identity is bound to the disk: an empty folder
/// is a new replica unless this is the group's first start. A full disk is
/// waited for, until `stop_requested`: nothing is opened then.
///
/// # Errors
/// When the folder can't be used, or holds what this program can't read.
pub fn open(
    settings: &OpenSettings,
    clock: Clock,
    stop_requested: impl Fn() -> bool,
) -> io::Result<Option<OpenedReplica>> {
    let open_disk = || {
        if stop_requested() {
            return Ok(None);
        }
        DiskDirectory::open(&settings.data).map(Some)
    };
    let opened = wait_for_space(open_disk, || thread::sleep(LOOK_FOR_ROOM));
    let opened = opened.map_err(|error| {
        let folder = settings.data.display();
        io::Error::new(error.kind(), format!("data folder {folder}: {error}"))
    })?;
    let Some(mut directory) = opened else {
        return Ok(None);
    };
    let fresh = settings.initial_id.map_or_else(rand::random, |id| id.0);
    let (identity, created) = DiskIdentity::open_or_create(&mut directory, &settings.name, fresh)
        .map_err(io::Error::other)?;
    let id = ReplicaId(identity.incarnation);
    let group = initial_group(&mut directory, settings, id, created).map_err(io::Error::other)?;
    let (storage, recovered) = ReplicaStorage::open(directory).map_err(io::Error::other)?;
    log::info!(
        replica = id.0,
        new_disk = created,
        term = recovered.hard_state.term,
        entries = recovered.entries.len(),
        commit_index = recovered.commit_index,
        cut_bytes = recovered.truncated_bytes,
        snapshot_index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index),
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

/// The group before any membership entry. A replica that joins later learns
/// the group from its leader.
fn initial_group(
    directory: &mut DiskDirectory,
    settings: &OpenSettings,
    id: ReplicaId,
    created: bool,
) -> Result<Membership, StorageError> {
    let addresses = match &settings.initial_group {
        InitialGroup::WithIds(members) if members.members.contains_key(&id) => {
            return Ok(members.clone());
        }
        InitialGroup::WithIds(_) => return Ok(Membership::default()),
        InitialGroup::ByAddress(addresses) => addresses,
    };
    if !created {
        return Ok(load_value(directory, FIRST_GROUP_FILE)?.unwrap_or_default());
    }
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
    save_value(directory, FIRST_GROUP_FILE, &group)?;
    Ok(group)
}

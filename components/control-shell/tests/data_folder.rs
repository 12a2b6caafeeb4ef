//! The start of a replica from its data folder, on a real disk.

use std::cell::Cell;
use std::fs;
use std::os::unix::fs::symlink;
use std::path::Path;

use garnet_consensus::{Config, Membership};
use garnet_control::ReplicaSettings;
use garnet_control_shell::{InitialGroup, MemberAddress, OpenSettings, open, replica_id_for};
use garnet_runtime::Clock;
use garnet_storage::{DiskDirectory, DiskIdentity, load_value};
use garnet_types::ReplicaId;
use rstest::rstest;

/// Takes no bytes, like a file on a full disk.
const FULL_DEVICE: &str = "/dev/full";
/// The file through which the identity of the folder is written.
const IDENTITY_TMP: &str = "identity.tmp";
/// The file of the group at its first start.
const INITIAL_GROUP: &str = "first-group";
const NAME: &str = "core-1";

fn settings(folder: &Path) -> OpenSettings {
    OpenSettings {
        name: NAME.to_owned(),
        data: folder.to_owned(),
        initial_id: None,
        initial_group: InitialGroup::WithIds(Membership::default()),
        replica: ReplicaSettings::new(Config::new(ReplicaId::default(), 0)),
    }
}

/// The folder can be created, but nothing can be written into it for a while.
#[test]
fn a_start_waits_for_space_whichever_file_has_none() {
    let folder = tempfile::tempdir().expect("a folder");
    let identity = folder.path().join(IDENTITY_TMP);
    symlink(FULL_DEVICE, &identity).expect("a link");
    let attempts = Cell::new(0);
    let stop_requested = || {
        attempts.set(attempts.get() + 1);
        if attempts.get() == 3 {
            fs::remove_file(&identity).expect("removed");
        }
        false
    };
    let opened = open(&settings(folder.path()), Clock::default(), stop_requested);
    assert!(opened.expect("a start that waits").is_some());
    assert_eq!(attempts.get(), 3);
}

/// A planned stop ends the wait.
#[test]
fn a_start_that_waits_for_space_can_be_stopped() {
    let folder = tempfile::tempdir().expect("a folder");
    symlink(FULL_DEVICE, folder.path().join(IDENTITY_TMP)).expect("a link");
    let attempts = Cell::new(0);
    let stop_requested = || {
        attempts.set(attempts.get() + 1);
        attempts.get() > 2
    };
    let opened = open(&settings(folder.path()), Clock::default(), stop_requested);
    assert!(opened.expect("a start that waits").is_none());
}

fn address(machine: u8) -> MemberAddress {
    MemberAddress {
        peer: format!("10.0.0.{machine}:7000"),
        admin: format!("10.0.0.{machine}:7001"),
    }
}

/// The first start of a member of the first group, whose identity was on disk already when
/// an earlier process was killed, or was not.
#[rstest]
fn the_first_group_is_known_after_a_kill_at_the_first_start(
    #[values(false, true)] has_identity: bool,
) {
    let folder = tempfile::tempdir().expect("a folder");
    let addresses: Vec<MemberAddress> = (1..=3).map(address).collect();
    let id = replica_id_for(&addresses[0]);
    if has_identity {
        let mut directory = DiskDirectory::open(folder.path()).expect("a folder");
        DiskIdentity::open_or_create(&mut directory, NAME, id.0).expect("an identity");
    }
    let first_start = OpenSettings {
        initial_id: Some(id),
        initial_group: InitialGroup::ByAddress(addresses),
        ..settings(folder.path())
    };
    let opened = open(&first_start, Clock::default(), || false).expect("a start");
    assert_eq!(opened.map(|opened| opened.id), Some(id));
    let mut directory = DiskDirectory::open(folder.path()).expect("a folder");
    let group: Option<Membership> = load_value(&mut directory, INITIAL_GROUP).expect("readable");
    assert_eq!(group.unwrap_or_default().members.len(), 3);
}

/// A replica that is not of the first group stores none, whatever its settings list.
#[test]
fn a_replica_that_joins_later_stores_no_first_group() {
    let folder = tempfile::tempdir().expect("a folder");
    let joining = OpenSettings {
        initial_group: InitialGroup::ByAddress((1..=3).map(address).collect()),
        ..settings(folder.path())
    };
    for _ in 0..2 {
        let opened = open(&joining, Clock::default(), || false).expect("a start");
        assert!(opened.is_some());
    }
    let mut directory = DiskDirectory::open(folder.path()).expect("a folder");
    let group: Option<Membership> = load_value(&mut directory, INITIAL_GROUP).expect("readable");
    assert_eq!(group, None);
}

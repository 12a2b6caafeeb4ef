//! The start of a replica from its data folder, on a real disk.

use std::cell::Cell;
use std::fs;
use std::os::unix::fs::symlink;
use std::path::Path;

use garnet_consensus::{Config, Membership};
use garnet_control::ReplicaSettings;
use garnet_control_shell::{InitialGroup, OpenSettings, open};
use garnet_runtime::Clock;
use garnet_types::ReplicaId;

/// Takes no bytes, like a file on a full disk.
const FULL_DEVICE: &str = "/dev/full";
/// The file through which the identity of the folder is written.
const IDENTITY_TMP: &str = "identity.tmp";

fn settings(folder: &Path) -> OpenSettings {
    OpenSettings {
        name: "core-1".to_owned(),
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

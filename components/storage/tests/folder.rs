//! The data folder on a real disk. That its name survives a power loss is not tested:
//! no test cuts the power.

use std::fs::{self, Permissions};
use std::os::unix::fs::PermissionsExt;

use garnet_storage::{Directory, DiskDirectory};

#[test]
fn a_folder_is_created_with_its_parents_and_can_be_reopened() {
    let parent_folder = tempfile::tempdir().expect("a folder");
    let path = parent_folder.path().join("machines/one/data");
    let mut created = DiskDirectory::open(&path).expect("made");
    created.append("log", b"entry").expect("written");
    created.sync("log").expect("synced");
    let reopened = DiskDirectory::open(&path).expect("found");
    assert_eq!(reopened.read("log").expect("there"), b"entry");
}

/// The sync of the parent of a folder that was found must not keep a process from a folder
/// below one that it may not read.
#[test]
fn a_folder_below_one_that_can_not_be_read_is_opened() {
    let parent_folder = tempfile::tempdir().expect("a folder");
    let parent_path = parent_folder.path().join("parent");
    let path = parent_path.join("data");
    fs::create_dir_all(&path).expect("made");
    fs::set_permissions(&parent_path, Permissions::from_mode(0o311)).expect("changed");
    let opened = DiskDirectory::open(&path);
    fs::set_permissions(&parent_path, Permissions::from_mode(0o755)).expect("changed back");
    assert!(opened.is_ok(), "{opened:?}");
}

#[test]
fn a_path_with_a_file_in_place_of_a_folder_is_refused() {
    let parent_folder = tempfile::tempdir().expect("a folder");
    let path = parent_folder.path().join("data");
    fs::write(&path, b"a file").expect("written");
    assert!(DiskDirectory::open(&path).is_err());
    assert!(DiskDirectory::open(&path.join("below")).is_err());
}

//! The data folder on a real disk. That its name survives a power loss is not tested:
//! no test cuts the power.

use std::fs;

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

#[test]
fn a_path_with_a_file_in_place_of_a_folder_is_refused() {
    let parent_folder = tempfile::tempdir().expect("a folder");
    let path = parent_folder.path().join("data");
    fs::write(&path, b"a file").expect("written");
    assert!(DiskDirectory::open(&path).is_err());
    assert!(DiskDirectory::open(&path.join("below")).is_err());
}

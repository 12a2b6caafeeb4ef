//! The data folder on a real disk. That its name outlives a loss of power is not
//! shown here: no test takes power away.

use std::fs;

use garnet_storage::{Directory, DiskDirectory};

#[test]
fn a_folder_is_made_with_all_above_it_and_found_again() {
    let above = tempfile::tempdir().expect("a folder");
    let path = above.path().join("machines/one/data");
    let mut made = DiskDirectory::open(&path).expect("made");
    made.append("log", b"entry").expect("written");
    made.sync("log").expect("synced");
    let again = DiskDirectory::open(&path).expect("found");
    assert_eq!(again.read("log").expect("there"), b"entry");
}

#[test]
fn a_file_in_the_place_of_a_folder_is_refused() {
    let above = tempfile::tempdir().expect("a folder");
    let path = above.path().join("data");
    fs::write(&path, b"a file").expect("written");
    assert!(DiskDirectory::open(&path).is_err());
    assert!(DiskDirectory::open(&path.join("below")).is_err());
}

//! A replica waits while its disk is full, and returns any other error at once.

use std::cell::Cell;
use std::io;

use garnet_control_shell::wait_for_space;

#[test]
fn opening_is_retried_while_the_disk_is_full() {
    let mut answers = [true, true, false].into_iter();
    let pauses = Cell::new(0);
    let open = || match answers.next() {
        Some(false) => Ok("opened"),
        _ => Err(io::ErrorKind::StorageFull.into()),
    };
    let opened = wait_for_space(open, || pauses.set(pauses.get() + 1));
    assert_eq!(opened.expect("room at last"), "opened");
    assert_eq!(pauses.get(), 2);
}

#[test]
fn any_other_error_is_returned_at_once() {
    let open = || -> io::Result<()> { Err(io::ErrorKind::PermissionDenied.into()) };
    let opened = wait_for_space(open, || panic!("nothing to wait for"));
    let error = opened.expect_err("it can't be opened");
    assert_eq!(error.kind(), io::ErrorKind::PermissionDenied);
}

//! Waits for disk space at start.
//!
//! A full disk fails every write, and may stay full for a while. A replica that
//! starts on a full disk waits here for space, so that it does not exit and get
//! restarted in a loop. A running replica whose disk fills up waits in `disk`.

use std::io;

/// Calls `open`, and calls it again after each `pause` for as long as the disk is full.
///
/// # Errors
/// Any other error of `open`.
pub fn wait_for_space<T>(
    mut open: impl FnMut() -> io::Result<T>,
    mut pause: impl FnMut(),
) -> io::Result<T> {
    let mut attempts: u64 = 0;
    loop {
        match open() {
            Err(error) if error.kind() == io::ErrorKind::StorageFull => {
                if attempts == 0 {
                    log::warn!(cause = error.to_string().as_str(); "disk_full");
                }
                attempts += 1;
                pause();
            }
            other => {
                if attempts > 0 {
                    log::info!(tries = attempts; "disk_full_over");
                }
                return other;
            }
        }
    }
}

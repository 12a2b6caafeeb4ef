//! A full disk refuses every write, and it may be full for a while.
//!
//! A replica that starts on a full disk waits here for room, in place of ending
//! and being started again and again. One that finds its disk full while it runs
//! waits as well, see `disk`.

use std::io;

/// Opens the disk, and again after a `pause` for as long as it is full.
///
/// # Errors
/// Any other error of `open`.
pub fn wait_for_space<T>(
    mut open: impl FnMut() -> io::Result<T>,
    mut pause: impl FnMut(),
) -> io::Result<T> {
    let mut tries: u64 = 0;
    loop {
        match open() {
            Err(error) if error.kind() == io::ErrorKind::StorageFull => {
                if tries == 0 {
                    log::warn!(cause = error.to_string().as_str(); "disk_full");
                }
                tries += 1;
                pause();
            }
            other => {
                if tries > 0 {
                    log::info!(tries = tries; "disk_full_over");
                }
                return other;
            }
        }
    }
}

//! The record of a run: one line per event, with the time since the start in seconds.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

pub fn open(path: &str) {
    let file = File::create(path).expect("the record can be written");
    let _first = RECORD.set((Mutex::new(file), Instant::now()));
}

pub fn line(text: &str) {
    if let Some((file, start)) = RECORD.get() {
        let at = start.elapsed().as_secs_f64();
        let mut file = file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _written = writeln!(file, "{at:8.3} {text}");
    }
}

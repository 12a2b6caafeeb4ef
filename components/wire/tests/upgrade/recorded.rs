//! Reads and writes the files of recorded bytes.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;

use garnet_storage::{Directory, MemoryDirectory};

/// The path of a recorded file.
fn path(protocol: u32, file: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join(format!("tests/recorded/protocol-{protocol}/{file}"))
}

/// The lines of a recorded file by their names.
pub fn lines(protocol: u32, file: &str) -> BTreeMap<String, Vec<u8>> {
    let text = std::fs::read_to_string(path(protocol, file)).expect("a recorded file");
    let line = |line: &str| {
        let (name, digits) = line.split_once(' ').expect("a name and digits");
        (name.to_owned(), decode_hex(digits))
    };
    text.lines().map(line).collect()
}

/// Writes a recorded file if it does not exist and `RECORD_ENCODINGS` is set.
pub fn record(protocol: u32, file: &str, lines: &[(String, Vec<u8>)]) {
    let path = path(protocol, file);
    if path.exists() || std::env::var_os("RECORD_ENCODINGS").is_none() {
        return;
    }
    let mut text = String::new();
    for (name, bytes) in lines {
        let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(text, "{name} {digits}").expect("room for a line");
    }
    std::fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
    std::fs::write(path, text).expect("a new file");
}

fn decode_hex(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits"))
        .collect()
}

/// Loads a recorded data folder into memory.
pub fn folder(protocol: u32, file: &str) -> MemoryDirectory {
    let mut directory = MemoryDirectory::default();
    for (name, bytes) in lines(protocol, file) {
        directory.append(&name, &bytes).expect("a disk in memory");
        directory.sync(&name).expect("a disk in memory");
    }
    directory.sync_names().expect("a disk in memory");
    directory
}

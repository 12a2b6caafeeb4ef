//! The memory of a process.

/// Highest resident size of a running process so far.
///
/// # Panics
/// If the system doesn't state it.
pub fn peak_memory_bytes(process: u32) -> u64 {
    const BYTES_PER_KB: u64 = 1024;
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.expect("a figure") * BYTES_PER_KB
}

//! The same work over many seeds, on several threads, in the seeds' order.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Most threads: half of a common machine, so that others can work.
const MOST_THREADS: usize = 8;

/// Applies `work` to every seed; each seed's work runs on one thread.
pub(crate) fn map<T: Send>(seeds: &[u64], work: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let available = std::thread::available_parallelism().map_or(1, usize::from);
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, T)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..available.min(MOST_THREADS) {
            scope.spawn(|| {
                loop {
                    let position = next.fetch_add(1, Ordering::Relaxed);
                    let Some(seed) = seeds.get(position) else {
                        return;
                    };
                    let result = work(*seed);
                    if let Ok(mut results) = results.lock() {
                        results.push((position, result));
                    }
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|(position, _)| *position);
    results.into_iter().map(|(_, result)| result).collect()
}

//! Processor time of this thread and heap of this process.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

#[cfg(feature = "count-heap")]
#[global_allocator]
static HEAP: peak_alloc::PeakAlloc = peak_alloc::PeakAlloc;

/// Bytes of the heap that are in use now; `None` when they are not counted.
pub(crate) fn heap_bytes() -> Option<usize> {
    #[cfg(feature = "count-heap")]
    return Some(HEAP.current_usage());
    #[cfg(not(feature = "count-heap"))]
    return None;
}

/// Megabytes of the heap that were taken since `before`; zero when the heap
/// is not counted.
pub(crate) fn heap_mb_since(before: Option<usize>) -> f64 {
    let taken = heap_bytes().zip(before);
    taken.map_or(0.0, |(now, before)| now.saturating_sub(before) as f64 / 1e6)
}

/// Processor time that this thread has used so far.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Adds up the processor time of pieces of work.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Meter {
    /// Processor time so far.
    pub(crate) spent: Duration,
}

impl Meter {
    /// Does a piece of work and adds its processor time.
    pub(crate) fn measure<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let before = processor_time();
        let result = work();
        self.spent += processor_time() - before;
        result
    }
}

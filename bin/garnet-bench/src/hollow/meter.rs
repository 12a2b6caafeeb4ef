//! Processor time of this thread and heap of this process.

use std::time::Duration;

use peak_alloc::PeakAlloc;
use rustix::time::{ClockId, clock_gettime};

#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

/// Bytes of the heap that are in use now.
pub(crate) fn heap_bytes() -> usize {
    HEAP.current_usage()
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

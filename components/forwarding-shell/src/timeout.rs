//! Futures with a timeout.

use std::future::Future;
use std::time::Duration;

use garnet_types::Millis;
use smol::Timer;

/// Runs `work`, and returns `None` if it takes longer than `time_limit`, if any.
pub(crate) async fn with_timeout<T>(
    time_limit: Option<Millis>,
    work: impl Future<Output = T>,
) -> Option<T> {
    let Some(time_limit) = time_limit else {
        return Some(work.await);
    };
    let working = async { Some(work.await) };
    let late = async {
        Timer::after(Duration::from_millis(time_limit.0)).await;
        None
    };
    smol::future::or(working, late).await
}

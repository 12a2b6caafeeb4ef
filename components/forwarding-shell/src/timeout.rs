//! Waiting with a time limit.

use std::future::Future;
use std::time::Duration;

use garnet_types::Millis;
use smol::Timer;

/// What comes within `time_limit`; all that comes where there is no limit.
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

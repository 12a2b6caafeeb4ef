//! A child that notices when settings may have changed.

use std::rc::Rc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use smol::Timer;

/// Settings may change without a signal; this often they are read anyway.
const INTERVAL: Duration = Duration::from_secs(2);

/// A child that calls `reload` at each SIGHUP, and now and then.
pub fn child(reload: impl Fn() + 'static) -> ChildSpec {
    let reload = Rc::new(reload);
    ChildSpec::new("reload", Restart::Permanent, move |stop: StopSignal| {
        let reload = Rc::clone(&reload);
        async move {
            let mut signals = Signals::new([Signal::Hup]).map_err(ChildError::new)?;
            let reloading = async {
                loop {
                    let signalled = async { signals.next().await.is_some() };
                    let later = async {
                        Timer::after(INTERVAL).await;
                        false
                    };
                    if smol::future::or(signalled, later).await {
                        log::info!("settings_reloaded");
                    }
                    reload();
                }
            };
            smol::future::or(reloading, stop.stopped()).await;
            Ok::<(), ChildError>(())
        }
    })
}

//! A child that triggers a reload of the settings.

use std::rc::Rc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use smol::Timer;

/// Interval of reloads without a signal, as settings may change without one.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// What triggers a reload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trigger {
    /// SIGHUP.
    Signal,
    /// The end of the interval.
    Interval,
}

/// A child that calls `reload` at each SIGHUP and at a fixed interval.
pub fn child(reload: impl Fn(Trigger) + 'static) -> ChildSpec {
    let reload = Rc::new(reload);
    ChildSpec::new("reload", Restart::Permanent, move |stop: StopSignal| {
        let reload = Rc::clone(&reload);
        async move {
            let mut signals = Signals::new([Signal::Hup]).map_err(ChildError::new)?;
            let reloading = async {
                loop {
                    let signalled = async {
                        let signal = signals.next().await;
                        signal.map_or(Trigger::Interval, |_| Trigger::Signal)
                    };
                    let later = async {
                        Timer::after(RELOAD_INTERVAL).await;
                        Trigger::Interval
                    };
                    let trigger = smol::future::or(signalled, later).await;
                    if trigger == Trigger::Signal {
                        log::info!("settings_reloaded");
                    }
                    reload(trigger);
                }
            };
            smol::future::or(reloading, stop.stopped()).await;
            Ok::<(), ChildError>(())
        }
    })
}

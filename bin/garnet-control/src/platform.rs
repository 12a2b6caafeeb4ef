//! Reads the platform's list of machines.

use std::time::Duration;

use garnet_control::{Event, MachineEntry};
use garnet_engine_api::paths;
use garnet_runtime::{HttpClient, client};
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use smol::Timer;
use smol::channel::Sender;

use crate::engines::fetch;

const INTERVAL: Duration = Duration::from_millis(500);

/// A child that reads the list again and again.
pub(crate) fn child(address: String, http: HttpClient, events: Sender<Event>) -> ChildSpec {
    ChildSpec::new("platform", Restart::Permanent, move |stop: StopSignal| {
        let address = address.clone();
        let http = http.clone();
        let events = events.clone();
        async move {
            while !stop.is_stopped() {
                let request = client::get_request(paths::MACHINES);
                let machines: Option<Vec<MachineEntry>> = fetch(&http, &address, request).await;
                if let Some(machines) = machines {
                    let _unheard = events.send(Event::Machines(machines)).await;
                }
                let pause = async {
                    Timer::after(INTERVAL).await;
                };
                smol::future::or(pause, stop.stopped()).await;
            }
            Ok::<(), ChildError>(())
        }
    })
}

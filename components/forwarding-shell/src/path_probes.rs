//! Probes of back ends, which tell a lost path from back ends that have failed.

use std::rc::Rc;
use std::time::Duration;

use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use garnet_types::BackendId;
use smol::Timer;

use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};

/// How often a gateway checks whether probes are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A connection that is still open after this time counts as a path. One that is refused late
/// is closed within a round trip.
const SETTLING_TIME: Duration = Duration::from_millis(50);

/// A child that sends the probes that the forwarder asks for.
pub(crate) fn child<C: CallerPort + 'static, B: BackendPort + 'static>(
    gateway: Rc<Gateway<C, B>>,
) -> ChildSpec {
    ChildSpec::new(
        "path-probes",
        Restart::Permanent,
        move |stop: StopSignal| {
            let gateway = Rc::clone(&gateway);
            async move {
                let probing = async {
                    loop {
                        Timer::after(CHECK_INTERVAL).await;
                        begin_probes(&gateway);
                    }
                };
                smol::future::or(probing, stop.stopped()).await;
                Ok::<(), ChildError>(())
            }
        },
    )
}

fn begin_probes<C: CallerPort + 'static, B: BackendPort + 'static>(gateway: &Rc<Gateway<C, B>>) {
    let due = gateway.forwarder.borrow_mut().path_probes(gateway.now());
    for backend in due {
        let probing = probe(Rc::clone(gateway), backend);
        gateway.executor.spawn(probing).detach();
    }
}

/// Opens a connection to a back end. If it stays open, it serves the next request.
async fn probe<C: CallerPort, B: BackendPort>(gateway: Rc<Gateway<C, B>>, backend: BackendId) {
    let (address, max_idle) = {
        let forwarder = gateway.forwarder.borrow();
        let Some(address) = forwarder.address(&backend) else {
            return;
        };
        (
            address.to_owned(),
            forwarder.connection_share(&backend).idle,
        )
    };
    match gateway.pool.probe(&address, SETTLING_TIME, max_idle).await {
        Ok(()) => gateway.on_path_answered(&backend),
        Err(error) => {
            log::debug!(
                backend = backend.as_str(),
                cause = error.to_string().as_str();
                "probe_failed"
            );
            gateway.on_path_failed(&backend);
        }
    }
}

//! Probes of back ends, which tell a lost path from back ends that have failed.

use std::rc::Rc;
use std::time::Duration;

use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use garnet_types::BackendId;
use hyper::header::HOST;
use smol::Timer;

use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};

/// How often a gateway checks whether probes are due, while connections have failed lately.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which a back end has to answer a probe, which needs no free slot there.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

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
                    while gateway.path_failures.recv().await.is_ok() {
                        while !gateway.forwarder.borrow().paths_are_in_order() {
                            Timer::after(CHECK_INTERVAL).await;
                            begin_probes(&gateway);
                        }
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

/// Sends a probe to a back end on a connection of its own.
async fn probe<C: CallerPort, B: BackendPort>(gateway: Rc<Gateway<C, B>>, backend: BackendId) {
    let address = {
        let forwarder = gateway.forwarder.borrow();
        let Some(address) = forwarder.address(&backend) else {
            return;
        };
        address.to_owned()
    };
    let began = gateway.now();
    let pool = &gateway.pool;
    let mut request = gateway.backends.probe();
    if let Ok(host) = address.parse() {
        request.headers_mut().insert(HOST, host);
    }
    match pool.probe(&address, request, PROBE_TIMEOUT).await {
        Ok(()) => gateway.on_path_answered(&backend, began),
        Err(error) => {
            log::debug!(
                backend = backend.as_str(),
                cause = error.to_string().as_str();
                "probe_failed"
            );
            gateway.on_path_failed(&backend, false);
        }
    }
}

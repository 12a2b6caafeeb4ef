//! The platform as a process.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use garnet_engine_api::{MachineRegistration, MachineStateRequest, paths};
use garnet_runtime::RequestBody;
use garnet_runtime::server::set_header;
use garnet_runtime::{Body, Clock, json_response, text_response};
use garnet_stand_in::{PlatformStandIn, WeightStore};
use garnet_types::{BackendId, Millis};
use hyper::{Method, Request, Response};

use crate::arguments::Arguments;
use crate::shell::{Shared, Shell, bind, read_json};

/// The weight store gives out one model in this time.
const WEIGHT_INTERVAL: Millis = Millis::from_secs(2);

struct Platform {
    machines: PlatformStandIn,
    weights: WeightStore,
}

/// Runs the platform until a planned stop.
pub(crate) fn run(arguments: Arguments) -> io::Result<()> {
    let shell = Shell::new();
    let (server, _) = bind(arguments.listen)?;
    let platform = Rc::new(RefCell::new(Platform {
        machines: PlatformStandIn::new(arguments.report_lag),
        weights: WeightStore::new(WEIGHT_INTERVAL),
    }));
    let clock = shell.clock;
    let handler = move |request| handle(Rc::clone(&platform), clock, request);
    let children = vec![shell.http_child(server, handler)];
    shell.run(children, async {})
}

async fn handle(
    platform: Shared<Platform>,
    clock: Clock,
    request: Request<RequestBody>,
) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (method, path.as_str()) {
        (Method::GET, paths::MACHINES) => {
            json_response(200, &platform.borrow().machines.machines(clock.now()))
        }
        (Method::POST, paths::MACHINES) => match read_json::<MachineRegistration>(request).await {
            Ok(registration) => {
                let now = clock.now();
                platform.borrow_mut().machines.register(registration, now);
                text_response(200, "registered\n")
            }
            Err(response) => response,
        },
        (Method::POST, paths::MACHINE_STATE) => {
            match read_json::<MachineStateRequest>(request).await {
                Ok(change) => change_state(&platform, &change, clock.now()),
                Err(response) => response,
            }
        }
        (Method::POST, paths::WEIGHTS) => take_weights(&platform, clock.now()),
        (Method::GET, "/healthz") => text_response(200, "ok\n"),
        _ => text_response(404, "unknown path\n"),
    }
}

fn change_state(
    platform: &Shared<Platform>,
    change: &MachineStateRequest,
    now: Millis,
) -> Response<Body> {
    let id = BackendId::new(change.id.clone());
    let known = platform
        .borrow_mut()
        .machines
        .set_state(&id, change.state, now);
    if known {
        text_response(200, "changed\n")
    } else {
        text_response(404, "unknown machine\n")
    }
}

fn take_weights(platform: &Shared<Platform>, now: Millis) -> Response<Body> {
    match platform.borrow_mut().weights.take(now) {
        Ok(()) => text_response(200, "loaded\n"),
        Err(wait) => {
            let mut response = text_response(429, "another load is under way\n");
            set_header(
                &mut response,
                "retry-after",
                &wait.as_secs_ceil().to_string(),
            );
            response
        }
    }
}

//! An application instance as a process.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use garnet_control::BackendRegistration;
use garnet_engine_api::{
    DRAINING, DRAINING_HEADER, Faults, LIMIT_HEADER, NOT_STARTED, NotStarted, RETRY_AFTER_HEADER,
    STARTED_HEADER, paths,
};
use garnet_runtime::RequestBody;
use garnet_runtime::server::{channel_body, read_body, set_header, with_type};
use garnet_runtime::{Body, Limits, json_response, text_response};
use garnet_stand_in::{ApplicationStandIn, application::ApplicationAnswer};
use garnet_types::{BackendId, BackendKind, Framing, ServiceId};
use hyper::{Method, Request, Response};
use smol::Timer;

use crate::arguments::Arguments;
use crate::registration;
use crate::shell::{Shared, Shell, bind, freeze, read_json};

/// Status of a call that was not begun because the instance is stopping.
const UNAVAILABLE: u16 = 503;

struct Instance {
    stand_in: ApplicationStandIn,
    faults: Faults,
    draining: bool,
    open: usize,
}

/// Runs an instance until a planned stop.
pub(crate) fn run(arguments: Arguments) -> io::Result<()> {
    let shell = Shell::new();
    let (server, address) = bind(arguments.listen)?;
    let instance = Rc::new(RefCell::new(Instance {
        stand_in: ApplicationStandIn::new(arguments.name.clone()),
        faults: Faults::default(),
        draining: false,
        open: 0,
    }));
    let link = arguments.link;
    let shared = Rc::clone(&instance);
    let handler = move |request| handle(Rc::clone(&shared), link, request);
    let mut children = vec![shell.http_child(server, handler)];
    if let Some(platform) = &arguments.platform {
        let registration = BackendRegistration {
            id: BackendId::new(arguments.name.clone()),
            kind: BackendKind::Application,
            service: ServiceId::new(arguments.service.clone()),
            address,
            zone: arguments.zone.clone(),
            start: unix_ms(),
        };
        let child = registration::child(&shell, platform.clone(), registration);
        children.push(child);
    }
    let drain = drain(shell.clone(), instance, arguments);
    shell.run(children, drain)
}

async fn drain(shell: Shell, instance: Shared<Instance>, arguments: Arguments) {
    instance.borrow_mut().draining = true;
    if let Some(platform) = &arguments.platform {
        registration::leave(&shell, platform, &arguments.name).await;
    }
    while instance.borrow().open > 0 {
        Timer::after(Duration::from_millis(10)).await;
    }
}

async fn handle(
    instance: Shared<Instance>,
    link: Duration,
    request: Request<RequestBody>,
) -> Response<Body> {
    Timer::after(link * 2).await;
    match (request.method(), request.uri().path()) {
        (&Method::GET, paths::JOURNAL) => json_response(200, instance.borrow().stand_in.journal()),
        (&Method::GET, "/healthz") => text_response(200, "ok\n"),
        (&Method::POST, paths::APPLICATION_FAULTS) => match read_json::<Faults>(request).await {
            Ok(faults) => take_faults(&instance, faults),
            Err(response) => response,
        },
        _ => {
            let mut response = call(Rc::clone(&instance), request).await;
            let state = instance.borrow();
            if state.draining || state.faults.reports_draining {
                set_header(&mut response, DRAINING_HEADER, DRAINING);
            }
            let limit = &state.faults.limit_per_s;
            if !limit.is_empty() {
                set_header(&mut response, LIMIT_HEADER, limit);
            }
            response
        }
    }
}

fn take_faults(instance: &Shared<Instance>, faults: Faults) -> Response<Body> {
    if faults.crash {
        std::process::exit(3);
    }
    if faults.freeze_ms > 0 {
        freeze(faults.freeze_ms);
    }
    instance.borrow_mut().faults = faults;
    text_response(200, "set\n")
}

async fn call(instance: Shared<Instance>, request: Request<RequestBody>) -> Response<Body> {
    let refuses = {
        let state = instance.borrow();
        state.draining || state.faults.refuse
    };
    if refuses {
        return not_started("draining");
    }
    let retry_after = instance.borrow().faults.retry_after.clone();
    if !retry_after.is_empty() {
        let mut response = not_started("overloaded");
        set_header(&mut response, RETRY_AFTER_HEADER, &retry_after);
        return response;
    }
    instance.borrow_mut().open += 1;
    let response = run_call(&instance, request).await;
    instance.borrow_mut().open -= 1;
    response
}

async fn run_call(instance: &Shared<Instance>, request: Request<RequestBody>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let key = request
        .headers()
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let Ok(body) = read_body(request.into_body(), &Limits::default()).await else {
        return text_response(400, "the body is not whole\n");
    };
    let delay = instance.borrow().faults.delay_ms;
    Timer::after(Duration::from_millis(delay)).await;
    let text = String::from_utf8_lossy(&body);
    let answer = instance
        .borrow_mut()
        .stand_in
        .run(&path, key.as_deref(), &text);
    let lose = std::mem::take(&mut instance.borrow_mut().faults.lose_next_answer);
    if lose {
        return broken_response();
    }
    let unframed_bytes = instance.borrow().faults.unframed_bytes;
    match unframed_bytes {
        Some(max_bytes) => unframed_response(&answer, max_bytes),
        None => json_response(200, &answer),
    }
}

/// A response that ends with its connection, after `max_bytes` of its body at most.
fn unframed_response(answer: &ApplicationAnswer, max_bytes: usize) -> Response<Body> {
    let mut body = serde_json::to_vec(answer).unwrap_or_default();
    body.truncate(max_bytes);
    let mut response = with_type(200, "application/json", body);
    response.extensions_mut().insert(Framing::UntilClose);
    response
}

/// When this process started, in Unix milliseconds.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn not_started(reason: &str) -> Response<Body> {
    let body = NotStarted {
        reason: reason.to_owned(),
    };
    let mut response = json_response(UNAVAILABLE, &body);
    set_header(&mut response, STARTED_HEADER, NOT_STARTED);
    response
}

/// A response that ends before the length that its head states.
fn broken_response() -> Response<Body> {
    let (sender, chunks) = smol::channel::bounded(1);
    sender.close();
    let mut response = Response::new(channel_body(chunks));
    set_header(&mut response, "content-length", "1000");
    response
}

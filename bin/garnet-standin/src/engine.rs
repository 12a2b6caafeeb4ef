//! An engine as a process.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use garnet_control::{BackendRegistration, UNKNOWN_START};
use garnet_engine_api::{
    DRAINING, DRAINING_HEADER, Faults, GenerateEvent, GenerateRequest, KvExport, KvLocation,
    LIMIT_HEADER, NOT_STARTED, NotStarted, PrefillRequest, PrefillResponse, REASON_NO_KV,
    REJECTED_STATUS, RETRY_AFTER_HEADER, STARTED_HEADER, encode_event, paths,
};
use garnet_runtime::RequestBody;
use garnet_runtime::server::{channel_body, set_header};
use garnet_runtime::{Body, Clock, HttpClient, client, json_response, text_response};
use garnet_stand_in::{
    EngineSettings, EngineStandIn, JobId, JobOutput, JobRejection, SubmittedJob,
};
use garnet_storage::{DiskDirectory, load_value, save_value};
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use garnet_types::{
    BackendId, BackendKind, BuildId, EngineAssignment, EngineCapacity, EngineOrder, Fence, ModelId,
    ServiceId,
};
use hyper::body::Bytes;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use smol::channel::{Receiver, Sender, bounded, unbounded};
use smol::{LocalExecutor, Timer};

use crate::arguments::Arguments;
use crate::registration;
use crate::shell::{Shared, Shell, bind, freeze, read_json};

const FENCE_FILE: &str = "engine-fence";
const KV_PATIENCE: Duration = Duration::from_secs(2);
/// A prompt that crashes the engine does so this long after its run began.
const CRASH_AFTER: Duration = Duration::from_millis(20);
/// Longest sleep of the driver when nothing is due.
const IDLE: Duration = Duration::from_secs(1);

/// What an engine keeps across restarts.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct Kept {
    highest_fence: Fence,
    starts: u64,
}

struct Engine {
    stand_in: EngineStandIn,
    outputs: HashMap<JobId, Sender<JobOutput>>,
    directory: Option<DiskDirectory>,
    kept: Kept,
    crash_in_order: bool,
    /// What it names as its limit; empty for none.
    limit_per_s: String,
    /// What it refuses new work with; empty for none.
    retry_after: String,
    reports_draining: bool,
}

#[derive(Clone)]
struct Context {
    engine: Shared<Engine>,
    clock: Clock,
    http: HttpClient,
    executor: Rc<LocalExecutor<'static>>,
    wake: Sender<()>,
    link: Duration,
    crash_on: Option<Rc<str>>,
}

/// Runs an engine until a planned stop.
pub(crate) fn run(arguments: Arguments) -> io::Result<()> {
    let shell = Shell::new();
    let (server, address) = bind(arguments.listen)?;
    let engine = Rc::new(RefCell::new(open(&arguments)?));
    let (wake, woken) = bounded(1);
    let context = Context {
        engine: Rc::clone(&engine),
        clock: shell.clock,
        http: HttpClient::new(Rc::clone(&shell.executor)),
        executor: Rc::clone(&shell.executor),
        wake,
        link: arguments.link,
        crash_on: arguments.crash_on.as_deref().map(Rc::from),
    };
    let driver = driver_child(context.clone(), woken);
    let handler = move |request| handle(context.clone(), request);
    let mut children = vec![driver, shell.http_child(server, handler)];
    if let Some(platform) = &arguments.platform {
        let registration = BackendRegistration {
            id: BackendId::new(arguments.name.clone()),
            kind: BackendKind::Engine,
            service: ServiceId::new(arguments.service.clone()),
            address,
            zone: arguments.zone.clone(),
            start: UNKNOWN_START,
        };
        let child = registration::child(&shell, platform.clone(), registration);
        children.push(child);
    }
    let drain = drain(shell.clone(), engine, arguments);
    shell.run(children, drain)
}

fn open(arguments: &Arguments) -> io::Result<Engine> {
    let mut directory = DiskDirectory::open(&arguments.data)?;
    let mut kept: Kept = load_value(&mut directory, FENCE_FILE)
        .map_err(io::Error::other)?
        .unwrap_or_default();
    kept.starts += 1;
    save_value(&mut directory, FENCE_FILE, &kept).map_err(io::Error::other)?;
    let assignment = EngineAssignment {
        role: arguments.role,
        model: ModelId::new(arguments.model.clone()),
    };
    let ordinary = EngineCapacity::default();
    let settings = EngineSettings {
        capacity: EngineCapacity {
            prefill_tokens_per_second: ordinary.prefill_tokens_per_second * arguments.speed,
            decode_step_ms: ordinary.decode_step_ms / arguments.speed,
            ..ordinary
        },
        role_change: arguments.role_change,
        report_lag: arguments.report_lag,
        build: BuildId::new(arguments.build.clone()),
        ..EngineSettings::new(assignment)
    };
    Ok(Engine {
        stand_in: EngineStandIn::new(settings, kept.starts, kept.highest_fence),
        outputs: HashMap::new(),
        directory: Some(directory),
        kept,
        crash_in_order: false,
        limit_per_s: String::new(),
        retry_after: String::new(),
        reports_draining: false,
    })
}

async fn drain(shell: Shell, engine: Shared<Engine>, arguments: Arguments) {
    engine.borrow_mut().stand_in.drain();
    if let Some(platform) = &arguments.platform {
        registration::leave(&shell, platform, &arguments.name).await;
    }
    while engine.borrow().stand_in.running() > 0 {
        Timer::after(Duration::from_millis(10)).await;
    }
}

/// Lets the engine's time pass and hands its outputs to their requests.
fn driver_child(context: Context, woken: Receiver<()>) -> ChildSpec {
    ChildSpec::new("driver", Restart::Essential, move |stop: StopSignal| {
        let context = context.clone();
        let woken = woken.clone();
        async move {
            while !stop.is_stopped() {
                let sleep = step(&context);
                let timer = async {
                    Timer::after(sleep).await;
                };
                let wake = async {
                    let _woken = woken.recv().await;
                };
                let until = smol::future::or(timer, wake);
                smol::future::or(until, stop.stopped()).await;
            }
            Ok::<(), ChildError>(())
        }
    })
}

fn step(context: &Context) -> Duration {
    let now = context.clock.now();
    let mut engine = context.engine.borrow_mut();
    engine.stand_in.advance(now);
    for (job, output) in engine.stand_in.take_outputs() {
        let ends = !matches!(output, JobOutput::Token { .. });
        if let Some(sender) = engine.outputs.get(&job) {
            // The request may have been broken off meanwhile.
            let _unheard = sender.try_send(output);
        }
        if ends {
            engine.outputs.remove(&job);
        }
    }
    let due = engine.stand_in.next_due();
    due.map_or(IDLE, |due| Duration::from_millis(due.since(now).0.max(1)))
}

async fn handle(context: Context, request: Request<RequestBody>) -> Response<Body> {
    let engine = Rc::clone(&context.engine);
    let mut response = answer(context, request).await;
    let state = engine.borrow();
    if state.reports_draining || state.stand_in.is_draining() {
        set_header(&mut response, DRAINING_HEADER, DRAINING);
    }
    let limit = &state.limit_per_s;
    if !limit.is_empty() {
        set_header(&mut response, LIMIT_HEADER, limit);
    }
    response
}

async fn answer(context: Context, request: Request<RequestBody>) -> Response<Body> {
    Timer::after(context.link * 2).await;
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (method, path.as_str()) {
        (Method::POST, paths::PREFILL) => match read_json(request).await {
            Ok(body) => prefill(context, body).await,
            Err(response) => response,
        },
        (Method::POST, paths::GENERATE) => match read_json(request).await {
            Ok(body) => generate(context, body).await,
            Err(response) => response,
        },
        (Method::GET, paths::LOAD) => load(&context, request.uri().query()),
        (Method::GET, paths::STATUS) => status(&context),
        (Method::POST, paths::ORDERS) => match read_json(request).await {
            Ok(order) => take_order(context, order).await,
            Err(response) => response,
        },
        (Method::POST, paths::FAULTS) => match read_json(request).await {
            Ok(faults) => take_faults(&context, &faults),
            Err(response) => response,
        },
        (Method::GET, "/healthz") => text_response(200, "ok\n"),
        (Method::GET, path) => export(&context, path),
        _ => text_response(404, "unknown path\n"),
    }
}

fn status(context: &Context) -> Response<Body> {
    let now = context.clock.now();
    let mut engine = context.engine.borrow_mut();
    engine.stand_in.advance(now);
    json_response(200, &engine.stand_in.status())
}

fn load(context: &Context, query: Option<&str>) -> Response<Body> {
    let from = query
        .and_then(|query| query.strip_prefix("events_from="))
        .and_then(|number| number.parse().ok())
        .unwrap_or(0);
    let engine = context.engine.borrow();
    json_response(200, &engine.stand_in.load_report(from, context.clock.now()))
}

fn export(context: &Context, path: &str) -> Response<Body> {
    let handle = path
        .strip_prefix(paths::KV)
        .and_then(|rest| rest.strip_prefix('/'))
        .and_then(|number| number.parse().ok());
    let mut engine = context.engine.borrow_mut();
    let tokens = handle.and_then(|handle| engine.stand_in.export(handle));
    let build = engine.stand_in.build().clone();
    match tokens {
        Some(tokens) => json_response(200, &KvExport { tokens, build }),
        None => text_response(404, "no such KV cache\n"),
    }
}

// ---- Jobs ----

/// Breaks the job off when its request goes away before it ends.
struct JobGuard {
    context: Context,
    job: JobId,
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        let mut engine = self.context.engine.borrow_mut();
        engine.outputs.remove(&self.job);
        engine.stand_in.cancel(self.job, now);
    }
}

fn submit(
    context: &Context,
    job: SubmittedJob,
) -> Result<(JobGuard, Receiver<JobOutput>), JobRejection> {
    let now = context.clock.now();
    let (sender, receiver) = unbounded();
    let mut engine = context.engine.borrow_mut();
    engine.stand_in.advance(now);
    let job = engine.stand_in.submit(job, now)?;
    engine.outputs.insert(job, sender);
    let _pending = context.wake.try_send(());
    let context = context.clone();
    Ok((JobGuard { context, job }, receiver))
}

/// The refusal of an engine that is overloaded.
fn refuse_overloaded(context: &Context) -> Option<Response<Body>> {
    let engine = context.engine.borrow();
    if engine.retry_after.is_empty() {
        return None;
    }
    let mut response = refused("overloaded");
    set_header(&mut response, RETRY_AFTER_HEADER, &engine.retry_after);
    Some(response)
}

async fn prefill(context: Context, body: PrefillRequest) -> Response<Body> {
    if let Some(refusal) = refuse_overloaded(&context) {
        return refusal;
    }
    let job = SubmittedJob::Prefill {
        model: body.model,
        prompt: body.prompt,
        class: body.class,
        build: body.build,
    };
    let (guard, outputs) = match submit(&context, job) {
        Ok(submitted) => submitted,
        Err(refusal) => return refused(refusal_reason(refusal)),
    };
    let output = outputs.recv().await;
    drop(guard);
    match output {
        Ok(JobOutput::Prefilled { handle }) => json_response(200, &PrefillResponse { handle }),
        _ => text_response(500, "the job was broken off\n"),
    }
}

async fn generate(context: Context, body: GenerateRequest) -> Response<Body> {
    if let Some(refusal) = refuse_overloaded(&context) {
        return refusal;
    }
    let mut imported = None;
    if let Some(kv) = &body.kv {
        imported = import(&context, kv).await;
        if imported.is_none() {
            return refused(REASON_NO_KV);
        }
    }
    let crashes = context.crash_on.as_deref();
    let crashes = crashes.is_some_and(|word| body.prompt.starts_with(word));
    let job = SubmittedJob::Generate {
        model: body.model,
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        from_token: body.from_token,
        imported,
        class: body.class,
        build: body.build,
    };
    let (guard, outputs) = match submit(&context, job) {
        Ok(submitted) => submitted,
        Err(refusal) => return refused(refusal_reason(refusal)),
    };
    if crashes {
        context.executor.spawn(crash_soon()).detach();
    }
    let (chunks, body) = bounded(64);
    let forward = forward(guard, outputs, chunks);
    context.executor.spawn(forward).detach();
    let mut response = Response::new(channel_body(body));
    set_header(&mut response, "content-type", "text/event-stream");
    response
}

async fn crash_soon() {
    Timer::after(CRASH_AFTER).await;
    std::process::exit(3);
}

async fn forward(guard: JobGuard, outputs: Receiver<JobOutput>, chunks: Sender<Bytes>) {
    while let Ok(output) = outputs.recv().await {
        let (message, ends) = match output {
            JobOutput::Token { index, text } => (GenerateEvent::Token { index, text }, false),
            JobOutput::Finished { total } => (GenerateEvent::End { total }, true),
            JobOutput::Prefilled { .. } => continue,
        };
        let line = serde_json::to_string(&message).unwrap_or_default();
        let sent = chunks.send(Bytes::from(encode_event(&line))).await;
        if sent.is_err() || ends {
            break;
        }
    }
    drop(guard);
}

/// Fetches a KV cache; gives the build that wrote it.
async fn import(context: &Context, kv: &KvLocation) -> Option<BuildId> {
    let path = format!("{}/{}", paths::KV, kv.handle);
    let request = client::get_request(&path);
    let answer = context.http.send(&kv.address, request, KV_PATIENCE).await;
    let export: KvExport = serde_json::from_slice(answer.ok()?.body()).ok()?;
    Some(export.build)
}

fn refusal_reason(refusal: JobRejection) -> &'static str {
    match refusal {
        JobRejection::Draining => "draining",
        JobRejection::WrongModel => "wrong_model",
        JobRejection::WrongRole => "wrong_role",
        JobRejection::WrongBuild => "wrong_build",
    }
}

fn refused(reason: &str) -> Response<Body> {
    let body = NotStarted {
        reason: reason.to_owned(),
    };
    let mut response = json_response(REJECTED_STATUS, &body);
    set_header(&mut response, STARTED_HEADER, NOT_STARTED);
    response
}

// ---- Orders ----

/// Takes an order. Its fence is on disk before the answer goes out.
async fn take_order(context: Context, order: EngineOrder) -> Response<Body> {
    let now = context.clock.now();
    let (answer, to_keep) = {
        let mut engine = context.engine.borrow_mut();
        if engine.directory.is_none() {
            return text_response(503, "another fence is being written\n");
        }
        let answer = engine.stand_in.order(&order, now);
        let fence = answer.status().highest_fence.unwrap_or_default();
        let to_keep = (fence > engine.kept.highest_fence).then(|| {
            engine.kept.highest_fence = fence;
            (engine.directory.take(), engine.kept)
        });
        (answer, to_keep)
    };
    log::info!(fence = order.fence.to_string().as_str(), role = order.assignment.role.as_str(); "order");
    if let Some((directory, kept)) = to_keep
        && let Err(error) = keep(&context, directory, kept).await
    {
        return text_response(500, format!("{error}\n"));
    }
    if context.engine.borrow().crash_in_order {
        std::process::exit(3);
    }
    let _pending = context.wake.try_send(());
    json_response(200, &answer)
}

async fn keep(context: &Context, directory: Option<DiskDirectory>, kept: Kept) -> io::Result<()> {
    let Some(mut directory) = directory else {
        return Err(io::Error::other("another fence is being written"));
    };
    let (directory, saved) = smol::unblock(move || {
        let saved = save_value(&mut directory, FENCE_FILE, &kept);
        (directory, saved)
    })
    .await;
    context.engine.borrow_mut().directory = Some(directory);
    saved.map_err(io::Error::other)
}

fn take_faults(context: &Context, faults: &Faults) -> Response<Body> {
    if faults.crash {
        std::process::exit(3);
    }
    if faults.freeze_ms > 0 {
        freeze(faults.freeze_ms);
    }
    let mut engine = context.engine.borrow_mut();
    engine.limit_per_s.clone_from(&faults.limit_per_s);
    engine.retry_after.clone_from(&faults.retry_after);
    engine.reports_draining = faults.reports_draining;
    engine.crash_in_order = faults.crash_in_order;
    engine.stand_in.set_slowness(faults.slow);
    if faults.refuse {
        engine.stand_in.drain();
    }
    text_response(200, "set\n")
}

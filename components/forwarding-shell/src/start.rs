//! Binds the ports and runs the supervisor tree of a forwarding gateway.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use garnet_control::GatewayRequest;
use garnet_forwarding::{Forwarder, ForwarderSettings, SharedRetryBudget, UsageMeter};
use garnet_routes::CallerLimits;
use garnet_runtime::server::{Limits, bind_metrics, with_type};
use garnet_runtime::{
    Body, ConnectionPool, HttpServer, PoolSettings, Shared, Shell, Timers, control_link, metrics,
    text_response,
};
use garnet_supervisor::ChildSpec;
use garnet_types::{EncodingVersion, GatewayId, Millis};
use hyper::Response;
use smol::channel::bounded;

use crate::connection_queue::ConnectionQueue;
use crate::gateway::{Gateway, connection_times};
use crate::metrics::GatewayMetrics;
use crate::permits::PermitDesk;
use crate::ports::{BackendPort, CallerPort};
use crate::request;
use crate::stopping::{StopTimes, give_notice};
use crate::unknown_names::UnknownNames;
use crate::watch::{self, Watch, WatchOwner};

/// Questions to the leader that wait for its connection: a watch with what goes with
/// it, and a permit for each request of a moment's crowd.
const QUEUED_REQUESTS: usize = 64;

/// Addresses of the control replicas; settings that change are noted here.
pub type Replicas = Shared<Vec<String>>;

/// Settings of a forwarding gateway.
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    /// Name of the process.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where readiness is asked for.
    pub ready_listen: SocketAddr,
    /// Where metrics are told, if anywhere.
    pub metrics_listen: Option<SocketAddr>,
    /// The control replicas.
    pub replicas: Replicas,
    /// Length of the windows over which usage is told; `None` counts none.
    pub usage_window: Option<Millis>,
    /// Repeats that all gateways together may send a service.
    pub budget: SharedRetryBudget,
    /// How a planned stop goes.
    pub stop: StopTimes,
}

/// What is plugged into the shell.
pub struct Ports<C, B> {
    /// Callers.
    pub callers: C,
    /// Back ends.
    pub backends: B,
}

/// Runs the gateway, and `more` children beside it, until a planned stop.
///
/// # Errors
/// When a port can't be bound, or a child failed too often.
pub fn run<C, B>(
    shell: &Shell,
    options: GatewayOptions,
    ports: Ports<C, B>,
    more: Vec<ChildSpec>,
) -> io::Result<()>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let times = Shared::new(connection_times(CallerLimits::default()));
    let server = smol::block_on(HttpServer::bind(options.listen, Limits::default()))?;
    let server = server.with_timeouts(times.clone());
    let ready_server = smol::block_on(HttpServer::bind(options.ready_listen, Limits::default()))?;
    let id = GatewayId::new(format!("{}.{:016x}", options.name, rand::random::<u64>()));
    let (requests_in, requests) = bounded::<GatewayRequest>(QUEUED_REQUESTS);
    let meter = |length| RefCell::new(UsageMeter::new(id.clone(), length));
    let gateway = Rc::new(Gateway {
        usage: options.usage_window.map(meter),
        callers: ports.callers,
        backends: ports.backends,
        forwarder: RefCell::new(Forwarder::new(ForwarderSettings {
            zone: options.zone.clone(),
            budget: options.budget,
            first_draw: rand::random(),
        })),
        pool: ConnectionPool::new(Rc::clone(&shell.executor), PoolSettings::default()),
        executor: Rc::clone(&shell.executor),
        clock: shell.clock,
        timers: Timers::new(shell.clock),
        started_at: shell.clock.now(),
        metrics: GatewayMetrics::new(),
        permits: PermitDesk::new(id.clone(), requests_in.clone()),
        connections: ConnectionQueue::default(),
        unknown_names: UnknownNames::default(),
        connection_times: times,
        routes_since: Cell::new(shell.clock.now()),
        gone_by: Cell::new(None),
        open_requests: Rc::default(),
    });
    log::info!(
        gateway = id.as_str(),
        zone = options.zone.as_str(),
        listen = options.listen.to_string().as_str(),
        protocol = EncodingVersion::CURRENT.0;
        "gateway_started"
    );
    let watch = Rc::new(Watch::new(
        Rc::clone(&gateway),
        id.clone(),
        options.replicas.clone(),
        requests_in,
        requests.clone(),
    ));
    let mut children = more;
    children.extend([
        control_link::child(WatchOwner(Rc::clone(&watch)), id, requests),
        watch::ticker(Rc::clone(&watch)),
    ]);
    if gateway.usage.is_some() {
        children.push(watch::usage_ticker(Rc::clone(&watch)));
    }
    if let Some(server) = options.metrics_listen.and_then(bind_metrics) {
        let gateway = Rc::clone(&gateway);
        children.push(shell.http_child(server, move |_| {
            let response = show_metrics(&gateway, &watch);
            async move { response }
        }));
    }
    let asked = Rc::clone(&gateway);
    children.push(shell.http_child(Rc::new(ready_server), move |request| {
        let response = show_readiness(&asked, request.uri().path());
        async move { response }
    }));
    let serving = Rc::clone(&gateway);
    children.push(shell.http_child(Rc::new(server), move |request| {
        request::handle(Rc::clone(&serving), request)
    }));
    shell.run(children, give_notice(gateway, options.stop))
}

fn show_readiness<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    path: &str,
) -> Response<Body> {
    if path != gateway.callers.ready_path() {
        return text_response(404, "unknown page\n");
    }
    if gateway.is_ready() {
        text_response(200, "ready\n")
    } else {
        text_response(503, "no route table yet, or stopping\n")
    }
}

fn show_metrics<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    watch: &Watch<C, B>,
) -> Response<Body> {
    let version = gateway.forwarder.borrow().routes_version();
    let open = gateway.open_requests.get();
    let limited = gateway.forwarder.borrow().limited_backends();
    gateway.metrics.set_limited(limited);
    let text = gateway
        .metrics
        .render(watch.age(), version.unwrap_or_default(), open);
    with_type(200, metrics::CONTENT_TYPE, text.into_bytes())
}

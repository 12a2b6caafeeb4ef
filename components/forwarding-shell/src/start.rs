//! Binds the ports and runs the supervisor tree of a forwarding gateway.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use garnet_control::GatewayRequest;
use garnet_forwarding::{
    Forwarder, ForwarderSettings, RelayDirectory, SharedRetryBudget, UsageMeter,
};
use garnet_routes::CallerLimits;
use garnet_runtime::server::{Limits, bind_metrics, with_type};
use garnet_runtime::{
    Body, ByteBudget, ConnectionPool, HttpServer, PoolSettings, Shared, Shell, Timers,
    control_link, metrics, report_link, text_response,
};
use garnet_supervisor::ChildSpec;
use garnet_types::{EncodingVersion, GatewayId, Millis};
use hyper::Response;
use smol::channel::bounded;

use crate::connection_queue::ConnectionQueue;
use crate::gateway::{Gateway, connection_timeouts};
use crate::metrics::GatewayMetrics;
use crate::permits::PermitClient;
use crate::ports::{BackendPort, CallerPort};
use crate::relay_report::RelayReports;
use crate::report_handler::ReportHandler;
use crate::stopping::{StopEnd, StopTimes, announce_stop};
use crate::stream_builds::StreamBuilds;
use crate::unknown_headers::UnknownHeaders;
use crate::unmarked_ends::UnmarkedEnds;
use crate::watch::{self, Watch, WatchHandler};
use crate::{path_probes, relay, request};

/// Maximum number of requests to the leader that are queued: a watch request, the
/// reports sent with it, and a permit request for each request of a short burst.
const QUEUED_REQUESTS: usize = 64;

/// Maximum size of the head of a relayed request: that of the caller, and what the peer adds.
const MAX_RELAYED_HEAD_BYTES: usize = 48 * 1024;

/// Addresses of the control replicas, replaced when the settings change.
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
    /// Address of the readiness page.
    pub ready_listen: SocketAddr,
    /// Where peer gateways hand over requests; `None` if this gateway takes none.
    pub relay_listen: Option<SocketAddr>,
    /// Address of the metrics page, if there is one.
    pub metrics_listen: Option<SocketAddr>,
    /// The control replicas.
    pub replicas: Replicas,
    /// Length of the windows over which usage is reported; `None` counts no usage.
    pub usage_window: Option<Millis>,
    /// Retry budget of a service, shared by all gateways.
    pub budget: SharedRetryBudget,
    /// Times of a planned stop.
    pub stop: StopTimes,
    /// When a SIGHUP last reloaded the settings.
    pub reloaded_at: Shared<Option<Millis>>,
    /// For the bytes that all requests of the process buffer.
    pub buffer_budget: ByteBudget,
}

/// The ports that are plugged into the shell.
pub struct Ports<C, B> {
    /// The port to callers.
    pub callers: C,
    /// The port to back ends.
    pub backends: B,
}

/// Runs the gateway, with `extra_children` in its supervisor tree, until a planned stop.
///
/// # Errors
/// When a port can't be bound, or a child failed too often.
pub fn run<C, B>(
    shell: &Shell,
    options: GatewayOptions,
    ports: Ports<C, B>,
    extra_children: Vec<ChildSpec>,
) -> io::Result<()>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let times = Shared::new(connection_timeouts(CallerLimits::default()));
    let server = smol::block_on(HttpServer::bind(options.listen, Limits::default()))?;
    let server = server.with_timeouts(times.clone());
    let ready_server = smol::block_on(HttpServer::bind(options.ready_listen, Limits::default()))?;
    let id = GatewayId::new(format!("{}.{:016x}", options.name, rand::random::<u64>()));
    let (requests_in, requests) = bounded::<GatewayRequest>(QUEUED_REQUESTS);
    let (path_failed, path_failures) = bounded(1);
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
        pool: ConnectionPool::new(Rc::clone(&shell.executor), PoolSettings::default())
            .with_budget(options.buffer_budget.clone()),
        budget: options.buffer_budget,
        executor: Rc::clone(&shell.executor),
        clock: shell.clock,
        timers: Timers::new(shell.clock),
        started_at: shell.clock.now(),
        metrics: GatewayMetrics::new(),
        permits: PermitClient::new(id.clone(), requests_in.clone()),
        connections: ConnectionQueue::default(),
        unknown_headers: UnknownHeaders::default(),
        unmarked_ends: UnmarkedEnds::default(),
        stop_end: StopEnd::default(),
        stream_builds: StreamBuilds::new(requests_in.clone()),
        connection_timeouts: times,
        routes_since: Cell::new(shell.clock.now()),
        reloaded_at: options.reloaded_at,
        stop_ends_at: Cell::new(None),
        open_requests: Rc::default(),
        relayed_requests: Rc::default(),
        path_failed,
        path_failures,
        relays: RefCell::new(RelayDirectory::new(options.zone.clone())),
    });
    let relay_server = options.relay_listen.and_then(bind_relay_server);
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
        RelayReports::new(
            id.clone(),
            options.zone.clone(),
            relay_server.as_ref().and(options.relay_listen),
        ),
        requests_in,
        requests.clone(),
    ));
    let report_handler = ReportHandler {
        gateway: Rc::clone(&gateway),
        watch: Rc::clone(&watch),
    };
    let mut children = extra_children;
    children.extend([
        control_link::child(WatchHandler(Rc::clone(&watch)), id.clone(), requests),
        report_link::child(report_handler, id),
        watch::ticker(Rc::clone(&watch)),
        path_probes::child(Rc::clone(&gateway)),
    ]);
    if let Some(server) = relay_server {
        let for_peers = Rc::clone(&gateway);
        children.push(shell.http_child(server, move |request| {
            relay::handle(Rc::clone(&for_peers), request)
        }));
    }
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
    let for_readiness = Rc::clone(&gateway);
    children.push(shell.http_child(Rc::new(ready_server), move |request| {
        let response = show_readiness(&for_readiness, request.uri().path());
        async move { response }
    }));
    let for_requests = Rc::clone(&gateway);
    children.push(shell.http_child(Rc::new(server), move |request| {
        request::handle(Rc::clone(&for_requests), request)
    }));
    shell.run(children, announce_stop(gateway, options.stop))
}

/// Binds the server for requests of peer gateways. If its port can't be bound, this is logged
/// and the gateway takes no such requests.
fn bind_relay_server(address: SocketAddr) -> Option<Rc<HttpServer>> {
    let limits = Limits {
        head_bytes: MAX_RELAYED_HEAD_BYTES,
        ..Limits::default()
    };
    match smol::block_on(HttpServer::bind(address, limits)) {
        Ok(server) => Some(Rc::new(server)),
        Err(error) => {
            log::warn!(cause = error.to_string().as_str(); "no_relay_server");
            None
        }
    }
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
    let unreached = gateway.forwarder.borrow().unreached_services();
    gateway.metrics.set_lost_paths(unreached.len());
    gateway.metrics.set_buffered(&gateway.budget);
    let text = gateway
        .metrics
        .render(watch.age(), version.unwrap_or_default(), open);
    with_type(200, metrics::CONTENT_TYPE, text.into_bytes())
}

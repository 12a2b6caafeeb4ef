//! Keeps the gateway's configuration up to date from the leader.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use garnet_control::{
    Configuration, ConfigurationPart, ControlReply, GatewayRequest, LimitUpdate, PartRequest,
    UsageReceipt, WatchUpdate, usage_interval,
};
use garnet_forwarding::Forwarder;
use garnet_runtime::control_link::ControlLinkHandler;
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use garnet_types::{EncodingVersion, GatewayId, Millis};
use smol::Timer;
use smol::channel::{Receiver, Sender};

use crate::gateway::{Gateway, connection_timeouts};
use crate::permits::{handle_permit_answer, send_limit_reports};
use crate::ports::{BackendPort, CallerPort};
use crate::relay_report::RelayReports;
use crate::start::Replicas;
use crate::stream_builds::on_builds;

/// The interval between watch requests is this times the number of gateways, within the
/// bounds below, since the leader answers all gateways. With eight gateways, an interval of
/// 32 ms serves more requests in time than 120 ms, and 24 ms hardly more.
const INTERVAL_PER_GATEWAY_MS: u64 = 4;
const MIN_INTERVAL_MS: u64 = 30;
const MAX_INTERVAL_MS: u64 = 250;
/// Number of watch requests between two sweeps of idle connections.
const WATCHES_PER_SWEEP: u32 = 6;

/// How often a gateway checks whether there is usage to report.
const USAGE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often the leader's time is requested while there is no usage to report.
const TIME_REQUEST_INTERVAL: Millis = Millis::from_secs(2);

/// A gateway's watch on the leader's configuration.
pub(crate) struct Watch<C, B> {
    gateway: Rc<Gateway<C, B>>,
    id: GatewayId,
    replicas: Replicas,
    /// Addresses of the control group, as last received from the leader.
    group: RefCell<Vec<String>>,
    /// Log index of that group membership.
    group_index: Cell<u64>,
    received_at: Cell<Millis>,
    requests: Sender<GatewayRequest>,
    usage_reported_at: Cell<Millis>,
    relay_reports: RelayReports,
    /// Receiving end of `requests`, used to discard those that were queued for a previous
    /// connection.
    pending_requests: Receiver<GatewayRequest>,
}

impl<C: CallerPort, B: BackendPort> Watch<C, B> {
    pub(crate) fn new(
        gateway: Rc<Gateway<C, B>>,
        id: GatewayId,
        replicas: Replicas,
        relay_reports: RelayReports,
        requests: Sender<GatewayRequest>,
        pending_requests: Receiver<GatewayRequest>,
    ) -> Self {
        Watch {
            received_at: Cell::new(gateway.started_at),
            gateway,
            id,
            replicas,
            group: RefCell::default(),
            group_index: Cell::new(u64::MAX),
            requests,
            usage_reported_at: Cell::new(Millis::ZERO),
            relay_reports,
            pending_requests,
        }
    }

    /// Addresses of the control group, then those in the settings.
    pub(crate) fn known_replicas(&self) -> Vec<String> {
        let mut known = self.group.borrow().clone();
        for address in self.replicas.current() {
            if !known.contains(&address) {
                known.push(address);
            }
        }
        known
    }

    /// Time since the leader's last answer.
    pub(crate) fn age(&self) -> Millis {
        self.gateway.now().since(self.received_at.get())
    }

    /// Time until the next watch request. A longer interval means older load reports of
    /// peer gateways; a shorter one means more requests for the leader to answer.
    fn interval(&self) -> Duration {
        let gateways = self.gateway.forwarder.borrow().gateways();
        let interval = gateways.saturating_mul(INTERVAL_PER_GATEWAY_MS);
        Duration::from_millis(interval.clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS))
    }

    fn request_update(&self) {
        let now = self.gateway.now();
        self.gateway.forwarder.borrow_mut().forget_unconfirmed(now);
        let report = self.gateway.forwarder.borrow_mut().report(now);
        let request = GatewayRequest::Watch {
            gateway: self.id.clone(),
            configuration_index: self.gateway.forwarder.borrow().configuration_index(),
            sent_at: now,
            group_index: self.group_index.get(),
            mix: Vec::new(),
            backlogs: report.backlogs,
            evidence: report.evidence,
            copies: report.copies,
        };
        // A lost request is repeated by the next watch.
        let _lost = self.requests.try_send(request);
        self.report_runs(now);
        send_limit_reports(&self.gateway);
        if let Some(report) = self.relay_reports.next(&self.gateway) {
            // A lost report is sent again.
            let _lost = self.requests.try_send(GatewayRequest::Relay(report));
        }
    }

    /// Reports to the leader the runs during which an engine crashed.
    fn report_runs(&self, now: Millis) {
        let report = self.gateway.forwarder.borrow_mut().run_report(now);
        if let Some(report) = report {
            // A lost report is sent again.
            let _lost = self.requests.try_send(GatewayRequest::Runs(report));
        }
        let report = self.gateway.forwarder.borrow_mut().prompt_report(now);
        if let Some(report) = report {
            // A lost report is sent again.
            let _lost = self.requests.try_send(GatewayRequest::PromptRuns(report));
        }
    }

    /// Reports usage if there is any; otherwise requests the leader's time at longer
    /// intervals.
    fn report_usage(&self) {
        let Some(usage) = &self.gateway.usage else {
            return;
        };
        let now = self.gateway.now();
        let elapsed = now.since(self.usage_reported_at.get());
        let mut usage = usage.borrow_mut();
        let min_interval = if usage.has_unlogged() {
            usage_interval(self.gateway.forwarder.borrow().gateways())
        } else {
            TIME_REQUEST_INTERVAL
        };
        if elapsed < min_interval {
            return;
        }
        self.usage_reported_at.set(now);
        // A lost report is sent again.
        let _lost = self
            .requests
            .try_send(GatewayRequest::Usage(usage.report()));
    }

    fn on_usage_receipt(&self, receipt: &UsageReceipt) {
        let Some(usage) = &self.gateway.usage else {
            return;
        };
        let lost = usage.borrow_mut().on_receipt(receipt, self.gateway.now());
        if lost > 0 {
            self.gateway.metrics.lost_usage(lost);
            log::warn!(requests = lost; "usage_lost");
        }
    }

    fn on_reply(&self, reply: ControlReply) {
        if let ControlReply::Usage(receipt) = &reply {
            self.on_usage_receipt(receipt);
            return;
        }
        if let ControlReply::RunsNoted { through } = reply {
            self.gateway.forwarder.borrow_mut().runs_confirmed(through);
            return;
        }
        let reply = match reply {
            ControlReply::Part(part) => return self.on_part(part),
            ControlReply::Limits(limit_update) => return self.take_limits(&limit_update),
            ControlReply::Permit(answer) => return handle_permit_answer(&self.gateway, &answer),
            ControlReply::Relays(list) => {
                let now = self.gateway.now();
                return self.gateway.relays.borrow_mut().take_list(list, now);
            }
            ControlReply::Builds(update) => return on_builds(&self.gateway, update),
            ControlReply::PromptRunsNoted { through } => {
                let mut forwarder = self.gateway.forwarder.borrow_mut();
                return forwarder.prompt_runs_confirmed(through);
            }
            ControlReply::PromptEvidence(evidence) => {
                let now = self.gateway.now();
                let mut forwarder = self.gateway.forwarder.borrow_mut();
                return forwarder.take_prompt_evidence(evidence, now);
            }
            ControlReply::StreamBuild { stream, build } => {
                let stream_builds = &self.gateway.stream_builds;
                return stream_builds.on_answer(stream, build.as_ref());
            }
            reply => reply,
        };
        let ControlReply::Watch {
            update,
            group,
            gateways,
            digest,
            copies,
            suspects,
            ..
        } = reply
        else {
            return;
        };
        self.received_at.set(self.gateway.now());
        self.gateway.stream_builds.on_watch_answer();
        self.gateway.permits.on_leader_answer(self.gateway.now());
        if let Some(group) = group {
            self.group_index.set(group.index);
            *self.group.borrow_mut() = group.addresses;
        }
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        let before = ActiveConfiguration::of(&forwarder);
        let part = match update {
            WatchUpdate::Parts { index } => forwarder.on_parts_offered(index, self.gateway.now()),
            update => {
                forwarder.update(update);
                None
            }
        };
        forwarder.set_gateways(gateways);
        forwarder.share_connections_among(gateways, self.gateway.now());
        if let Some(digest) = digest {
            forwarder.take_digest(&digest, self.gateway.now());
        }
        forwarder.take_copy_updates(&copies, self.gateway.now());
        if let Some(suspects) = suspects {
            forwarder.take_suspects(suspects);
        }
        drop(forwarder);
        self.request_part(part);
        self.on_configuration_change(before);
    }

    fn take_limits(&self, limit_update: &LimitUpdate) {
        let now = self.gateway.now();
        let unlimited = self
            .gateway
            .forwarder
            .borrow_mut()
            .take_limits(limit_update, now);
        for backend in unlimited {
            log::info!(backend = backend.as_str(); "limit_over");
        }
    }

    fn on_part(&self, part: Option<ConfigurationPart>) {
        // If a part is no longer available, a newer configuration is offered under another
        // index.
        let Some(part) = part else {
            return;
        };
        let now = self.gateway.now();
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        let before = ActiveConfiguration::of(&forwarder);
        let next = forwarder.take_configuration_part(part, now);
        let is_complete = ActiveConfiguration::of(&forwarder) != before;
        drop(forwarder);
        self.request_part(next);
        if is_complete {
            self.on_configuration_change(before);
            // Changes made since then come with the next answer.
            self.request_update();
        }
    }

    fn request_part(&self, part_request: Option<PartRequest>) {
        if let Some(part_request) = part_request {
            // If this request is lost, the parts are offered again.
            let _lost = self.requests.try_send(GatewayRequest::Part(part_request));
        }
    }

    fn on_last_known(&self, configuration: Arc<Configuration>) {
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        let before = ActiveConfiguration::of(&forwarder);
        forwarder.take_unconfirmed(configuration, self.gateway.now());
        drop(forwarder);
        self.on_configuration_change(before);
    }

    /// Applies and logs a configuration that differs from the one in force `before`.
    fn on_configuration_change(&self, before: ActiveConfiguration) {
        let forwarder = self.gateway.forwarder.borrow();
        let after = ActiveConfiguration::of(&forwarder);
        if before == after {
            return;
        }
        if before.routes_version != after.routes_version {
            self.gateway.routes_since.set(self.gateway.now());
        }
        let times = connection_timeouts(forwarder.limits());
        self.gateway.connection_timeouts.replace(times);
        let (open, known) = forwarder.open_backends(self.gateway.now());
        // Orders to engines raise the index often; hundreds of gateways should not each
        // log that at info level.
        let level = if before.differs_only_in_index(&after) {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(
            level,
            routes_version = after.routes_version.unwrap_or_default(),
            index = after.index,
            confirmed = after.is_confirmed,
            open_backends = open,
            known_backends = known,
            gateways = forwarder.gateways();
            "configuration_in_force"
        );
    }
}

/// Identifies the configuration that is in force at a gateway.
#[derive(PartialEq, Eq)]
struct ActiveConfiguration {
    routes_version: Option<u64>,
    index: u64,
    is_confirmed: bool,
    known_backends: usize,
}

impl ActiveConfiguration {
    /// Whether the two differ in nothing but the index.
    fn differs_only_in_index(&self, other: &Self) -> bool {
        let index = self.index;
        ActiveConfiguration { index, ..*other } == *self
    }

    fn of(forwarder: &Forwarder) -> Self {
        ActiveConfiguration {
            routes_version: forwarder.routes_version(),
            index: forwarder.configuration_index(),
            is_confirmed: forwarder.is_confirmed(),
            known_backends: forwarder.known_backends(),
        }
    }
}

/// Handles the events of the connection to the leader.
pub(crate) struct WatchHandler<C, B>(pub(crate) Rc<Watch<C, B>>);

impl<C, B> Clone for WatchHandler<C, B> {
    fn clone(&self) -> Self {
        WatchHandler(Rc::clone(&self.0))
    }
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> ControlLinkHandler for WatchHandler<C, B> {
    fn replicas(&self) -> Vec<String> {
        self.0.known_replicas()
    }

    fn on_connected(&self, version: EncodingVersion) {
        while self.0.pending_requests.try_recv().is_ok() {}
        self.0.relay_reports.on_connected();
        let mut forwarder = self.0.gateway.forwarder.borrow_mut();
        forwarder.connected(version, self.0.gateway.now());
        drop(forwarder);
        self.0.request_update();
        // The answers follow the builds of the engines, which come after the first update.
        self.0.gateway.stream_builds.on_connected(version);
    }

    fn on_reply(&self, reply: ControlReply) {
        self.0.on_reply(reply);
    }

    fn on_last_known(&self, configuration: Arc<Configuration>) {
        self.0.on_last_known(configuration);
    }
}

/// A child that sends watch requests to the leader at intervals.
pub(crate) fn ticker<C: CallerPort + 'static, B: BackendPort + 'static>(
    watch: Rc<Watch<C, B>>,
) -> ChildSpec {
    ChildSpec::new("watch", Restart::Permanent, move |stop: StopSignal| {
        let watch = Rc::clone(&watch);
        async move {
            let watching = async {
                let mut watches: u32 = 0;
                loop {
                    Timer::after(watch.interval()).await;
                    if let Some(suspended) = watch.gateway.timers.check_suspension() {
                        log::warn!(for_ms = suspended.as_millis() as u64; "was_suspended");
                    }
                    watch.request_update();
                    watches = watches.wrapping_add(1);
                    if watches.is_multiple_of(WATCHES_PER_SWEEP) {
                        watch.gateway.pool.close_expired();
                    }
                }
            };
            smol::future::or(watching, stop.stopped()).await;
            Ok::<(), ChildError>(())
        }
    })
}

/// A child that reports usage, for gateways that count it.
pub(crate) fn usage_ticker<C: CallerPort + 'static, B: BackendPort + 'static>(
    watch: Rc<Watch<C, B>>,
) -> ChildSpec {
    ChildSpec::new("usage", Restart::Permanent, move |stop: StopSignal| {
        let watch = Rc::clone(&watch);
        async move {
            let reporting = async {
                loop {
                    Timer::after(USAGE_CHECK_INTERVAL).await;
                    watch.report_usage();
                }
            };
            smol::future::or(reporting, stop.stopped()).await;
            Ok::<(), ChildError>(())
        }
    })
}

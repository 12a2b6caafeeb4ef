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

use crate::gateway::{Gateway, connection_times};
use crate::permits::{send_limit_reports, take_permit};
use crate::ports::{BackendPort, CallerPort};
use crate::start::Replicas;

/// How often the leader is asked: the more gateways there are, the less often
/// each one asks, within bounds. Measured with eight gateways: asking each 32 ms
/// serves more in time than each 120 ms, 24 ms hardly more.
const INTERVAL_PER_GATEWAY_MS: u64 = 4;
const SHORTEST_INTERVAL_MS: u64 = 30;
const LONGEST_INTERVAL_MS: u64 = 250;
/// How often idle connections are looked at, in watches.
const SWEEP_EVERY: u32 = 6;

/// How often a gateway looks whether there is usage to tell.
const USAGE_LOOK: Duration = Duration::from_millis(50);
/// How often the leader's time is asked for where there is nothing to tell.
const TIME_INTERVAL: Millis = Millis::from_secs(2);

/// The watch of one gateway.
pub(crate) struct Watch<C, B> {
    gateway: Rc<Gateway<C, B>>,
    id: GatewayId,
    replicas: Replicas,
    group: RefCell<Vec<String>>,
    group_index: Cell<u64>,
    heard_at: Cell<Millis>,
    requests: Sender<GatewayRequest>,
    usage_told_at: Cell<Millis>,
    /// Questions that were queued before a connection broke are stale.
    queued: Receiver<GatewayRequest>,
}

impl<C: CallerPort, B: BackendPort> Watch<C, B> {
    pub(crate) fn new(
        gateway: Rc<Gateway<C, B>>,
        id: GatewayId,
        replicas: Replicas,
        requests: Sender<GatewayRequest>,
        queued: Receiver<GatewayRequest>,
    ) -> Self {
        Watch {
            heard_at: Cell::new(gateway.started_at),
            gateway,
            id,
            replicas,
            group: RefCell::default(),
            group_index: Cell::new(u64::MAX),
            requests,
            usage_told_at: Cell::new(Millis::ZERO),
            queued,
        }
    }

    /// Time since the leader was heard.
    pub(crate) fn age(&self) -> Millis {
        self.gateway.now().since(self.heard_at.get())
    }

    /// Time until the leader is asked again. The work of the other gateways is
    /// the older the longer it is; the leader has all of them to answer.
    fn interval(&self) -> Duration {
        let gateways = self.gateway.forwarder.borrow().gateways();
        let interval = gateways.saturating_mul(INTERVAL_PER_GATEWAY_MS);
        Duration::from_millis(interval.clamp(SHORTEST_INTERVAL_MS, LONGEST_INTERVAL_MS))
    }

    fn ask(&self) {
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
        // What is lost is asked again.
        let _lost = self.requests.try_send(request);
        self.tell_runs(now);
        send_limit_reports(&self.gateway);
    }

    /// Tells the leader of runs that ended with their engine.
    fn tell_runs(&self, now: Millis) {
        let report = self.gateway.forwarder.borrow_mut().run_report(now);
        if let Some(report) = report {
            // What is lost is told again.
            let _lost = self.requests.try_send(GatewayRequest::Runs(report));
        }
    }

    /// Reports usage where there is any, and else asks for the time now and
    /// then.
    fn tell_usage(&self) {
        let Some(usage) = &self.gateway.usage else {
            return;
        };
        let now = self.gateway.now();
        let rested = now.since(self.usage_told_at.get());
        let mut usage = usage.borrow_mut();
        let rest = if usage.has_unlogged() {
            usage_interval(self.gateway.forwarder.borrow().gateways())
        } else {
            TIME_INTERVAL
        };
        if rested < rest {
            return;
        }
        self.usage_told_at.set(now);
        // What is lost is told again.
        let _lost = self
            .requests
            .try_send(GatewayRequest::Usage(usage.report()));
    }

    fn hear_receipt(&self, receipt: &UsageReceipt) {
        let Some(usage) = &self.gateway.usage else {
            return;
        };
        let lost = usage.borrow_mut().take(receipt, self.gateway.now());
        if lost > 0 {
            self.gateway.metrics.lost_usage(lost);
            log::warn!(requests = lost; "usage_lost");
        }
    }

    fn hear(&self, reply: ControlReply) {
        if let ControlReply::Usage(receipt) = &reply {
            self.hear_receipt(receipt);
            return;
        }
        if let ControlReply::RunsNoted { through } = reply {
            self.gateway.forwarder.borrow_mut().runs_confirmed(through);
            return;
        }
        let reply = match reply {
            ControlReply::Part(part) => return self.hear_part(part),
            ControlReply::Limits(told) => return self.take_limits(&told),
            ControlReply::Permit(answer) => return take_permit(&self.gateway, &answer),
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
        self.heard_at.set(self.gateway.now());
        self.gateway.permits.heard_leader(self.gateway.now());
        if let Some(group) = group {
            self.group_index.set(group.index);
            *self.group.borrow_mut() = group.addresses;
        }
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        let before = InForce::of(&forwarder);
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
        self.ask_for_part(part);
        self.note_change(before);
    }

    fn take_limits(&self, told: &LimitUpdate) {
        let now = self.gateway.now();
        let over = self.gateway.forwarder.borrow_mut().take_limits(told, now);
        for backend in over {
            log::info!(backend = backend.as_str(); "limit_over");
        }
    }

    fn hear_part(&self, part: Option<ConfigurationPart>) {
        // One that is not to be had any more is offered under another index.
        let Some(part) = part else {
            return;
        };
        let now = self.gateway.now();
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        let before = InForce::of(&forwarder);
        let next = forwarder.take_configuration_part(part, now);
        let is_whole = InForce::of(&forwarder) != before;
        drop(forwarder);
        self.ask_for_part(next);
        if is_whole {
            self.note_change(before);
            // What has changed since comes with the next answer.
            self.ask();
        }
    }

    fn ask_for_part(&self, place: Option<PartRequest>) {
        if let Some(place) = place {
            // What is lost is offered again.
            let _lost = self.requests.try_send(GatewayRequest::Part(place));
        }
    }

    fn hear_last_known(&self, configuration: Arc<Configuration>) {
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        let before = InForce::of(&forwarder);
        forwarder.take_unconfirmed(configuration, self.gateway.now());
        drop(forwarder);
        self.note_change(before);
    }

    /// What follows where another configuration is in force than `before`.
    fn note_change(&self, before: InForce) {
        let forwarder = self.gateway.forwarder.borrow();
        let after = InForce::of(&forwarder);
        if before == after {
            return;
        }
        if before.routes_version != after.routes_version {
            self.gateway.routes_since.set(self.gateway.now());
        }
        let times = connection_times(forwarder.limits());
        self.gateway.connection_times.replace(times);
        let (open, known) = forwarder.open_backends(self.gateway.now());
        // Orders to engines raise the index again and again; hundreds of
        // gateways need not tell that.
        let level = if before.is_alike(&after) {
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

/// Which configuration a gateway works by.
#[derive(PartialEq, Eq)]
struct InForce {
    routes_version: Option<u64>,
    index: u64,
    is_confirmed: bool,
    known_backends: usize,
}

impl InForce {
    /// Whether both differ in the index only.
    fn is_alike(&self, other: &Self) -> bool {
        let index = self.index;
        InForce { index, ..*other } == *self
    }

    fn of(forwarder: &Forwarder) -> Self {
        InForce {
            routes_version: forwarder.routes_version(),
            index: forwarder.configuration_index(),
            is_confirmed: forwarder.is_confirmed(),
            known_backends: forwarder.known_backends(),
        }
    }
}

/// The owner of the link to the leader.
pub(crate) struct WatchOwner<C, B>(pub(crate) Rc<Watch<C, B>>);

impl<C, B> Clone for WatchOwner<C, B> {
    fn clone(&self) -> Self {
        WatchOwner(Rc::clone(&self.0))
    }
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> ControlLinkHandler for WatchOwner<C, B> {
    fn replicas(&self) -> Vec<String> {
        let mut known = self.0.group.borrow().clone();
        for address in self.0.replicas.current() {
            if !known.contains(&address) {
                known.push(address);
            }
        }
        known
    }

    fn on_connected(&self, version: EncodingVersion) {
        while self.0.queued.try_recv().is_ok() {}
        let mut forwarder = self.0.gateway.forwarder.borrow_mut();
        forwarder.connected(version);
        drop(forwarder);
        self.0.ask();
    }

    fn on_reply(&self, reply: ControlReply) {
        self.0.hear(reply);
    }

    fn on_last_known(&self, configuration: Arc<Configuration>) {
        self.0.hear_last_known(configuration);
    }
}

/// A child that asks the leader again and again.
pub(crate) fn ticker<C: CallerPort + 'static, B: BackendPort + 'static>(
    watch: Rc<Watch<C, B>>,
) -> ChildSpec {
    ChildSpec::new("watch", Restart::Permanent, move |stop: StopSignal| {
        let watch = Rc::clone(&watch);
        async move {
            let asking = async {
                let mut round: u32 = 0;
                loop {
                    Timer::after(watch.interval()).await;
                    if let Some(suspended) = watch.gateway.timers.check_suspension() {
                        log::warn!(for_ms = suspended.as_millis() as u64; "was_suspended");
                    }
                    watch.ask();
                    round = round.wrapping_add(1);
                    if round.is_multiple_of(SWEEP_EVERY) {
                        watch.gateway.pool.close_expired();
                    }
                }
            };
            smol::future::or(asking, stop.stopped()).await;
            Ok::<(), ChildError>(())
        }
    })
}

/// A child that tells usage, where it is counted.
pub(crate) fn usage_ticker<C: CallerPort + 'static, B: BackendPort + 'static>(
    watch: Rc<Watch<C, B>>,
) -> ChildSpec {
    ChildSpec::new("usage", Restart::Permanent, move |stop: StopSignal| {
        let watch = Rc::clone(&watch);
        async move {
            let telling = async {
                loop {
                    Timer::after(USAGE_LOOK).await;
                    watch.tell_usage();
                }
            };
            smol::future::or(telling, stop.stopped()).await;
            Ok::<(), ChildError>(())
        }
    })
}

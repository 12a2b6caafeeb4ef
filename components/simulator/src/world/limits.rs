//! Back ends that name how many requests a second they take from all gateways
//! together, and what is sent to them.

use std::collections::BTreeMap;

use garnet_gateway::AttemptEvent;
use garnet_limits::RequestRate;
use garnet_types::Millis;
use rand::RngExt;

use crate::checker::Invariant;
use crate::message::Host;
use crate::service_hosts::JobOwner;

use super::World;

/// What is named, in requests a second.
const NAMED: [&str; 6] = ["0", "0.25", "1.1", "1.5", "4", "12.5"];
/// Time in which all gateways must know.
const CONTACT: Millis = Millis(3000);
/// A gateway must keep to the limit from so long after the answer that named it.
const TOLD_AFTER: Millis = Millis(500);
/// Requests are counted in windows of this length.
const WINDOW: Millis = Millis(4000);

/// A limit that a back end names.
#[derive(Debug)]
pub(super) struct NamedLimit {
    rate: RequestRate,
    until: Millis,
    /// When it was first named in an answer.
    first_named: Option<Millis>,
    /// When it first came in at each start of a gateway.
    told: BTreeMap<(usize, u64), Millis>,
    /// When requests were sent that count.
    sent: Vec<Millis>,
}

impl World {
    pub(super) fn begin_limit(&mut self, host: Host, until: Millis) {
        let named = NAMED[self.random.random_range(0..NAMED.len())];
        let limit = NamedLimit {
            rate: named.parse().expect("a rate"),
            until,
            first_named: None,
            told: BTreeMap::new(),
            sent: Vec::new(),
        };
        self.limits.insert(host, limit);
    }

    /// A back end that starts again has named nothing.
    pub(super) fn forget_limit(&mut self, host: Host) {
        self.limits.remove(&host);
    }

    fn limit_of(&mut self, host: Host) -> Option<&mut NamedLimit> {
        let now = self.now;
        self.limits.get_mut(&host).filter(|limit| now < limit.until)
    }

    /// A back end answers: the limit in the head comes first.
    pub(super) fn say_limit(&mut self, from: Host, owner: JobOwner) {
        let now = self.now;
        let rate = self.limit_of(from).map(|limit| {
            limit.first_named.get_or_insert(now);
            limit.rate
        });
        self.job_event(from, owner, AttemptEvent::Limit(rate));
    }

    /// Notes a limit that came in at a gateway.
    pub(super) fn note_limit_heard(&mut self, gateway: usize, from: Host) {
        let start = self.gateways[gateway].starts();
        let now = self.now;
        if let Some(limit) = self.limit_of(from) {
            limit.told.entry((gateway, start)).or_insert(now);
        }
    }

    /// A gateway sends a request to a back end.
    pub(super) fn note_sent(&mut self, gateway: usize, to: Host) {
        let start = self.gateways[gateway].starts();
        let now = self.now;
        let Some(limit) = self.limit_of(to) else {
            return;
        };
        let told = limit.told.get(&(gateway, start));
        let is_told = told.is_some_and(|told| now.since(*told) >= TOLD_AFTER);
        let first = limit.first_named;
        if !is_told || first.is_none_or(|first| now.since(first) < CONTACT) {
            return;
        }
        limit.sent.push(now);
        let in_window = limit.sent.iter().filter(|at| now.since(**at) < WINDOW);
        let count = in_window.count();
        let allowed = limit.rate.per_s() * 1.5 * WINDOW.as_secs_f64() + 5.0;
        let rate = limit.rate;
        let holds = count <= allowed.ceil() as usize;
        self.checker
            .check(Invariant::LimitsAreKept, holds, now, || {
                format!("{to:?} named {rate} a second and was sent {count} requests in 4 s")
            });
    }
}

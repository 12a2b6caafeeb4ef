//! Paths from this gateway to the back ends.

use garnet_quarantine::CRASH_THRESHOLD;
use garnet_routing::CircuitBreaker;
use garnet_types::{BackendId, Millis, ServiceId};

use crate::paths::{PathChange, PathId, PathPhase, SUSPICION_LIFETIME};
use crate::work::Work;

use super::Forwarder;

/// Fewer back ends may all have been crashed by one request, which looks like a lost path.
const MIN_MEMBERS_TO_WITHDRAW: usize = CRASH_THRESHOLD;

impl Forwarder {
    /// Whether this gateway reaches back ends that can do the work.
    pub fn has_path(&self, service: &ServiceId, work: &Work) -> bool {
        self.paths.is_empty() || !paths_for(service, work).any(|path| self.paths.is_lost(&path))
    }

    /// Whether it is open if a path to back ends that can do the work is lost.
    pub fn is_path_suspected(&self, service: &ServiceId, work: &Work) -> bool {
        let mut paths = paths_for(service, work);
        !self.paths.is_empty() && paths.any(|path| self.paths.is_path_suspected(&path))
    }

    /// Whether no connection to a back end has failed lately and no path is lost.
    pub fn paths_are_in_order(&self) -> bool {
        self.paths.is_empty()
    }

    /// Whether any path is suspected to be lost.
    pub fn has_suspected_path(&self) -> bool {
        self.paths.is_suspected()
    }

    /// Services to which a path is lost.
    pub fn unreached_services(&self) -> Vec<ServiceId> {
        let mut services: Vec<ServiceId> =
            self.paths.lost().map(|path| path.service.clone()).collect();
        services.dedup();
        services
    }

    /// Records that a connection to a back end failed; `may_be_crash` if a request was in flight
    /// on it.
    pub fn path_failed(
        &mut self,
        id: &BackendId,
        may_be_crash: bool,
        now: Millis,
    ) -> Vec<PathChange> {
        let mut changes = Vec::new();
        for path in self.paths_of(id) {
            let Some(change) = self.paths.on_failure(&path, id, may_be_crash, now) else {
                continue;
            };
            let members = self.members_of(&path, now);
            if members.len() >= MIN_MEMBERS_TO_WITHDRAW {
                let is_member = |id: &BackendId| members.contains(id);
                self.crash_log
                    .withdraw(is_member, now.since(SUSPICION_LIFETIME));
            }
            changes.push(change);
        }
        changes
    }

    /// Whether a path with enough back ends to tell it from crashes is lost to this one.
    pub(super) fn is_unreached(&self, id: &BackendId, now: Millis) -> bool {
        let is_unreached = |path: &PathId| {
            self.paths.is_lost(path) && self.members_of(path, now).len() >= MIN_MEMBERS_TO_WITHDRAW
        };
        !self.paths.is_empty() && self.paths_of(id).iter().any(is_unreached)
    }

    /// Records that a back end answered a request that was sent at `sent_at`. Back ends that
    /// failed while the path was lost get requests again at once.
    pub fn path_answered(
        &mut self,
        id: &BackendId,
        sent_at: Millis,
        now: Millis,
    ) -> Vec<PathChange> {
        if self.paths.is_empty() {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for path in self.paths_of(id) {
            let members = self.members_of(&path, now);
            let Some(change) = self.paths.on_answer(&path, id, &members, sent_at, now) else {
                continue;
            };
            for member in &members {
                if let Some(backend) = self.backends.get_mut(member) {
                    backend.breaker = CircuitBreaker::default();
                }
            }
            changes.push(change);
        }
        changes
    }

    /// The back ends to probe now.
    pub fn path_probes(&mut self, now: Millis) -> Vec<BackendId> {
        if self.paths.is_empty() {
            return Vec::new();
        }
        self.paths.forget_old(now);
        let mut probes = Vec::new();
        for path in self.paths.due(now) {
            let mut members = self.members_of(&path, now);
            members.retain(|member| self.may_probe(member, now));
            probes.extend(self.paths.begin_probes(&path, &members, now));
        }
        probes.sort();
        probes.dedup();
        probes
    }

    /// Whether a probe may be sent to a back end: like a request, it needs a connection and
    /// respects a backoff and a rate limit.
    fn may_probe(&self, id: &BackendId, now: Millis) -> bool {
        let backend = self.backends.get(id);
        let has_room =
            backend.is_some_and(|backend| backend.has_connection() && !backend.has_limit);
        has_room && self.is_available(id, now)
    }

    fn paths_of(&self, id: &BackendId) -> Vec<PathId> {
        let Some(backend) = self.backends.get(id) else {
            return Vec::new();
        };
        let path = |phase| PathId {
            service: backend.registration.service.clone(),
            phase,
        };
        PathPhase::of(backend.role).map(path).collect()
    }

    /// The back ends of a path that are in service.
    fn members_of(&self, path: &PathId, now: Millis) -> Vec<BackendId> {
        let of_service = self.backends_of(&path.service);
        let members = of_service.filter(|backend| {
            backend.is_in_service(now)
                && PathPhase::of(backend.role).any(|phase| phase == path.phase)
        });
        members
            .map(|backend| backend.registration.id.clone())
            .collect()
    }
}

/// The paths that the work needs.
fn paths_for<'a>(service: &'a ServiceId, work: &Work) -> impl Iterator<Item = PathId> + 'a {
    let phases: &[PathPhase] = match work.prompt {
        None => &[PathPhase::Application],
        Some(_) => &[PathPhase::Prefill, PathPhase::Decode],
    };
    phases.iter().map(|phase| PathId {
        service: service.clone(),
        phase: *phase,
    })
}

//! Whether this gateway has a path to the back ends of each service.
//!
//! Contract: a path is judged by several back ends, never by one. When connections to a few
//! of them have failed in succession, others are probed, and the path counts as lost only if
//! none of these answers either. A back end that fails alone, as the only one of a service
//! does, is left to its circuit breaker. A back end that answers ends a suspicion at once; a
//! lost path is used again when two back ends answer, so that it does not flap while it heals.
//!
//! The monitor decides and has no sockets: the shell sends the probes and reports how they
//! end.

use std::collections::{BTreeMap, BTreeSet};

use garnet_types::{BackendId, EngineRole, Millis, ServiceId};

/// Number of back ends that must fail in succession before others are probed.
const FAILURES_TO_SUSPECT: usize = 2;
/// Number of back ends that are probed at once for a suspected path.
const PROBES_OF_SUSPECTED: usize = 3;
/// Number of back ends that have to answer before a lost path is used again.
const CONTACTS_TO_REGAIN: usize = 2;
/// Time between two probes of a lost path.
const PROBE_INTERVAL: Millis = Millis(500);
/// Failures that are further apart than this do not count together.
const FAILURE_LIFETIME: Millis = Millis::from_secs(5);

/// After this time without an answer, a connection that ended with a request in flight is
/// verified by a probe of another back end.
const VERIFICATION_DELAY: Millis = Millis(100);
/// Longest time until the probes of a suspected path have ended: several connect timeouts.
pub(crate) const SUSPICION_LIFETIME: Millis = Millis::from_secs(2);

/// What a back end is needed for. Requests with a prompt need a path for both phases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PathPhase {
    /// A whole request, by an application.
    Application,
    /// The prefill of a prompt.
    Prefill,
    /// The decode of an answer.
    Decode,
}

impl PathPhase {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PathPhase::Application => "application",
            PathPhase::Prefill => "prefill",
            PathPhase::Decode => "decode",
        }
    }

    /// The phases that a back end serves; `role` is that of an engine.
    pub(crate) fn of(role: Option<EngineRole>) -> impl Iterator<Item = PathPhase> {
        let serves = move |phase: &PathPhase| match (role, phase) {
            (None, PathPhase::Application) => true,
            (Some(role), PathPhase::Prefill) => role.prefills(),
            (Some(role), PathPhase::Decode) => role.generates(),
            _ => false,
        };
        let all = [
            PathPhase::Application,
            PathPhase::Prefill,
            PathPhase::Decode,
        ];
        all.into_iter().filter(serves)
    }
}

/// The path to the back ends of a service that serve one phase.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PathId {
    /// The service.
    pub service: ServiceId,
    /// The phase.
    pub phase: PathPhase,
}

/// A change of a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PathChange {
    /// No back end is reached any more.
    Lost(PathId),
    /// Back ends answer again.
    Regained {
        /// The path.
        path: PathId,
        /// How long it was lost.
        lost_for: Millis,
    },
}

#[derive(Debug, Default)]
enum State {
    #[default]
    Reached,
    /// Several back ends failed in succession; these are probed.
    Suspected {
        since: Millis,
        probed: BTreeSet<BackendId>,
    },
    Lost {
        since: Millis,
        next_probe_at: Millis,
        /// Back ends that have answered since the last failure.
        answered: BTreeSet<BackendId>,
    },
}

#[derive(Debug, Default)]
struct Path {
    state: State,
    /// Back ends that failed, and when. An answer to a request that was sent later removes
    /// them.
    failed: BTreeMap<BackendId, Millis>,
    /// Since when it is open whether an engine crashed or the path is lost.
    unverified_since: Option<Millis>,
    /// Number of probes so far, by which they are spread over the back ends.
    probes: usize,
}

/// The paths that are not known to be in order.
#[derive(Debug, Default)]
pub(crate) struct PathMonitor {
    paths: BTreeMap<PathId, Path>,
}

impl PathMonitor {
    /// Whether no path has failed lately.
    pub(crate) fn is_empty(&self) -> bool {
        self.paths.is_empty()
    }

    pub(crate) fn is_lost(&self, id: &PathId) -> bool {
        let path = self.paths.get(id);
        path.is_some_and(|path| matches!(path.state, State::Lost { .. }))
    }

    /// Whether it is open if a back end has failed or a path to it is lost: no other back end
    /// of the path has answered since.
    pub(crate) fn is_undecided(&self, backend: &BackendId) -> bool {
        let is_undecided = |path: &Path| match &path.state {
            State::Reached => path.failed.contains_key(backend),
            State::Suspected { .. } => true,
            State::Lost { .. } => false,
        };
        self.paths.values().any(is_undecided)
    }

    /// Whether any path is suspected to be lost.
    pub(crate) fn is_suspected(&self) -> bool {
        let mut paths = self.paths.values();
        paths.any(|path| matches!(path.state, State::Suspected { .. }))
    }

    /// Whether this path is suspected to be lost.
    pub(crate) fn is_path_suspected(&self, id: &PathId) -> bool {
        let path = self.paths.get(id);
        path.is_some_and(|path| matches!(path.state, State::Suspected { .. }))
    }

    /// The lost paths.
    pub(crate) fn lost(&self) -> impl Iterator<Item = &PathId> {
        self.paths.keys().filter(|id| self.is_lost(id))
    }

    /// Records that a connection to a back end failed; `may_be_crash` if a request was in
    /// flight on it.
    pub(crate) fn on_failure(
        &mut self,
        id: &PathId,
        backend: &BackendId,
        may_be_crash: bool,
        now: Millis,
    ) -> Option<PathChange> {
        let path = self.paths.entry(id.clone()).or_default();
        path.failed
            .retain(|_, at| now.since(*at) <= FAILURE_LIFETIME);
        path.failed.insert(backend.clone(), now);
        if may_be_crash {
            path.unverified_since.get_or_insert(now);
        }
        match &mut path.state {
            State::Reached => {
                if path.failed.len() >= FAILURES_TO_SUSPECT {
                    path.state = State::Suspected {
                        since: now,
                        probed: BTreeSet::new(),
                    };
                }
                None
            }
            State::Suspected { probed, .. } => {
                let all_failed = !probed.is_empty()
                    && probed.iter().all(|probed| path.failed.contains_key(probed));
                if !all_failed {
                    return None;
                }
                path.state = State::Lost {
                    since: now,
                    next_probe_at: now + PROBE_INTERVAL,
                    answered: BTreeSet::new(),
                };
                Some(PathChange::Lost(id.clone()))
            }
            State::Lost { answered, .. } => {
                answered.clear();
                None
            }
        }
    }

    /// Records that a back end answered a request that was sent at `sent_at`, which tells
    /// nothing about what failed later. `members` are the back ends of the path that are in
    /// service.
    pub(crate) fn on_answer(
        &mut self,
        id: &PathId,
        backend: &BackendId,
        members: &[BackendId],
        sent_at: Millis,
        now: Millis,
    ) -> Option<PathChange> {
        let path = self.paths.get_mut(id)?;
        path.failed.retain(|_, at| *at > sent_at);
        match &mut path.state {
            State::Reached if !path.failed.is_empty() => None,
            State::Suspected { since, .. } if *since > sent_at => None,
            State::Lost { since, .. } if *since > sent_at => None,
            State::Reached | State::Suspected { .. } => {
                self.paths.remove(id);
                None
            }
            State::Lost {
                since,
                next_probe_at,
                answered,
            } => {
                answered.insert(backend.clone());
                if answered.len() < CONTACTS_TO_REGAIN.min(members.len()) {
                    *next_probe_at = now;
                    return None;
                }
                let lost_for = now.since(*since);
                self.paths.remove(id);
                Some(PathChange::Regained {
                    path: id.clone(),
                    lost_for,
                })
            }
        }
    }

    /// The paths for which probes are due.
    pub(crate) fn due(&self, now: Millis) -> Vec<PathId> {
        let is_due = |path: &Path| match &path.state {
            State::Reached => {
                let is_due = |since| now.since(since) >= VERIFICATION_DELAY;
                path.unverified_since.is_some_and(is_due)
            }
            State::Suspected { probed, .. } => probed.is_empty(),
            State::Lost { next_probe_at, .. } => now >= *next_probe_at,
        };
        let due = self.paths.iter().filter(|(_, path)| is_due(path));
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Begins the probes that are due for a path, and returns the back ends to probe. A path
    /// without back ends is not lost.
    pub(crate) fn begin_probes(
        &mut self,
        id: &PathId,
        members: &[BackendId],
        now: Millis,
    ) -> Vec<BackendId> {
        if members.is_empty() {
            self.paths.remove(id);
            return Vec::new();
        }
        let Some(path) = self.paths.get_mut(id) else {
            return Vec::new();
        };
        let first = path.probes % members.len();
        path.probes += 1;
        let in_turn = members[first..].iter().chain(&members[..first]);
        match &mut path.state {
            State::Reached => {
                path.unverified_since = None;
                let mut others = in_turn.filter(|backend| !path.failed.contains_key(*backend));
                others.next().cloned().into_iter().collect()
            }
            State::Suspected { probed, .. } => {
                let is_untried = |backend: &&BackendId| !path.failed.contains_key(*backend);
                let (untried, failed): (Vec<_>, Vec<_>) = in_turn.partition(is_untried);
                let chosen = untried.into_iter().chain(failed).take(PROBES_OF_SUSPECTED);
                let chosen: Vec<BackendId> = chosen.cloned().collect();
                // Only the outcome of the probes counts from here on.
                path.failed.clear();
                *probed = chosen.iter().cloned().collect();
                chosen
            }
            State::Lost {
                next_probe_at,
                answered,
                ..
            } => {
                *next_probe_at = now + PROBE_INTERVAL;
                let mut in_turn = in_turn.filter(|backend| !answered.contains(*backend));
                in_turn.next().cloned().into_iter().collect()
            }
        }
    }

    /// Forgets old failures and suspicions. The probes of a suspicion may have no outcome if a
    /// back end leaves meanwhile.
    pub(crate) fn forget_old(&mut self, now: Millis) {
        let is_recent = |at: &Millis| now.since(*at) <= FAILURE_LIFETIME;
        self.paths.retain(|_, path| match &path.state {
            State::Reached => path.failed.values().any(is_recent),
            State::Suspected { since, .. } => now.since(*since) <= SUSPICION_LIFETIME,
            State::Lost { .. } => true,
        });
    }
}

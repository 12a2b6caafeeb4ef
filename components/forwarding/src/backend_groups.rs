//! The back ends that are known: their positions, and who does the same work.
//!
//! Contract: made anew when back ends come or go, and kept while they only change,
//! so that hearing of some of them costs nothing for the others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use garnet_control::MembersHash;
use garnet_types::{BackendId, EngineRole, Millis, ServiceId};

use crate::backends::Backend;
use crate::peer_load::GroupLoad;

/// Names back ends that do the same work.
pub(crate) type GroupKey = (ServiceId, Option<EngineRole>);

/// Whom a back end is like.
pub(crate) fn group_key(backend: &Backend) -> GroupKey {
    (backend.registration.service.clone(), backend.role)
}

/// Back ends that do the same work.
#[derive(Debug, Default)]
pub(crate) struct BackendGroup {
    /// What is believed of all of them.
    pub(crate) estimate: Rc<RefCell<GroupLoad>>,
    /// How many there are.
    pub(crate) count: usize,
    /// How long they keep what nobody uses, where that is known.
    pub(crate) cache_lifetime: Rc<Cell<Option<Millis>>>,
}

/// All back ends by their position and by the work that they do.
#[derive(Debug, Default)]
pub(crate) struct BackendGroups {
    positions: Vec<BackendId>,
    members: MembersHash,
    groups: BTreeMap<GroupKey, BackendGroup>,
}

impl BackendGroups {
    /// Follows a change of who is known. What was believed of back ends that do
    /// the same work is kept.
    pub(crate) fn update_members(&mut self, backends: &mut BTreeMap<BackendId, Backend>) {
        self.positions = backends.keys().cloned().collect();
        self.members = MembersHash::of(backends.keys());
        for group in self.groups.values_mut() {
            group.count = 0;
        }
        for backend in backends.values_mut() {
            self.join(backend);
        }
        self.groups.retain(|_, group| group.count > 0);
    }

    /// Follows a back end that does another work than it `did`.
    pub(crate) fn update_group(&mut self, old_key: &GroupKey, backend: &mut Backend) {
        if *old_key == group_key(backend) {
            return;
        }
        if let Some(group) = self.groups.get_mut(old_key) {
            group.count = group.count.saturating_sub(1);
        }
        self.join(backend);
    }

    fn join(&mut self, backend: &mut Backend) {
        let group = self.groups.entry(group_key(backend)).or_default();
        group.count += 1;
        backend.load.peers_mut().join(&group.estimate);
    }

    /// Names all back ends in their order.
    pub(crate) fn members(&self) -> MembersHash {
        self.members
    }

    /// The back end at a position in the order of all.
    pub(crate) fn id_at(&self, position: usize) -> Option<&BackendId> {
        self.positions.get(position)
    }

    /// How long the like of a back end keep what nobody uses: one value for all.
    pub(crate) fn cache_lifetime(&self, backend: &Backend) -> Rc<Cell<Option<Millis>>> {
        let group = self.groups.get(&group_key(backend));
        group.map_or_else(Rc::default, |group| Rc::clone(&group.cache_lifetime))
    }

    /// All kinds of work.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&GroupKey, &BackendGroup)> {
        self.groups.iter()
    }
}

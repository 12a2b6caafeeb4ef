//! The known back ends by position, and by group: a group holds the back ends of one
//! service and role.
//!
//! Contract: rebuilt when back ends are added or removed, and kept when they only change,
//! so that an update of some back ends costs nothing for the others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use garnet_control::BackendListHash;
use garnet_types::{BackendId, EngineRole, Millis, ServiceId};

use crate::backends::Backend;
use crate::peer_load::GroupLoad;

/// Key of a group: the service, and the role of an engine.
pub(crate) type GroupKey = (ServiceId, Option<EngineRole>);

/// Returns the key of the group of a back end.
pub(crate) fn group_key(backend: &Backend) -> GroupKey {
    (backend.registration.service.clone(), backend.role)
}

/// The back ends of one service and role.
#[derive(Debug, Default)]
pub(crate) struct BackendGroup {
    /// Load estimate that all members share.
    pub(crate) estimate: Rc<RefCell<GroupLoad>>,
    /// Number of members.
    pub(crate) count: usize,
    /// How long members keep an unused prefix, if known.
    pub(crate) cache_lifetime: Rc<Cell<Option<Millis>>>,
}

/// All back ends by position and by group.
#[derive(Debug, Default)]
pub(crate) struct BackendGroups {
    positions: Vec<BackendId>,
    members: BackendListHash,
    groups: BTreeMap<GroupKey, BackendGroup>,
}

impl BackendGroups {
    /// Rebuilds positions and groups after back ends were added or removed. The load
    /// estimate of a group that still has members is kept.
    pub(crate) fn update_members(&mut self, backends: &mut BTreeMap<BackendId, Backend>) {
        self.positions = backends.keys().cloned().collect();
        self.members = BackendListHash::of(backends.keys());
        for group in self.groups.values_mut() {
            group.count = 0;
        }
        for backend in backends.values_mut() {
            self.join(backend);
        }
        self.groups.retain(|_, group| group.count > 0);
    }

    /// Moves a back end from the group with `old_key` to its current group.
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

    /// Hash over the ids of all back ends in their order.
    pub(crate) fn members(&self) -> BackendListHash {
        self.members
    }

    /// The back end at a position in the order of all.
    pub(crate) fn id_at(&self, position: usize) -> Option<&BackendId> {
        self.positions.get(position)
    }

    /// How long engines of the group keep an unused prefix: one cell that all members
    /// share.
    pub(crate) fn cache_lifetime(&self, backend: &Backend) -> Rc<Cell<Option<Millis>>> {
        let group = self.groups.get(&group_key(backend));
        group.map_or_else(Rc::default, |group| Rc::clone(&group.cache_lifetime))
    }

    /// All groups with their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&GroupKey, &BackendGroup)> {
        self.groups.iter()
    }
}

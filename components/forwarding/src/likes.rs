//! The back ends that are known: their places, and who does the same work.
//!
//! Contract: made anew when back ends come or go, and kept while they only change,
//! so that hearing of some of them costs nothing for the others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use garnet_control::MembersHash;
use garnet_types::{BackendId, EngineRole, Millis, ServiceId};

use crate::backends::Backend;
use crate::others::AlikeBelief;

/// Names back ends that do the same work.
pub(crate) type Likes = (ServiceId, Option<EngineRole>);

/// Whom a back end is like.
pub(crate) fn likes(backend: &Backend) -> Likes {
    (backend.registration.service.clone(), backend.role)
}

/// Back ends that do the same work.
#[derive(Debug, Default)]
pub(crate) struct Alike {
    /// What is believed of all of them.
    pub(crate) belief: Rc<RefCell<AlikeBelief>>,
    /// How many there are.
    pub(crate) count: usize,
    /// How long they keep what nobody uses, where that is known.
    pub(crate) cache_lifetime: Rc<Cell<Option<Millis>>>,
}

/// All back ends by their place and by the work that they do.
#[derive(Debug, Default)]
pub(crate) struct KnownLikes {
    places: Vec<BackendId>,
    members: MembersHash,
    alike: BTreeMap<Likes, Alike>,
}

impl KnownLikes {
    /// Follows a change of who is known. What was believed of back ends that do
    /// the same work is kept.
    pub(crate) fn follow_members(&mut self, backends: &mut BTreeMap<BackendId, Backend>) {
        self.places = backends.keys().cloned().collect();
        self.members = MembersHash::of(backends.keys());
        for alike in self.alike.values_mut() {
            alike.count = 0;
        }
        for backend in backends.values_mut() {
            self.join(backend);
        }
        self.alike.retain(|_, alike| alike.count > 0);
    }

    /// Follows a back end that does another work than it `did`.
    pub(crate) fn follow_change(&mut self, did: &Likes, backend: &mut Backend) {
        if *did == likes(backend) {
            return;
        }
        if let Some(alike) = self.alike.get_mut(did) {
            alike.count = alike.count.saturating_sub(1);
        }
        self.join(backend);
    }

    fn join(&mut self, backend: &mut Backend) {
        let alike = self.alike.entry(likes(backend)).or_default();
        alike.count += 1;
        backend.load.peers_mut().join(&alike.belief);
    }

    /// Names all back ends in their order.
    pub(crate) fn members(&self) -> MembersHash {
        self.members
    }

    /// The back end at a place in the order of all.
    pub(crate) fn id_at(&self, place: usize) -> Option<&BackendId> {
        self.places.get(place)
    }

    /// How long the like of a back end keep what nobody uses: one value for all.
    pub(crate) fn cache_lifetime(&self, backend: &Backend) -> Rc<Cell<Option<Millis>>> {
        let alike = self.alike.get(&likes(backend));
        alike.map_or_else(Rc::default, |alike| Rc::clone(&alike.cache_lifetime))
    }

    /// All kinds of work.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Likes, &Alike)> {
        self.alike.iter()
    }
}

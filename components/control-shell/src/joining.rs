//! A replica that is not in the group, or was taken out of it, asks to join.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use garnet_consensus::Membership;
use garnet_control::JoinRequest;
use garnet_runtime::Shared;
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use garnet_types::ReplicaId;
use smol::Timer;

use crate::connections::Connections;

/// How often the wish is repeated.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Addresses of one replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberAddress {
    /// For peers and gateways.
    pub peer: String,
    /// For operators.
    pub admin: String,
}

/// Where members of the group may be found. Settings that change are noted
/// here while the replica runs.
pub type GroupAddresses = Shared<Vec<MemberAddress>>;

/// What the replica task tells of its place in the group.
#[derive(Debug, Clone, Default)]
pub(crate) struct Standing {
    /// Peer addresses of the members that it knows.
    pub(crate) peers: BTreeSet<String>,
    /// Whether it is a member and hears a leader.
    pub(crate) belongs: bool,
}

impl Standing {
    pub(crate) fn of(membership: &Membership, own: ReplicaId, hears_leader: bool) -> Self {
        let peers = membership.members.values();
        Standing {
            peers: peers.map(|member| member.peer_address.clone()).collect(),
            belongs: membership.members.contains_key(&own) && hears_leader,
        }
    }
}

/// A child that asks to join whenever the replica does not belong.
pub(crate) fn child(
    request: JoinRequest,
    addresses: GroupAddresses,
    standing: Rc<RefCell<Standing>>,
    connections: Connections,
) -> ChildSpec {
    ChildSpec::new("joining", Restart::Permanent, move |stop: StopSignal| {
        let request = request.clone();
        let addresses = addresses.clone();
        let standing = Rc::clone(&standing);
        let connections = connections.clone();
        async move {
            let asking = async {
                loop {
                    Timer::after(ASK_INTERVAL).await;
                    if !standing.borrow().belongs {
                        ask(&request, &addresses, &standing, &connections);
                    }
                }
            };
            smol::future::or(asking, stop.stopped()).await;
            Ok::<(), ChildError>(())
        }
    })
}

fn ask(
    request: &JoinRequest,
    addresses: &GroupAddresses,
    standing: &RefCell<Standing>,
    connections: &Connections,
) {
    let mut targets = standing.borrow().peers.clone();
    targets.extend(addresses.current().into_iter().map(|member| member.peer));
    targets.remove(&request.peer_address);
    for target in targets {
        connections.send_join(&target, request.clone());
    }
}

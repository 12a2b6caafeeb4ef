//! Requests to join, sent by a replica that is not a member of the group or was removed
//! from it.

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

/// How often the request to join is sent.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// The addresses of one replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberAddress {
    /// Address for peers and gateways.
    pub peer: String,
    /// Address for operators.
    pub admin: String,
}

/// Addresses at which members of the group may be reached. They are updated when the
/// settings change while the replica runs.
pub type GroupAddresses = Shared<Vec<MemberAddress>>;

/// The replica's membership in the group, as published by the replica task.
#[derive(Debug, Clone, Default)]
pub(crate) struct MembershipStatus {
    /// Peer addresses of the members in the replica's view of the group.
    pub(crate) peers: BTreeSet<String>,
    /// Whether the replica is a member and has a leader.
    pub(crate) is_settled: bool,
}

impl MembershipStatus {
    pub(crate) fn of(membership: &Membership, own: ReplicaId, has_leader: bool) -> Self {
        let peers = membership.members.values();
        MembershipStatus {
            peers: peers.map(|member| member.peer_address.clone()).collect(),
            is_settled: membership.members.contains_key(&own) && has_leader,
        }
    }
}

/// A child that sends requests to join while the replica is not a member or
/// has no leader.
pub(crate) fn child(
    request: JoinRequest,
    addresses: GroupAddresses,
    status: Rc<RefCell<MembershipStatus>>,
    connections: Connections,
) -> ChildSpec {
    ChildSpec::new("joining", Restart::Permanent, move |stop: StopSignal| {
        let request = request.clone();
        let addresses = addresses.clone();
        let status = Rc::clone(&status);
        let connections = connections.clone();
        async move {
            let requesting = async {
                loop {
                    Timer::after(JOIN_INTERVAL).await;
                    if !status.borrow().is_settled {
                        send_requests(&request, &addresses, &status, &connections);
                    }
                }
            };
            smol::future::or(requesting, stop.stopped()).await;
            Ok::<(), ChildError>(())
        }
    })
}

fn send_requests(
    request: &JoinRequest,
    addresses: &GroupAddresses,
    status: &RefCell<MembershipStatus>,
    connections: &Connections,
) {
    let mut targets = status.borrow().peers.clone();
    targets.extend(addresses.current().into_iter().map(|member| member.peer));
    targets.remove(&request.peer_address);
    for target in targets {
        connections.send_join(&target, request.clone());
    }
}

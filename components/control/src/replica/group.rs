//! Carries out the steps on the group's members that [`next_step`] decides.

use std::collections::BTreeMap;

use garnet_consensus::Node;
use garnet_types::Millis;

use super::Replica;
use crate::effects::Effect;
use crate::group_step::{GroupStep, MemberStatus, next_step};
use crate::messages::JoinRequest;

/// How long a request to join counts. A replica repeats its request more often than this.
const JOIN_REQUEST_LIFETIME: Millis = Millis(2000);

/// Recent requests to join; the latest one of each address counts.
#[derive(Debug, Default)]
pub(super) struct JoinRequests {
    by_address: BTreeMap<String, (JoinRequest, Millis)>,
}

impl JoinRequests {
    fn insert_request(&mut self, request: JoinRequest, now: Millis) {
        let address = request.peer_address.clone();
        self.by_address.insert(address, (request, now));
    }

    fn recent(&mut self, now: Millis) -> Vec<JoinRequest> {
        self.by_address
            .retain(|_, (_, received_at)| now.since(*received_at) <= JOIN_REQUEST_LIFETIME);
        let requests = self.by_address.values();
        requests.map(|(request, _)| request.clone()).collect()
    }

    pub(super) fn clear(&mut self) {
        self.by_address.clear();
    }
}

impl Replica {
    /// Records the request of a replica to join, or forwards it to the leader.
    pub(super) fn handle_join(&mut self, request: JoinRequest) {
        if self.node.is_leader() {
            self.join_requests.insert_request(request, self.now);
            return;
        }
        let own = self.node.id();
        if let Some(leader) = self.leader()
            && request.id != own
        {
            let address = leader.peer_address.clone();
            self.effects.push(Effect::ForwardJoin { address, request });
        }
    }

    /// Takes the next step of the group's repair, if one is due. The caller checks that
    /// this leader holds its lease. A step that can't be taken now is tried again later.
    pub(super) fn repair_group(&mut self) {
        let Some(settings) = self.settings.group else {
            return;
        };
        let join_requests = self.join_requests.recent(self.now);
        let members = member_statuses(&self.node);
        let Some(step) = next_step(&members, &join_requests, settings) else {
            return;
        };
        let proposed = match &step {
            GroupStep::Admit(joining) => self.node.add_learner(
                joining.id,
                joining.peer_address.clone(),
                joining.admin_address.clone(),
            ),
            GroupStep::Promote(id) => self.node.promote(*id),
            GroupStep::Remove(id) => self.node.remove_member(*id),
        };
        if proposed.is_ok() {
            self.effects.push(Effect::GroupChanged { step });
        }
    }
}

fn member_statuses(node: &Node) -> Vec<MemberStatus> {
    let members = &node.membership().members;
    members
        .iter()
        .map(|(id, member)| MemberStatus {
            id: *id,
            peer_address: member.peer_address.clone(),
            voter: member.voter,
            is_leader: *id == node.id(),
            silent_for: node.silent_for(*id),
            caught_up: node.is_caught_up(*id),
        })
        .collect()
}

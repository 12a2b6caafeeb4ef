//! Gaining and losing the leadership.

use crate::balancing::Balancing;
use crate::effects::Effect;
use crate::fleet_sizing::FleetSizing;
use crate::gateways::GatewayLeases;
use crate::operator::OperatorAnswer;
use crate::planning::Planning;
use crate::reconciler::Reconciler;
use crate::watch::SentUpdates;

use super::limiting::Limiting;
use super::{DutyState, Replica, Requester};

impl Replica {
    pub(super) fn update_leadership(&mut self) {
        let leads = self.node.is_leader().then(|| self.node.status().term);
        if leads == self.led_term {
            return;
        }
        if let Some(term) = self.led_term {
            self.abandon_pending();
            self.effects.push(Effect::LostLeadership { term });
        }
        self.limiting = Limiting::default();
        self.versions.begin_term();
        self.quarantining.on_leadership_change();
        if let Some(term) = leads {
            self.gateways = GatewayLeases::at_start_of_term(self.now);
            let backends = self.state.configuration.backends.values();
            self.reconciler = Reconciler::new(self.settings.engine_polling, backends);
            self.join_requests.clear();
            self.fleet_load.clear();
            self.copies.clear();
            self.relays.clear();
            self.builds.clear();
            self.planning = self.settings.planner.map(Planning::new);
            self.balancing = self.settings.balance.map(Balancing::new);
            self.missing_since.clear();
            self.machines_proposed_index = 0;
            self.sent_updates = SentUpdates::default();
            self.duty_state = DutyState::at_start_of_term(self.now);
            self.sizing = FleetSizing::default();
            self.effects.push(Effect::BecameLeader { term });
        }
        self.led_term = leads;
    }

    pub(super) fn abandon_pending(&mut self) {
        for (_, pending) in std::mem::take(&mut self.pending) {
            self.answer_unconfirmed(pending.requester);
        }
        for removal in std::mem::take(&mut self.removals) {
            self.answer_operator(removal.ticket, OperatorAnswer::Unconfirmed);
        }
        for waiter in std::mem::take(&mut self.waiters) {
            self.answer_operator(waiter.ticket, OperatorAnswer::Unconfirmed);
        }
    }

    pub(super) fn answer_unconfirmed(&mut self, requester: Requester) {
        match requester {
            Requester::Operator { ticket, .. } => {
                self.answer_operator(ticket, OperatorAnswer::Unconfirmed);
            }
            Requester::Gateway { connection, .. } => self.reply_not_leader(connection),
            Requester::Leader => {}
        }
    }
}

//! Messages between hosts.

use garnet_types::Millis;

use crate::callers::Callers;
use crate::message::{Host, Message};

use super::{World, WorldEvent};

impl World {
    pub(super) fn send(&mut self, from: Host, to: Host, message: Message) {
        let times = if message.may_be_lost() {
            self.network
                .deliveries(&mut self.random, from, to, self.now)
        } else {
            vec![self.network.in_order(&mut self.random, from, to, self.now)]
        };
        for at in times {
            self.send_at(at, from, to, message.clone());
        }
    }

    pub(super) fn send_at(&mut self, at: Millis, from: Host, to: Host, message: Message) {
        let start = match to {
            Host::Gateway(place) => Some(self.gateways[place].starts()),
            _ => None,
        };
        let message = Box::new(message);
        self.schedule(
            at,
            WorldEvent::Deliver {
                from,
                to,
                start,
                message,
            },
        );
    }

    pub(super) fn deliver(&mut self, from: Host, to: Host, start: Option<u64>, message: Message) {
        match to {
            Host::Control(place) => self.deliver_control(place, from, message),
            Host::Gateway(place) => {
                if start == Some(self.gateways[place].starts()) {
                    self.deliver_gateway(place, from, message);
                }
            }
            Host::Engine(place) => self.deliver_engine(place, from, message),
            Host::Application(place) => self.deliver_application(place, from, message),
            Host::Platform => {
                if let Host::Control(_) = from {
                    let machines = if self.wrong_list > 0 {
                        Vec::new()
                    } else {
                        self.platform.machines(self.now)
                    };
                    self.send(Host::Platform, from, Message::Machines(machines));
                }
            }
            Host::Callers => self.deliver_callers(message),
            Host::Operator(_) => {
                if let (Message::ToOperator(number, answer), Callers::Checking(workload)) =
                    (message, &mut self.callers)
                {
                    self.operators
                        .answer(&mut self.checker, workload, number, answer, self.now);
                }
            }
        }
    }
}

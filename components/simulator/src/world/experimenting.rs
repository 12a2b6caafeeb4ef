//! What an experiment does from outside: sessions, the policy, and the roles
//! under strategies other than the planner's.

use garnet_control::{Command, CommandEnvelope, Event as ControlEvent, OperatorRequest, Session};
use garnet_planner::Mix;
use garnet_types::{BackendId, Millis, ModelId, ServiceId};

use crate::callers::Callers;
use crate::mix::{REACTIVE_WINDOW, SESSIONS_OF_A_KIND};
use crate::service_hosts::{ENGINE_SERVICE, MODEL};

use super::{World, WorldEvent, place_of};

/// Pause before the set-up is tried again, while there is no leader.
const SET_UP_PAUSE: Millis = Millis(200);

impl World {
    /// Creates the sessions and the policy that the deployment's callers need.
    pub(super) fn set_up_experiment(&mut self) {
        let Some(leader) = self.leader() else {
            self.schedule(self.now + SET_UP_PAUSE, WorldEvent::NextCommand);
            return;
        };
        let Some(experiment) = self.scenario.experiment.clone() else {
            return;
        };
        let deployment = experiment.deployment;
        self.command(
            leader,
            Command::PutPolicy {
                name: deployment.name.to_owned(),
                document: deployment.policy.clone(),
            },
        );
        for kind in deployment.kinds() {
            for number in 0..SESSIONS_OF_A_KIND {
                let session = Session {
                    id: kind.session_id(number),
                    tenant: kind.tenant_id(number),
                    service: ServiceId::new(ENGINE_SERVICE),
                    model: Some(ModelId::new(MODEL)),
                };
                self.command(leader, Command::CreateSession(session));
            }
        }
    }

    /// Lets the experiment's strategy assign a role.
    pub(super) fn steer(&mut self) {
        let Some(mut steering) = self.steering.take() else {
            return;
        };
        if let Some(leader) = self.leader() {
            let configuration = self.controls[leader]
                .running
                .as_ref()
                .map(|running| &running.replica.state().configuration);
            let observed = match &self.callers {
                Callers::Mix(traffic) => traffic.observed(self.now, REACTIVE_WINDOW),
                Callers::Checking(_) => Mix::default(),
            };
            let decided = configuration.and_then(|configuration| {
                let load = |engine: &BackendId| self.load_of(engine);
                steering.decide(configuration, &observed, load, self.now)
            });
            if let Some(command) = decided {
                self.command(leader, command);
            }
        }
        self.steering = Some(steering);
    }

    fn load_of(&self, engine: &BackendId) -> usize {
        place_of(engine, "engine-")
            .and_then(|place| self.engines[place].engine.as_ref())
            .map_or(0, |engine| engine.running())
    }

    fn command(&mut self, leader: usize, command: Command) {
        self.next_ticket += 1;
        let envelope = CommandEnvelope::unnamed(command, self.now);
        let request = OperatorRequest::Command {
            envelope,
            wait: false,
        };
        let ticket = self.next_ticket;
        self.control_event(leader, ControlEvent::Operator { ticket, request });
    }
}

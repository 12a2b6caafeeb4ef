//! Keeps a back end on the platform's list.

use std::time::Duration;

use garnet_control::BackendRegistration;
use garnet_engine_api::{MachineStateRequest, paths};
use garnet_runtime::{HttpClient, client};
use garnet_supervisor::{ChildSpec, Restart, StopSignal};
use garnet_types::MachineState;
use smol::Timer;

use crate::shell::Shell;

const UNTIL_REGISTERED: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_secs(2);

/// A child that registers once, trying until it succeeds.
pub(crate) fn child(
    shell: &Shell,
    platform: String,
    registration: BackendRegistration,
) -> ChildSpec {
    let http = HttpClient::new(shell.executor.clone());
    ChildSpec::new(
        "registration",
        Restart::Transient,
        move |stop: StopSignal| {
            let http = http.clone();
            let platform = platform.clone();
            let registration = registration.clone();
            async move {
                while !stop.is_stopped() {
                    let request = client::json_request("POST", paths::MACHINES, &registration);
                    let answer = http.send(&platform, request, PATIENCE).await;
                    if answer.is_ok_and(|answer| answer.status().is_success()) {
                        log::info!(platform = platform.as_str(); "registered");
                        return Ok(());
                    }
                    Timer::after(UNTIL_REGISTERED).await;
                }
                Ok(())
            }
        },
    )
}

/// Tells the platform that the back end is leaving.
pub(crate) async fn leave(shell: &Shell, platform: &str, name: &str) {
    let http = HttpClient::new(shell.executor.clone());
    let body = MachineStateRequest {
        id: name.to_owned(),
        state: MachineState::Leaving,
    };
    let request = client::json_request("POST", paths::MACHINE_STATE, &body);
    if let Err(error) = http.send(platform, request, PATIENCE).await {
        log::warn!(cause = error.to_string().as_str(); "leave_not_told");
    }
}

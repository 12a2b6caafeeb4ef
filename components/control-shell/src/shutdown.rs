//! A planned stop of a replica.

use std::time::Duration;

use garnet_control::{MemberChange, OperatorAnswer, OperatorRequest};
use smol::Timer;

use crate::connections::Connections;

/// Before a planned stop: asks another replica to lead, so that nobody has to
/// wait for an election.
pub async fn transfer_leadership(connections: Connections) {
    let change = MemberChange::TransferLeadership;
    let asked = connections.ask(OperatorRequest::Member(change));
    let late = async {
        Timer::after(Duration::from_secs(1)).await;
        None
    };
    if let Some(OperatorAnswer::Committed { .. }) = smol::future::or(asked, late).await {
        // Time for the message to leave and the new leader to begin.
        Timer::after(Duration::from_millis(300)).await;
    }
}

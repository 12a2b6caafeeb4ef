//! The planned stop of a replica.

use std::time::Duration;

use garnet_control::{MemberChange, OperatorAnswer, OperatorRequest};
use smol::Timer;

use crate::connections::Connections;

/// Transfers leadership to another replica before a planned stop, so that no request
/// waits for an election.
pub async fn transfer_leadership(connections: Connections) {
    let change = MemberChange::TransferLeadership;
    let transfer = connections.ask(OperatorRequest::Member(change));
    let timeout = async {
        Timer::after(Duration::from_secs(1)).await;
        None
    };
    if let Some(OperatorAnswer::Committed { .. }) = smol::future::or(transfer, timeout).await {
        // Leaves time for the message to be sent and the new leader to start.
        Timer::after(Duration::from_millis(300)).await;
    }
}

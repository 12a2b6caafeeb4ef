//! An answer of a back end that a relay passes on.

use garnet_runtime::Exchange;
use garnet_types::BuildId;

use crate::ports::{BackendPort, CallerPort};

use super::sender::RelayGuard;

/// A back end's answer, whose head has arrived. Dropping it closes the connection to the
/// relay, which then ends the work at the back end.
pub(super) struct RelayedAnswer<C: CallerPort + 'static, B: BackendPort + 'static> {
    pub(super) exchange: Exchange,
    pub(super) guard: RelayGuard<C, B>,
    /// The build of the engine that answers, if the relay has named it.
    pub(super) build: Option<BuildId>,
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> RelayedAnswer<C, B> {
    /// Returns the connection to the pool after the end of the answer.
    pub(super) fn finish(self) {
        self.exchange.finish();
        drop(self.guard);
    }
}

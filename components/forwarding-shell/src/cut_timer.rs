//! When an answer that has begun is cut because its time is over.

use std::cell::Cell;
use std::rc::Rc;

use garnet_runtime::fair_stream::reactor_turn;
use garnet_runtime::{Clock, Timers};
use garnet_types::Millis;

use crate::gateway::Gateway;

/// Turns of the event loop in which what has arrived at a connection reaches the reader of its
/// answer: one reads it, in the next one the HTTP library passes it on.
const TURNS_TO_READ: usize = 3;
/// Longest time after it was noticed that the time is over in which parts of the answer that have
/// arrived are passed on: two stalls of a tenth of a second.
const MAX_OVERRUN: Millis = Millis(200);

/// Expires when the time of an answer is over and nothing more of the answer is at hand. A process
/// that was suspended may notice its end together with the rest of the answer.
pub(crate) struct CutTimer {
    clock: Clock,
    timers: Timers,
    due: Millis,
    /// When it was first noticed that the time is over.
    noticed_at: Cell<Option<Millis>>,
}

impl CutTimer {
    pub(crate) fn new<C, B>(gateway: &Gateway<C, B>, due: Millis) -> Rc<Self> {
        Rc::new(CutTimer {
            clock: gateway.clock,
            timers: gateway.timers.clone(),
            due,
            noticed_at: Cell::new(None),
        })
    }

    /// Waits until the answer is to be cut.
    pub(crate) async fn expired(&self) {
        self.timers.sleep_until(self.due).await;
        let now = self.clock.now();
        let noticed_at = self.noticed_at.get().unwrap_or(now);
        self.noticed_at.set(Some(noticed_at));
        if now.since(noticed_at) >= MAX_OVERRUN {
            return;
        }
        for _ in 0..TURNS_TO_READ {
            reactor_turn().await;
        }
    }
}

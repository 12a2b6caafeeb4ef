//! The I/O shell of a gateway that forwards work.
//!
//! Contract: the shell owns the sockets and the clock around one
//! [`garnet_forwarding::Forwarder`]. What speaks to the outside is plugged in:
//! a [`CallerPort`] reads the facts of a request and marks own answers, a
//! [`BackendPort`] turns a [`Job`] into a request and reads what comes back.
//! A gateway of this kind has no disk: it begins with no configuration and
//! refuses work until the leader has sent one.

mod answers;
mod attempt;
mod connection_queue;
mod events;
mod gateway;
mod going_on;
mod handover;
mod headers;
mod metrics;
mod permits;
mod ports;
mod reported;
mod request;
mod start;
mod stopping;
mod stream;
mod unknown_names;
mod waiting;
mod watch;
mod whole;

pub use events::EventSplitter;
pub use ports::{
    BackendPort, Call, CallFacts, CallerPort, CopySource, HandoverSource, HeadMeaning, Job,
    JobPhase, PrefillAnswer, ReadHead,
};
pub use start::{GatewayOptions, Ports, Replicas, run};
pub use stopping::StopTimes;

//! The I/O shell of a gateway that forwards work.
//!
//! Contract: the shell owns the sockets and the clock around one
//! [`garnet_forwarding::Forwarder`]. Protocols are plugged in through ports: a
//! [`CallerPort`] parses requests and marks the gateway's own answers, and a
//! [`BackendPort`] turns a [`Job`] into a request and parses the answer.
//! A gateway of this kind has no disk: it starts without a configuration and
//! refuses requests until the leader has sent one.

mod answer_cut;
mod answer_head;
mod answers;
mod attempt;
mod backend_reports;
mod buffered;
mod connection_queue;
mod cut_timer;
mod event_reader;
mod events;
mod failover;
mod gateway;
mod headers;
mod kv_transfer;
mod metrics;
mod path_probes;
mod permits;
mod ports;
mod relay;
mod relay_report;
mod report_handler;
mod request;
mod start;
mod stopping;
mod stream;
mod stream_builds;
mod timeout;
mod unknown_headers;
mod unmarked_ends;
mod unread_answer;
mod watch;

pub use answer_head::AnswerHead;
pub use events::{EventRefused, EventSplitter, MAX_EVENT_BYTES};
pub use ports::{
    BackendPort, Call, CallFacts, CallerPort, CopySource, HeadMeaning, Job, JobPhase, KvSource,
    ParsedHead, PrefillAnswer,
};
pub use relay::{RelayVersion, RelayedCall};
pub use start::{GatewayOptions, Ports, Replicas, run};
pub use stopping::StopTimes;

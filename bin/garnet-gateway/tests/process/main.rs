//! The gateway as a process: bad input of callers, and starts that must fail.

mod bad_requests;
mod bad_starts;
mod cut_heads;
mod endless_bytes;
mod report_link;
mod running;
mod stopping;
mod surplus_answers;

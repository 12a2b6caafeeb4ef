//! Tests of the gateway's state machine with scripted replicas and back ends.

mod availability;
mod builds;
mod claims;
mod configuration;
mod crashes;
mod harness;
mod limited_back_ends;
mod limits;
mod planned_stops;
mod streams;

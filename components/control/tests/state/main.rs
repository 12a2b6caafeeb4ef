//! Tests of the replicated state and of the leader: what each command answers and changes.

mod balancing;
mod builds;
mod claims;
mod configuration_transfer;
mod copies;
mod determinism;
mod duties;
mod engine_orders;
mod fleet;
mod fleet_size;
mod gateway_leases;
mod group;
mod last_known;
mod leader;
mod level;
mod limits;
mod load_digest;
mod machine_list;
mod operators;
mod prompt_parts;
mod quarantine;
mod relays;
mod routes;
mod usage;
mod watching;

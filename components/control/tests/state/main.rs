//! The replicated state: what each command answers and changes.

mod balancing;
mod claims;
mod copies;
mod determinism;
mod engine_orders;
mod fleet;
mod group;
mod leader;
mod operators;
mod routes;

//! The replicated state: what each command answers and changes.

mod claims;
mod determinism;
mod engine_orders;
mod fleet;
mod group;
mod operators;
mod routes;

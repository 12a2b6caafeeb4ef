//! Decisions of a gateway about forwarded work.

mod admission;
mod attempts;
mod availability;
mod budgets;
mod builds;
mod configuration;
mod connections;
mod fleet;
mod fleet_view;
mod limits;
mod paths;
mod placement;
mod prompt_parts;
mod quarantine;
mod split_fleet;
mod usage;

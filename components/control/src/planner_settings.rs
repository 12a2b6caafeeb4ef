//! The `[planner]` table of a settings file.

use garnet_planner::PlannerSettings;
use garnet_settings::TableReader;
use garnet_types::Millis;

/// Longest interval that a setting accepts: ten minutes.
const MAX_INTERVAL_MS: u64 = 600_000;

/// Reads the table; `None` if the planner is disabled.
pub fn planner_settings(table: &mut TableReader<'_>) -> Option<PlannerSettings> {
    let enabled = table.boolean("enabled").unwrap_or(true);
    let defaults = PlannerSettings::default();
    let price = table.float("role_change_price", 0.0..=1_000_000.0);
    let mut interval = |key, default: Millis| {
        table
            .integer(key, 1..=MAX_INTERVAL_MS)
            .map_or(default, Millis)
    };
    let settings = PlannerSettings {
        role_change_price: price.unwrap_or(defaults.role_change_price),
        horizon: interval("horizon_ms", defaults.horizon),
        min_dwell: interval("minimum_dwell_ms", defaults.min_dwell),
        change_duration: interval("change_duration_ms", defaults.change_duration),
        fast_window: interval("fast_window_ms", defaults.fast_window),
        slow_window: interval("slow_window_ms", defaults.slow_window),
        stale_after: interval("stale_after_ms", defaults.stale_after),
        allow_mixed: table.boolean("allow_mixed").unwrap_or(defaults.allow_mixed),
    };
    enabled.then_some(settings)
}

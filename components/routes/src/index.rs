//! Looks up routes by host and path, and tenants by key.

use std::collections::HashMap;

use garnet_types::ServiceId;

use crate::table::{Route, RouteTable, ServiceSettings};
use crate::tenant::{ApiKey, Tenant, Tenants};

/// A route table with indexes for look-ups.
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    table: RouteTable,
    /// Positions of each host's routes in the table, longest path prefix first.
    by_host: HashMap<String, Vec<usize>>,
    tenants: Tenants,
    /// Number of priorities that routes can have: one more than the largest.
    route_priorities: u8,
}

impl RouteIndex {
    /// Indexes a table that has passed [`RouteTable::check`].
    pub fn new(table: RouteTable) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (position, route) in table.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(position);
        }
        for positions in by_host.values_mut() {
            positions.sort_by_key(|position| {
                std::cmp::Reverse(table.routes[*position].path_prefix.len())
            });
        }
        let tenants = Tenants::new(table.tenants.as_deref().unwrap_or_default());
        let largest = table.routes.iter().map(|route| route.priority).max();
        RouteIndex {
            route_priorities: largest.unwrap_or(0).saturating_add(1),
            table,
            by_host,
            tenants,
        }
    }

    /// The indexed table.
    pub fn table(&self) -> &RouteTable {
        &self.table
    }

    /// The route at `host` whose prefix of `path` is the longest. A port in `host` is
    /// ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host);
        let positions = match self.by_host.get(name) {
            Some(positions) => positions,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        positions
            .iter()
            .map(|position| &self.table.routes[*position])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether callers need an API key, except on public routes.
    pub fn asks_for_keys(&self) -> bool {
        self.table.tenants.is_some()
    }

    /// The tenant that holds a key.
    pub fn tenant_of(&self, key: &ApiKey) -> Option<&Tenant> {
        let position = self.tenants.position_of(key)?;
        self.table.tenants.as_ref()?.get(position)
    }

    /// Priority of a tenant's request on `route`; 0 is the most urgent.
    ///
    /// The tenant's priority takes precedence over the route's: a more urgent
    /// tenant's requests come before those of a less urgent one on any route.
    /// Requests of the least urgent tenants, usually nearly all requests, keep the
    /// priorities of their routes.
    pub fn priority(&self, route: &Route, tenant: Option<&Tenant>) -> u8 {
        let own = tenant.and_then(|tenant| tenant.priority);
        let least = self.tenants.least_urgent;
        let steps_ahead = least.saturating_sub(own.unwrap_or(least));
        let ahead = steps_ahead.saturating_mul(self.route_priorities);
        route.priority.saturating_sub(ahead)
    }

    /// The service with this name.
    pub fn service(&self, name: &ServiceId) -> Option<&ServiceSettings> {
        self.table.services.iter().find(|s| s.name == *name)
    }
}

impl Route {
    /// The service for a random draw from 0 (inclusive) to 1 (exclusive), by weight.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut remaining = draw * total as f64;
        let weighted = self.services.iter().filter(|s| s.weight > 0);
        let mut last = None;
        for target in weighted {
            last = Some(&target.service);
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                break;
            }
        }
        last
    }
}

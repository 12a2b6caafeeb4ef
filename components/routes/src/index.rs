//! From host and path to the route, and from a key to its tenant.

use std::collections::HashMap;

use garnet_types::ServiceId;

use crate::table::{Route, RouteTable, ServiceSettings};
use crate::tenant::{ApiKey, Tenant, Tenants};

/// A table made ready for looking up.
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    table: RouteTable,
    /// For each host the places of its routes, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    tenants: Tenants,
    /// How many priorities the routes have.
    route_priorities: u8,
}

impl RouteIndex {
    /// Indexes a table that was checked.
    pub fn new(table: RouteTable) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (place, route) in table.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(place);
        }
        for places in by_host.values_mut() {
            places.sort_by_key(|place| std::cmp::Reverse(table.routes[*place].path_prefix.len()));
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

    /// The table.
    pub fn table(&self) -> &RouteTable {
        &self.table
    }

    /// The route with the longest prefix of `path` at `host`, which may carry
    /// a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host);
        let places = match self.by_host.get(name) {
            Some(places) => places,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        places
            .iter()
            .map(|place| &self.table.routes[*place])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether callers are asked for keys.
    pub fn asks_for_keys(&self) -> bool {
        self.table.tenants.is_some()
    }

    /// The tenant that holds a key.
    pub fn tenant_of(&self, key: &ApiKey) -> Option<&Tenant> {
        let place = self.tenants.place_of(key)?;
        self.table.tenants.as_ref()?.get(place)
    }

    /// Rank of a request on `route`, 0 first. A tenant's priority comes ahead of
    /// the route's: whatever the route, work of a more urgent tenant stands
    /// before work of one that is less so. Work of the least urgent tenants, most
    /// often nearly all, keeps the ranks of its routes.
    pub fn priority(&self, route: &Route, tenant: Option<&Tenant>) -> u8 {
        let own = tenant.and_then(|tenant| tenant.priority);
        let least = self.tenants.least_urgent;
        let steps_ahead = least.saturating_sub(own.unwrap_or(least));
        let ahead = steps_ahead.saturating_mul(self.route_priorities);
        route.priority.saturating_sub(ahead)
    }

    /// A service of the table.
    pub fn service(&self, name: &ServiceId) -> Option<&ServiceSettings> {
        self.table.services.iter().find(|s| s.name == *name)
    }
}

impl Route {
    /// The service for a draw between 0 (included) and 1 (excluded).
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = draw * total as f64;
        let weighted = self.services.iter().filter(|s| s.weight > 0);
        let mut last = None;
        for target in weighted {
            last = Some(&target.service);
            left -= f64::from(target.weight);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

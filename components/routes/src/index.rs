//! From host and path to the route.

use std::collections::HashMap;

use garnet_types::ServiceId;

use crate::table::{Route, RouteTable, ServiceSettings};

/// A table made ready for looking up.
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    table: RouteTable,
    /// For each host the places of its routes, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
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
        RouteIndex { table, by_host }
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

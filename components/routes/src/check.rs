//! Validation of a route table.

use std::collections::{BTreeSet, HashMap};
use std::fmt;

use garnet_types::{Millis, ServiceId};
use serde::{Deserialize, Serialize};

use crate::table::{Route, RouteTable};
use crate::tenant::{KeyDigest, Tenant};

/// One error in a route table or its document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteFinding {
    /// Where the error is, such as `routes[2].timeout_ms`.
    pub place: String,
    /// Description of the error.
    pub message: String,
}

/// All errors in a route table or its document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteFindings(pub Vec<RouteFinding>);

impl RouteFindings {
    /// Adds a finding.
    pub fn report(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.0.push(RouteFinding {
            place: place.into(),
            message: message.into(),
        });
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for RouteFindings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, finding) in self.0.iter().enumerate() {
            if position > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{}: {}", finding.place, finding.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for RouteFindings {}

impl RouteTable {
    /// Checks the whole table.
    ///
    /// # Errors
    /// All findings, in the order of the document.
    pub fn check(&self) -> Result<(), RouteFindings> {
        let mut findings = RouteFindings::default();
        let services = self.check_services(&mut findings);
        let mut seen = BTreeSet::new();
        for (position, route) in self.routes.iter().enumerate() {
            let place = format!("routes[{position}]");
            check_route(route, &place, &services, &mut findings);
            if !seen.insert((route.host.as_str(), route.path_prefix.as_str())) {
                let message = "another route has the same host and path prefix";
                findings.report(format!("{place}.path_prefix"), message);
            }
        }
        check_tenants(self.tenants.as_deref().unwrap_or_default(), &mut findings);
        if findings.is_empty() {
            Ok(())
        } else {
            Err(findings)
        }
    }

    fn check_services(&self, findings: &mut RouteFindings) -> BTreeSet<&ServiceId> {
        let mut known = BTreeSet::new();
        for (position, service) in self.services.iter().enumerate() {
            if !known.insert(&service.name) {
                let place = format!("services[{position}].name");
                findings.report(place, "another service has this name");
            }
            let scaling = service.buying.as_ref();
            if scaling.is_some_and(|scaling| scaling.least_in_zone > scaling.most_in_zone) {
                let place = format!("services[{position}].buying.least_in_zone");
                findings.report(place, "must not be more than most_in_zone");
            }
        }
        known
    }
}

fn check_route(
    route: &Route,
    place: &str,
    services: &BTreeSet<&ServiceId>,
    findings: &mut RouteFindings,
) {
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let message = "must begin and end with a slash";
        findings.report(format!("{place}.path_prefix"), message);
    }
    if route.host.is_empty() {
        findings.report(format!("{place}.host"), "must not be empty");
    }
    if route.timeout_ms == Millis::ZERO {
        findings.report(format!("{place}.timeout_ms"), "must be more than 0");
    }
    let total: u64 = route.services.iter().map(|s| u64::from(s.weight)).sum();
    if total == 0 {
        let message = "the weights must sum to more than 0";
        findings.report(format!("{place}.services"), message);
    }
    for (position, target) in route.services.iter().enumerate() {
        if !services.contains(&target.service) {
            let message = format!("service \"{}\" is not known", target.service);
            findings.report(format!("{place}.services[{position}]"), message);
        }
    }
}

/// Checks that names are valid and that no two tenants share a name or a key.
fn check_tenants(tenants: &[Tenant], findings: &mut RouteFindings) {
    let mut names = BTreeSet::new();
    let mut holders: HashMap<KeyDigest, usize> = HashMap::new();
    for (position, tenant) in tenants.iter().enumerate() {
        let place = format!("tenants[{position}]");
        let name = tenant.name.as_str();
        if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
            // The name is sent to back ends in a header.
            let message = "must be printable ASCII without blanks";
            findings.report(format!("{place}.name"), message);
        }
        if !names.insert(&tenant.name) {
            findings.report(format!("{place}.name"), "another tenant has this name");
        }
        for (number, key) in tenant.keys.iter().enumerate() {
            let holder = holders.insert(*key, position);
            if holder.is_some_and(|holder| holder != position) {
                let place = format!("{place}.keys[{number}]");
                findings.report(place, "another tenant has this key");
            }
        }
    }
}

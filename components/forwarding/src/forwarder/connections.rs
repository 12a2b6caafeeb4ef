//! Connections of this gateway to back ends.

use garnet_types::{BackendId, BackendKind, Millis, ServiceId};

use crate::connections::ConnectionShare;
use crate::work::Work;

use super::Forwarder;

/// Number of gateways that is assumed to share connections while no leader has confirmed
/// the configuration.
const UNCONFIRMED_GATEWAYS: u64 = 64;

impl Forwarder {
    /// Connections that this gateway may have to a back end.
    pub fn connection_share(&self, id: &BackendId) -> ConnectionShare {
        let backend = self.backends.get(id);
        backend.map_or(ConnectionShare::unbounded(), |backend| backend.connections)
    }

    /// Whether a back end that could take a part of the request has all connections of
    /// this gateway in use, so that waiting for a connection is useful.
    pub fn awaits_connection(
        &self,
        service: &ServiceId,
        work: &Work,
        tried: &[BackendId],
        now: Millis,
    ) -> bool {
        let kind = match work.prompt {
            Some(_) => BackendKind::Engine,
            None => BackendKind::Application,
        };
        self.backends_of(service).any(|backend| {
            backend.registration.kind == kind
                && !backend.has_connection()
                && backend.is_open(now, true)
                && !tried.contains(&backend.registration.id)
        })
    }

    /// Takes the leader's count of gateways that share the connections to back ends.
    pub fn share_connections_among(&mut self, gateways: u64, now: Millis) {
        self.sharing.note(gateways, now);
        if self.sharing_gateways() != self.shared_among {
            self.share_connections();
        }
    }

    fn sharing_gateways(&self) -> u64 {
        let assumed = if self.unconfirmed_since.is_some() {
            UNCONFIRMED_GATEWAYS
        } else {
            1
        };
        self.sharing.count().unwrap_or(assumed)
    }

    /// Applies the number of gateways and the bounds of the route table.
    pub(super) fn share_connections(&mut self) {
        self.shared_among = self.sharing_gateways();
        let ids: Vec<BackendId> = self.backends.keys().cloned().collect();
        for id in &ids {
            self.share_connections_of(id);
        }
    }

    pub(super) fn share_connections_of(&mut self, id: &BackendId) {
        let gateways = self.shared_among;
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        let service = &backend.registration.service;
        let bound = self.routes.table().connection_limit(service);
        backend.connections = bound.map_or(ConnectionShare::unbounded(), |bound| {
            ConnectionShare::new(bound, gateways)
        });
    }
}

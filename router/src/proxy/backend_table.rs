//! The endpoint table: the backends that this router may send requests to, by service.

use super::backend::{Backend, ServiceState};
use super::failure_log::FailureLog;
use crate::fleet::Fleet;
use crate::sync::lock;
use compact_str::CompactString;
use control::directory::{Backend as Registered, BackendPhase};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Backends by service name.
pub type Services = HashMap<CompactString, Vec<Arc<Backend>>>;

/// The endpoint table, derived from the directory.
#[derive(Default)]
pub struct BackendTable {
    services: Mutex<Arc<Services>>,
    known: Mutex<HashMap<CompactString, Arc<Backend>>>,
    service_states: Mutex<HashMap<CompactString, Arc<ServiceState>>>,
    failure_log: Arc<FailureLog>,
}

impl BackendTable {
    /// The backends of a service.
    pub fn backends(&self, service: &str) -> Vec<Arc<Backend>> {
        let services = lock(&self.services).clone();
        services.get(service).cloned().unwrap_or_default()
    }

    /// The backend with an instance id.
    pub fn backend(&self, id: &str) -> Option<Arc<Backend>> {
        lock(&self.known).get(id).cloned()
    }

    /// The log of backend failures that have not been reported yet.
    pub fn failures(&self) -> Arc<FailureLog> {
        self.failure_log.clone()
    }

    /// Returns whether there are no backends.
    pub fn is_empty(&self) -> bool {
        lock(&self.services).is_empty()
    }

    /// All backends, of all services, except those that are gone.
    pub fn all(&self) -> Vec<Arc<Backend>> {
        lock(&self.services).values().flatten().cloned().collect()
    }

    /// Updates the table from the directory.
    pub fn refresh(&self, fleet: &Fleet) {
        let directory = lock(&fleet.directory);
        let mut known = lock(&self.known);
        let mut services = Services::new();
        for (id, registered) in directory.backends() {
            if registered.phase == BackendPhase::Gone {
                if let Some(backend) = known.remove(id) {
                    backend.update(registered, None, None);
                }
                continue;
            }
            let backend = known
                .entry(id.clone())
                .or_insert_with(|| Arc::new(self.new_backend(id, registered)));
            backend.update(registered, directory.order(id), directory.suspicion(id));
            services
                .entry(registered.service.clone())
                .or_default()
                .push(backend.clone());
        }
        *lock(&self.services) = Arc::new(services);
    }
}

impl BackendTable {
    fn new_backend(&self, id: &CompactString, registered: &Registered) -> Backend {
        let mut states = lock(&self.service_states);
        let state = states.entry(registered.service.clone()).or_default();
        Backend::new(
            id.clone(),
            registered,
            state.clone(),
            self.failure_log.clone(),
        )
    }
}

/// Updates the table now and whenever the fleet's state changes.
pub async fn keep_synchronized(table: Arc<BackendTable>, fleet: Arc<Fleet>) {
    let mut updates = fleet.subscribe();
    loop {
        table.refresh(&fleet);
        if updates.changed().await.is_err() {
            return;
        }
    }
}

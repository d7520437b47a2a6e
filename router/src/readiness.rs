//! Readiness checks: whether the platform may send clients to this router.

use crate::fleet::Fleet;
use crate::proxy::backend_table::BackendTable;
use crate::sync::lock;
use poem::http::StatusCode;
use poem::{Endpoint, Request, Response, Result};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A router that knows no backends reports itself as ready this long after it has a configuration.
const BACKENDS_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The endpoint of readiness checks.
pub struct Readiness {
    fleet: Arc<Fleet>,
    table: Arc<BackendTable>,
    configured_at: Mutex<Option<Instant>>,
}

impl Readiness {
    /// Creates the endpoint.
    pub fn new(fleet: Arc<Fleet>, table: Arc<BackendTable>) -> Self {
        Readiness {
            fleet,
            table,
            configured_at: Mutex::new(None),
        }
    }

    fn is_ready(&self) -> bool {
        if self.fleet.is_shutting_down() || lock(&self.fleet.published).configuration().is_none() {
            return false;
        }
        let since = *lock(&self.configured_at).get_or_insert_with(Instant::now);
        !self.table.is_empty() || since.elapsed() > BACKENDS_TIMEOUT
    }
}

impl Endpoint for Readiness {
    type Output = Response;

    async fn call(&self, _: Request) -> Result<Self::Output> {
        let status = if self.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Ok(Response::builder().status(status).finish())
    }
}

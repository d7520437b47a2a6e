//! Orders to load weights, and the report on the loaded weights.

use super::{Body, State, response};
use crate::history::{BackendState, ReceivedOrder};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// The duration of loading weights.
const LOAD_TIME: Duration = Duration::from_millis(290);

impl State {
    /// Handles an order as the published protocol requires. Orders for older versions are accepted
    /// too, unless they expect another revision of this backend.
    pub(super) async fn take_order(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        self.wait_if_hanging().await;
        if self.is_misdirected(&request) {
            return response(421, Bytes::new());
        }
        let Ok(body) = request.into_body().collect().await else {
            return response(400, Bytes::new());
        };
        let order: serde_json::Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        let (Some(holder), Some(fencing_token), Some(version)) = (
            order["holder"].as_str(),
            order["fenceToken"].as_u64(),
            order["version"].as_u64(),
        ) else {
            return response(400, Bytes::new());
        };
        let at = self.environment.clock.now();
        let received = ReceivedOrder {
            backend: self.number,
            at,
            holder: holder.to_owned(),
            fencing_token,
        };
        self.environment.recorder.lock().orders.push(received);
        {
            let mut highest = self
                .highest_fencing_token
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if fencing_token < *highest {
                return response(412, Bytes::new());
            }
            *highest = fencing_token;
        }
        let expected_revision = order["ifRevision"].as_u64();
        if expected_revision.is_some_and(|expected| expected != self.orders.load(Ordering::Relaxed))
        {
            return response(409, Bytes::new());
        }
        if self.is_loading.load(Ordering::Relaxed) {
            return response(409, Bytes::new());
        }
        if self.version.load(Ordering::Relaxed) == version {
            return response(200, Bytes::new());
        }
        self.is_loading.store(true, Ordering::Relaxed);
        self.orders.fetch_add(1, Ordering::Relaxed);
        let state = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(LOAD_TIME).await;
            state.version.store(version, Ordering::Relaxed);
            state.record(BackendState::Loaded { version });
            state.is_loading.store(false, Ordering::Relaxed);
        });
        response(202, Bytes::new())
    }

    pub(super) async fn report(&self) -> Response<Body> {
        self.wait_if_hanging().await;
        let report = serde_json::json!({
            "stage": "both", "busy": self.is_loading.load(Ordering::Relaxed),
            "models": [{"name": "m", "version": self.version.load(Ordering::Relaxed), "adapters": []}],
            "sequence": self.orders.load(Ordering::Relaxed), "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 1, "handles": 0,
        });
        response(200, report.to_string().into())
    }
}

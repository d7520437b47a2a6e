//! Orders to load weights, and the report on them.

use super::{Body, State, answer};
use crate::history::{BackendState, ReceivedOrder};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// How long loading weights takes.
const LOAD: Duration = Duration::from_millis(290);

impl State {
    /// Accepts an order by the published protocol: also one for an older version, unless it expects
    /// another state of this backend.
    pub(super) async fn take_order(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        self.hang().await;
        if self.is_misdirected(&request) {
            return answer(421, Bytes::new());
        }
        let Ok(body) = request.into_body().collect().await else {
            return answer(400, Bytes::new());
        };
        let order: serde_json::Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        let (Some(holder), Some(fencing_token), Some(version)) = (
            order["holder"].as_str(),
            order["fenceToken"].as_u64(),
            order["version"].as_u64(),
        ) else {
            return answer(400, Bytes::new());
        };
        let at = self.environment.clock.now();
        let seen = ReceivedOrder {
            backend: self.number,
            at,
            holder: holder.to_owned(),
            fencing_token,
        };
        self.environment.recorder.open().orders.push(seen);
        {
            let mut highest = self
                .highest_fencing_token
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if fencing_token < *highest {
                return answer(412, Bytes::new());
            }
            *highest = fencing_token;
        }
        let expected = order["ifRevision"].as_u64();
        if expected.is_some_and(|expected| expected != self.orders.load(Ordering::Relaxed)) {
            return answer(409, Bytes::new());
        }
        if self.is_loading.load(Ordering::Relaxed) {
            return answer(409, Bytes::new());
        }
        if self.version.load(Ordering::Relaxed) == version {
            return answer(200, Bytes::new());
        }
        self.is_loading.store(true, Ordering::Relaxed);
        self.orders.fetch_add(1, Ordering::Relaxed);
        let state = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(LOAD).await;
            state.version.store(version, Ordering::Relaxed);
            state.record(BackendState::Loaded { version });
            state.is_loading.store(false, Ordering::Relaxed);
        });
        answer(202, Bytes::new())
    }

    pub(super) async fn report(&self) -> Response<Body> {
        self.hang().await;
        let report = serde_json::json!({
            "stage": "both", "busy": self.is_loading.load(Ordering::Relaxed),
            "models": [{"name": "m", "version": self.version.load(Ordering::Relaxed), "adapters": []}],
            "sequence": self.orders.load(Ordering::Relaxed), "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 1, "handles": 0,
        });
        answer(200, report.to_string().into())
    }
}

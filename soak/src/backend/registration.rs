//! Calls of a backend to the routers: heartbeats, also late ones, and the two ways of leaving.

use super::{Backend, Environment, SLOTS, State};
use crate::history::BackendState;
use crate::settings::HEARTBEAT_MS;
use std::future::Future;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The time-out of a call to a router.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of routers that are tried for one call.
const MAX_ROUTERS_TRIED: usize = 4;
/// The time-out of leaving.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(16);

/// How a backend announces that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// It reports that it is draining, and deregisters when it ends.
    Drain,
    /// It deregisters at once and serves on for a while.
    Deregister,
}

/// A heartbeat that was sent and has not arrived yet.
pub struct LateHeartbeat {
    id: String,
    body: String,
    environment: Arc<Environment>,
}

impl LateHeartbeat {
    /// Lets the heartbeat arrive. Returns whether a router has acknowledged it.
    pub async fn arrive(self) -> bool {
        self.environment
            .call_routers(&self.id, "heartbeat", &self.body)
            .await
    }
}

impl Backend {
    /// Sends a heartbeat of the current state that arrives only when the caller says so.
    pub fn send_late_heartbeat(&self) -> LateHeartbeat {
        LateHeartbeat {
            id: self.state.id(),
            body: self.state.next_heartbeat(),
            environment: self.state.environment.clone(),
        }
    }

    /// Announces that the backend leaves, until a router acknowledges it. The backend serves on.
    pub async fn withdraw(&self, withdrawal: Withdrawal) {
        self.state.is_draining.store(true, Ordering::Relaxed);
        self.state.record(BackendState::Stopping);
        match withdrawal {
            Withdrawal::Drain => while !self.state.call_routers("heartbeat").await {},
            Withdrawal::Deregister => while !self.state.call_routers("deregister").await {},
        }
        self.state.record(BackendState::Withdrawn);
    }

    /// Shuts down gracefully: announces that it leaves, serves on for this long after the
    /// acknowledgement, and deregisters. It also ends if no router acknowledges. `acknowledged` runs
    /// as soon as a router has acknowledged the announcement.
    pub async fn leave<F: Future<Output = ()>>(
        self,
        withdrawal: Withdrawal,
        serve_on: Duration,
        acknowledged: impl FnOnce() -> F,
    ) {
        let shutdown = async {
            self.withdraw(withdrawal).await;
            tokio::join!(acknowledged(), tokio::time::sleep(serve_on));
            while !self.state.call_routers("deregister").await {}
        };
        let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, shutdown).await;
        self.crash();
    }
}

/// Sends heartbeats until the backend leaves.
pub(super) async fn send_heartbeats(state: Arc<State>) {
    loop {
        if !state.is_draining.load(Ordering::Relaxed) && !state.is_hanging.load(Ordering::Relaxed) {
            state.call_routers("heartbeat").await;
        }
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
    }
}

impl State {
    /// The body of the next heartbeat.
    fn next_heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.is_draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        let body = serde_json::json!({
            "service": "s", "address": self.address.to_string(), "zone": format!("z{}", self.number % 3), "version": "v1",
            "slots": SLOTS, "state": state, "coldRemainingMs": 0, "sequence": sequence, "stage": "both",
            "models": [{"name": "m", "version": self.version.load(Ordering::Relaxed), "adapters": []}],
        });
        body.to_string()
    }

    /// Sends the state of the backend to the routers until one acknowledges.
    async fn call_routers(&self, operation: &str) -> bool {
        let body = self.next_heartbeat();
        self.environment
            .call_routers(&self.id(), operation, &body)
            .await
    }
}

impl Environment {
    /// Calls up to [`MAX_ROUTERS_TRIED`] routers, until one acknowledges.
    async fn call_routers(&self, id: &str, operation: &str, body: &str) -> bool {
        let control: &[SocketAddrV4] = &self.control;
        let first = fastrand::usize(..control.len());
        let tried = control.len().min(MAX_ROUTERS_TRIED);
        for address in control.iter().cycle().skip(first).take(tried) {
            let url = format!("http://{address}/v1/instances/{id}/{operation}");
            let call = self
                .client
                .post(url)
                .body(body.to_owned())
                .timeout(CALL_TIMEOUT);
            if call
                .send()
                .await
                .is_ok_and(|response| response.status().is_success())
            {
                return true;
            }
        }
        false
    }
}

//! The HTTP server for clients.

use crate::fleet::Fleet;
use crate::listener::{ClientAcceptor, ClientConnections, IdleTimeout};
use crate::proxy::forwarder::Forwarder;
use crate::proxy::ingress::Ingress;
use crate::sync::lock;
use control::configuration::Limits;
use poem::Server;
use std::sync::Arc;
use std::time::Duration;

/// Serves clients until `stopped` becomes true, and returns once all responses have been sent.
pub async fn serve_clients(
    listener: tokio::net::TcpListener,
    forwarder: Arc<Forwarder>,
    mut stopped: tokio::sync::watch::Receiver<bool>,
) {
    let connections = ClientConnections::default();
    let idle_timeout = idle_timeout(forwarder.fleet.clone());
    let acceptor = ClientAcceptor::new(listener, connections.clone(), idle_timeout);
    let stop = async move {
        // The sender is held until the process exits, so the wait cannot fail.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    };
    let result = Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(Ingress::new(forwarder, connections), stop, None)
        .await;
    if let Err(error) = result {
        log::error!("client server failed, no further connections are accepted: {error}");
    }
}

/// Looks up `limits.idleTimeoutMs` in the current configuration; the default if there is none.
fn idle_timeout(fleet: Arc<Fleet>) -> IdleTimeout {
    Arc::new(move || {
        let published = lock(&fleet.published);
        let configuration = published.configuration();
        let limits = configuration.map_or_else(Limits::default, |current| current.limits);
        Duration::from_millis(limits.idle_timeout_ms)
    })
}

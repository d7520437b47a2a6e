//! The server of the clients' interface.

use crate::listener::{ClientAcceptor, ClientConnections};
use crate::proxy::forwarder::Forwarder;
use crate::proxy::ingress::Ingress;
use poem::Server;
use std::sync::Arc;
use std::time::Duration;

/// Idle client connections are closed after this time.
pub(crate) const CLIENT_IDLE: Duration = Duration::from_secs(20);

/// Serves clients until told to stop, and returns once every response is sent.
pub async fn serve_clients(
    listener: tokio::net::TcpListener,
    forwarder: Arc<Forwarder>,
    mut stopped: tokio::sync::watch::Receiver<bool>,
) {
    let connections = ClientConnections::default();
    let acceptor = ClientAcceptor::new(listener, connections.clone());
    let stop = async move {
        // The sender lives until the process ends.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    };
    let server = Server::new_with_acceptor(acceptor).idle_timeout(CLIENT_IDLE);
    let closed = server
        .run_with_graceful_shutdown(Ingress::new(forwarder, connections), stop, None)
        .await;
    if let Err(error) = closed {
        log::error!("clients are taken no more: {error}");
    }
}

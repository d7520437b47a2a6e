//! Requests that are abandoned while they are delayed in transit to a backend.
//!
//! Guards against a backend that starts a request seconds after its client has disconnected. If the
//! path to the backend is partitioned while a request is sent, closing the connection does not
//! revoke the buffered bytes: the kernel delivers them once the path has healed. Only a reset of
//! the connection discards them. Late orders for weights had the same cause.

mod common;

use common::*;
use std::net::SocketAddrV4;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// A partitioned network path to a backend. Once it heals, buffered bytes arrive, unless their
/// sender has reset the connection.
struct PartitionedPath {
    address: SocketAddrV4,
    /// A permit for each connection on which bytes were sent.
    sent: Arc<Semaphore>,
    /// A permit for each connection that its sender has ended.
    ended: Arc<Semaphore>,
    /// A permit for each connection on which the path heals.
    healed: Arc<Semaphore>,
    /// A permit for each connection whose buffered bytes were delivered or dropped after the path
    /// healed.
    delivered: Arc<Semaphore>,
}

impl PartitionedPath {
    async fn to(backend: &FakeBackend) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else {
            unreachable!()
        };
        let permits = || Arc::new(Semaphore::new(0));
        let path = PartitionedPath {
            address,
            sent: permits(),
            ended: permits(),
            healed: permits(),
            delivered: permits(),
        };
        let (sent, ended) = (path.sent.clone(), path.ended.clone());
        let (healed, delivered, target) =
            (path.healed.clone(), path.delivered.clone(), backend.address);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (sent, ended, healed, delivered) = (
                    sent.clone(),
                    ended.clone(),
                    healed.clone(),
                    delivered.clone(),
                );
                tokio::spawn(async move {
                    stream.readable().await.unwrap();
                    sent.add_permits(1);
                    has_ended(&stream).await;
                    ended.add_permits(1);
                    healed.acquire().await.unwrap().forget();
                    deliver(stream, target).await;
                    delivered.add_permits(1);
                });
            }
        });
        path
    }
}

/// Waits until the peer has closed or reset the connection, without reading.
async fn has_ended(stream: &TcpStream) {
    while !stream
        .ready(Interest::READABLE)
        .await
        .unwrap()
        .is_read_closed()
    {
        tokio::task::yield_now().await;
    }
}

async fn deliver(mut stream: TcpStream, target: SocketAddrV4) {
    let mut bytes = Vec::new();
    if stream.read_to_end(&mut bytes).await.is_err() {
        return;
    }
    let mut backend = TcpStream::connect(target).await.unwrap();
    backend.write_all(&bytes).await.unwrap();
    backend.shutdown().await.unwrap();
    let mut answer = Vec::new();
    // The backend may abort, as its caller has disconnected.
    let _ = backend.read_to_end(&mut answer).await;
}

async fn wait_for(permits: &Semaphore) {
    tokio::time::timeout(TEST_TIMEOUT, permits.acquire())
        .await
        .expect("in time")
        .unwrap()
        .forget();
}

#[tokio::test]
async fn abandoned_request_never_reaches_backend() {
    let backend = FakeBackend::start(vec![Action::Respond(success("ok"))]).await;
    let path = PartitionedPath::to(&backend).await;
    let router = Router::start(&[]).await;
    register_at(
        &router.fleet,
        0,
        path.address,
        1,
        control::directory::BackendPhase::Ready,
    );
    router.table.refresh(&router.fleet);
    let client = router.send("/unsafe/", KEY).await;
    wait_for(&path.sent).await;
    drop(client);
    wait_for(&path.ended).await;
    path.healed.add_permits(1);
    wait_for(&path.delivered).await;
    assert_eq!(backend.count(), 0, "requests that reached the backend");
}

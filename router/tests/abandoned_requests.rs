//! Requests that are abandoned while they are delayed on their way to a backend.
//!
//! Incident: a backend started a request seconds after its client had disconnected. The network
//! path to the backend had been partitioned when the request was sent. Once it had healed, the
//! kernel of the router's machine delivered the buffered bytes and then closed the connection. Late
//! orders for weights had the same cause: abandoning a call here does not revoke its bytes.
//!
//! Evidence: a path that delays bytes, and drops them only if the sender has reset the connection,
//! delivered the complete request.

mod common;

use common::*;
use std::net::SocketAddrV4;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// A partitioned network path to a backend. Once it heals, buffered bytes arrive, unless their
/// sender has reset the connection.
struct Delayed {
    address: SocketAddrV4,
    /// A permit for each connection on which bytes were sent.
    sent: Arc<Semaphore>,
    /// A permit for each connection that its sender has ended.
    ended: Arc<Semaphore>,
    heals: Arc<Semaphore>,
    /// A permit for each connection that was delivered completely after the path healed.
    carried: Arc<Semaphore>,
}

impl Delayed {
    async fn before(backend: &FakeBackend) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else {
            unreachable!()
        };
        let permits = || Arc::new(Semaphore::new(0));
        let path = Delayed {
            address,
            sent: permits(),
            ended: permits(),
            heals: permits(),
            carried: permits(),
        };
        let (sent, ended) = (path.sent.clone(), path.ended.clone());
        let (heals, carried, target) = (path.heals.clone(), path.carried.clone(), backend.address);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (sent, ended, heals, carried) =
                    (sent.clone(), ended.clone(), heals.clone(), carried.clone());
                tokio::spawn(async move {
                    stream.readable().await.unwrap();
                    sent.add_permits(1);
                    has_ended(&stream).await;
                    ended.add_permits(1);
                    heals.acquire().await.unwrap().forget();
                    deliver(stream, target).await;
                    carried.add_permits(1);
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
    tokio::time::timeout(PATIENCE, permits.acquire())
        .await
        .expect("in time")
        .unwrap()
        .forget();
}

#[tokio::test]
async fn abandoned_request_never_reaches_backend() {
    let backend = FakeBackend::start(vec![Action::Respond(success("ok"))]).await;
    let path = Delayed::before(&backend).await;
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
    path.heals.add_permits(1);
    wait_for(&path.carried).await;
    assert_eq!(backend.count(), 0, "requests that reached the backend");
}

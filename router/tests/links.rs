//! Calls between routers: each response reaches its caller, whatever is late, duplicated,
//! unsolicited or missing.

use control::changes::{Change, Outcome, Rejection};
use router::frame::{read_frame, write_frame};
use router::links::Links;
use router::protocol::{Frame, Request, Response};
use router::traffic::Traffic;
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// Exceeds any delay on loopback; a test that waits this long has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of a call that times out.
const SHORT_TIMEOUT: Duration = Duration::from_millis(20);

/// A fake router at the other end of the connections.
struct Peer {
    listener: TcpListener,
    address: SocketAddrV4,
    traffic: Traffic,
}

impl Peer {
    async fn start() -> Self {
        Peer::listening(TcpListener::bind("127.0.0.1:0").await.unwrap())
    }

    fn listening(listener: TcpListener) -> Self {
        let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
            unreachable!()
        };
        Peer {
            listener,
            address,
            traffic: Traffic::default(),
        }
    }

    async fn connection(&self) -> TcpStream {
        tokio::time::timeout(TEST_TIMEOUT, self.listener.accept())
            .await
            .expect("a connection")
            .unwrap()
            .0
    }

    /// Receives the next call: its id and the version that it states.
    async fn receive_call(&self, stream: &mut TcpStream) -> (u32, u64) {
        let read = tokio::time::timeout(TEST_TIMEOUT, read_frame(stream, &self.traffic));
        match read.await.expect("a call").unwrap() {
            Frame::Request(
                id,
                Request::Submit {
                    change: Change::Weights { version, .. },
                    ..
                },
            ) => (id, version),
            other => panic!("{other:?}"),
        }
    }

    async fn respond(&self, stream: &mut TcpStream, id: u32, version: u64) {
        write_frame(
            stream,
            &Frame::Response(id, response_with(version)),
            &self.traffic,
        )
        .await
        .unwrap();
    }
}

fn call_with(version: u64) -> Request {
    Request::Submit {
        change: Change::Weights {
            model: "m".into(),
            version,
        },
        hops: 1,
    }
}

/// A response that states the version of its call.
fn response_with(version: u64) -> Response {
    Response::Outcome(Outcome::Rejected(Rejection::VersionConflict {
        current: version,
    }))
}

fn version_of(response: Option<Response>) -> Option<u64> {
    match response? {
        Response::Outcome(Outcome::Rejected(Rejection::VersionConflict { current })) => {
            Some(current)
        }
        other => panic!("{other:?}"),
    }
}

async fn call(links: &Arc<Links>, peer: &Peer, version: u64, time_limit: Duration) -> Option<u64> {
    version_of(
        links
            .call(peer.address, call_with(version), time_limit)
            .await,
    )
}

fn spawn_call(
    links: &Arc<Links>,
    peer: &Peer,
    version: u64,
) -> tokio::task::JoinHandle<Option<u64>> {
    let (links, address) = (links.clone(), peer.address);
    tokio::spawn(
        async move { version_of(links.call(address, call_with(version), TEST_TIMEOUT).await) },
    )
}

#[tokio::test]
async fn matches_reordered_responses() {
    let (peer, links) = (Peer::start().await, Arc::new(Links::default()));
    let calls: Vec<_> = (1..=20)
        .map(|version| spawn_call(&links, &peer, version))
        .collect();
    let mut stream = peer.connection().await;
    let mut ids = BTreeMap::new();
    for _ in 0..20 {
        let (id, version) = peer.receive_call(&mut stream).await;
        assert_eq!(ids.insert(id, version), None, "each call has its own id");
    }
    for (id, version) in ids.into_iter().rev() {
        peer.respond(&mut stream, id, version).await;
    }
    for (call, version) in calls.into_iter().zip(1..) {
        assert_eq!(call.await.unwrap(), Some(version));
    }
}

#[tokio::test]
async fn drops_late_duplicate_and_unsolicited_responses() {
    let (peer, links) = (Peer::start().await, Arc::new(Links::default()));
    let timed_out = call(&links, &peer, 1, SHORT_TIMEOUT);
    let (timed_out, mut stream) = tokio::join!(timed_out, peer.connection());
    assert_eq!(timed_out, None);
    let (first, _) = peer.receive_call(&mut stream).await;
    let waiting = spawn_call(&links, &peer, 2);
    let (second, _) = peer.receive_call(&mut stream).await;
    assert_ne!(first, second);
    // The first call's response arrives now, twice, and so do unsolicited ones.
    for id in [first, first, 0, u32::MAX] {
        peer.respond(&mut stream, id, 77).await;
    }
    assert!(!waiting.is_finished());
    peer.respond(&mut stream, second, 2).await;
    assert_eq!(waiting.await.unwrap(), Some(2));
    // A duplicate response does not answer another call.
    let next = spawn_call(&links, &peer, 3);
    let (third, _) = peer.receive_call(&mut stream).await;
    peer.respond(&mut stream, second, 77).await;
    peer.respond(&mut stream, third, 3).await;
    assert_eq!(next.await.unwrap(), Some(3));
}

#[tokio::test]
async fn broken_connection_fails_only_pending_calls() {
    let (peer, links) = (Peer::start().await, Arc::new(Links::default()));
    let broken = spawn_call(&links, &peer, 1);
    let mut stream = peer.connection().await;
    let (first, _) = peer.receive_call(&mut stream).await;
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
    assert_eq!(
        broken.await.unwrap(),
        None,
        "calls on a broken connection fail"
    );
    let next = spawn_call(&links, &peer, 2);
    let mut stream = peer.connection().await;
    let (second, version) = peer.receive_call(&mut stream).await;
    assert_eq!(version, 2, "the first call is not sent again");
    // The response to a call on the previous connection arrives on this one.
    peer.respond(&mut stream, first, 77).await;
    peer.respond(&mut stream, second, 2).await;
    assert_eq!(next.await.unwrap(), Some(2));
}

#[tokio::test]
async fn invalid_bytes_close_connection() {
    use tokio::io::AsyncWriteExt;
    let (peer, links) = (Peer::start().await, Arc::new(Links::default()));
    let pending = spawn_call(&links, &peer, 1);
    let mut stream = peer.connection().await;
    peer.receive_call(&mut stream).await;
    stream.write_all(&[0, 0, 0, 3, 9, 9, 9]).await.unwrap();
    assert_eq!(pending.await.unwrap(), None);
}

/// Guards against routers that don't reach each other for a quarter of a second after a start of all:
/// a peer that is just starting loses the SYN, which the kernel retransmits only after a second. The
/// peer's queue of new connections is full here, so that it loses SYNs as well.
#[tokio::test]
async fn call_reaches_peer_that_lost_first_syn() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let peer = Peer::listening(socket.listen(1).unwrap());
    let mut earlier = Vec::new();
    while let Ok(connected) = timeout(SHORT_TIMEOUT, TcpStream::connect(peer.address)).await {
        earlier.push(connected.unwrap());
    }
    let links = Arc::new(Links::default());
    let call = spawn_call(&links, &peer, 7);
    tokio::time::sleep(SHORT_TIMEOUT).await;
    for _ in &earlier {
        peer.connection().await;
    }
    let mut stream = peer.connection().await;
    let (id, version) = peer.receive_call(&mut stream).await;
    peer.respond(&mut stream, id, version).await;
    assert_eq!(call.await.unwrap(), Some(7));
}

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
use tokio::net::{TcpListener, TcpStream};

/// Long enough for anything on loopback; a test that waits for it has failed.
const PATIENCE: Duration = Duration::from_secs(10);
/// A caller that gives up soon.
const IMPATIENCE: Duration = Duration::from_millis(20);

/// The other router, played by the test.
struct Peer {
    listener: TcpListener,
    address: SocketAddrV4,
    traffic: Traffic,
}

impl Peer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
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
        tokio::time::timeout(PATIENCE, self.listener.accept())
            .await
            .expect("a connection")
            .unwrap()
            .0
    }

    /// The next call: its id and the version that it states.
    async fn question(&self, stream: &mut TcpStream) -> (u32, u64) {
        let read = tokio::time::timeout(PATIENCE, read_frame(stream, &self.traffic));
        match read.await.expect("a question").unwrap() {
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
            &Frame::Response(id, answer_to(version)),
            &self.traffic,
        )
        .await
        .unwrap();
    }
}

fn question(version: u64) -> Request {
    Request::Submit {
        change: Change::Weights {
            model: "m".into(),
            version,
        },
        hops: 1,
    }
}

/// A response that states the version of its call.
fn answer_to(version: u64) -> Response {
    Response::Outcome(Outcome::Rejected(Rejection::VersionConflict {
        current: version,
    }))
}

fn named(response: Option<Response>) -> Option<u64> {
    match response? {
        Response::Outcome(Outcome::Rejected(Rejection::VersionConflict { current })) => {
            Some(current)
        }
        other => panic!("{other:?}"),
    }
}

async fn ask(links: &Arc<Links>, peer: &Peer, version: u64, patience: Duration) -> Option<u64> {
    named(links.call(peer.address, question(version), patience).await)
}

fn asking(links: &Arc<Links>, peer: &Peer, version: u64) -> tokio::task::JoinHandle<Option<u64>> {
    let (links, address) = (links.clone(), peer.address);
    tokio::spawn(async move { named(links.call(address, question(version), PATIENCE).await) })
}

#[tokio::test]
async fn matches_reordered_responses() {
    let (peer, links) = (Peer::start().await, Arc::new(Links::default()));
    let asked: Vec<_> = (1..=20)
        .map(|version| asking(&links, &peer, version))
        .collect();
    let mut stream = peer.connection().await;
    let mut ids = BTreeMap::new();
    for _ in 0..20 {
        let (id, version) = peer.question(&mut stream).await;
        assert_eq!(
            ids.insert(id, version),
            None,
            "an id stands for one question"
        );
    }
    for (id, version) in ids.into_iter().rev() {
        peer.respond(&mut stream, id, version).await;
    }
    for (asked, version) in asked.into_iter().zip(1..) {
        assert_eq!(asked.await.unwrap(), Some(version));
    }
}

#[tokio::test]
async fn drops_late_duplicate_and_unsolicited_responses() {
    let (peer, links) = (Peer::start().await, Arc::new(Links::default()));
    let given_up = ask(&links, &peer, 1, IMPATIENCE);
    let (given_up, mut stream) = tokio::join!(given_up, peer.connection());
    assert_eq!(given_up, None);
    let (first, _) = peer.question(&mut stream).await;
    let waiting = asking(&links, &peer, 2);
    let (second, _) = peer.question(&mut stream).await;
    assert_ne!(first, second);
    // The first response comes now, twice, and so does an unsolicited one.
    for unasked in [first, first, 0, u32::MAX] {
        peer.respond(&mut stream, unasked, 77).await;
    }
    assert!(!waiting.is_finished());
    peer.respond(&mut stream, second, 2).await;
    assert_eq!(waiting.await.unwrap(), Some(2));
    // A duplicate response does not answer another call.
    let next = asking(&links, &peer, 3);
    let (third, _) = peer.question(&mut stream).await;
    peer.respond(&mut stream, second, 77).await;
    peer.respond(&mut stream, third, 3).await;
    assert_eq!(next.await.unwrap(), Some(3));
}

#[tokio::test]
async fn broken_connection_fails_only_pending_calls() {
    let (peer, links) = (Peer::start().await, Arc::new(Links::default()));
    let broken = asking(&links, &peer, 1);
    let mut stream = peer.connection().await;
    let (first, _) = peer.question(&mut stream).await;
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
    assert_eq!(
        broken.await.unwrap(),
        None,
        "nobody waits for a broken connection"
    );
    let next = asking(&links, &peer, 2);
    let mut stream = peer.connection().await;
    let (second, version) = peer.question(&mut stream).await;
    assert_eq!(version, 2, "the first question is not sent again");
    // The response to a call on the former connection comes on this one.
    peer.respond(&mut stream, first, 77).await;
    peer.respond(&mut stream, second, 2).await;
    assert_eq!(next.await.unwrap(), Some(2));
}

#[tokio::test]
async fn invalid_bytes_close_connection() {
    use tokio::io::AsyncWriteExt;
    let (peer, links) = (Peer::start().await, Arc::new(Links::default()));
    let asked = asking(&links, &peer, 1);
    let mut stream = peer.connection().await;
    peer.question(&mut stream).await;
    stream.write_all(&[0, 0, 0, 3, 9, 9, 9]).await.unwrap();
    assert_eq!(asked.await.unwrap(), None);
}

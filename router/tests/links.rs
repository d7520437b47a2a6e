//! Questions between routers: each answer reaches the one who asked, whatever comes late, twice,
//! unasked or not at all.

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
/// An asker that gives up soon.
const IMPATIENCE: Duration = Duration::from_millis(20);

/// The other router, played by hand.
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

    /// The next question: its id and the version that it names.
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

    async fn answer(&self, stream: &mut TcpStream, id: u32, version: u64) {
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

/// An answer that names the question.
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
    named(links.ask(peer.address, question(version), patience).await)
}

fn asking(links: &Arc<Links>, peer: &Peer, version: u64) -> tokio::task::JoinHandle<Option<u64>> {
    let (links, address) = (links.clone(), peer.address);
    tokio::spawn(async move { named(links.ask(address, question(version), PATIENCE).await) })
}

#[tokio::test]
async fn answers_in_another_order_reach_those_who_asked() {
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
        peer.answer(&mut stream, id, version).await;
    }
    for (asked, version) in asked.into_iter().zip(1..) {
        assert_eq!(asked.await.unwrap(), Some(version));
    }
}

#[tokio::test]
async fn an_answer_that_comes_late_or_twice_or_unasked_reaches_nobody_else() {
    let (peer, links) = (Peer::start().await, Arc::new(Links::default()));
    let given_up = ask(&links, &peer, 1, IMPATIENCE);
    let (given_up, mut stream) = tokio::join!(given_up, peer.connection());
    assert_eq!(given_up, None);
    let (first, _) = peer.question(&mut stream).await;
    let waiting = asking(&links, &peer, 2);
    let (second, _) = peer.question(&mut stream).await;
    assert_ne!(first, second);
    // The first answer comes now, twice; so does one that nobody asked for.
    for unasked in [first, first, 0, u32::MAX] {
        peer.answer(&mut stream, unasked, 77).await;
    }
    assert!(!waiting.is_finished());
    peer.answer(&mut stream, second, 2).await;
    assert_eq!(waiting.await.unwrap(), Some(2));
    // What was answered is not answered again by a further answer.
    let next = asking(&links, &peer, 3);
    let (third, _) = peer.question(&mut stream).await;
    peer.answer(&mut stream, second, 77).await;
    peer.answer(&mut stream, third, 3).await;
    assert_eq!(next.await.unwrap(), Some(3));
}

#[tokio::test]
async fn a_connection_that_breaks_between_question_and_answer_ends_the_question_and_not_the_next() {
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
    // The answer to the former connection's question comes on this one.
    peer.answer(&mut stream, first, 77).await;
    peer.answer(&mut stream, second, 2).await;
    assert_eq!(next.await.unwrap(), Some(2));
}

#[tokio::test]
async fn bytes_that_are_no_answer_end_the_connection_and_nobody_gets_them() {
    use tokio::io::AsyncWriteExt;
    let (peer, links) = (Peer::start().await, Arc::new(Links::default()));
    let asked = asking(&links, &peer, 1);
    let mut stream = peer.connection().await;
    peer.question(&mut stream).await;
    stream.write_all(&[0, 0, 0, 3, 9, 9, 9]).await.unwrap();
    assert_eq!(asked.await.unwrap(), None);
}

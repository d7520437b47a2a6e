//! Responses must not be mixed up, truncated or lost. The cases are a response that is sent before
//! the request body was read, bytes that belong to no request, a failure while a hedge is in
//! flight, a stream that exceeds the timeout of its route, and a reused client address.

mod common;

use common::*;
use poem::listener::Acceptor;
use router::listener::{ClientAcceptor, ClientConnections};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A body that does not fit into socket buffers.
const LONG_BODY: usize = 3 << 20;
/// Bytes of the body that a backend reads before it responds early.
const BYTES_BEFORE_EARLY_RESPONSE: usize = 1_000;

/// Reads the head of a request. Returns the head and the length of the body.
async fn read_head(stream: &mut TcpStream) -> Option<(String, usize)> {
    let mut text = Vec::new();
    let mut byte = [0; 1];
    while !text.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        text.push(byte[0]);
    }
    let head = String::from_utf8(text).expect("a head in plain text");
    let length = header(&head, "content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    Some((head, length))
}

/// Starts a backend that responds to each request before it has read the whole body: with `first`
/// to the first request of each connection, and with `next` to the following ones. The semaphore
/// gets a permit for each body that has been read completely.
async fn start_early_responder(
    first: String,
    next: String,
) -> (FakeBackend, Arc<tokio::sync::Semaphore>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!()
    };
    // Used only for its address and for counting requests.
    let mut backend = FakeBackend::start(vec![Action::Hang]).await;
    backend.address = address;
    let (requests, complete_bodies) = (
        backend.requests.clone(),
        Arc::new(tokio::sync::Semaphore::new(0)),
    );
    let complete = complete_bodies.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (requests, complete) = (requests.clone(), complete.clone());
            let answers = [first.clone(), next.clone()];
            tokio::spawn(async move {
                for answer in answers.iter().chain(std::iter::repeat(&answers[1])) {
                    let Some((head, length)) = read_head(&mut stream).await else {
                        return;
                    };
                    let id = header(&head, "x-request-id").expect("an id");
                    assert!(
                        head.starts_with("POST /"),
                        "not the start of a request: {head}"
                    );
                    requests.lock().unwrap().push(head);
                    let early = length.min(BYTES_BEFORE_EARLY_RESPONSE);
                    let mut body = vec![0; length];
                    stream.read_exact(&mut body[..early]).await.unwrap();
                    stream
                        .write_all(answer.replace("{id}", &id).as_bytes())
                        .await
                        .unwrap();
                    // The rest of the body is read while the next request may be in transit.
                    tokio::task::yield_now().await;
                    if stream.read_exact(&mut body[early..]).await.is_err() {
                        return;
                    }
                    assert!(
                        body.iter().all(|byte| *byte == b'b'),
                        "bytes that do not belong to the body were received in its place"
                    );
                    complete.add_permits(1);
                }
            });
        }
    });
    (backend, complete_bodies)
}

/// Sends a request with a body on a keep-alive connection.
async fn post(stream: &mut TcpStream, path: &str, id: u32, length: usize) {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-{id}\r\nX-Deadline-Ms: 5000\r\n\
         Content-Length: {length}\r\n{KEY}\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'b'; length]).await.unwrap();
}

async fn read_answer(stream: &mut TcpStream) -> (String, Vec<u8>) {
    let read = async {
        let (head, length) = read_head(stream).await.expect("an answer");
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await.unwrap();
        (head, body)
    };
    tokio::time::timeout(TEST_TIMEOUT, read)
        .await
        .expect("an answer in time")
}

#[tokio::test]
async fn early_response_does_not_truncate_request_body() {
    let early_success = success("early");
    let early_refusal = answer("503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
    for (first, expected) in [(early_success, "200"), (early_refusal, "503")] {
        for length in [BYTES_BEFORE_EARLY_RESPONSE - 1, 20_000, LONG_BODY] {
            let (backend, complete) = start_early_responder(first.clone(), success("next")).await;
            let router = Router::start(&[&backend]).await;
            let mut client = TcpStream::connect(router.address).await.unwrap();
            post(&mut client, "/unsafe/", 1, length).await;
            let (head, _) = read_answer(&mut client).await;
            assert_eq!(status(&head), expected, "{head}");
            for id in 2..6 {
                post(&mut client, "/unsafe/", id, 100).await;
                let (head, body) = read_answer(&mut client).await;
                // A connection on which the backend still reads the body is not reused, and a new
                // connection starts with the `first` response.
                let expected_id = format!("id-{id}");
                assert_eq!(
                    header(&head, "x-request-id").as_deref(),
                    Some(expected_id.as_str()).filter(|_| status(&head) == "200"),
                    "{head}"
                );
                assert!(
                    status(&head) == "503" || body == b"next" || body == b"early",
                    "{head}"
                );
            }
            // The backend checks the contents of each body that it has read completely.
            let permit = tokio::time::timeout(TEST_TIMEOUT, complete.acquire_many(2)).await;
            permit
                .expect("bodies are read completely")
                .unwrap()
                .forget();
        }
    }
}

#[tokio::test]
async fn rejects_response_of_another_request() {
    let twice = success("first") + &success("first").replace("{id}", "id-of-another");
    let backend = FakeBackend::start(vec![
        Action::Respond(twice.clone()),
        Action::Respond(success("second")),
    ])
    .await;
    let router = Router::start(&[&backend]).await;
    let mut client = TcpStream::connect(router.address).await.unwrap();
    post(&mut client, "/unsafe/", 1, 4).await;
    let (_, body) = read_answer(&mut client).await;
    assert_eq!(body, b"first");
    post(&mut client, "/unsafe/", 2, 4).await;
    let (head, body) = read_answer(&mut client).await;
    assert!(
        status(&head) == "502" && body.is_empty() || body == b"second",
        "{head}"
    );
    assert!(
        backend.count() <= 2,
        "a request that may have been executed is not sent again"
    );
}

/// Starts a server that acts as two backends. Once both the first attempt and its hedge have
/// arrived, the first attempt fails, and some time later the hedge succeeds.
async fn start_failing_then_succeeding() -> std::net::SocketAddrV4 {
    /// Number of scheduler yields between the two responses.
    const YIELDS: usize = 2_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!()
    };
    tokio::spawn(async move {
        let mut streams = Vec::new();
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (head, length) = read_head(&mut stream).await.expect("a request");
            stream.read_exact(&mut vec![0; length]).await.unwrap();
            streams.push((stream, header(&head, "x-request-id").expect("an id")));
        }
        let failure = answer("500 Internal Server Error", "X-Response-Seal: s\r\n", "why");
        for ((stream, id), answer) in streams.iter_mut().zip([failure, success("from the hedge")]) {
            stream
                .write_all(answer.replace("{id}", id).as_bytes())
                .await
                .unwrap();
            for _ in 0..YIELDS {
                tokio::task::yield_now().await;
            }
        }
        // Keep the connection open until the router closes it.
        let _ = streams[1].0.read(&mut [0; 1]).await;
    });
    address
}

#[tokio::test]
async fn failure_waits_for_hedge() {
    let address = start_failing_then_succeeding().await;
    let mut backends = [
        FakeBackend::start(vec![Action::Hang]).await,
        FakeBackend::start(vec![Action::Hang]).await,
    ];
    backends
        .iter_mut()
        .for_each(|backend| backend.address = address);
    let router = Router::start(&[&backends[0], &backends[1]]).await;
    let answer = router.response_to("/safe/", KEY).await;
    assert_eq!(
        (status(&answer), body(&answer)),
        ("200", "from the hedge"),
        "{answer}"
    );
}

#[tokio::test]
async fn stream_past_deadline_is_aborted() {
    let begun = format!("{STREAM_HEAD}{}", event(1));
    let backend = FakeBackend::start(vec![Action::Respond(begun), Action::Hang]).await;
    let router = Router::start(&[&backend]).await;
    let short_timeout = CONFIGURATION
        .replace("\"version\":1", "\"version\":2")
        .replace(
            "\"pathPrefix\":\"/stream/\",\"kind\":\"streaming\",\"timeoutMs\":3000",
            "\"pathPrefix\":\"/stream/\",\"kind\":\"streaming\",\"timeoutMs\":300",
        );
    assert!(short_timeout.contains("\"timeoutMs\":300,"));
    publish(&router.fleet, 2, &short_timeout);
    let started_at = tokio::time::Instant::now();
    let answer = router.response_to("/stream/", KEY).await;
    assert!(
        started_at.elapsed() < Duration::from_secs(2),
        "the stream ends at the timeout of the route, not at the deadline of the client"
    );
    assert!(
        answer.contains("data: piece 1\n\n") && !answer.ends_with(END),
        "{answer}"
    );
}

/// A client resets its connection and reconnects from the same port. When the first connection
/// ends, the state of the second one must be kept, as it is needed to abort that connection.
#[tokio::test]
async fn reused_client_address_can_be_aborted() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = listener.local_addr().unwrap();
    let connections = ClientConnections::default();
    let mut acceptor =
        ClientAcceptor::new(listener, connections.clone(), Arc::new(|| TEST_TIMEOUT));
    let connect = |port: u16| async move {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket
            .bind(SocketAddr::from(([127, 0, 0, 1], port)))
            .unwrap();
        let stream = socket.connect(server).await.unwrap();
        socket2::SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        stream
    };
    let first = connect(0).await;
    let remote = first.local_addr().unwrap();
    let (first_stream, ..) = acceptor.accept().await.unwrap();
    drop(first);
    let _second = connect(remote.port()).await;
    let (mut second_stream, ..) = acceptor.accept().await.unwrap();
    drop(first_stream);
    connections.get(Some(&remote)).abort();
    assert!(
        second_stream
            .write_all(b"the end of a response")
            .await
            .is_err(),
        "an aborted connection must not be written to"
    );
}

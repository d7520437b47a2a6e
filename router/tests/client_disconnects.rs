//! Requests of disconnected clients are cancelled at the backends.
//!
//! Guards against a failure in which backends continued the work of disconnected clients, in one
//! case until 1.2 s after the disconnect and with a hedge sent meanwhile. After a connection has
//! failed, the HTTP server library polls it once more for an orderly shutdown, which continues the
//! request. In each of 784 observed cases the router read the end of the connection immediately,
//! but did not cancel the request: only a failing write or the deadline ended it. A test that waits
//! for longer than the deadline cannot detect this, so the time limit here is far below it.

mod common;

use common::*;
use router::counters::Event;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time limit for cancelling a request, far below the timeouts of the routes and of the requests.
const CANCELLATION_TIMEOUT: Duration = Duration::from_millis(500);

/// The usual routes with a timeout of 60 s, which no test waits for.
fn long_timeout_configuration() -> String {
    CONFIGURATION.replace("\"timeoutMs\":3000", "\"timeoutMs\":60000")
}

fn request(path: &str, framing: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\nX-Deadline-Ms: 60000\r\n{KEY}{framing}\r\n{body}"
    )
}

fn plain_request(path: &str) -> String {
    request(path, "Content-Length: 4\r\n", "body")
}

async fn connect(router: &Router) -> TcpStream {
    TcpStream::connect(router.address).await.unwrap()
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let reached = async {
        while !condition() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, reached)
        .await
        .expect("the condition is met in time");
}

async fn is_cancelled(backend: &FakeBackend) -> bool {
    let given_up =
        tokio::time::timeout(CANCELLATION_TIMEOUT, backend.closed_by_caller.acquire()).await;
    given_up.is_ok_and(|permit| permit.map(|permit| permit.forget()).is_ok())
}

/// Disconnects a client while one of its requests waits for the head of a response.
async fn disconnects_before_response(first: &str, then: Option<&str>) -> bool {
    let actions = match then {
        Some(_) => vec![Action::Respond(success("ok")), Action::Hang],
        None => vec![Action::Hang],
    };
    let backend = FakeBackend::start(actions).await;
    let router = Router::start_with(&long_timeout_configuration(), &[&backend]).await;
    let mut client = connect(&router).await;
    client.write_all(first.as_bytes()).await.unwrap();
    if let Some(then) = then {
        let mut answer = [0; 4096];
        assert!(client.read(&mut answer).await.unwrap() > 0);
        client.write_all(then.as_bytes()).await.unwrap();
    }
    let expected = 1 + usize::from(then.is_some());
    wait_until(|| backend.count() == expected).await;
    drop(client);
    is_cancelled(&backend).await
}

/// Disconnects a client that has sent further bytes, such as part of its next request, while its
/// first request waits for the head of a response.
async fn disconnects_after_pipelined_bytes(pipelined: &str) -> bool {
    let backend = FakeBackend::start(vec![Action::Hang]).await;
    let router = Router::start_with(&long_timeout_configuration(), &[&backend]).await;
    let mut client = connect(&router).await;
    let sent = plain_request("/unsafe/") + pipelined;
    client.write_all(sent.as_bytes()).await.unwrap();
    wait_until(|| backend.count() == 1).await;
    drop(client);
    is_cancelled(&backend).await
}

/// Disconnects a client while its request has a hedge in flight. Both attempts must be cancelled.
async fn disconnects_with_hedge_in_flight() -> bool {
    let (first, second) = (
        FakeBackend::start(vec![Action::Hang]).await,
        FakeBackend::start(vec![Action::Hang]).await,
    );
    let router = Router::start_with(&long_timeout_configuration(), &[&first, &second]).await;
    let mut client = connect(&router).await;
    client
        .write_all(plain_request("/safe/").as_bytes())
        .await
        .unwrap();
    wait_until(|| first.count() == 1 && second.count() == 1).await;
    drop(client);
    let have_ended = is_cancelled(&first).await && is_cancelled(&second).await;
    have_ended
        && first.count() + second.count() == 2
        && router.fleet.counters.get(Event::AttemptSent) == 2
}

/// Disconnects a client in the middle of a stream whose backend sends nothing more.
async fn disconnects_during_stream() -> bool {
    let begun = format!("{STREAM_HEAD}{}", event(1));
    let backend = FakeBackend::start(vec![Action::RespondAndHang(begun)]).await;
    let router = Router::start_with(&long_timeout_configuration(), &[&backend]).await;
    let mut client = connect(&router).await;
    client
        .write_all(plain_request("/stream/").as_bytes())
        .await
        .unwrap();
    let mut answer = [0; 4096];
    assert!(client.read(&mut answer).await.unwrap() > 0);
    drop(client);
    is_cancelled(&backend).await
}

/// Disconnects a client while its stream, which broke at one backend, waits to be resumed by
/// another.
async fn disconnects_while_stream_resumes() -> bool {
    let half = format!("{STREAM_HEAD}{}", event(1));
    let backend = FakeBackend::start(vec![Action::RespondAndReset(half), Action::Hang]).await;
    let other = backend.clone();
    let router = Router::start_with(&long_timeout_configuration(), &[&backend, &other]).await;
    let mut client = connect(&router).await;
    client
        .write_all(plain_request("/resumable/").as_bytes())
        .await
        .unwrap();
    wait_until(|| backend.count() == 2).await;
    drop(client);
    is_cancelled(&backend).await
}

#[tokio::test]
async fn cancels_work_of_disconnected_clients() {
    let plain = plain_request("/unsafe/");
    let chunked = request(
        "/unsafe/",
        "Transfer-Encoding: chunked\r\n",
        "4\r\nbody\r\n0\r\n\r\n",
    );
    let outcomes = [
        (
            "waiting for a response",
            disconnects_before_response(&plain, None).await,
        ),
        (
            "waiting for a response to a chunked request",
            disconnects_before_response(&chunked, None).await,
        ),
        (
            "waiting for a response to a later request on the connection",
            disconnects_before_response(&plain, Some(&plain)).await,
        ),
        (
            "part of the next request was sent",
            disconnects_after_pipelined_bytes("POST /uns").await,
        ),
        (
            "the next request was sent",
            disconnects_after_pipelined_bytes(&plain).await,
        ),
        (
            "more bytes were sent than the server reads ahead",
            disconnects_after_pipelined_bytes(&"x".repeat(100_000)).await,
        ),
        (
            "a hedge was in flight",
            disconnects_with_hedge_in_flight().await,
        ),
        ("relaying a stream", disconnects_during_stream().await),
        (
            "resuming a stream at another backend",
            disconnects_while_stream_resumes().await,
        ),
    ];
    let failed: Vec<&str> = outcomes
        .iter()
        .filter(|(_, ended)| !ended)
        .map(|(stage, _)| *stage)
        .collect();
    assert!(
        failed.is_empty(),
        "requests were not cancelled after the client disconnected: {failed:?}"
    );
}

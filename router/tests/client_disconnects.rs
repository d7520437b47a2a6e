//! Incident: backends continued the work of disconnected clients. In one case a client closed its
//! connection 0.08 s after its request, the router sent a hedge to a second backend 0.19 s later,
//! relayed the first response, and the execution ended 1.2 s after nobody was there to read it.
//!
//! Evidence: with every read of client sockets logged, the end of the connection was read
//! immediately in each of 784 such cases, and in none was the request's task cancelled. Cause: the
//! HTTP server library ends the connection's future with an error and then polls it once more for
//! an orderly shutdown, which continues the request. An abandoned request was only detected by a
//! failing write or by the deadline. The former test of this behaviour waited for longer than the
//! deadline.

mod common;

use common::*;
use router::counters::Event;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Far below the time-outs used here: whatever only ends by a time-out is too late.
const SOON: Duration = Duration::from_millis(500);

/// The usual routes, with time-outs that no test waits for.
fn patient_configuration() -> String {
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

async fn until(mut is_so: impl FnMut() -> bool) {
    let reached = async {
        while !is_so() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, reached)
        .await
        .expect("it comes about");
}

async fn is_given_up(backend: &FakeBackend) -> bool {
    let given_up = tokio::time::timeout(SOON, backend.closed_by_caller.acquire()).await;
    given_up.is_ok_and(|permit| permit.map(|permit| permit.forget()).is_ok())
}

/// Disconnects a client while one of its requests waits for the head of a response.
async fn disconnects_before_response(first: &str, then: Option<&str>) -> bool {
    let actions = match then {
        Some(_) => vec![Action::Respond(success("ok")), Action::Hang],
        None => vec![Action::Hang],
    };
    let backend = FakeBackend::start(actions).await;
    let router = Router::start_with(&patient_configuration(), &[&backend]).await;
    let mut client = connect(&router).await;
    client.write_all(first.as_bytes()).await.unwrap();
    if let Some(then) = then {
        let mut answer = [0; 4096];
        assert!(client.read(&mut answer).await.unwrap() > 0);
        client.write_all(then.as_bytes()).await.unwrap();
    }
    let expected = 1 + usize::from(then.is_some());
    until(|| backend.count() == expected).await;
    drop(client);
    is_given_up(&backend).await
}

/// Disconnects a client that has sent the beginning of its next request, or all of it, while its
/// first one waits for the head of a response.
async fn disconnects_behind_further_bytes(further: &str) -> bool {
    let backend = FakeBackend::start(vec![Action::Hang]).await;
    let router = Router::start_with(&patient_configuration(), &[&backend]).await;
    let mut client = connect(&router).await;
    let sent = plain_request("/unsafe/") + further;
    client.write_all(sent.as_bytes()).await.unwrap();
    until(|| backend.count() == 1).await;
    drop(client);
    is_given_up(&backend).await
}

/// Disconnects a client while its request has a hedge in flight: both attempts have to end.
async fn disconnects_with_hedge_in_flight() -> bool {
    let (first, second) = (
        FakeBackend::start(vec![Action::Hang]).await,
        FakeBackend::start(vec![Action::Hang]).await,
    );
    let router = Router::start_with(&patient_configuration(), &[&first, &second]).await;
    let mut client = connect(&router).await;
    client
        .write_all(plain_request("/safe/").as_bytes())
        .await
        .unwrap();
    until(|| first.count() == 1 && second.count() == 1).await;
    drop(client);
    let have_ended = is_given_up(&first).await && is_given_up(&second).await;
    have_ended
        && first.count() + second.count() == 2
        && router.fleet.counters.get(Event::AttemptSent) == 2
}

/// Disconnects a client in the middle of a stream whose backend sends nothing more.
async fn disconnects_during_stream() -> bool {
    let begun = format!("{STREAM_HEAD}{}", event(1));
    let backend = FakeBackend::start(vec![Action::RespondAndHang(begun)]).await;
    let router = Router::start_with(&patient_configuration(), &[&backend]).await;
    let mut client = connect(&router).await;
    client
        .write_all(plain_request("/stream/").as_bytes())
        .await
        .unwrap();
    let mut answer = [0; 4096];
    assert!(client.read(&mut answer).await.unwrap() > 0);
    drop(client);
    is_given_up(&backend).await
}

/// Disconnects a client while its stream, which broke at one backend, waits to be resumed by
/// another.
async fn disconnects_while_stream_resumes() -> bool {
    let half = format!("{STREAM_HEAD}{}", event(1));
    let backend = FakeBackend::start(vec![Action::RespondAndReset(half), Action::Hang]).await;
    let other = backend.clone();
    let router = Router::start_with(&patient_configuration(), &[&backend, &other]).await;
    let mut client = connect(&router).await;
    client
        .write_all(plain_request("/resumable/").as_bytes())
        .await
        .unwrap();
    until(|| backend.count() == 2).await;
    drop(client);
    is_given_up(&backend).await
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
            "it waits for an answer",
            disconnects_before_response(&plain, None).await,
        ),
        (
            "its body came in chunks",
            disconnects_before_response(&chunked, None).await,
        ),
        (
            "it is a later request of its connection",
            disconnects_before_response(&plain, Some(&plain)).await,
        ),
        (
            "it has begun another request",
            disconnects_behind_further_bytes("POST /uns").await,
        ),
        (
            "it has sent another request",
            disconnects_behind_further_bytes(&plain).await,
        ),
        (
            "it has sent more than is read ahead",
            disconnects_behind_further_bytes(&"x".repeat(100_000)).await,
        ),
        (
            "a copy is pending",
            disconnects_with_hedge_in_flight().await,
        ),
        ("it reads a stream", disconnects_during_stream().await),
        (
            "its stream is taken up elsewhere",
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
        "work goes on for a client that left while: {failed:?}"
    );
}

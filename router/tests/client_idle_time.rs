//! Clients' connections may be idle for as long as the configuration in force allows.
//!
//! Guards against routers that close idle connections earlier than configured (after 20 s where a
//! minute was configured), possibly while a request is in transit.

mod common;

use common::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

fn configuration(idle_timeout_ms: u64) -> String {
    let limits = format!(r#"{{"version":1,"limits":{{"idleTimeoutMs":{idle_timeout_ms}}},"#);
    CONFIGURATION.replacen(r#"{"version":1,"#, &limits, 1)
}

async fn connect(router: &Router) -> TcpStream {
    TcpStream::connect(router.address).await.unwrap()
}

async fn send(client: &mut TcpStream, deadline_ms: u64) {
    let request = format!(
        "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\nX-Deadline-Ms: {deadline_ms}\r\n{KEY}\
         Content-Length: 4\r\n\r\nbody"
    );
    client.write_all(request.as_bytes()).await.unwrap();
}

async fn read_some(client: &mut TcpStream) -> String {
    let mut bytes = [0; 4096];
    let read = tokio::time::timeout(TEST_TIMEOUT, client.read(&mut bytes)).await;
    let count = read
        .expect("a response or the end of the connection in time")
        .unwrap_or(0);
    String::from_utf8_lossy(&bytes[..count]).into_owned()
}

#[tokio::test]
async fn idle_connection_is_kept_as_long_as_configured() {
    const IDLE: Duration = Duration::from_secs(48);
    let backend = FakeBackend::start(vec![Action::Respond(success("ok"))]).await;
    let router = Router::start_with(&configuration(60_000), &[&backend]).await;
    let mut client = connect(&router).await;
    send(&mut client, 5_000).await;
    assert_eq!(status(&read_some(&mut client).await), "200");
    tokio::time::pause();
    tokio::time::advance(IDLE).await;
    tokio::time::resume();
    // A task that would close the connection runs before the next request.
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    send(&mut client, 5_000).await;
    assert_eq!(status(&read_some(&mut client).await), "200");
}

#[tokio::test]
async fn idle_connection_is_closed_after_configured_time() {
    const IDLE_MS: u64 = 300;
    let backend = FakeBackend::start(vec![Action::Respond(success("ok"))]).await;
    let router = Router::start_with(&configuration(IDLE_MS), &[&backend]).await;
    for requests in [0, 1, 3] {
        let mut client = connect(&router).await;
        for _ in 0..requests {
            send(&mut client, 5_000).await;
            assert_eq!(status(&read_some(&mut client).await), "200");
        }
        let idle_since = Instant::now();
        assert_eq!(
            read_some(&mut client).await,
            "",
            "after {requests} requests"
        );
        let idle = idle_since.elapsed();
        assert!(
            idle >= Duration::from_millis(IDLE_MS * 4 / 5),
            "closed before the configured time: {idle:?}"
        );
    }
}

#[tokio::test]
async fn pending_request_is_not_idle() {
    const IDLE_MS: u64 = 100;
    const DEADLINE_MS: u64 = 600;
    let backend = FakeBackend::start(vec![Action::Hang]).await;
    let router = Router::start_with(&configuration(IDLE_MS), &[&backend]).await;
    let mut client = connect(&router).await;
    send(&mut client, DEADLINE_MS).await;
    assert_eq!(status(&read_some(&mut client).await), "504");
}

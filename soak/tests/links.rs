//! Partitions of links to backends: bytes that are sent in that time arrive afterwards, except
//! on connections that were reset.

use soak::link::Link;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};

/// The time-out of each step of a test.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a target for a link. Returns its address, and a receiver of all bytes of each connection
/// that has closed.
async fn start_target() -> (SocketAddrV4, tokio::sync::mpsc::UnboundedReceiver<Vec<u8>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port());
    let (sender, received) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move {
                let mut bytes = vec![0; 64];
                let mut all = Vec::new();
                while let Ok(count @ 1..) = stream.read(&mut bytes).await {
                    all.extend_from_slice(&bytes[..count]);
                    // Acknowledges the bytes, so that the client can wait for their arrival.
                    let _ = stream.write_all(b"+").await;
                }
                let _ = sender.send(all);
            });
        }
    });
    (address, received)
}

async fn connect(link: &Link) -> TcpStream {
    TcpStream::connect(link.address).await.unwrap()
}

async fn wait_for_acknowledgements(stream: &mut TcpStream, count: usize) {
    let mut bytes = vec![0; count];
    tokio::time::timeout(TIMEOUT, stream.read_exact(&mut bytes))
        .await
        .expect("time-out")
        .unwrap();
}

async fn next_received(received: &mut tokio::sync::mpsc::UnboundedReceiver<Vec<u8>>) -> String {
    let all = tokio::time::timeout(TIMEOUT, received.recv())
        .await
        .expect("time-out")
        .unwrap();
    String::from_utf8(all).unwrap()
}

#[tokio::test]
async fn forwards_bytes_after_a_partition() {
    let (target, mut received) = start_target().await;
    let link = Link::to(target).await.unwrap();
    let mut existing = connect(&link).await;
    existing.write_all(b"a").await.unwrap();
    wait_for_acknowledgements(&mut existing, 1).await;
    link.set_partitioned(true);
    existing.write_all(b"b").await.unwrap();
    // Held back as well, as on the existing connection.
    let mut new = connect(&link).await;
    new.write_all(b"c").await.unwrap();
    new.shutdown().await.unwrap();
    existing.shutdown().await.unwrap();
    assert!(
        existing.try_read(&mut [0; 1]).is_err(),
        "no acknowledgement arrives during the partition"
    );
    link.set_partitioned(false);
    let mut all = [
        next_received(&mut received).await,
        next_received(&mut received).await,
    ];
    all.sort();
    assert_eq!(all, ["ab", "c"]);
}

#[tokio::test]
async fn drops_bytes_of_reset_connections() {
    let (target, mut received) = start_target().await;
    let link = Link::to(target).await.unwrap();
    let mut existing = connect(&link).await;
    existing.write_all(b"a").await.unwrap();
    wait_for_acknowledgements(&mut existing, 1).await;
    link.set_partitioned(true);
    let mut new = connect(&link).await;
    for stream in [&mut existing, &mut new] {
        stream.write_all(b"b").await.unwrap();
        stream.ready(Interest::WRITABLE).await.unwrap();
        stream.set_zero_linger().unwrap();
    }
    drop((existing, new));
    link.set_partitioned(false);
    assert_eq!(next_received(&mut received).await, "a");
    let mut last = connect(&link).await;
    last.write_all(b"c").await.unwrap();
    wait_for_acknowledgements(&mut last, 1).await;
    drop(last);
    assert_eq!(
        next_received(&mut received).await,
        "c",
        "a connection that was reset before it was relayed reached the target"
    );
}

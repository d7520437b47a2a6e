//! Partitions of links to backends: bytes sent meanwhile arrive afterwards, except those of reset
//! connections.

use soak::link::Link;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};

/// Nothing in these tests takes longer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A listener that tells of each connection all that came on it, once it has ended.
async fn far_side() -> (SocketAddrV4, tokio::sync::mpsc::UnboundedReceiver<Vec<u8>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port());
    let (tell, told) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let tell = tell.clone();
            tokio::spawn(async move {
                let mut bytes = vec![0; 64];
                let mut all = Vec::new();
                while let Ok(count @ 1..) = stream.read(&mut bytes).await {
                    all.extend_from_slice(&bytes[..count]);
                    // Whatever came is answered, so that the near side can tell.
                    let _ = stream.write_all(b"+").await;
                }
                let _ = tell.send(all);
            });
        }
    });
    (address, told)
}

async fn connect(link: &Link) -> TcpStream {
    TcpStream::connect(link.address).await.unwrap()
}

async fn answers(stream: &mut TcpStream, count: usize) {
    let mut bytes = vec![0; count];
    tokio::time::timeout(TIMEOUT, stream.read_exact(&mut bytes))
        .await
        .expect("in time")
        .unwrap();
}

async fn next(told: &mut tokio::sync::mpsc::UnboundedReceiver<Vec<u8>>) -> String {
    let all = tokio::time::timeout(TIMEOUT, told.recv())
        .await
        .expect("in time")
        .unwrap();
    String::from_utf8(all).unwrap()
}

#[tokio::test]
async fn forwards_bytes_after_a_partition() {
    let (target, mut told) = far_side().await;
    let link = Link::to(target).await.unwrap();
    let mut used = connect(&link).await;
    used.write_all(b"a").await.unwrap();
    answers(&mut used, 1).await;
    link.set_partitioned(true);
    used.write_all(b"b").await.unwrap();
    // In order behind both, also on a connection that is made meanwhile.
    let mut new = connect(&link).await;
    new.write_all(b"c").await.unwrap();
    new.shutdown().await.unwrap();
    used.shutdown().await.unwrap();
    assert!(used.try_read(&mut [0; 1]).is_err(), "nothing comes back");
    link.set_partitioned(false);
    let mut all = [next(&mut told).await, next(&mut told).await];
    all.sort();
    assert_eq!(all, ["ab", "c"]);
}

#[tokio::test]
async fn drops_bytes_of_reset_connections() {
    let (target, mut told) = far_side().await;
    let link = Link::to(target).await.unwrap();
    let mut used = connect(&link).await;
    used.write_all(b"a").await.unwrap();
    answers(&mut used, 1).await;
    link.set_partitioned(true);
    let mut new = connect(&link).await;
    for stream in [&mut used, &mut new] {
        stream.write_all(b"b").await.unwrap();
        stream.ready(Interest::WRITABLE).await.unwrap();
        stream.set_zero_linger().unwrap();
    }
    drop((used, new));
    link.set_partitioned(false);
    assert_eq!(next(&mut told).await, "a");
    let mut last = connect(&link).await;
    last.write_all(b"c").await.unwrap();
    answers(&mut last, 1).await;
    drop(last);
    assert_eq!(
        next(&mut told).await,
        "c",
        "the connection that was reset before it came up never did"
    );
}

//! The link from routers to one backend: a relay that can be partitioned for a while.
//!
//! Bytes that are sent during a partition are held back and arrive afterwards, as from the send
//! buffers of an operating system. Bytes on a connection that is reset in the meantime are lost.

use std::io;
use std::net::SocketAddrV4;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// The maximum number of bytes in one read.
const BUFFER_BYTES: usize = 16 << 10;

/// A link. Dropping it closes its connections.
#[derive(Debug)]
pub struct Link {
    /// The address that routers connect to.
    pub address: SocketAddrV4,
    is_partitioned: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Link {
    /// Creates a link to a listener, on another port of the same IP address.
    ///
    /// # Errors
    /// The listener cannot be opened.
    pub async fn to(target: SocketAddrV4) -> io::Result<Self> {
        let listener = TcpListener::bind((*target.ip(), 0)).await?;
        let address = SocketAddrV4::new(*target.ip(), listener.local_addr()?.port());
        let (is_partitioned, partitions) = watch::channel(false);
        let task = tokio::spawn(relay(listener, target, partitions));
        Ok(Link {
            address,
            is_partitioned,
            task,
        })
    }

    /// Starts or ends a partition.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.send_replace(is_partitioned);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay(listener: TcpListener, target: SocketAddrV4, partitions: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        connections.spawn(relay_connection(stream, target, partitions.clone()));
    }
}

/// Relays a connection until either side ends it.
async fn relay_connection(
    mut router: TcpStream,
    target: SocketAddrV4,
    partitions: watch::Receiver<bool>,
) {
    if !wait_until_reachable(&mut partitions.clone()).await || was_reset(&router) {
        return;
    }
    let Ok(mut backend) = TcpStream::connect(target).await else {
        return;
    };
    if router.set_nodelay(true).is_err() || backend.set_nodelay(true).is_err() {
        return;
    }
    let (from_router, to_router) = router.split();
    let (from_backend, to_backend) = backend.split();
    tokio::select! {
        () = forward(from_router, to_backend, partitions.clone()) => {}
        () = forward(from_backend, to_router, partitions) => {}
    }
}

/// Forwards the bytes of one direction until the sender closes the connection. During a partition
/// neither data nor the end of the stream is read.
async fn forward(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut partitions: watch::Receiver<bool>,
) {
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        if from.readable().await.is_err()
            || !wait_until_reachable(&mut partitions).await
            || was_reset(from.as_ref())
        {
            return;
        }
        match from.read(&mut bytes).await {
            Ok(count) if count > 0 && to.write_all(&bytes[..count]).await.is_ok() => {}
            _ => return,
        }
    }
}

/// Waits until the link is not partitioned. Returns false if the link has been dropped.
async fn wait_until_reachable(partitions: &mut watch::Receiver<bool>) -> bool {
    partitions
        .wait_for(|is_partitioned| !*is_partitioned)
        .await
        .is_ok()
}

/// Whether the peer has reset the connection, so that its bytes in flight are lost.
fn was_reset(stream: &TcpStream) -> bool {
    !matches!(stream.take_error(), Ok(None))
}

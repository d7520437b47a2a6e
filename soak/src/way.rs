//! The way from routers to one backend: a relay that can be cut for a while without a word.
//!
//! What is sent meanwhile is held up, and arrives when the way has healed, as a system sends on
//! what it still holds. What its sender has reset until then is lost.

use std::io;
use std::net::SocketAddrV4;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// What is read at once.
const BUFFER: usize = 16 << 10;

/// A way. Its connections end with it.
#[derive(Debug)]
pub struct Way {
    /// Where routers connect.
    pub address: SocketAddrV4,
    is_cut: watch::Sender<bool>,
    carrying: JoinHandle<()>,
}

impl Way {
    /// A way to a listener, from an address of the same machine.
    pub async fn to(target: SocketAddrV4) -> io::Result<Self> {
        let listener = TcpListener::bind((*target.ip(), 0)).await?;
        let address = SocketAddrV4::new(*target.ip(), listener.local_addr()?.port());
        let (is_cut, cuts) = watch::channel(false);
        let carrying = tokio::spawn(carry(listener, target, cuts));
        Ok(Way {
            address,
            is_cut,
            carrying,
        })
    }

    /// Cuts the way, or heals it.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }
}

impl Drop for Way {
    fn drop(&mut self) {
        self.carrying.abort();
    }
}

async fn carry(listener: TcpListener, target: SocketAddrV4, cuts: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        connections.spawn(carry_connection(stream, target, cuts.clone()));
    }
}

/// Carries a connection until either side ends it.
async fn carry_connection(
    mut router: TcpStream,
    target: SocketAddrV4,
    cuts: watch::Receiver<bool>,
) {
    if !heals(&mut cuts.clone()).await || was_reset(&router) {
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
        () = pass(from_router, to_backend, cuts.clone()) => {}
        () = pass(from_backend, to_router, cuts) => {}
    }
}

/// Passes bytes of one direction until its sender has ended the connection. While the way is cut
/// nothing is read, not even that.
async fn pass(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, mut cuts: watch::Receiver<bool>) {
    let mut bytes = vec![0; BUFFER];
    loop {
        if from.readable().await.is_err() || !heals(&mut cuts).await || was_reset(from.as_ref()) {
            return;
        }
        match from.read(&mut bytes).await {
            Ok(count) if count > 0 && to.write_all(&bytes[..count]).await.is_ok() => {}
            _ => return,
        }
    }
}

/// Comes back when the way is not cut. False where it has ended.
async fn heals(cuts: &mut watch::Receiver<bool>) -> bool {
    cuts.wait_for(|is_cut| !*is_cut).await.is_ok()
}

/// Whether the other side has reset the connection: what it had sent before is lost.
fn was_reset(stream: &TcpStream) -> bool {
    !matches!(stream.take_error(), Ok(None))
}

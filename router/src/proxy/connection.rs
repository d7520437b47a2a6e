//! One connection to a backend: what was written on it, and whether it can be used again.

use crate::socket;
use bytes::Bytes;
use control::Millis;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Why a request got no answer on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of it was written: it has not run.
    NotWritten,
    /// It may have run.
    MayHaveExecuted,
}

/// A socket that counts what was written.
struct CountingStream {
    stream: TcpStream,
    written: Arc<AtomicU64>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = &written {
            self.written.fetch_add(*count as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A connection to a backend. It is reset when it is dropped, so that what is held up on its way to
/// the backend is not sent on: a request that was given up does not begin there later.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    written: Arc<AtomicU64>,
    broken: Arc<AtomicBool>,
    task: JoinHandle<()>,
    /// The backend closes it when it was idle up to then.
    pub idle_until: Millis,
    /// Since when it has been idle; none where it is new.
    pub idle_since: Option<Millis>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects to a backend.
    pub async fn open(address: SocketAddrV4, timeout: Duration) -> io::Result<Self> {
        let late = || io::Error::from(io::ErrorKind::TimedOut);
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| late())??;
        socket::configure(&stream)?;
        // A close would have the system send on what it still holds, for as long as that takes.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        let written = Arc::new(AtomicU64::new(0));
        let counting = CountingStream {
            stream,
            written: written.clone(),
        };
        let (sender, connection) = http1::handshake(TokioIo::new(counting))
            .await
            .map_err(io::Error::other)?;
        let broken = Arc::new(AtomicBool::new(false));
        let broken_flag = broken.clone();
        let task = tokio::spawn(async move {
            if let Err(problem) = connection.await {
                broken_flag.store(true, Ordering::Relaxed);
                log::debug!("a connection to a backend ended: {problem}");
            }
        });
        Ok(Connection {
            sender,
            written,
            broken,
            task,
            idle_until: Millis::MAX,
            idle_since: None,
        })
    }

    /// Whether it can take a request now.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.sender.is_ready() && now < self.idle_until
    }

    /// How long it has been idle.
    pub fn idle_time(&self, now: Millis) -> Millis {
        self.idle_since.map_or(0, |since| now.saturating_sub(since))
    }

    /// Whether it ended by a failure. A body whose connection fails may end as if it were whole, so
    /// this is asked where one has ended.
    pub fn is_broken(&self) -> bool {
        self.broken.load(Ordering::Relaxed)
    }

    /// Whether its end has been noticed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        let before = self.written.load(Ordering::Relaxed);
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let wrote = self.written.load(Ordering::Relaxed) > before;
                Err(if unsent || !wrote {
                    Failure::NotWritten
                } else {
                    Failure::MayHaveExecuted
                })
            }
        }
    }

    /// Waits until it can take another request. False where it ends instead.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

//! An HTTP/1.1 connection to a backend: tracks what was written and whether it can be reused.

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
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Why a request got no response on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SendError {
    /// No byte was written: the request was not executed.
    #[error("nothing was written to the backend")]
    NotWritten,
    /// The request may have been executed.
    #[error("the connection failed after the request was written")]
    MayHaveExecuted,
}

/// A socket that counts the bytes written to it.
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

/// A connection to a backend. It is reset when dropped: an orderly close would let the kernel
/// deliver buffered bytes later, and an abandoned request could still start at the backend.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    written: Arc<AtomicU64>,
    broken: Arc<AtomicBool>,
    task: JoinHandle<()>,
    /// Time until which the connection may be reused; later the backend may close it as idle.
    pub idle_until: Millis,
    /// When the connection became idle; `None` if it is new.
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
        let timed_out = || io::Error::from(io::ErrorKind::TimedOut);
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| timed_out())??;
        socket::configure(&stream)?;
        // Reset on close. In a graceful close the kernel would go on sending buffered data.
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
            if let Err(error) = connection.await {
                broken_flag.store(true, Ordering::Relaxed);
                log::debug!("a connection to a backend failed: {error}");
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

    /// Returns whether the connection can take a request now.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.sender.is_ready() && now < self.idle_until
    }

    /// How long the connection has been idle.
    pub fn idle_time(&self, now: Millis) -> Millis {
        self.idle_since.map_or(0, |since| now.saturating_sub(since))
    }

    /// Returns whether the connection failed. A body may look complete although its connection
    /// failed, so this must be checked at the end of each body without a declared length.
    pub fn is_broken(&self) -> bool {
        self.broken.load(Ordering::Relaxed)
    }

    /// Returns whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let written_before = self.written.load(Ordering::Relaxed);
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let wrote = self.written.load(Ordering::Relaxed) > written_before;
                Err(if unsent || !wrote {
                    SendError::NotWritten
                } else {
                    SendError::MayHaveExecuted
                })
            }
        }
    }

    /// Waits until the connection can take another request. Returns false if it closes instead.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

//! Client connections: detects disconnected clients, aborts connections in the middle of a
//! response, and closes idle connections.
//!
//! The HTTP server library polls a connection again after the connection has failed. The request of
//! a disconnected client would then continue, and a failed body would end as if it were complete.
//! Therefore each connection has its own state, which is observed by all tasks that work on its
//! requests.

use crate::sync::lock;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep_until};

/// State of a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// The client is connected.
    Open,
    /// The client has closed or reset the connection.
    ClientDisconnected,
    /// This router has aborted the connection. Reads and writes fail.
    Aborted,
}

#[derive(Debug)]
struct Shared {
    state: watch::Sender<ConnectionState>,
    requests_in_flight: AtomicUsize,
    /// `None` for a connection that was not accepted by [`ClientAcceptor`].
    stream: Option<Arc<TcpStream>>,
}

/// A client's connection, as the handlers of its requests see it.
#[derive(Debug, Clone)]
pub struct ClientConnection(Arc<Shared>);

impl Default for ClientConnection {
    fn default() -> Self {
        ClientConnection::new(None)
    }
}

/// Guard for a request in flight. Its connection does not count as idle until the guard is dropped.
#[derive(Debug)]
pub struct RequestInFlight(ClientConnection);

impl Drop for RequestInFlight {
    fn drop(&mut self) {
        self.0.0.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ClientConnection {
    fn new(stream: Option<Arc<TcpStream>>) -> Self {
        ClientConnection(Arc::new(Shared {
            state: watch::Sender::new(ConnectionState::Open),
            requests_in_flight: AtomicUsize::new(0),
            stream,
        }))
    }

    /// Current state.
    pub fn state(&self) -> ConnectionState {
        *self.0.state.borrow()
    }

    /// Marks the connection as busy until the returned value is dropped.
    pub fn begin_request(&self) -> RequestInFlight {
        self.0.requests_in_flight.fetch_add(1, Ordering::Relaxed);
        RequestInFlight(self.clone())
    }

    fn has_requests_in_flight(&self) -> bool {
        self.0.requests_in_flight.load(Ordering::Relaxed) > 0
    }

    /// Completes when the client has disconnected or this router has aborted the connection.
    pub async fn closed(&self) {
        let mut state = self.0.state.subscribe();
        let ended = state.wait_for(|state| *state != ConnectionState::Open);
        tokio::select! {
            // `self` holds the sender, so the wait cannot fail.
            _ = ended => {}
            () = self.client_closed() => self.end(ConnectionState::ClientDisconnected),
        }
    }

    /// Completes when the client has closed the connection, even if earlier bytes are still unread:
    /// while a request is in flight, the HTTP server reads only a limited amount of pipelined data.
    async fn client_closed(&self) {
        let Some(stream) = &self.0.stream else {
            return std::future::pending().await;
        };
        // Waiting for readability would complete at once while there are unread bytes. Waiting for
        // urgent data, which clients do not send, also completes when the client closes.
        let _ = stream.ready(Interest::PRIORITY).await;
    }

    /// Aborts the connection. All further reads and writes fail.
    pub fn abort(&self) {
        self.end(ConnectionState::Aborted);
    }

    /// Moves an open connection to a final state. A disconnect by the client and an abort may race;
    /// the first one wins.
    fn end(&self, state: ConnectionState) {
        self.0.state.send_if_modified(|current| {
            let is_open = *current == ConnectionState::Open;
            if is_open {
                *current = state;
            }
            is_open
        });
    }

    fn ensure_open(&self) -> io::Result<()> {
        match self.state() {
            ConnectionState::Open => Ok(()),
            ConnectionState::ClientDisconnected | ConnectionState::Aborted => {
                Err(io::ErrorKind::ConnectionAborted.into())
            }
        }
    }
}

/// The open connections, by client address.
#[derive(Debug, Clone, Default)]
pub struct ClientConnections(Arc<Mutex<HashMap<SocketAddr, ClientConnection>>>);

impl ClientConnections {
    /// The connection of a client address, or an unregistered open one if the address is unknown.
    pub fn get(&self, remote: Option<&SocketAddr>) -> ClientConnection {
        remote
            .and_then(|remote| lock(&self.0).get(remote).cloned())
            .unwrap_or_default()
    }

    /// Removes a connection that has ended. A newer connection from the same address is kept, as
    /// clients reuse ports.
    fn remove(&self, remote: &SocketAddr, connection: &ClientConnection) {
        let mut connections = lock(&self.0);
        if connections
            .get(remote)
            .is_some_and(|current| Arc::ptr_eq(&current.0, &connection.0))
        {
            connections.remove(remote);
        }
    }
}

/// Returns how long a connection may be idle according to the current configuration.
pub type IdleTimeout = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Accepts client connections.
pub struct ClientAcceptor {
    listener: TcpListener,
    connections: ClientConnections,
    idle_timeout: IdleTimeout,
}

impl ClientAcceptor {
    /// Creates an acceptor that registers each connection in `connections`.
    pub fn new(
        listener: TcpListener,
        connections: ClientConnections,
        idle_timeout: IdleTimeout,
    ) -> Self {
        ClientAcceptor {
            listener,
            connections,
            idle_timeout,
        }
    }
}

impl Acceptor for ClientAcceptor {
    type Io = ClientStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.listener
            .local_addr()
            .map(|address| LocalAddr(address.into()))
            .into_iter()
            .collect()
    }

    async fn accept(
        &mut self,
    ) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, poem::http::uri::Scheme)> {
        let local = self.listener.local_addr()?;
        let (stream, remote) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let stream = Arc::new(stream);
        let connection = ClientConnection::new(Some(stream.clone()));
        lock(&self.connections.0).insert(remote, connection.clone());
        let io = ClientStream {
            stream,
            connection,
            remote,
            connections: self.connections.clone(),
            idle_timeout: self.idle_timeout.clone(),
            last_activity: Instant::now(),
            idle_timer: None,
        };
        Ok((
            io,
            LocalAddr(local.into()),
            RemoteAddr(remote.into()),
            poem::http::uri::Scheme::HTTP,
        ))
    }
}

/// The byte stream of a client's connection.
pub struct ClientStream {
    stream: Arc<TcpStream>,
    connection: ClientConnection,
    remote: SocketAddr,
    connections: ClientConnections,
    idle_timeout: IdleTimeout,
    last_activity: Instant,
    idle_timer: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    /// Records the outcome of a read or write. A failure counts as a disconnect by the client.
    fn record<T>(&mut self, result: &io::Result<T>) {
        match result {
            Ok(_) => self.last_activity = Instant::now(),
            Err(_) => self.connection.end(ConnectionState::ClientDisconnected),
        }
    }

    /// Reads available bytes, and is pending while there are none.
    fn poll_read_available(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Ready once the idle timeout has passed. The timeout is looked up again whenever the timer
    /// expires, as the configuration may have changed.
    fn poll_idle_timeout(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            // No timer is needed here: the server reads again once the response is written.
            if self.connection.has_requests_in_flight() {
                self.last_activity = Instant::now();
                return Poll::Pending;
            }
            let deadline = self.last_activity + (self.idle_timeout)();
            if Instant::now() >= deadline {
                return Poll::Ready(());
            }
            let timer = self
                .idle_timer
                .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
            if timer.deadline() < Instant::now() || timer.deadline() > deadline {
                timer.as_mut().reset(deadline);
            }
            ready!(timer.as_mut().poll(context));
        }
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        self.connections.remove(&self.remote, &self.connection);
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.ensure_open()?;
        let room = buffer.remaining();
        let Poll::Ready(read) = self.poll_read_available(context, buffer) else {
            // The server treats an end of input as a regular close by the client.
            return self.poll_idle_timeout(context).map(Ok);
        };
        self.record(&read);
        if read? == 0 && room > 0 {
            self.connection.end(ConnectionState::ClientDisconnected);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.connection.ensure_open()?;
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match self.stream.try_write_vectored(parts) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    self.record(&written);
                    return Poll::Ready(written);
                }
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Writes go directly to the socket; there is no user-space buffer to flush.
        Poll::Ready(self.connection.ensure_open())
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.ensure_open()?;
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}

//! Client connections: detects that a client has disconnected, and aborts a connection in the
//! middle of a response.
//!
//! The HTTP server library polls a connection again after it has failed. The request of a
//! disconnected client would then continue, and a failed body would end as if it were complete.
//! Therefore each connection has a state of its own, which everything that works for its requests
//! observes.

use crate::sync::lock;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// State of a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// The client is connected.
    Open,
    /// The client has closed or reset the connection.
    ClientDisconnected,
    /// This router has aborted the connection: nothing is read or written any more.
    Aborted,
}

/// A client's connection, as the handlers of its requests see it.
#[derive(Debug, Clone)]
pub struct ClientConnection(Arc<watch::Sender<ConnectionState>>);

impl Default for ClientConnection {
    fn default() -> Self {
        ClientConnection(Arc::new(watch::Sender::new(ConnectionState::Open)))
    }
}

impl ClientConnection {
    /// Current state.
    pub fn state(&self) -> ConnectionState {
        *self.0.borrow()
    }

    /// Completes when the connection has ended, by the client or by this router.
    pub async fn closed(&self) {
        let mut state = self.0.subscribe();
        // The sender is held here, so the wait ends only by the state.
        let _ = state
            .wait_for(|state| *state != ConnectionState::Open)
            .await;
    }

    /// Aborts the connection: nothing is read or written any more.
    pub fn abort(&self) {
        self.enter(ConnectionState::Aborted);
    }

    /// The only transition: an open connection ends once. The client's disconnect and an abort may
    /// race, and the first one wins.
    fn enter(&self, state: ConnectionState) {
        self.0.send_if_modified(|current| {
            let is_open = *current == ConnectionState::Open;
            if is_open {
                *current = state;
            }
            is_open
        });
    }

    fn check(&self) -> io::Result<()> {
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
    /// The connection of a client address.
    pub fn get(&self, remote: Option<&SocketAddr>) -> ClientConnection {
        remote
            .and_then(|remote| lock(&self.0).get(remote).cloned())
            .unwrap_or_default()
    }

    /// Removes a connection that has ended, unless a newer one has the same address: ports are
    /// reused.
    fn forget(&self, remote: &SocketAddr, connection: &ClientConnection) {
        let mut connections = lock(&self.0);
        if connections
            .get(remote)
            .is_some_and(|current| Arc::ptr_eq(&current.0, &connection.0))
        {
            connections.remove(remote);
        }
    }
}

/// Accepts client connections.
pub struct ClientAcceptor {
    listener: TcpListener,
    connections: ClientConnections,
}

impl ClientAcceptor {
    /// Accepts connections from a listener.
    pub fn new(listener: TcpListener, connections: ClientConnections) -> Self {
        ClientAcceptor {
            listener,
            connections,
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
        let connection = ClientConnection::default();
        lock(&self.connections.0).insert(remote, connection.clone());
        let io = ClientStream {
            stream,
            connection,
            remote,
            connections: self.connections.clone(),
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
    stream: TcpStream,
    connection: ClientConnection,
    remote: SocketAddr,
    connections: ClientConnections,
}

impl ClientStream {
    /// Records that a read or write failed: the client has disconnected.
    fn record_io_failure<T>(&self, result: &Poll<io::Result<T>>) {
        if let Poll::Ready(Err(_)) = result {
            self.connection.enter(ConnectionState::ClientDisconnected);
        }
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        self.connections.forget(&self.remote, &self.connection);
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.check()?;
        let (before, room) = (buffer.filled().len(), buffer.remaining());
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.record_io_failure(&read);
        let is_end =
            room > 0 && matches!(read, Poll::Ready(Ok(()))) && buffer.filled().len() == before;
        if is_end {
            self.connection.enter(ConnectionState::ClientDisconnected);
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.check()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_io_failure(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.connection.check()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.record_io_failure(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.check()?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.check()?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

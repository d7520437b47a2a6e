//! Taking connections of clients: whether the client is still there, and breaking a connection off
//! in the middle of an answer.
//!
//! The server library polls a connection again after it has failed. A request of a client that has
//! closed its connection would then go on, and a body that has failed would end as if it were
//! whole. So a connection's own state says how it stands, and whoever works for a request asks that
//! state.

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

/// How a client's connection stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// The client is there.
    Open,
    /// The client has closed or reset it.
    ClientDisconnected,
    /// This router broke it off: nothing is read or written any more.
    Aborted,
}

/// One connection of a client, as those who answer its requests see it.
#[derive(Debug, Clone)]
pub struct ClientConnection(Arc<watch::Sender<ConnectionState>>);

impl Default for ClientConnection {
    fn default() -> Self {
        ClientConnection(Arc::new(watch::Sender::new(ConnectionState::Open)))
    }
}

impl ClientConnection {
    /// How it stands.
    pub fn state(&self) -> ConnectionState {
        *self.0.borrow()
    }

    /// Comes back once it has ended, by its client or by this router.
    pub async fn closed(&self) {
        let mut state = self.0.subscribe();
        // The sender is held here, so the wait ends by the state alone.
        let _ = state
            .wait_for(|state| *state != ConnectionState::Open)
            .await;
    }

    /// From now on nothing is read or written on it.
    pub fn abort(&self) {
        self.enter(ConnectionState::Aborted);
    }

    /// The one place where the state changes: an open connection ends once, by the client or by
    /// this router.
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

/// The open connections, by the client's address.
#[derive(Debug, Clone, Default)]
pub struct ClientConnections(Arc<Mutex<HashMap<SocketAddr, ClientConnection>>>);

impl ClientConnections {
    /// The connection from an address.
    pub fn of(&self, remote: Option<&SocketAddr>) -> ClientConnection {
        remote
            .and_then(|remote| lock(&self.0).get(remote).cloned())
            .unwrap_or_default()
    }

    /// Forgets a connection that has ended, unless another one has come from the same address
    /// since.
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

/// Takes connections of clients.
pub struct ClientAcceptor {
    listener: TcpListener,
    connections: ClientConnections,
}

impl ClientAcceptor {
    /// Takes connections from a listener.
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

/// The bytes of a client's connection.
pub struct ClientStream {
    stream: TcpStream,
    connection: ClientConnection,
    remote: SocketAddr,
    connections: ClientConnections,
}

impl ClientStream {
    /// A read or write of the socket has failed: the client is gone.
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

//! Taking connections of clients, which can be broken off in the middle of an answer.
//!
//! The server library polls a connection again after the body of an answer has failed, and then may end the body as if
//! it were whole. So whoever breaks an answer off first breaks its connection: nothing is written on it any more.

use crate::links::lock;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Breaks one connection of a client.
#[derive(Debug, Clone, Default)]
pub struct Breaker(Arc<AtomicBool>);

impl Breaker {
    /// From now on nothing is read or written on the connection.
    pub fn break_off(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn check(&self) -> io::Result<()> {
        if self.0.load(Ordering::Relaxed) { Err(io::ErrorKind::ConnectionAborted.into()) } else { Ok(()) }
    }
}

/// The breakers of open connections, by the client's address.
#[derive(Debug, Clone, Default)]
pub struct Breakers(Arc<Mutex<HashMap<SocketAddr, Breaker>>>);

impl Breakers {
    /// The breaker of the connection from an address.
    pub fn of(&self, remote: Option<&SocketAddr>) -> Breaker {
        remote.and_then(|remote| lock(&self.0).get(remote).cloned()).unwrap_or_default()
    }

    /// Forgets a connection that has ended, unless another one has come from the same address since.
    fn forget(&self, remote: &SocketAddr, breaker: &Breaker) {
        let mut breakers = lock(&self.0);
        if breakers.get(remote).is_some_and(|held| Arc::ptr_eq(&held.0, &breaker.0)) {
            breakers.remove(remote);
        }
    }
}

/// Takes connections that can be broken.
pub struct BreakableAcceptor {
    listener: TcpListener,
    breakers: Breakers,
}

impl BreakableAcceptor {
    /// Takes connections from a listener.
    pub fn new(listener: TcpListener, breakers: Breakers) -> Self {
        BreakableAcceptor { listener, breakers }
    }
}

impl Acceptor for BreakableAcceptor {
    type Io = Breakable;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.listener.local_addr().map(|address| LocalAddr(address.into())).into_iter().collect()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, poem::http::uri::Scheme)> {
        let local = self.listener.local_addr()?;
        let (stream, remote) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let breaker = Breaker::default();
        lock(&self.breakers.0).insert(remote, breaker.clone());
        let io = Breakable { stream, breaker, remote, breakers: self.breakers.clone() };
        Ok((io, LocalAddr(local.into()), RemoteAddr(remote.into()), poem::http::uri::Scheme::HTTP))
    }
}

/// A connection of a client.
pub struct Breakable {
    stream: TcpStream,
    breaker: Breaker,
    remote: SocketAddr,
    breakers: Breakers,
}

impl Drop for Breakable {
    fn drop(&mut self) {
        self.breakers.forget(&self.remote, &self.breaker);
    }
}

impl AsyncRead for Breakable {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.breaker.check()?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Breakable {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.breaker.check()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.breaker.check()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.breaker.check()?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

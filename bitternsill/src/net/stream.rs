//! Sockets that never block, with a buffer for what could not be written yet.

use super::{Net, Ready, Token, World};
use rustix::net::{AddressFamily, SocketFlags, SocketType, sockopt};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// How a read ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// More may come.
    Open,
    /// The other side has sent its last byte.
    Ended,
}

/// How a connection attempt stands.
#[derive(Debug)]
pub enum Attempt {
    /// The other side has not answered.
    Pending,
    /// The connection is there.
    Up,
    /// There will be none.
    Failed(io::Error),
}

/// A connected (or connecting) socket and its unwritten bytes.
pub struct Stream {
    socket: TcpStream,
    outgoing: Vec<u8>,
    written: usize,
    armed: Option<Ready>,
}

impl Stream {
    /// Wraps a socket that does not block.
    pub fn new(socket: TcpStream) -> Self {
        Stream {
            socket,
            outgoing: Vec::new(),
            written: 0,
            armed: None,
        }
    }

    /// Reads what is there, up to `most` bytes.
    pub fn read(&mut self, into: &mut Vec<u8>, most: usize) -> io::Result<Input> {
        let mut chunk = [0; 8192];
        let mut total = 0;
        while total < most {
            match self.socket.read(&mut chunk) {
                Ok(0) => return Ok(Input::Ended),
                Ok(n) => {
                    into.extend_from_slice(&chunk[..n]);
                    total += n;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(Input::Open)
    }

    /// Reads what is there and drops it, up to `most` bytes; says how much that was.
    pub fn discard(&mut self, most: usize) -> io::Result<(usize, Input)> {
        let mut chunk = [0; 32 << 10];
        let mut total = 0;
        while total < most {
            match self.socket.read(&mut chunk) {
                Ok(0) => return Ok((total, Input::Ended)),
                Ok(n) => total += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok((total, Input::Open))
    }

    /// Adds bytes to what is to be written.
    pub fn push(&mut self, bytes: &[u8]) {
        self.outgoing.extend_from_slice(bytes);
    }

    /// Bytes not yet handed to the system.
    pub fn unwritten(&self) -> usize {
        self.outgoing.len() - self.written
    }

    /// Writes as much as the socket takes.
    pub fn flush(&mut self) -> io::Result<()> {
        while self.written < self.outgoing.len() {
            match self.socket.write(&self.outgoing[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.outgoing.clear();
        self.written = 0;
        // One large answer must not pin its buffer for the life of the connection.
        self.outgoing.shrink_to(16 << 10);
        Ok(())
    }

    /// Registers the socket, or changes what it is watched for, if that differs.
    pub fn arm<W: World>(&mut self, net: &Net<W>, token: Token, ready: Ready) -> io::Result<()> {
        match self.armed {
            Some(armed) if armed == ready => return Ok(()),
            Some(_) => net.rearm(&self.socket, token, ready)?,
            None => net.register(&self.socket, token, ready)?,
        }
        self.armed = Some(ready);
        Ok(())
    }

    /// Writes what the socket takes and watches it for this, and for room for what is left; says
    /// whether anything is.
    pub fn flush_and_arm<W: World>(
        &mut self,
        net: &Net<W>,
        token: Token,
        ready: Ready,
    ) -> io::Result<bool> {
        self.flush()?;
        let pending = self.unwritten() > 0;
        self.arm(net, token, ready.and_writable(pending))?;
        Ok(pending)
    }

    /// How a connection attempt stands.
    pub fn attempt(&self) -> Attempt {
        match self.socket.take_error().unwrap_or_else(Some) {
            Some(problem) => Attempt::Failed(problem),
            None if self.socket.peer_addr().is_ok() => Attempt::Up,
            None => Attempt::Pending,
        }
    }

    /// Says that nothing more will be written.
    pub fn end_output(&self) {
        // Fails only where the connection is gone already.
        let _ = self.socket.shutdown(Shutdown::Write);
    }
}

/// Begins to connect; the socket becomes writable when that has ended.
pub fn connect(to: SocketAddr) -> io::Result<Stream> {
    let family = if to.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    sockopt::set_tcp_nodelay(&socket, true)?;
    match rustix::net::connect(&socket, &to) {
        Ok(()) | Err(rustix::io::Errno::INPROGRESS) => Ok(Stream::new(TcpStream::from(socket))),
        Err(problem) => Err(problem.into()),
    }
}

fn bind_shared(on: SocketAddr) -> io::Result<TcpListener> {
    let family = if on.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let socket = rustix::net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &on)?;
    Ok(TcpListener::from(socket))
}

/// A listening socket that does not block. One that is shared can be bound again by another process
/// of this user, and the system deals connections out among them.
pub fn listen(on: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    // The standard library sets SO_REUSEADDR, so a restart finds its address free.
    let listener = if shared {
        bind_shared(on)?
    } else {
        TcpListener::bind(on)?
    };
    // A request in the backlog counts as taken, but a short backlog turns clients away in a burst.
    rustix::net::listen(&listener, 4096)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

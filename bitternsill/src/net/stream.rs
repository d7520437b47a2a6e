//! Non-blocking sockets with an output buffer.

use super::{Net, Ready, Token, World};
use rustix::net::{AddressFamily, SocketFlags, SocketType, sockopt};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// The state of the input after a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// More bytes may arrive.
    Open,
    /// The peer has closed its output.
    Ended,
}

/// The state of a connection attempt.
#[derive(Debug)]
pub enum Attempt {
    /// The peer has not answered.
    Pending,
    /// The connection is established.
    Up,
    /// The attempt failed.
    Failed(io::Error),
}

/// A connected or connecting socket with its unwritten bytes.
pub struct Stream {
    socket: TcpStream,
    outgoing: Vec<u8>,
    written: usize,
    armed: Option<Ready>,
}

impl Stream {
    /// Wraps a non-blocking socket.
    pub fn new(socket: TcpStream) -> Self {
        Stream {
            socket,
            outgoing: Vec::new(),
            written: 0,
            armed: None,
        }
    }

    /// Reads available bytes until at least `max_bytes` are read; may exceed that by one chunk.
    pub fn read(&mut self, into: &mut Vec<u8>, max_bytes: usize) -> io::Result<Input> {
        let mut chunk = [0; 8192];
        let mut total = 0;
        while total < max_bytes {
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

    /// Like [`Self::read`], but drops the bytes and returns their number.
    pub fn discard(&mut self, max_bytes: usize) -> io::Result<(usize, Input)> {
        let mut chunk = [0; 32 << 10];
        let mut total = 0;
        while total < max_bytes {
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

    /// Appends bytes to the output buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.outgoing.extend_from_slice(bytes);
    }

    /// The number of bytes not yet written to the socket.
    pub fn unwritten(&self) -> usize {
        self.outgoing.len() - self.written
    }

    /// Writes as much as the socket accepts.
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
        // Release the memory of a large answer, as the connection may stay open for long.
        self.outgoing.shrink_to(16 << 10);
        Ok(())
    }

    /// Registers the socket, or changes the events that it is registered for.
    pub fn arm<W: World>(&mut self, net: &Net<W>, token: Token, ready: Ready) -> io::Result<()> {
        match self.armed {
            Some(armed) if armed == ready => return Ok(()),
            Some(_) => net.rearm(&self.socket, token, ready)?,
            None => net.register(&self.socket, token, ready)?,
        }
        self.armed = Some(ready);
        Ok(())
    }

    /// Flushes the output and registers for `ready`, and for writability if output is left. Returns
    /// whether output is left.
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

    /// The state of the connection attempt.
    pub fn attempt(&self) -> Attempt {
        match self.socket.take_error().unwrap_or_else(Some) {
            Some(problem) => Attempt::Failed(problem),
            None if self.socket.peer_addr().is_ok() => Attempt::Up,
            None => Attempt::Pending,
        }
    }

    /// Closes the output direction.
    pub fn end_output(&self) {
        // Fails only if the connection is already closed.
        let _ = self.socket.shutdown(Shutdown::Write);
    }
}

/// Starts to connect; the socket becomes writable when the attempt has ended.
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

/// Creates a non-blocking listening socket. A `shared` address can be bound by another process of
/// the same user, too, and the kernel distributes connections among them.
pub fn listen(on: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    // The standard library sets SO_REUSEADDR, so the address can be bound at once after a restart.
    let listener = if shared {
        bind_shared(on)?
    } else {
        TcpListener::bind(on)?
    };
    // The shutdown accepts the whole backlog, but with a short one clients are refused in a burst.
    rustix::net::listen(&listener, 4096)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

//! A TCP relay on loopback between two processes. A test can stall or delay each direction
//! separately, and reset all connections.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How a link treats the bytes of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    /// Bytes are forwarded at once.
    #[default]
    Open,
    /// Bytes are held back as in a network partition, with the connection still open, and forwarded
    /// once the direction is open again.
    Stalled,
    /// Bytes are forwarded after this delay.
    Delayed(Duration),
}

#[derive(Debug, Default)]
struct State {
    /// The flow from the client to the target, and the flow back.
    flows: [Flow; 2],
    /// The number of resets. A connection that was accepted at a lower number has been reset.
    resets: u64,
    sockets: Vec<TcpStream>,
    is_closed: bool,
}

impl State {
    fn reset(&mut self) {
        self.resets += 1;
        self.sockets.drain(..).for_each(|socket| reset(&socket));
    }
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, update: impl FnOnce(&mut State)) {
        update(&mut self.state());
        self.changed.notify_all();
    }

    /// Waits until bytes of a direction may be forwarded. Returns false if the connection was reset
    /// in the meantime.
    fn wait_to_forward(&self, direction: usize, resets: u64) -> bool {
        let mut state = self.state();
        loop {
            if state.is_closed || state.resets != resets {
                return false;
            }
            let Flow::Delayed(delay) = state.flows[direction] else {
                if state.flows[direction] == Flow::Open {
                    return true;
                }
                state = self
                    .changed
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner);
                continue;
            };
            drop(state);
            thread::sleep(delay);
            return self.state().resets == resets;
        }
    }
}

/// A relay that listens for clients and connects to the target.
#[derive(Debug)]
pub struct Link {
    /// Where clients connect.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Link {
    /// Creates a link to an address, at which no process needs to listen yet.
    ///
    /// # Errors
    /// The listener cannot be opened.
    pub fn to(target: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Link {
            address: listener.local_addr()?,
            shared: Arc::default(),
        };
        let shared = link.shared.clone();
        thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let resets = {
                    let state = shared.state();
                    if state.is_closed {
                        return;
                    }
                    state.resets
                };
                let shared = shared.clone();
                thread::spawn(move || relay(&shared, resets, socket, target));
            }
        });
        Ok(link)
    }

    /// Sets the flow from clients to the target, and the flow back.
    pub fn set(&self, to_target: Flow, back: Flow) {
        self.shared.update(|state| state.flows = [to_target, back]);
    }

    /// Resets all current connections. The link still accepts new ones.
    pub fn reset(&self) {
        self.shared.update(State::reset);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.update(|state| {
            state.is_closed = true;
            state.reset();
        });
        // Unblocks the accept call of the listener's thread, which then ends.
        let _ = TcpStream::connect(self.address);
    }
}

/// Relays one connection until both directions have ended or the connection is reset.
fn relay(shared: &Arc<Shared>, resets: u64, client: TcpStream, target: SocketAddr) {
    let Ok(target_stream) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
        return reset(&client);
    };
    let clones = [&client, &target_stream, &client, &target_stream].map(TcpStream::try_clone);
    let [Ok(a), Ok(b), Ok(c), Ok(d)] = clones else {
        return reset(&client);
    };
    {
        let mut state = shared.state();
        if state.is_closed || state.resets != resets {
            return reset(&client);
        }
        state.sockets.extend([a, b]);
    }
    let back = shared.clone();
    let back = thread::spawn(move || forward(&back, 1, resets, target_stream, c));
    forward(shared, 0, resets, client, d);
    let _ = back.join();
}

/// Forwards the bytes of one direction until the end of the stream or a reset.
fn forward(shared: &Shared, direction: usize, resets: u64, mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let read = from.read(&mut bytes);
        // Stalls and delays apply to the end of the stream as well as to data.
        if !shared.wait_to_forward(direction, resets) {
            break;
        }
        match read {
            Ok(n) if n > 0 && to.write_all(&bytes[..n]).is_ok() => {}
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            // An error on one side resets both, so that the peer sees a reset as well.
            _ => break,
        }
    }
    reset(&from);
    reset(&to);
}

fn reset(socket: &TcpStream) {
    // With SO_LINGER at zero, closing the socket sends a reset (RST) instead of a FIN.
    let _ = rustix::net::sockopt::set_socket_linger(socket, Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Both);
}

#[cfg(test)]
mod tests;

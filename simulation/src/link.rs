//! A relay on loopback between two processes. A test can stall or delay each direction by itself,
//! and reset all connections.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// What happens to bytes in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    /// They are forwarded.
    #[default]
    Open,
    /// They are held back, as in a network partition: the connection stays open. They are forwarded
    /// once the direction is open again.
    Stalled,
    /// They are forwarded after this delay.
    Delayed(Duration),
}

#[derive(Debug, Default)]
struct State {
    /// From the client to the target, and back.
    flows: [Flow; 2],
    /// How often all connections have been reset. A connection of an earlier count has ended.
    resets: u64,
    sockets: Vec<TcpStream>,
    ended: bool,
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

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state());
        self.changed.notify_all();
    }

    /// Waits until bytes of a direction may be forwarded. False if the connection has been reset
    /// meanwhile.
    fn wait(&self, direction: usize, resets: u64) -> bool {
        let mut state = self.state();
        loop {
            if state.ended || state.resets != resets {
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
    /// A link to an address, whether or not a process listens there yet.
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
                    if state.ended {
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

    /// Sets what happens to bytes from clients, and to those back.
    pub fn set(&self, to_target: Flow, back: Flow) {
        self.shared.change(|state| state.flows = [to_target, back]);
    }

    /// Resets all connections; new ones are accepted.
    pub fn reset(&self) {
        self.shared.change(State::reset);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.change(|state| {
            state.ended = true;
            state.reset();
        });
        // Wakes the listener's thread, which then ends.
        let _ = TcpStream::connect(self.address);
    }
}

/// Relays one connection until either side or the link ends.
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
        if state.ended || state.resets != resets {
            return reset(&client);
        }
        state.sockets.extend([a, b]);
    }
    let back = shared.clone();
    let back = thread::spawn(move || forward(&back, 1, resets, target_stream, c));
    forward(shared, 0, resets, client, d);
    let _ = back.join();
}

/// Forwards the bytes of one direction until it ends.
fn forward(shared: &Shared, direction: usize, resets: u64, mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let read = from.read(&mut bytes);
        // The end of the stream is held back as well while the direction is stalled.
        if !shared.wait(direction, resets) {
            break;
        }
        match read {
            Ok(n) if n > 0 && to.write_all(&bytes[..n]).is_ok() => {}
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            // A reset of one side is passed on to the other.
            _ => break,
        }
    }
    reset(&from);
    reset(&to);
}

fn reset(socket: &TcpStream) {
    // With a linger time of zero the close that follows is an abortive one: a reset.
    let _ = rustix::net::sockopt::set_socket_linger(socket, Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Both);
}

#[cfg(test)]
mod tests;

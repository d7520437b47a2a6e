//! A link: a relay on loopback between two processes, each direction of which a test can hold up by
//! itself.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// What becomes of bytes in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Way {
    /// They pass.
    #[default]
    Open,
    /// They wait, as behind a router that has gone: the connection stays open and silent. What
    /// waits passes later.
    Stalled,
    /// They pass so much later.
    Late(Duration),
}

#[derive(Debug, Default)]
struct State {
    /// From the one that connects, and back.
    ways: [Way; 2],
    /// How often all connections have been reset, and the sockets of those since.
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

    /// Waits until bytes of a direction may pass; false where the connections of that time are
    /// over.
    fn wait(&self, way: usize, resets: u64) -> bool {
        let mut state = self.state();
        loop {
            if state.ended || state.resets != resets {
                return false;
            }
            let Way::Late(by) = state.ways[way] else {
                if state.ways[way] == Way::Open {
                    return true;
                }
                state = self
                    .changed
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner);
                continue;
            };
            drop(state);
            thread::sleep(by);
            return self.state().resets == resets;
        }
    }
}

/// A link that listens for the one side and connects to the other.
#[derive(Debug)]
pub struct Link {
    /// Where the one side connects.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Link {
    /// A link to an address, whether or not anybody listens there yet. Errors: no socket can be
    /// had.
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
                thread::spawn(move || carry(&shared, resets, socket, target));
            }
        });
        Ok(link)
    }

    /// Says what becomes of bytes from the one that connects, and of those back.
    pub fn set(&self, there: Way, back: Way) {
        self.shared.change(|state| state.ways = [there, back]);
    }

    /// Resets every connection; new ones are taken.
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
        // The listener's thread looks when somebody comes.
        let _ = TcpStream::connect(self.address);
    }
}

/// Carries one connection for as long as both sides and the link hold.
fn carry(shared: &Arc<Shared>, resets: u64, one: TcpStream, target: SocketAddr) {
    let Ok(other) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
        return reset(&one);
    };
    let clones = [&one, &other, &one, &other].map(TcpStream::try_clone);
    let [Ok(a), Ok(b), Ok(c), Ok(d)] = clones else {
        return reset(&one);
    };
    {
        let mut state = shared.state();
        if state.ended || state.resets != resets {
            return reset(&one);
        }
        state.sockets.extend([a, b]);
    }
    let back = shared.clone();
    let back = thread::spawn(move || pass(&back, 1, resets, other, c));
    pass(shared, 0, resets, one, d);
    let _ = back.join();
}

/// Passes bytes of one direction until it ends.
fn pass(shared: &Shared, way: usize, resets: u64, mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let read = from.read(&mut bytes);
        // The end too waits behind a direction that is stalled.
        if !shared.wait(way, resets) {
            break;
        }
        match read {
            Ok(n) if n > 0 && to.write_all(&bytes[..n]).is_ok() => {}
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            // A reset on one side is one on the other.
            _ => break,
        }
    }
    reset(&from);
    reset(&to);
}

fn reset(socket: &TcpStream) {
    // No time to linger: the close that follows is a reset.
    let _ = rustix::net::sockopt::set_socket_linger(socket, Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Both);
}

#[cfg(test)]
mod tests;

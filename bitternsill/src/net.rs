//! A single-threaded event loop on epoll, with callback objects for connections, timers and
//! buffered sockets. No async runtime.

mod reactor;
mod stream;

pub use reactor::{Connection, Context, Net, Reactor, Ready, Token, World};
pub use stream::{Attempt, Input, Stream, connect, listen};

use dispatch::interface::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts at Unix time, so that it can be compared with the start times of
/// hosts.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Time,
    start: Instant,
}

impl Clock {
    /// Starts at the current system time. Later changes of the system time have no effect.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            base: unix.as_nanos() as Time,
            start: Instant::now(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.base + self.start.elapsed().as_nanos() as Time
    }
}

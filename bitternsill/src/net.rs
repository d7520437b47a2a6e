//! The event loop: epoll, connections as objects with callbacks, timers and buffers. One thread, no
//! runtime.

mod reactor;
mod stream;

pub use reactor::{Connection, Context, Net, Reactor, Ready, Token, World};
pub use stream::{Attempt, Input, Stream, connect, listen};

use dispatch::interface::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock that only moves forward and starts at Unix time, so that a host's start can be set
/// against it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Time,
    start: Instant,
}

impl Clock {
    /// Reads the system's clock once; from then on only the steady one counts.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            base: unix.as_nanos() as Time,
            start: Instant::now(),
        }
    }

    /// The present moment.
    pub fn now(&self) -> Time {
        self.base + self.start.elapsed().as_nanos() as Time
    }
}

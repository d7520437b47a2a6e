//! SIGTERM and SIGINT as a descriptor of the loop.

use super::{Gatherer, Message};
use crate::net::{Connection, Context, Ready};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// The reading end of a pair into which a signal writes a byte.
pub struct Signals {
    socket: UnixStream,
}

impl Signals {
    /// Installs the handlers.
    pub fn install() -> io::Result<Self> {
        let (socket, tell) = UnixStream::pair()?;
        socket.set_nonblocking(true)?;
        tell.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(signal_hook::consts::SIGTERM, tell.try_clone()?)?;
        signal_hook::low_level::pipe::register(signal_hook::consts::SIGINT, tell)?;
        Ok(Signals { socket })
    }
}

impl Connection<Gatherer> for Signals {
    fn opened(&mut self, cx: &mut Context<'_, Gatherer>) -> io::Result<()> {
        cx.net.register(&self.socket, cx.token, Ready { readable: true, writable: false })
    }

    fn ready(&mut self, cx: &mut Context<'_, Gatherer>, _ready: Ready) {
        // Whatever the bytes were, a signal came.
        let _ = self.socket.read(&mut [0; 64]);
        cx.world.leave(cx.now);
    }

    fn deliver(&mut self, _cx: &mut Context<'_, Gatherer>, _message: Message) {}

    fn timer(&mut self, _cx: &mut Context<'_, Gatherer>) {}
}

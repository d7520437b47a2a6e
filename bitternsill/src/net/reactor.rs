//! The reactor owns all connection objects and calls them when a descriptor is ready, a timer is
//! due or a message is posted.

use super::Clock;
use dispatch::interface::Time;
use rustix::buffer::spare_capacity;
use rustix::event::{Timespec, epoll};
use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::os::fd::{AsFd, OwnedFd};

/// The longest wait of the loop, in nanoseconds. Waits are short, so a long one shows that the
/// process was stopped.
const MAX_WAIT: Time = 50_000_000;
/// The time between two polls, in nanoseconds, above which the process counts as stalled.
const STALL_THRESHOLD: Time = 100_000_000;
/// The number of rounds after a stalled one in which bytes that arrived during the stall may first
/// be read: the stalled round may have missed the listener's event, the next one accepts the
/// connection, and the one after that reads from it.
const STALL_ROUNDS: u8 = 2;

/// Tracks stalls, to determine when the bytes read in a round may have arrived.
#[derive(Debug, Default)]
struct Stalls {
    /// The start of the last stall, and the number of further rounds that it affects.
    last: Option<(Time, u8)>,
}

impl Stalls {
    /// The earliest time at which the events of a round may have occurred, if the poll before was
    /// at `last_poll` and this one returned at `now`.
    fn since(&mut self, last_poll: Time, now: Time) -> Time {
        let new_stall = (now - last_poll > STALL_THRESHOLD).then_some((last_poll, STALL_ROUNDS));
        let stall = new_stall.or(self.last);
        let next_round = |(at, left): (Time, u8)| Some((at, left.checked_sub(1)?));
        self.last = stall.and_then(next_round);
        stall.map_or(now, |(at, _)| at)
    }
}

/// Identifies a connection. A later connection in the same slot has another generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token {
    index: u32,
    generation: u32,
}

impl Token {
    /// The token as an integer, for epoll and for code that must not depend on this module.
    pub fn bits(self) -> u64 {
        u64::from(self.index) << 32 | u64::from(self.generation)
    }

    /// The inverse of [`Self::bits`].
    pub fn from_bits(bits: u64) -> Self {
        Token {
            index: (bits >> 32) as u32,
            generation: bits as u32,
        }
    }
}

/// The events that a descriptor is registered or ready for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ready {
    /// Bytes, the end of the stream or an error can be read.
    pub readable: bool,
    /// Bytes can be written, or a connection attempt has ended.
    pub writable: bool,
    /// The peer has closed its output or the connection broke, even if earlier bytes are unread.
    pub ended: bool,
}

impl Ready {
    /// Input and its end.
    pub const READ: Ready = Ready {
        readable: true,
        writable: false,
        ended: true,
    };
    /// Writability, or the end of a connection attempt.
    pub const WRITE: Ready = Ready {
        readable: false,
        writable: true,
        ended: false,
    };
    /// Only the end of the input: detects that the peer has disconnected while reading is paused.
    pub const END: Ready = Ready {
        readable: false,
        writable: false,
        ended: true,
    };

    /// Adds writability if `writable` is set.
    pub fn and_writable(self, writable: bool) -> Ready {
        Ready {
            writable: self.writable || writable,
            ..self
        }
    }

    fn from_flags(flags: epoll::EventFlags) -> Ready {
        let ended = flags.intersects(ENDED);
        Ready {
            readable: ended || flags.contains(epoll::EventFlags::IN),
            writable: flags.intersects(
                epoll::EventFlags::OUT | epoll::EventFlags::ERR | epoll::EventFlags::HUP,
            ),
            ended,
        }
    }
}

/// The flags for the end of the input or of the connection.
const ENDED: epoll::EventFlags = epoll::EventFlags::RDHUP
    .union(epoll::EventFlags::ERR)
    .union(epoll::EventFlags::HUP);

/// The state shared by all connections, and the work done between callbacks.
pub trait World: Sized {
    /// The messages between connections.
    type Message;

    /// When [`World::turn`] is due next.
    fn due(&self, now: Time) -> Option<Time>;

    /// Runs after the callbacks of a round, if due.
    fn turn(&mut self, net: &mut Net<Self>, now: Time);

    /// Called for a message to a connection that no longer exists.
    fn undelivered(&mut self, message: Self::Message, now: Time);

    /// Whether the loop may end.
    fn finished(&self, now: Time) -> bool;
}

/// A connection, a listener or any other descriptor with callbacks.
pub trait Connection<W: World> {
    /// Called once the connection has a token; registers the descriptor.
    fn opened(&mut self, cx: &mut Context<'_, W>) -> io::Result<()>;

    /// Called when the descriptor is ready.
    fn ready(&mut self, cx: &mut Context<'_, W>, ready: Ready);

    /// Called for each message posted to the connection.
    fn deliver(&mut self, cx: &mut Context<'_, W>, message: W::Message);

    /// Called when the connection's timer is due.
    fn timer(&mut self, cx: &mut Context<'_, W>);

    /// Called before the connection is dropped, to update the shared state.
    fn closed(&mut self, _cx: &mut Context<'_, W>) {}
}

/// The context of a callback.
pub struct Context<'a, W: World> {
    /// The shared state.
    pub world: &'a mut W,
    /// The event loop.
    pub net: &'a mut Net<W>,
    /// The token of this connection.
    pub token: Token,
    /// The time of this round.
    pub now: Time,
    /// The earliest time at which bytes read in this round may have arrived; differs from `now`
    /// only after a stall.
    pub since: Time,
    closing: bool,
}

impl<W: World> Context<'_, W> {
    /// Drops this connection after the callback.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Whether this connection will be dropped after the callback.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Sets this connection's only timer, replacing an earlier setting.
    pub fn set_timer(&mut self, at: Time) {
        self.net.set_timer(self.token, Some(at));
    }

    /// Clears this connection's timer.
    pub fn clear_timer(&mut self) {
        self.net.set_timer(self.token, None);
    }
}

/// The part of the event loop that callbacks may use.
pub struct Net<W: World> {
    epoll: OwnedFd,
    clock: Clock,
    since: Time,
    generations: Vec<u32>,
    free: Vec<u32>,
    timers: BTreeSet<(Time, Token)>,
    due: Vec<Option<Time>>,
    opened: VecDeque<(Token, Box<dyn Connection<W>>)>,
    /// Connections whose events are handled first in each round.
    first: BTreeSet<Token>,
    posted: VecDeque<(Token, W::Message)>,
}

impl<W: World> Net<W> {
    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Adds a connection to the loop.
    pub fn open(&mut self, connection: Box<dyn Connection<W>>) -> Token {
        let index = self.free.pop().unwrap_or_else(|| {
            self.generations.push(0);
            self.due.push(None);
            (self.generations.len() - 1) as u32
        });
        let token = Token {
            index,
            generation: self.generations[index as usize],
        };
        self.opened.push_back((token, connection));
        token
    }

    /// Adds a connection whose events are handled before those of others in each round.
    pub fn open_first(&mut self, connection: Box<dyn Connection<W>>) -> Token {
        let token = self.open(connection);
        self.first.insert(token);
        token
    }

    /// Posts a message to a connection. If the connection no longer exists, the message goes to
    /// [`World::undelivered`].
    pub fn post(&mut self, to: Token, message: W::Message) {
        self.posted.push_back((to, message));
    }

    /// Registers a descriptor.
    pub fn register(&self, fd: impl AsFd, token: Token, ready: Ready) -> io::Result<()> {
        Ok(epoll::add(
            &self.epoll,
            fd,
            epoll::EventData::new_u64(token.bits()),
            flags(ready),
        )?)
    }

    /// Changes the events that a descriptor is registered for.
    pub fn rearm(&self, fd: impl AsFd, token: Token, ready: Ready) -> io::Result<()> {
        Ok(epoll::modify(
            &self.epoll,
            fd,
            epoll::EventData::new_u64(token.bits()),
            flags(ready),
        )?)
    }

    fn set_timer(&mut self, token: Token, at: Option<Time>) {
        // A stale token must not affect the timer of the connection now in its slot.
        if self.generations[token.index as usize] != token.generation {
            return;
        }
        let slot = &mut self.due[token.index as usize];
        if let Some(old) = slot.take() {
            self.timers.remove(&(old, token));
        }
        if let Some(at) = at {
            *slot = Some(at);
            self.timers.insert((at, token));
        }
    }

    fn release(&mut self, token: Token) {
        self.set_timer(token, None);
        self.first.remove(&token);
        let generation = &mut self.generations[token.index as usize];
        *generation = generation.wrapping_add(1);
        self.free.push(token.index);
    }
}

fn flags(ready: Ready) -> epoll::EventFlags {
    let mut flags = epoll::EventFlags::empty();
    if ready.ended {
        flags |= epoll::EventFlags::RDHUP;
    }
    if ready.readable {
        flags |= epoll::EventFlags::IN;
    }
    if ready.writable {
        flags |= epoll::EventFlags::OUT;
    }
    flags
}

type Slot<W> = (Token, Box<dyn Connection<W>>);

/// The event loop.
pub struct Reactor<W: World> {
    net: Net<W>,
    slots: Vec<Option<Slot<W>>>,
    world: W,
}

impl<W: World> Reactor<W> {
    /// Creates a loop without connections.
    pub fn new(world: W, clock: Clock) -> io::Result<Self> {
        let net = Net {
            epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
            clock,
            since: clock.now(),
            generations: Vec::new(),
            free: Vec::new(),
            timers: BTreeSet::new(),
            due: Vec::new(),
            opened: VecDeque::new(),
            first: BTreeSet::new(),
            posted: VecDeque::new(),
        };
        Ok(Reactor {
            net,
            slots: Vec::new(),
            world,
        })
    }

    /// Access to the loop and the shared state while the loop is not running.
    pub fn parts(&mut self) -> (&mut Net<W>, &mut W) {
        (&mut self.net, &mut self.world)
    }

    /// Runs until [`World::finished`] returns true.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(256);
        let (mut interrupted, mut stalls, mut last_poll) =
            (None, Stalls::default(), self.net.now());
        loop {
            self.deliver_pending();
            let now = self.net.now();
            if self.world.finished(now) {
                return Ok(());
            }
            let due = [self.net.timers.first().map(|t| t.0), self.world.due(now)];
            let left = due
                .into_iter()
                .flatten()
                .min()
                .map_or(MAX_WAIT, |at| at.saturating_sub(now));
            let wait = Timespec {
                tv_sec: 0,
                tv_nsec: left.min(MAX_WAIT) as _,
            };
            // A wait interrupted by a signal, such as SIGCONT after a stop, counts together with
            // the next. So does a round that took long or in which the process was stopped, as no
            // events were polled meanwhile.
            let unpolled_since =
                interrupted
                    .take()
                    .unwrap_or(if now - last_poll > STALL_THRESHOLD {
                        last_poll
                    } else {
                        now
                    });
            events.clear();
            match epoll::wait(&self.net.epoll, spare_capacity(&mut events), Some(&wait)) {
                Ok(_) => {}
                Err(rustix::io::Errno::INTR) => {
                    interrupted = Some(unpolled_since);
                    continue;
                }
                Err(problem) => return Err(problem.into()),
            }
            let now = self.net.now();
            last_poll = now;
            // Bytes read after a stall may have arrived when it began, so the waiting time of a
            // client counts from there.
            self.net.since = stalls.since(unpolled_since, now);
            self.handle_events(&mut events, now);
            self.fire_timers(now);
            self.deliver_pending();
            let now = self.net.now();
            if self.world.due(now).is_some_and(|at| at <= now) {
                self.world.turn(&mut self.net, now);
            }
        }
    }

    /// Calls the connections that are ready.
    fn handle_events(&mut self, events: &mut [epoll::Event], now: Time) {
        // Ended connections are handled first: when a client reconnects and repeats its request,
        // the former one must be closed already.
        let first = &self.net.first;
        events.sort_by_key(|event| {
            let flags = event.flags;
            (
                !first.contains(&Token::from_bits(event.data.u64())),
                !flags.intersects(ENDED),
            )
        });
        for event in events.iter() {
            let ready = Ready::from_flags(event.flags);
            self.with(Token::from_bits(event.data.u64()), now, |c, cx| {
                c.ready(cx, ready)
            });
        }
    }

    fn fire_timers(&mut self, now: Time) {
        while let Some(&(at, token)) = self.net.timers.first()
            && at <= now
        {
            self.net.set_timer(token, None);
            self.with(token, now, |c, cx| c.timer(cx));
        }
    }

    /// Adds opened connections and delivers posted messages until none are left.
    fn deliver_pending(&mut self) {
        loop {
            let now = self.net.now();
            if let Some((token, connection)) = self.net.opened.pop_front() {
                let index = token.index as usize;
                if self.slots.len() <= index {
                    self.slots.resize_with(index + 1, || None);
                }
                self.slots[index] = Some((token, connection));
                self.with(token, now, |c, cx| {
                    if let Err(problem) = c.opened(cx) {
                        tracing::warn!(%problem, "cannot register a connection");
                        cx.close();
                    }
                });
            } else if let Some((token, message)) = self.net.posted.pop_front() {
                if self.contains(token) {
                    self.with(token, now, |c, cx| c.deliver(cx, message));
                } else {
                    self.world.undelivered(message, now);
                }
            } else {
                return;
            }
        }
    }

    /// Whether the connection of a token exists.
    fn contains(&self, token: Token) -> bool {
        let slot = self.slots.get(token.index as usize);
        slot.and_then(Option::as_ref)
            .is_some_and(|(current, _)| *current == token)
    }

    /// Calls `call` with a connection. Does nothing if the connection no longer exists.
    fn with(
        &mut self,
        token: Token,
        now: Time,
        call: impl FnOnce(&mut dyn Connection<W>, &mut Context<'_, W>),
    ) {
        if !self.contains(token) {
            return;
        }
        let Some((_, mut connection)) = self.slots[token.index as usize].take() else {
            return;
        };
        let since = self.net.since.min(now);
        let mut cx = Context {
            world: &mut self.world,
            net: &mut self.net,
            token,
            now,
            since,
            closing: false,
        };
        call(connection.as_mut(), &mut cx);
        if cx.closing {
            connection.closed(&mut cx);
            self.net.release(token);
        } else {
            self.slots[token.index as usize] = Some((token, connection));
        }
    }
}

#[cfg(test)]
mod tests;

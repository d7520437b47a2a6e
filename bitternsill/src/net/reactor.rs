//! The reactor: it owns every connection object and calls it back when something is ready, due or
//! posted.

use super::Clock;
use dispatch::interface::Time;
use rustix::buffer::spare_capacity;
use rustix::event::{Timespec, epoll};
use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::os::fd::{AsFd, OwnedFd};

/// The longest that the loop sleeps, in nanoseconds. Waits are short so that a long one shows that
/// the process was stopped.
const MAX_WAIT: Time = 50_000_000;
/// A round that took longer than this, in nanoseconds, began with a stall.
const STALL_THRESHOLD: Time = 100_000_000;
/// Rounds after a stall in which bytes that arrived during it may first be read: the stalled round
/// may have missed the listener's event, the next one accepts, and the one after that reads.
const STALL_ROUNDS: u8 = 2;

/// Since when the bytes that a round reads may have waited.
#[derive(Debug, Default)]
struct Stalls {
    /// When the last stall began, and for how many more rounds it counts.
    last: Option<(Time, u8)>,
}

impl Stalls {
    /// Since when the events of a round may have waited: it got them at `now`, and the last poll
    /// was at `asleep`.
    fn since(&mut self, asleep: Time, now: Time) -> Time {
        let new_stall = (now - asleep > STALL_THRESHOLD).then_some((asleep, STALL_ROUNDS));
        let stall = new_stall.or(self.last);
        let behind = |(at, left): (Time, u8)| Some((at, left.checked_sub(1)?));
        self.last = stall.and_then(behind);
        stall.map_or(now, |(at, _)| at)
    }
}

/// Names one connection; a later connection in the same slot has another generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token {
    index: u32,
    generation: u32,
}

impl Token {
    /// The token as one number, for epoll and for those who must not know what a connection is.
    pub fn bits(self) -> u64 {
        u64::from(self.index) << 32 | u64::from(self.generation)
    }

    /// The token that a number stands for.
    pub fn from_bits(bits: u64) -> Self {
        Token {
            index: (bits >> 32) as u32,
            generation: bits as u32,
        }
    }
}

/// What a descriptor is ready for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ready {
    /// Bytes, an end or a failure can be read.
    pub readable: bool,
    /// Bytes can be written, or a connection attempt has ended.
    pub writable: bool,
    /// The other side has sent its last byte, or the connection broke, whether or not bytes before
    /// that are still unread.
    pub ended: bool,
}

impl Ready {
    /// For bytes and their end.
    pub const READ: Ready = Ready {
        readable: true,
        writable: false,
        ended: true,
    };
    /// For room, or for the end of a connection attempt.
    pub const WRITE: Ready = Ready {
        readable: false,
        writable: true,
        ended: false,
    };
    /// For the end alone: bytes that nobody reads for now must not hide that the other side has
    /// gone.
    pub const END: Ready = Ready {
        readable: false,
        writable: false,
        ended: true,
    };

    /// The same, and for room where that is wanted.
    pub fn and_writable(self, wanted: bool) -> Ready {
        Ready {
            writable: self.writable || wanted,
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

/// How the end of the other side's bytes, or of the connection, shows.
const ENDED: epoll::EventFlags = epoll::EventFlags::RDHUP
    .union(epoll::EventFlags::ERR)
    .union(epoll::EventFlags::HUP);

/// What all connections share, and what happens between them.
pub trait World: Sized {
    /// The messages between connections.
    type Message;

    /// When [`World::turn`] wants to run next.
    fn due(&self, now: Time) -> Option<Time>;

    /// Runs after the callbacks of one round.
    fn turn(&mut self, net: &mut Net<Self>, now: Time);

    /// A message was posted to a connection that was gone by then.
    fn undelivered(&mut self, message: Self::Message, now: Time);

    /// True once the program may end.
    fn finished(&self, now: Time) -> bool;
}

/// A connection, a listener or any other descriptor with callbacks.
pub trait Connection<W: World> {
    /// The connection has its token; it registers its descriptor here.
    fn opened(&mut self, cx: &mut Context<'_, W>) -> io::Result<()>;

    /// The descriptor is ready.
    fn ready(&mut self, cx: &mut Context<'_, W>, ready: Ready);

    /// Something was posted to this connection.
    fn deliver(&mut self, cx: &mut Context<'_, W>, message: W::Message);

    /// The connection's timer is due.
    fn timer(&mut self, cx: &mut Context<'_, W>);

    /// The connection is about to be dropped; the last chance to tell the world.
    fn closed(&mut self, _cx: &mut Context<'_, W>) {}
}

/// What a callback may use.
pub struct Context<'a, W: World> {
    /// The shared state.
    pub world: &'a mut W,
    /// The loop.
    pub net: &'a mut Net<W>,
    /// This connection.
    pub token: Token,
    /// The time of this round.
    pub now: Time,
    /// When what is read in this round may have come at the earliest: before `now` only after a
    /// stall.
    pub since: Time,
    closing: bool,
}

impl<W: World> Context<'_, W> {
    /// Drops this connection after the callback.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Whether it is to be dropped.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Sets this connection's one timer; an earlier setting is void.
    pub fn set_timer(&mut self, at: Time) {
        self.net.set_timer(self.token, Some(at));
    }

    /// Switches this connection's timer off.
    pub fn clear_timer(&mut self) {
        self.net.set_timer(self.token, None);
    }
}

/// The part of the loop that callbacks may use: registering, opening, posting, timers.
pub struct Net<W: World> {
    epoll: OwnedFd,
    clock: Clock,
    since: Time,
    generations: Vec<u32>,
    free: Vec<u32>,
    timers: BTreeSet<(Time, Token)>,
    due: Vec<Option<Time>>,
    opened: VecDeque<(Token, Box<dyn Connection<W>>)>,
    /// Connections that are served before the others of a round.
    first: BTreeSet<Token>,
    posted: VecDeque<(Token, W::Message)>,
}

impl<W: World> Net<W> {
    /// The present moment.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Hands a new connection to the loop.
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

    /// Hands a new connection to the loop whose events come before those of all others in a round.
    pub fn open_first(&mut self, connection: Box<dyn Connection<W>>) -> Token {
        let token = self.open(connection);
        self.first.insert(token);
        token
    }

    /// Posts a message to a connection; it is dropped if the connection is no more.
    pub fn post(&mut self, to: Token, message: W::Message) {
        self.posted.push_back((to, message));
    }

    /// Starts to watch a descriptor.
    pub fn register(&self, fd: impl AsFd, token: Token, ready: Ready) -> io::Result<()> {
        Ok(epoll::add(
            &self.epoll,
            fd,
            epoll::EventData::new_u64(token.bits()),
            flags(ready),
        )?)
    }

    /// Changes what a descriptor is watched for.
    pub fn rearm(&self, fd: impl AsFd, token: Token, ready: Ready) -> io::Result<()> {
        Ok(epoll::modify(
            &self.epoll,
            fd,
            epoll::EventData::new_u64(token.bits()),
            flags(ready),
        )?)
    }

    fn set_timer(&mut self, token: Token, at: Option<Time>) {
        // A token of an earlier connection in the slot must not touch the timer of the present one.
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

/// The loop itself.
pub struct Reactor<W: World> {
    net: Net<W>,
    slots: Vec<Option<Slot<W>>>,
    world: W,
}

impl<W: World> Reactor<W> {
    /// A loop without connections.
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

    /// The loop's outer side, to open the first connections.
    pub fn parts(&mut self) -> (&mut Net<W>, &mut W) {
        (&mut self.net, &mut self.world)
    }

    /// Runs until the world is finished.
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
            // Waits are short, so that a long one shows that the whole program stood still.
            let left = due
                .into_iter()
                .flatten()
                .min()
                .map_or(MAX_WAIT, |at| at.saturating_sub(now));
            let wait = Timespec {
                tv_sec: 0,
                tv_nsec: left.min(MAX_WAIT) as _,
            };
            // A wait that a signal cut short, as it does when the program is made to go on, counts
            // with the next. So does a round that took long, or in which the program was stopped:
            // nobody looked meanwhile.
            let asleep = interrupted
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
                    interrupted = Some(asleep);
                    continue;
                }
                Err(problem) => return Err(problem.into()),
            }
            let now = self.net.now();
            last_poll = now;
            // What is read after a stall may have come at its beginning, and its client has waited
            // since.
            self.net.since = stalls.since(asleep, now);
            self.handle_events(&mut events, now);
            self.fire_timers(now);
            self.deliver_pending();
            let now = self.net.now();
            if self.world.due(now).is_some_and(|at| at <= now) {
                self.world.turn(&mut self.net, now);
            }
        }
    }

    /// Calls back the connections that are ready.
    fn handle_events(&mut self, events: &mut [epoll::Event], now: Time) {
        // What has ended goes first: a client that came back by another connection must find
        // its former request gone.
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

    /// Adds opened connections and delivers posted messages, until none of either is left.
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
                        tracing::warn!(%problem, "a connection could not be watched");
                        cx.close();
                    }
                });
            } else if let Some((token, message)) = self.net.posted.pop_front() {
                if self.holds(token) {
                    self.with(token, now, |c, cx| c.deliver(cx, message));
                } else {
                    self.world.undelivered(message, now);
                }
            } else {
                return;
            }
        }
    }

    /// Whether a token names a connection that is there.
    fn holds(&self, token: Token) -> bool {
        let slot = self.slots.get(token.index as usize);
        slot.and_then(Option::as_ref)
            .is_some_and(|(present, _)| *present == token)
    }

    /// Calls a connection back, if the token still names it: an event of one that is gone is
    /// dropped.
    fn with(
        &mut self,
        token: Token,
        now: Time,
        call: impl FnOnce(&mut dyn Connection<W>, &mut Context<'_, W>),
    ) {
        if !self.holds(token) {
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

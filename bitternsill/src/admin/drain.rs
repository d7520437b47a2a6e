//! Sending clients away: a schedule in time. It has no sockets; whoever holds these asks it what to
//! do now.

use crate::limits::Limits;
use dispatch::interface::Time;

/// The moments of a drain, counted from the call.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    /// From here on the front has heard of it and its last connections have come: answers close
    /// theirs.
    pub close_after_answer: Time,
    /// From here on what is idle is closed.
    pub close_idle: Time,
    /// From here on what is half said is ended.
    pub abort_partial: Time,
    /// Between two looks at what has become idle.
    pub sweep: Time,
    /// What has been idle for less is left alone: a request may be on its way.
    pub idle_grace: Time,
}

impl Schedule {
    /// The steps as the limits have them. A front asks for health every 0.1 s and sends new
    /// connections for 0.2 s after the first no; 2 s after the call nothing may be left that could
    /// still take a request.
    pub fn from_limits(limits: &Limits) -> Schedule {
        let (close_after_answer, close_idle, abort_partial) = limits.drain_times;
        let (sweep, idle_grace) = limits.drain_sweep;
        Schedule {
            close_after_answer,
            close_idle,
            abort_partial,
            sweep,
            idle_grace,
        }
    }
}

/// What to do with the clients' connections at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sweep {
    /// Those idle since then or before are to be closed.
    pub idle_since: Time,
    /// Those half through a request are to be ended too.
    pub partial: bool,
}

/// Whether clients are being sent away, and how far that has come.
#[derive(Debug, Default, Clone, Copy)]
pub struct Drain {
    /// When the call came, and when to look next.
    started: Option<(Time, Time, Schedule)>,
}

impl Drain {
    /// The call came; a second one changes nothing.
    pub fn begin(&mut self, now: Time, steps: Schedule) -> bool {
        let begins = self.started.is_none();
        if begins {
            self.started = Some((now, now + steps.close_idle, steps));
        }
        begins
    }

    /// Clients may come again; says whether any had been sent away.
    pub fn end(&mut self) -> bool {
        self.started.take().is_some()
    }

    /// Whether clients should go elsewhere.
    pub fn is_under_way(&self) -> bool {
        self.started.is_some()
    }

    /// Whether an answer is to close its connection.
    pub fn closes_after_answer(&self, now: Time) -> bool {
        self.started
            .is_some_and(|(began, _, steps)| now >= began + steps.close_after_answer)
    }

    /// When [`Drain::sweep`] has something to say.
    pub fn due(&self) -> Option<Time> {
        self.started.map(|(_, next, _)| next)
    }

    /// What to close now, if that is due.
    pub fn sweep(&mut self, now: Time) -> Option<Sweep> {
        let (began, next, steps) = self.started.as_mut().filter(|(_, next, _)| *next <= now)?;
        *next = now + steps.sweep;
        Some(Sweep {
            idle_since: now.saturating_sub(steps.idle_grace),
            partial: now >= *began + steps.abort_partial,
        })
    }
}

#[cfg(test)]
mod tests;

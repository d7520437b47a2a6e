//! The schedule of a drain, in which clients are moved elsewhere step by step. Does no I/O: the
//! owner of the connections queries it for what to close.

use crate::limits::Limits;
use dispatch::interface::Time;

/// The steps of a drain, counted from its start.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    /// From here on answers close their connections: the load balancer in front has noticed the
    /// drain, and its last connections have arrived.
    pub close_after_answer: Time,
    /// Idle connections are closed.
    pub close_idle: Time,
    /// Partly received requests are aborted.
    pub abort_partial: Time,
    /// Interval between two sweeps for idle connections.
    pub sweep: Time,
    /// A connection that is idle for less than this stays open, as a request may be on its way.
    pub idle_grace: Time,
}

impl Schedule {
    /// The schedule set by the limits. The load balancer checks health every 0.1 s and sends new
    /// connections for 0.2 s after the first failed check; 2 s after the start, no connection may
    /// be left on which a request could arrive.
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

/// The clients' connections to close in one sweep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sweep {
    /// Connections idle since this time or longer are to be closed.
    pub idle_since: Time,
    /// Whether partly received requests are to be aborted too.
    pub partial: bool,
}

/// A drain that is under way.
#[derive(Debug, Clone, Copy)]
struct Progress {
    started_at: Time,
    next_sweep: Time,
    schedule: Schedule,
}

/// Whether clients are being drained, and the progress of that.
#[derive(Debug, Default, Clone, Copy)]
pub struct Drain {
    progress: Option<Progress>,
}

impl Drain {
    /// Starts a drain. Returns false if one is already under way, which continues unchanged.
    pub fn begin(&mut self, now: Time, schedule: Schedule) -> bool {
        if self.progress.is_some() {
            return false;
        }
        self.progress = Some(Progress {
            started_at: now,
            next_sweep: now + schedule.close_idle,
            schedule,
        });
        true
    }

    /// Ends the drain. Returns whether one was under way.
    pub fn end(&mut self) -> bool {
        self.progress.take().is_some()
    }

    /// Whether clients are being drained.
    pub fn is_under_way(&self) -> bool {
        self.progress.is_some()
    }

    /// Whether an answer is to close its connection.
    pub fn closes_after_answer(&self, now: Time) -> bool {
        self.progress
            .is_some_and(|p| now >= p.started_at + p.schedule.close_after_answer)
    }

    /// When the next [`Drain::sweep`] is due.
    pub fn due(&self) -> Option<Time> {
        self.progress.map(|p| p.next_sweep)
    }

    /// The connections to close now, if a sweep is due.
    pub fn sweep(&mut self, now: Time) -> Option<Sweep> {
        let progress = self.progress.as_mut().filter(|p| p.next_sweep <= now)?;
        let schedule = progress.schedule;
        progress.next_sweep = now + schedule.sweep;
        Some(Sweep {
            idle_since: now.saturating_sub(schedule.idle_grace),
            partial: now >= progress.started_at + schedule.abort_partial,
        })
    }
}

#[cfg(test)]
mod tests;

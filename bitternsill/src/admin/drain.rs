//! Draining: clients are asked to go elsewhere, step by step. A schedule without I/O; whoever holds
//! the connections asks it what to close.

use crate::limits::Limits;
use dispatch::interface::Time;

/// The steps of a drain, counted from its start.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    /// The load balancer in front has noticed, and its last connections have come: answers close
    /// their connections.
    pub close_after_answer: Time,
    /// Idle connections are closed.
    pub close_idle: Time,
    /// Requests received in part are aborted.
    pub abort_partial: Time,
    /// The interval between two sweeps for idle connections.
    pub sweep: Time,
    /// A connection idle for less is left open: a request may be on its way.
    pub idle_grace: Time,
}

impl Schedule {
    /// The schedule that the limits give. A load balancer checks health every 0.1 s and sends new
    /// connections for 0.2 s after the first failure; 2 s after the start nothing may be left that
    /// could still take a request.
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
    /// Connections idle since then or before are to be closed.
    pub idle_since: Time,
    /// Requests received in part are to be aborted too.
    pub partial: bool,
}

/// A drain that is under way.
#[derive(Debug, Clone, Copy)]
struct Progress {
    started_at: Time,
    next_sweep: Time,
    schedule: Schedule,
}

/// Whether clients are being drained, and how far that has come.
#[derive(Debug, Default, Clone, Copy)]
pub struct Drain {
    progress: Option<Progress>,
}

impl Drain {
    /// Starts a drain. Returns false where one is under way already, which goes on unchanged.
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

    /// Whether clients should go elsewhere.
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

    /// What to close now, if a sweep is due.
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

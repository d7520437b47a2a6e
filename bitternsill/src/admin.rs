//! Operations: the operators' API, excluded hosts, drains, and the handover between two processes.
//!
//! [`calls`], [`hand`] and [`drain`] decide and do no I/O; [`door`] and [`handover`] carry out;
//! [`Orders`] is where they meet.

pub mod calls;
pub mod cli;
pub mod drain;
pub mod exclusions;
pub mod handover;
pub mod listener;

use crate::limits::Limits;
use dispatch::interface::Time;
use drain::Drain;
use exclusions::Exclusions;
use handover::Handover;

/// What operators have requested, and where it is stored for the successor process.
#[derive(Debug)]
pub struct Orders {
    /// Hosts that operators have excluded.
    pub exclusions: Exclusions,
    /// Whether clients are being drained.
    pub drain: Drain,
    /// What is shared with another process of this name; absent where there is no folder for it.
    shared: Option<Handover>,
}

impl Orders {
    /// Begins with what an earlier process of this name has stored in the folder.
    pub fn open(
        name: &str,
        folder: Option<&std::path::Path>,
        now: Time,
        limits: &Limits,
    ) -> Orders {
        let mut shared = folder.map(|folder| Handover::new(folder, name, now, limits));
        let found = shared.as_mut().and_then(Handover::read);
        let mut exclusions = found.unwrap_or_else(|| Exclusions::new(limits.hosts));
        exclusions.forget(now, limits.exclusion_retention);
        let excluded = exclusions.excluded().count();
        if excluded > 0 {
            tracing::info!(excluded, "hosts out by hand were taken over");
        }
        Orders {
            exclusions,
            drain: Drain::default(),
            shared,
        }
    }

    /// Shows other processes that this one takes clients from here on.
    pub fn announce(&mut self) {
        self.shared.iter_mut().for_each(Handover::announce);
    }

    /// Shows other processes that this one ends. Returns whether a successor takes its clients.
    pub fn withdraw(&mut self, now: Time) -> bool {
        let Some(shared) = &mut self.shared else {
            return false;
        };
        shared.withdraw();
        shared.check_peers(now)
    }

    /// Excludes or includes a host, and stores that for the other process.
    ///
    /// # Errors
    ///
    /// Where as many hosts are excluded as can be stored.
    pub fn set(
        &mut self,
        uid: &str,
        excluded: bool,
        now: Time,
    ) -> Result<(), exclusions::TooManyExclusions> {
        self.exclusions.set(uid, excluded, now)?;
        if let Some(shared) = &mut self.shared {
            shared.write(&mut self.exclusions);
        }
        Ok(())
    }

    /// Polls for changes by the other process. Returns whether that changes which hosts are
    /// excluded.
    pub fn poll(&mut self, now: Time) -> bool {
        let Some(shared) = &mut self.shared else {
            return false;
        };
        shared.poll(&mut self.exclusions, now)
    }

    /// Whether another process of this name served the same address at the last poll.
    pub fn has_successor(&self) -> bool {
        self.shared.as_ref().is_some_and(Handover::has_successor)
    }

    /// When something here is due.
    pub fn due(&self) -> Option<Time> {
        [self.drain.due(), self.shared.as_ref().map(Handover::due)]
            .into_iter()
            .flatten()
            .min()
    }
}

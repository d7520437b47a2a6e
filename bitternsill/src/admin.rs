//! Operations: the operators' API, excluded hosts, drains, and the handover between two processes.
//!
//! [`calls`], [`exclusions`] and [`drain`] do no I/O; [`listener`] and [`handover`] do. [`Orders`]
//! combines them.

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

/// The state that operators have requested, and its storage for the successor process.
#[derive(Debug)]
pub struct Orders {
    /// Hosts that operators have excluded.
    pub exclusions: Exclusions,
    /// Whether clients are being drained.
    pub drain: Drain,
    /// The state shared with another process of this name; `None` if there is no folder for it.
    shared: Option<Handover>,
}

impl Orders {
    /// Starts with the state that an earlier process of this name has stored in the folder.
    pub fn open(
        name: &str,
        folder: Option<&std::path::Path>,
        now: Time,
        limits: &Limits,
    ) -> Orders {
        let mut shared = folder.map(|folder| Handover::new(folder, name, now, limits));
        let found = shared.as_mut().and_then(Handover::read);
        let mut exclusions = found.unwrap_or_else(|| Exclusions::new(limits.hosts));
        exclusions.drop_old_inclusions(now, limits.exclusion_retention);
        let excluded = exclusions.excluded().count();
        if excluded > 0 {
            tracing::info!(
                excluded,
                "restored the excluded hosts of an earlier process"
            );
        }
        Orders {
            exclusions,
            drain: Drain::default(),
            shared,
        }
    }

    /// Shows other processes that this one accepts clients from now on.
    pub fn announce(&mut self) {
        self.shared.iter_mut().for_each(Handover::announce);
    }

    /// Shows other processes that this one is shutting down. Returns whether a successor takes over
    /// its clients.
    pub fn withdraw(&mut self, now: Time) -> bool {
        let Some(shared) = &mut self.shared else {
            return false;
        };
        shared.withdraw();
        shared.check_peers(now)
    }

    /// Excludes or includes a host, and stores the change for the other process.
    ///
    /// # Errors
    ///
    /// The maximum number of hosts is already excluded.
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

    /// Polls for changes by the other process. Returns whether the set of excluded hosts changed.
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

    /// The time of the next action.
    pub fn due(&self) -> Option<Time> {
        [self.drain.due(), self.shared.as_ref().map(Handover::due)]
            .into_iter()
            .flatten()
            .min()
    }
}

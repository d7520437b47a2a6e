//! Daily operations: the operators' door, hosts out by hand, drains, and the hand-over between two
//! processes.
//!
//! [`calls`], [`hand`] and [`drain`] decide and do no I/O; [`door`] and [`handover`] carry out;
//! [`Orders`] is where they meet.

pub mod calls;
pub mod cli;
pub mod door;
pub mod drain;
pub mod hand;
pub mod handover;

use crate::limits::Limits;
use dispatch::interface::Time;
use drain::Drain;
use hand::Hand;
use handover::Handover;

/// What operators have asked for, and where it is kept for the process that follows.
#[derive(Debug)]
pub struct Orders {
    /// Hosts out by hand.
    pub hand: Hand,
    /// Whether clients are being sent away.
    pub drain: Drain,
    /// What is shared with another process of this name; absent where there is no folder for it.
    shared: Option<Handover>,
}

impl Orders {
    /// Orders that begin with what an earlier process of this name has left in the folder.
    pub fn open(
        name: &str,
        folder: Option<&std::path::Path>,
        now: Time,
        limits: &Limits,
    ) -> Orders {
        let mut shared = folder.map(|folder| Handover::new(folder, name, now, limits));
        let found = shared.as_mut().and_then(Handover::read);
        let mut hand = found.unwrap_or_else(|| Hand::new(limits.hosts));
        hand.forget(now, limits.hand_kept);
        let out = hand.out().count();
        if out > 0 {
            tracing::info!(out, "hosts out by hand were taken over");
        }
        Orders {
            hand,
            drain: Drain::default(),
            shared,
        }
    }

    /// This process takes clients from here on.
    pub fn announce(&mut self) {
        self.shared.iter_mut().for_each(Handover::announce);
    }

    /// This process is to end; says whether another is there to take its clients.
    pub fn withdraw(&mut self, now: Time) -> bool {
        let Some(shared) = &mut self.shared else {
            return false;
        };
        shared.withdraw();
        shared.look_at_others(now)
    }

    /// Notes that a host is out, or in again, and tells the other process.
    pub fn set(&mut self, uid: &str, out: bool, now: Time) -> Result<(), hand::TooMany> {
        self.hand.set(uid, out, now)?;
        if let Some(shared) = &mut self.shared {
            shared.write(&mut self.hand);
        }
        Ok(())
    }

    /// Looks at what the other process has noted; true where that changes who is out.
    pub fn look(&mut self, now: Time) -> bool {
        let Some(shared) = &mut self.shared else {
            return false;
        };
        shared.look(&mut self.hand, now)
    }

    /// Whether another process of this name serves the same address, as of the last look.
    pub fn is_followed(&self) -> bool {
        self.shared.as_ref().is_some_and(Handover::is_followed)
    }

    /// When something here is due.
    pub fn due(&self) -> Option<Time> {
        [self.drain.due(), self.shared.as_ref().map(Handover::due)]
            .into_iter()
            .flatten()
            .min()
    }
}

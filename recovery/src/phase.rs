//! The phases, and what leads from one to the next.

use crate::Time;
use crate::bearing::{Bearing, Came};
use crate::ramp::{Ramp, Turn};
use std::collections::BTreeMap;
use std::fmt;

/// How far a gatherer has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It asks its peers what they know; their answers tell whether it returns alone or with all.
    Asking,
    /// It has no list of index hosts that it may use.
    Listing,
    /// It serves, and takes back one class after the other.
    Returning,
    /// It serves whatever comes.
    Full,
}

impl Phase {
    const NAMES: [(Phase, &'static str); 4] = [
        (Phase::Asking, "asking"),
        (Phase::Listing, "listing"),
        (Phase::Returning, "returning"),
        (Phase::Full, "full"),
    ];

    /// The phase of a name.
    pub fn named(name: &str) -> Option<Phase> {
        Self::NAMES
            .iter()
            .find(|(_, word)| *word == name)
            .map(|(phase, _)| *phase)
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = Self::NAMES
            .iter()
            .find(|(phase, _)| phase == self)
            .map_or("", |(_, word)| word);
        f.write_str(name)
    }
}

/// Why a gatherer is in its phase, or has left the one before.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// So many peers have not answered yet.
    PeersSilent(usize),
    /// They did not within the time for that.
    PeersLate(usize),
    /// No list has named an index host that takes work.
    NoList,
    /// The list is the one from before the start, and discovery has not confirmed it.
    ListUnconfirmed,
    /// The gatherer and most peers that answered started together: what was learned before says
    /// nothing of the index hosts.
    StartedTogether,
    /// A peer that answered serves in full: this gatherer alone was away.
    AloneAway,
    /// Nobody answered: it cannot be told from a loss of power, and is held to be one.
    NobodyAnswered,
    /// The index hosts that started anew are warm.
    Warm,
    /// All that clients ask was taken, and answered whole in its time.
    Borne,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::PeersSilent(n) => write!(f, "{n} peers have not answered yet"),
            Reason::PeersLate(n) => write!(f, "{n} peers did not answer in time"),
            Reason::NoList => f.write_str("no list has named an index host that takes work"),
            Reason::ListUnconfirmed => {
                f.write_str("the list is from before; discovery has not confirmed it")
            }
            Reason::StartedTogether => f.write_str("most of the fleet started with this gatherer"),
            Reason::AloneAway => f.write_str("a peer serves in full: this gatherer alone was away"),
            Reason::NobodyAnswered => f.write_str("no peer answered: held to be a loss of power"),
            Reason::Warm => f.write_str("the index hosts have had their time to warm up"),
            Reason::Borne => {
                f.write_str("all that clients ask was taken, and answered whole in its time")
            }
        }
    }
}

/// What bounds a return.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The longest that peers are waited for.
    pub ask_for: Time,
    /// The longest after the start that discovery's own list is waited for where there is one from
    /// before.
    pub list_for: Time,
    /// Gatherers that started no further apart than this have one cause.
    pub together: Time,
    /// How index hosts warm up and what classes are worth.
    pub ramp: Ramp,
    /// Every query has its answer within this time.
    pub ends_within: Time,
}

/// What a peer answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// How long it has been running.
    pub running: Time,
    /// Its phase; none where it does not recover by this rule.
    pub phase: Option<Phase>,
}

/// One change of phase, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The phase that was left.
    pub from: Phase,
    /// How long it had lasted.
    pub lasted: Time,
    /// The one that begins.
    pub to: Phase,
    /// Why.
    pub why: Vec<Reason>,
}

/// A gatherer's return.
#[derive(Debug, Clone)]
pub struct Recovery {
    plan: Plan,
    phase: Phase,
    started: Time,
    since: Time,
    /// Each peer, and what it answered and when.
    peers: BTreeMap<u64, Option<(Time, Peer)>>,
    /// Whether a list names a host that takes work, and whether discovery has told it.
    listed: bool,
    confirmed: bool,
    /// Whether all return: what is served is ramped.
    together: bool,
    /// What index hosts were seen to bear since the return began.
    bearing: Bearing,
    why: Vec<Reason>,
    changes: Vec<Change>,
}

impl Recovery {
    /// A gatherer that starts now, with these peers.
    pub fn new(plan: Plan, peers: impl IntoIterator<Item = u64>, now: Time) -> Recovery {
        let mut recovery = Recovery {
            bearing: Bearing::new(plan.ramp.start, plan.ends_within, now),
            plan,
            phase: Phase::Asking,
            started: now,
            since: now,
            peers: peers.into_iter().map(|peer| (peer, None)).collect(),
            listed: false,
            confirmed: false,
            together: true,
            why: Vec::new(),
            changes: Vec::new(),
        };
        recovery.settle(now);
        recovery
    }

    /// How far it has come.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// What it waits for, or why it is where it is.
    pub fn reasons(&self) -> Vec<Reason> {
        let mut why = match self.phase {
            Phase::Asking => vec![Reason::PeersSilent(self.silent())],
            Phase::Listing if self.listed => vec![Reason::ListUnconfirmed],
            Phase::Listing => vec![Reason::NoList],
            Phase::Returning | Phase::Full => self.why.clone(),
        };
        if self.phase >= Phase::Returning && !self.confirmed {
            why.push(Reason::ListUnconfirmed);
        }
        why
    }

    /// Whether clients should be sent here.
    pub fn is_ready(&self) -> bool {
        self.phase >= Phase::Returning
    }

    /// Whether the index hosts must be held to be cold whatever a list from before says: all may
    /// have lost their power.
    pub fn distrusts_hosts(&self) -> bool {
        self.phase < Phase::Full && self.together && !self.confirmed
    }

    /// Whether discovery itself has told the list.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// How long it has been running.
    pub fn running(&self, now: Time) -> Time {
        now.saturating_sub(self.started)
    }

    /// Peers that have not answered yet.
    pub fn unanswered(&self) -> Vec<u64> {
        let silent = self.peers.iter().filter(|(_, answer)| answer.is_none());
        if self.phase == Phase::Asking {
            silent.map(|(peer, _)| *peer).collect()
        } else {
            Vec::new()
        }
    }

    /// When it wants to be looked at again.
    pub fn due(&self) -> Option<Time> {
        match self.phase {
            Phase::Asking => Some(self.started.saturating_add(self.plan.ask_for)),
            Phase::Listing if self.listed => Some(self.started.saturating_add(self.plan.list_for)),
            Phase::Returning => {
                let warm = self.since.saturating_add(self.plan.ramp.lasts);
                Some(self.bearing.due().map_or(warm, |due| due.min(warm)))
            }
            Phase::Listing | Phase::Full => None,
        }
    }

    /// Changes since this was last asked.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// A peer has answered; one that is not known, or answers twice, changes nothing but its own
    /// answer.
    pub fn answered(&mut self, from: u64, peer: Peer, now: Time) {
        if let Some(answer) = self.peers.get_mut(&from) {
            *answer = Some((now, peer));
        }
        self.settle(now);
    }

    /// The list as it is now: whether it names a host that takes work, and whether discovery itself
    /// has told it.
    pub fn listed(&mut self, usable: bool, by_discovery: bool, now: Time) {
        (self.listed, self.confirmed) = (usable, self.confirmed || by_discovery);
        self.settle(now);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time) {
        if self.phase == Phase::Returning {
            self.bearing.judge(now);
        }
        self.settle(now);
    }

    /// Whether a query of a class is taken; if not, after how long it should come again. `draw` is
    /// from 0 to 1, anew for each.
    pub fn admit(&mut self, class: usize, draw: f64, now: Time) -> Turn {
        if self.phase != Phase::Returning {
            return Turn::Taken;
        }
        let after = now.saturating_sub(self.since);
        let turn = self
            .plan
            .ramp
            .admit(class, after, self.bearing.share(), draw);
        if turn == Turn::Taken {
            self.bearing.took(now);
        }
        turn
    }

    /// A query that was taken then has ended.
    pub fn ended(&mut self, taken: Time, came: Came, now: Time) {
        if self.phase == Phase::Returning {
            self.bearing.ended(taken, came, now);
            self.settle(now);
        }
    }

    fn silent(&self) -> usize {
        self.peers
            .values()
            .filter(|answer| answer.is_none())
            .count()
    }

    fn go(&mut self, to: Phase, why: Vec<Reason>, now: Time) {
        let (from, lasted) = (self.phase, now.saturating_sub(self.since));
        (self.phase, self.since, self.why) = (to, now, why.clone());
        self.bearing = Bearing::new(self.plan.ramp.start, self.plan.ends_within, now);
        self.changes.push(Change {
            from,
            lasted,
            to,
            why,
        });
    }

    fn settle(&mut self, now: Time) {
        if self.phase == Phase::Asking {
            let (silent, late) = (
                self.silent(),
                now >= self.started.saturating_add(self.plan.ask_for),
            );
            // One that serves in full has seen no loss of power: nobody else need be waited for.
            let full = self
                .peers
                .values()
                .flatten()
                .any(|(_, peer)| peer.phase == Some(Phase::Full));
            if silent == 0 || late || full {
                let (together, mut why) = self.judge();
                self.together = together;
                if late && silent > 0 && !full {
                    why.push(Reason::PeersLate(silent));
                }
                self.go(Phase::Listing, why, now);
            }
        }
        // Discovery knows when each host started; a list from before does not, and is used for want
        // of that one.
        let told = self.confirmed
            || !self.together
            || now >= self.started.saturating_add(self.plan.list_for);
        if self.phase == Phase::Listing && self.listed && told {
            let why = self.why.clone();
            let to = if self.together {
                Phase::Returning
            } else {
                Phase::Full
            };
            self.go(to, why, now);
        }
        if self.phase == Phase::Returning && now >= self.since.saturating_add(self.plan.ramp.lasts)
        {
            self.go(Phase::Full, vec![Reason::Warm], now);
        } else if self.phase == Phase::Returning && self.bearing.is_proved() {
            self.go(Phase::Full, vec![Reason::Borne], now);
        }
    }

    /// Whether the gatherer returns with all, by what its peers say.
    fn judge(&self) -> (bool, Vec<Reason>) {
        let answers: Vec<&(Time, Peer)> = self.peers.values().flatten().collect();
        if answers
            .iter()
            .any(|(_, peer)| peer.phase == Some(Phase::Full))
        {
            return (false, vec![Reason::AloneAway]);
        }
        if answers.is_empty() {
            // A gatherer that has no peers has nobody to tell.
            let why = if self.peers.is_empty() {
                Reason::StartedTogether
            } else {
                Reason::NobodyAnswered
            };
            return (true, vec![why]);
        }
        let near = |(at, peer): &&&(Time, Peer)| {
            let own = at.saturating_sub(self.started);
            peer.running.abs_diff(own) <= self.plan.together
        };
        let with = answers.iter().filter(near).count();
        if 2 * with >= answers.len() {
            (true, vec![Reason::StartedTogether])
        } else {
            (false, vec![Reason::AloneAway])
        }
    }
}

#[cfg(test)]
mod tests;

//! Which states follow on a state, within bounds.

use crate::reduction::drop_ineffective;
use crate::scenarios::Pattern;
use crate::state::{
    LEASE, Leading, Message, REPLICATION_FACTOR, Replica, Shared, Stage, State, held_until, id,
    ids, numbers,
};
use crate::turn::{Fault, Turn};
use control::proposer::Intent;
use control::view::View;
use control::witness::{Votes, Witness};
use stateright::{Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// What has to hold in every state.
pub const ONE_VIEW: &str = "one view for each epoch";
pub const NOTHING_LOST: &str = "who leads has what was acknowledged";
pub const ONE_HOLDER: &str = "one holder of the lease";

/// What happens next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Act {
    TakeOver(usize),
    Change(usize, View),
    GiveUp(usize),
    Order(usize),
    BringUp(usize, usize),
    SendHeartbeat(usize),
    Tick,
    Restart(usize),
    Lose(usize),
    Take(usize, u64),
}

/// How far the check goes.
#[derive(Debug, Clone)]
pub struct Bounds {
    pub fault: Fault,
    pub epochs: u64,
    /// Attempts of one life of a replica.
    pub rounds: u64,
    pub changes: u8,
    pub ticks: u64,
    pub restarts: u8,
    /// Replicas that lose their disks.
    pub losses: u8,
    /// Who may try to take over.
    pub candidates: BTreeSet<usize>,
    /// Whether a primary may change the members.
    pub changes_members: bool,
    /// How many replicas there are; those behind the third are in no view at first.
    pub replicas: usize,
    /// How many of the three are in sync at first.
    pub in_sync: usize,
    /// Whether decided views are told to all; else each has to find them.
    pub tells_decided: bool,
    /// Whether what a replica asks of itself takes its time like a message, as its disk does.
    pub is_own_disk_slow: bool,
    /// Whether messages that can't change anything any more are dropped.
    pub drops_ineffective: bool,
    /// Steps that come first, one way only, so that the check begins where it is interesting.
    pub prefix: Vec<Step>,
}

/// A step that is taken before the check begins.
#[derive(Debug, Clone)]
pub enum Step {
    Do(Act),
    /// A message reaches a replica.
    Deliver(Pattern, usize),
}

impl Bounds {
    fn lease(&self) -> u64 {
        if self.ticks > 0 { LEASE } else { 0 }
    }

    /// The views that a primary may ask for: a member more, one less, or one in place of another.
    fn wanted_views(&self, replica: &Replica, at: usize) -> Vec<View> {
        let (Some(view), Some(leading)) = (replica.witness.decided(), &replica.leading) else {
            return Vec::new();
        };
        let in_sync = numbers(&view.in_sync);
        let joiners = (0..self.replicas).filter(|other| !in_sync.contains(other));
        let joiners = joiners.filter(|other| has_caught_up(replica, leading, *other));
        let joiners: Vec<Option<usize>> = joiners.map(Some).chain([None]).collect();
        let leavers = in_sync.iter().filter(|other| **other != at).copied();
        let leavers: Vec<Option<usize>> = leavers.map(Some).chain([None]).collect();
        let pairs = joiners
            .iter()
            .flat_map(|joiner| leavers.iter().map(move |leaver| (*joiner, *leaver)));
        let views = pairs.map(|(joiner, leaver)| changed(view, joiner, leaver));
        // The same members once more, where a proposal that was given up would take others in.
        let has_open_proposal = !leading.proposed.is_subset(&in_sync);
        views
            .filter(|wanted| wanted.in_sync != view.in_sync || has_open_proposal)
            .filter(|wanted| wanted.in_sync.len() >= REPLICATION_FACTOR)
            .collect()
    }

    fn step(&self, state: &State, step: &Step) -> State {
        let act = match step {
            Step::Do(act) => act.clone(),
            Step::Deliver(pattern, to) => {
                let meant = state
                    .sent
                    .iter()
                    .filter(|(_, message)| pattern.fits(message));
                let mut meant = meant.filter(|(_, message)| {
                    message.receiver().is_none_or(|receiver| receiver == *to)
                });
                let (digest, _) = meant
                    .next()
                    .unwrap_or_else(|| panic!("{step:?} has no message"));
                assert!(meant.next().is_none(), "{step:?} has several messages");
                Act::Take(*to, *digest)
            }
        };
        self.next_state(state, act)
            .unwrap_or_else(|| panic!("{step:?} changes nothing"))
    }

    fn acts_of(&self, state: &State, at: usize, acts: &mut Vec<Act>) {
        let replica = &state.replicas[at];
        let Some(view) = replica.witness.decided().filter(|_| !replica.is_lost) else {
            return;
        };
        let may_attempt =
            replica.attempt.is_none() && replica.round < self.rounds && view.epoch < self.epochs;
        let may_lead = view.in_sync.contains(&id(at)) || self.fault == Fault::AnyoneTakesOver;
        if may_attempt && may_lead && replica.leading.is_none() && self.candidates.contains(&at) {
            acts.push(Act::TakeOver(at));
        }
        // A candidate that gives up is like one that is never answered, but where it may try again.
        if replica.attempt.is_some() && (replica.leading.is_some() || self.rounds > 1) {
            acts.push(Act::GiveUp(at));
        }
        if let Some(leading) = &replica.leading {
            self.acts_of_primary(replica, leading, at, may_attempt, acts);
        }
        if state.restarts < self.restarts {
            acts.push(Act::Restart(at));
        }
        if state.losses < self.losses {
            acts.push(Act::Lose(at));
        }
    }

    fn acts_of_primary(
        &self,
        replica: &Replica,
        leading: &Leading,
        at: usize,
        may_attempt: bool,
        acts: &mut Vec<Act>,
    ) {
        if may_attempt && self.changes_members {
            acts.extend(
                self.wanted_views(replica, at)
                    .into_iter()
                    .map(|view| Act::Change(at, view)),
            );
        }
        if leading.stage == Stage::Ready && replica.attempt.is_none() && replica.log < self.changes
        {
            acts.push(Act::Order(at));
        }
        let in_sync = replica
            .witness
            .decided()
            .map(|view| numbers(&view.in_sync))
            .unwrap_or_default();
        let outside =
            (0..self.replicas).filter(|other| !in_sync.contains(other) && self.changes_members);
        acts.extend(outside.map(|other| Act::BringUp(at, other)));
        if self.ticks > 0 {
            acts.push(Act::SendHeartbeat(at));
        }
    }
}

/// Whether a replica stores all that may have been acknowledged, as far as the primary was told.
fn has_caught_up(replica: &Replica, leading: &Leading, other: usize) -> bool {
    let committed = match leading.stage {
        Stage::Replicating(_) => replica.log - 1,
        Stage::Starting(_) | Stage::Ready => replica.log,
    };
    let holds = leading.holds.get(&other);
    holds.is_some_and(|holds| *holds == replica.log || *holds == committed)
}

fn changed(view: &View, joiner: Option<usize>, leaver: Option<usize>) -> View {
    let mut wanted = view.clone();
    wanted.epoch += 1;
    wanted.in_sync.extend(joiner.map(id));
    if let Some(leaver) = leaver {
        wanted.in_sync.remove(&id(leaver));
    }
    // A new machine takes the place of the one that has fallen silent.
    if let Some(joiner) = joiner.filter(|joiner| !view.witnesses.contains(&id(*joiner))) {
        if let Some(leaver) = leaver {
            wanted.witnesses.remove(&id(leaver));
        }
        wanted.witnesses.insert(id(joiner));
    }
    wanted
}

impl Model for Bounds {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let first = View {
            epoch: 1,
            primary: id(0),
            in_sync: ids(0..self.in_sync),
            witnesses: ids(0..3),
        };
        let replica = |at: usize| {
            let votes = Votes {
                decided: Some(first.clone()),
                promised: None,
                accepted: None,
            };
            let leading = (at == 0).then(|| Leading {
                epoch: 1,
                stage: Stage::Ready,
                proposed: BTreeSet::new(),
                granted: BTreeMap::new(),
                kept_until: 0,
                holds: BTreeMap::new(),
            });
            let witness = Witness::new(votes.clone(), false, self.lease(), 0);
            Replica {
                witness,
                disk: votes,
                attempt: None,
                round: 0,
                incarnation: 1,
                log: 0,
                log_epoch: 0,
                leading,
                is_lost: false,
            }
        };
        let first_state = State {
            replicas: (0..self.replicas)
                .map(|at| Shared::new(replica(at)))
                .collect(),
            sent: BTreeMap::new(),
            decided: Shared::new(BTreeMap::from([(1, first.clone())])),
            acknowledged: 0,
            // The time of a lease has passed since the start.
            now: self.lease(),
            restarts: 0,
            losses: 0,
            has_two_views: false,
            leads_without: false,
        };
        vec![
            self.prefix
                .iter()
                .fold(first_state, |state, step| self.step(&state, step)),
        ]
    }

    fn actions(&self, state: &State, acts: &mut Vec<Act>) {
        (0..self.replicas).for_each(|at| self.acts_of(state, at, acts));
        if state.now < self.lease() + self.ticks {
            acts.push(Act::Tick);
        }
        for (digest, message) in &state.sent {
            let receivers = message.receiver().map_or(0..self.replicas, |to| to..to + 1);
            let is_own = |to: &usize| message.sender() == Some(*to) && !self.is_own_disk_slow;
            let alive = receivers.filter(|to| !state.replicas[*to].is_lost && !is_own(to));
            acts.extend(alive.map(|to| Act::Take(to, *digest)));
        }
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut state = last.clone();
        let at = match act {
            Act::Tick => {
                state.now += 1;
                return Some(state);
            }
            Act::TakeOver(at)
            | Act::Change(at, _)
            | Act::GiveUp(at)
            | Act::Order(at)
            | Act::BringUp(at, _)
            | Act::SendHeartbeat(at)
            | Act::Restart(at)
            | Act::Lose(at)
            | Act::Take(at, _) => at,
        };
        state.restarts += u8::from(matches!(act, Act::Restart(_)));
        state.losses += u8::from(matches!(act, Act::Lose(_)));
        let mut turn = Turn::of(self, &mut state, at);
        match act {
            Act::TakeOver(_) => {
                let view = turn.replica.witness.decided()?.clone();
                let wanted = View {
                    epoch: view.epoch + 1,
                    primary: id(at),
                    in_sync: ids([at]),
                    ..view
                };
                turn.begin_attempt(
                    wanted,
                    Intent::TakeOver {
                        replication_factor: REPLICATION_FACTOR,
                    },
                );
            }
            Act::Change(_, view) => turn.begin_attempt(view, Intent::Change),
            Act::GiveUp(_) => turn.give_up(),
            Act::Order(_) => turn.order(),
            Act::BringUp(_, other) => turn.bring_up(other),
            Act::SendHeartbeat(_) => turn.send_heartbeat(),
            Act::Restart(_) => turn.restart(self.lease()),
            Act::Lose(_) => {
                turn.replica.is_lost = true;
                (turn.replica.attempt, turn.replica.leading) = (None, None);
            }
            Act::Take(_, digest) => turn.take(Message::clone(&last.sent[&digest])),
            Act::Tick => {}
        }
        turn.end();
        if self.drops_ineffective {
            drop_ineffective(&mut state);
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_VIEW, |_, state: &State| !state.has_two_views),
            Property::always(NOTHING_LOST, |_, state: &State| !state.leads_without),
            Property::always(ONE_HOLDER, |_: &Bounds, state: &State| {
                let holds = |leading: &Leading| {
                    state.now < held_until(leading, &state.decided[&leading.epoch])
                };
                let leading = state
                    .replicas
                    .iter()
                    .filter_map(|replica| replica.leading.as_ref());
                leading.filter(|leading| holds(leading)).count() <= 1
            }),
        ]
    }
}

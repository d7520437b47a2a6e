//! The transitions of the model, within bounds.

use crate::reduction::drop_ineffective;
use crate::scenarios::Pattern;
use crate::state::{
    LEASE, Leading, MACHINES, Message, REPLICATION_FACTOR, Replica, SEEDS, Shared, Stage, State,
    grants_expire_at, id, ids, lease_expires_at, numbers,
};
use crate::turn::{Fault, Turn};
use control::proposer::Intent;
use control::view::{BOOTSTRAP_EPOCH, ReplicaId, View};
use control::witness::{Votes, Witness};
use stateright::{Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// The properties that have to hold in every state.
pub const ONE_VIEW: &str = "at most one view is decided for each epoch";
pub const NOTHING_LOST: &str = "a primary has all acknowledged changes";
pub const ONE_LEASE_HOLDER: &str = "at most one replica holds the lease";
pub const ONLY_PRIMARY: &str =
    "no other replica becomes primary while a blocking set grants heartbeats";

/// A transition of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// A seed proposes a first view of these replicas.
    Found(usize, BTreeSet<usize>),
    TakeOver(usize),
    ChangeMembers(usize, View),
    Abandon(usize),
    Replicate(usize),
    SendState(usize, usize),
    SendHeartbeat(usize),
    Tick,
    Restart(usize),
    LoseDisk(usize),
    Deliver(usize, u64),
}

/// The bounds of a check.
#[derive(Debug, Clone)]
pub struct Bounds {
    pub fault: Fault,
    /// Whether there is no first view yet. A machine that loses its disk then continues on a new
    /// one.
    pub is_founding: bool,
    pub epochs: u64,
    /// The most proposal rounds of a replica.
    pub rounds: u64,
    pub changes: u8,
    pub ticks: u64,
    pub restarts: u8,
    /// The most replicas that lose their disks.
    pub losses: u8,
    /// The replicas that may try to take over.
    pub candidates: BTreeSet<usize>,
    /// Whether a primary may propose other members.
    pub changes_members: bool,
    /// The number of replicas.
    pub replicas: usize,
    /// The number of witnesses of the first view, which are the first replicas.
    pub witnesses: usize,
    /// The size of the in-sync set of the first view.
    pub in_sync: usize,
    /// Whether decided views are announced; otherwise replicas learn of them by their requests.
    pub announces_decided: bool,
    /// Whether requests of a replica to itself are delayed like messages, as by a slow disk.
    pub is_own_disk_slow: bool,
    /// Whether messages that can no longer have an effect are dropped.
    pub drops_ineffective: bool,
    /// Fixed steps that lead to the initial state of the check.
    pub prefix: Vec<Step>,
}

/// A step before the initial state.
#[derive(Debug, Clone)]
pub enum Step {
    Do(Action),
    /// Delivers the message that matches a pattern to a replica.
    Deliver(Pattern, usize),
}

impl Bounds {
    fn lease(&self) -> u64 {
        if self.ticks > 0 { LEASE } else { 0 }
    }

    /// The views that a primary may propose: a member is added, removed, or replaced.
    fn wanted_views(&self, replica: &Replica, at: usize) -> Vec<View> {
        let (Some(view), Some(leading)) = (replica.witness.decided(), &replica.leading) else {
            return Vec::new();
        };
        let in_sync = numbers(&view.in_sync);
        let joiners = (0..self.replicas).filter(|other| !in_sync.contains(other));
        let joiners = joiners.filter(|other| is_caught_up(replica, leading, *other));
        let joiners: Vec<Option<usize>> = joiners.map(Some).chain([None]).collect();
        let leavers = in_sync.iter().filter(|other| **other != at).copied();
        let leavers: Vec<Option<usize>> = leavers.map(Some).chain([None]).collect();
        let pairs = joiners
            .iter()
            .flat_map(|joiner| leavers.iter().map(move |leaver| (*joiner, *leaver)));
        let views = pairs.map(|(joiner, leaver)| changed(view, joiner, leaver));
        // A view with the same members is proposed to rule out an abandoned proposal with others.
        let has_open_proposal = !leading.proposed.is_subset(&in_sync);
        views
            .filter(|wanted| wanted.in_sync != view.in_sync || has_open_proposal)
            .filter(|wanted| wanted.in_sync.len() >= REPLICATION_FACTOR)
            .collect()
    }

    /// Whether a primary knows that no other replica has become primary.
    fn is_only_primary(&self, leading: &Leading, state: &State) -> bool {
        let view = &state.decided[&leading.epoch];
        let count = match self.fault {
            Fault::FewerGrantsSuffice => view.blocking_set() - 1,
            _ => view.blocking_set(),
        };
        state.now < grants_expire_at(count, leading, view)
    }

    fn step(&self, state: &State, step: &Step) -> State {
        let action = match step {
            Step::Do(action) => action.clone(),
            Step::Deliver(pattern, to) => {
                let matching = state
                    .sent
                    .iter()
                    .filter(|(_, message)| pattern.matches(message));
                let mut matching = matching.filter(|(_, message)| {
                    message.receiver().is_none_or(|receiver| receiver == *to)
                });
                let (digest, _) = matching
                    .next()
                    .unwrap_or_else(|| panic!("{step:?} matches no message"));
                assert!(
                    matching.next().is_none(),
                    "{step:?} matches several messages"
                );
                Action::Deliver(*to, *digest)
            }
        };
        self.next_state(state, action)
            .unwrap_or_else(|| panic!("{step:?} has no effect"))
    }

    /// The first views that a seed may propose: its replica and some of the other machines', on a
    /// former disk where the seed has not heard of the new one.
    fn first_views(&self, state: &State, at: usize) -> Vec<BTreeSet<usize>> {
        let others = (0..SEEDS).filter(|machine| *machine != at % MACHINES);
        let options = others.map(|machine| {
            let replaced = state.running().contains(&(machine + MACHINES));
            let successor = replaced.then_some(machine + MACHINES);
            [None, Some(machine), successor]
        });
        let mut sets = vec![BTreeSet::from([at])];
        for options in options {
            let known = sets.iter().flat_map(|set| {
                let with = |replica: Option<usize>| set.iter().copied().chain(replica).collect();
                options.iter().copied().map(with)
            });
            sets = known.collect::<BTreeSet<_>>().into_iter().collect();
        }
        sets.retain(|set| set.len() >= REPLICATION_FACTOR);
        sets
    }

    fn founding_actions(&self, state: &State, at: usize, actions: &mut Vec<Action>) {
        let replica = &state.replicas[at];
        let may_propose = replica.attempt.is_none() && replica.round < self.rounds;
        if may_propose && replica.may_bootstrap && self.candidates.contains(&at) {
            let views = self.first_views(state, at);
            actions.extend(views.into_iter().map(|known| Action::Found(at, known)));
        }
        if replica.attempt.is_some() && self.rounds > 1 {
            actions.push(Action::Abandon(at));
        }
    }

    fn loss_actions(&self, state: &State, at: usize, actions: &mut Vec<Action>) {
        if state.restarts < self.restarts {
            actions.push(Action::Restart(at));
        }
        if state.losses < self.losses {
            actions.push(Action::LoseDisk(at));
        }
    }

    fn replica_actions(&self, state: &State, at: usize, actions: &mut Vec<Action>) {
        let replica = &state.replicas[at];
        if replica.is_lost {
            return;
        }
        let Some(view) = replica.witness.decided() else {
            self.founding_actions(state, at, actions);
            return self.loss_actions(state, at, actions);
        };
        let may_attempt =
            replica.attempt.is_none() && replica.round < self.rounds && view.epoch < self.epochs;
        let may_lead =
            view.in_sync.contains(&id(at)) || self.fault == Fault::OutOfSyncReplicaTakesOver;
        if may_attempt && may_lead && replica.leading.is_none() && self.candidates.contains(&at) {
            actions.push(Action::TakeOver(at));
        }
        // Abandoning an attempt differs from getting no replies only if another attempt may follow.
        if replica.attempt.is_some() && (replica.leading.is_some() || self.rounds > 1) {
            actions.push(Action::Abandon(at));
        }
        if let Some(leading) = &replica.leading {
            self.primary_actions(replica, leading, at, may_attempt, actions);
        }
        self.loss_actions(state, at, actions);
    }

    fn primary_actions(
        &self,
        replica: &Replica,
        leading: &Leading,
        at: usize,
        may_attempt: bool,
        actions: &mut Vec<Action>,
    ) {
        if may_attempt && self.changes_members {
            actions.extend(
                self.wanted_views(replica, at)
                    .into_iter()
                    .map(|view| Action::ChangeMembers(at, view)),
            );
        }
        if leading.stage == Stage::Ready && replica.attempt.is_none() && replica.log < self.changes
        {
            actions.push(Action::Replicate(at));
        }
        let in_sync = replica
            .witness
            .decided()
            .map(|view| numbers(&view.in_sync))
            .unwrap_or_default();
        let outside =
            (0..self.replicas).filter(|other| !in_sync.contains(other) && self.changes_members);
        actions.extend(outside.map(|other| Action::SendState(at, other)));
        if self.ticks > 0 {
            actions.push(Action::SendHeartbeat(at));
        }
    }
}

/// Whether a replica has reported to store every change that may have been acknowledged.
fn is_caught_up(replica: &Replica, leading: &Leading, other: usize) -> bool {
    let committed = match leading.stage {
        Stage::Replicating(_) => replica.log - 1,
        Stage::Starting(_) | Stage::Ready => replica.log,
    };
    let stored = leading.stored.get(&other);
    stored.is_some_and(|stored| *stored == replica.log || *stored == committed)
}

fn changed(view: &View, joiner: Option<usize>, leaver: Option<usize>) -> View {
    let mut wanted = view.clone();
    wanted.epoch += 1;
    wanted.in_sync.extend(joiner.map(id));
    if let Some(leaver) = leaver {
        wanted.in_sync.remove(&id(leaver));
    }
    // A replica on a new disk replaces the former one.
    if let Some(joiner) = joiner.map(id) {
        let is_former = |other: &ReplicaId| other.address == joiner.address && *other != joiner;
        wanted.in_sync.retain(|other| !is_former(other));
        if wanted.witnesses.iter().any(is_former) {
            wanted.witnesses.retain(|other| !is_former(other));
            wanted.witnesses.insert(joiner);
        }
    }
    // A new machine replaces the unresponsive one as a witness.
    if let Some(joiner) = joiner.filter(|joiner| !wanted.witnesses.contains(&id(*joiner))) {
        if let Some(leaver) = leaver {
            wanted.witnesses.remove(&id(leaver));
        }
        wanted.witnesses.insert(id(joiner));
    }
    wanted
}

impl Model for Bounds {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let first = View {
            epoch: 1,
            primary: id(0),
            in_sync: ids(0..self.in_sync),
            witnesses: ids(0..self.witnesses),
        };
        let replica = |at: usize| {
            let votes = Votes {
                decided: (!self.is_founding).then(|| first.clone()),
                promised: None,
                accepted: None,
            };
            let may_bootstrap = self.is_founding
                && (at < SEEDS || self.fault == Fault::NewDiskVotes && at >= MACHINES);
            let is_used = !self.is_founding || at < SEEDS;
            let leading = (at == 0 && !self.is_founding).then(|| Leading {
                epoch: 1,
                stage: Stage::Ready,
                proposed: BTreeSet::new(),
                granted: BTreeMap::new(),
                kept_until: 0,
                stored: BTreeMap::new(),
            });
            let witness = Witness::new(votes.clone(), may_bootstrap, self.lease(), 0);
            Replica {
                witness,
                disk: votes,
                attempt: None,
                round: 0,
                incarnation: u64::from(is_used),
                log: 0,
                log_epoch: 0,
                leading,
                is_lost: !is_used,
                may_bootstrap,
            }
        };
        let first_state = State {
            replicas: (0..self.replicas)
                .map(|at| Shared::new(replica(at)))
                .collect(),
            sent: BTreeMap::new(),
            decided: Shared::new(if self.is_founding {
                BTreeMap::new()
            } else {
                BTreeMap::from([(1, first.clone())])
            }),
            acknowledged: 0,
            // The duration of a lease has passed since the start.
            now: self.lease(),
            restarts: 0,
            losses: 0,
            has_two_views: false,
            primary_lacks_acknowledged: false,
        };
        vec![
            self.prefix
                .iter()
                .fold(first_state, |state, step| self.step(&state, step)),
        ]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        (0..self.replicas).for_each(|at| self.replica_actions(state, at, actions));
        if state.now < self.lease() + self.ticks {
            actions.push(Action::Tick);
        }
        for (digest, message) in &state.sent {
            let receivers = message.receiver().map_or(0..self.replicas, |to| to..to + 1);
            let is_own = |to: &usize| message.sender() == Some(*to) && !self.is_own_disk_slow;
            let alive = receivers.filter(|to| !state.replicas[*to].is_lost && !is_own(to));
            actions.extend(alive.map(|to| Action::Deliver(to, *digest)));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let at = match action {
            Action::Tick => {
                state.now += 1;
                return Some(state);
            }
            Action::Found(at, _)
            | Action::TakeOver(at)
            | Action::ChangeMembers(at, _)
            | Action::Abandon(at)
            | Action::Replicate(at)
            | Action::SendState(at, _)
            | Action::SendHeartbeat(at)
            | Action::Restart(at)
            | Action::LoseDisk(at)
            | Action::Deliver(at, _) => at,
        };
        state.restarts += u8::from(matches!(action, Action::Restart(_)));
        state.losses += u8::from(matches!(action, Action::LoseDisk(_)));
        if matches!(action, Action::LoseDisk(_)) && self.is_founding && at < SEEDS {
            let mut successor = Replica::clone(&state.replicas[at + MACHINES]);
            (successor.is_lost, successor.incarnation) = (false, 1);
            state.replicas[at + MACHINES] = Shared::new(successor);
        }
        let mut turn = Turn::of(self, &mut state, at);
        match action {
            Action::Found(_, known) => {
                let electorate = turn.electorate();
                let first = View {
                    epoch: BOOTSTRAP_EPOCH + 1,
                    primary: id(*known.first()?),
                    in_sync: ids(known.iter().copied()),
                    witnesses: ids(known.iter().copied()),
                };
                turn.begin_attempt(electorate, first, Intent::Change);
            }
            Action::TakeOver(_) => {
                let view = turn.replica.witness.decided()?.clone();
                let wanted = View {
                    epoch: view.epoch + 1,
                    primary: id(at),
                    in_sync: ids([at]),
                    ..view.clone()
                };
                turn.begin_attempt(
                    view,
                    wanted,
                    Intent::TakeOver {
                        replication_factor: REPLICATION_FACTOR,
                    },
                );
            }
            Action::ChangeMembers(_, wanted) => {
                let current = turn.replica.witness.decided()?.clone();
                turn.begin_attempt(current, wanted, Intent::Change);
            }
            Action::Abandon(_) => turn.abandon_attempt(),
            Action::Replicate(_) => turn.replicate(),
            Action::SendState(_, other) => turn.send_state(other),
            Action::SendHeartbeat(_) => turn.send_heartbeat(),
            Action::Restart(_) => turn.restart(self.lease()),
            Action::LoseDisk(_) => {
                turn.replica.is_lost = true;
                (turn.replica.attempt, turn.replica.leading) = (None, None);
            }
            Action::Deliver(_, digest) => turn.receive(Message::clone(&last.sent[&digest])),
            Action::Tick => {}
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
            Property::always(NOTHING_LOST, |_, state: &State| {
                !state.primary_lacks_acknowledged
            }),
            Property::always(ONE_LEASE_HOLDER, |_: &Bounds, state: &State| {
                let holds = |leading: &Leading| {
                    state.now < lease_expires_at(leading, &state.decided[&leading.epoch])
                };
                let leading = state
                    .replicas
                    .iter()
                    .filter_map(|replica| replica.leading.as_ref());
                leading.filter(|leading| holds(leading)).count() <= 1
            }),
            Property::always(ONLY_PRIMARY, |bounds: &Bounds, state: &State| {
                let newest = state.decided.values().next_back();
                let leading = state.replicas.iter().enumerate();
                leading
                    .filter_map(|(at, replica)| Some((at, replica.leading.as_ref()?)))
                    .filter(|(_, leading)| bounds.is_only_primary(leading, state))
                    .all(|(at, _)| newest.is_some_and(|view| view.primary == id(at)))
            }),
        ]
    }
}

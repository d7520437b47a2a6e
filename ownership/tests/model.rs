//! Lease, takeover and fence, model-checked: one step of time after the other, each gatherer's
//! clock one step ahead or behind, every order in which questions, answers and effects come, at any
//! delay.

use stateright::{Checker, Model, Property};

/// Steps of time that a lease holds, on its owner's clock; by how many steps two clocks can differ
/// over that.
const LEASE: u8 = 2;
const DRIFT: u8 = 1;
/// Ages stop counting here: nothing tells older ones apart.
const OLD: u8 = LEASE + DRIFT;
/// Grants and renewals that are looked at.
const GRANTS: u8 = 2;
const RENEWALS: u8 = 1;

/// A part of the rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// The check and the write of an effect are two steps.
    TheFence,
    /// A token is counted in memory, and begins anew with each life.
    TheRevision,
    /// A lease counts from the answer.
    TheQuestion,
    /// Others wait for as long as the lease, by their own clocks.
    TheDrift,
    /// Whoever takes over does not check that nothing came since it looked.
    TheCheck,
    /// A life goes on with the lease of the one before it.
    TheLife,
}

/// What is on its way to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Ask {
    /// Takes the work, if grant and renewals are as they were seen.
    Take { grant: u8, renewals: u8 },
    /// Renews this grant.
    Renew { grant: u8 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Gatherer {
    life: u8,
    /// What it has seen of the store, and how long ago that changed.
    seen: (u8, u8),
    seen_age: u8,
    /// The grant that it holds, and how long ago it asked what was answered.
    held: Option<(u8, u8)>,
    /// What it has asked, how long ago, whether it has reached the store, and whether that took it.
    asked: Option<(Ask, u8, Option<bool>)>,
    /// An effect for which leave was given, by its token: it lands at any time.
    effect: Option<u8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// The grant, whose it is (who, in which life), and how often it was renewed.
    grant: u8,
    owner: Option<(usize, u8)>,
    renewals: u8,
    all: [Gatherer; 2],
    /// The token of the last effect that landed, and whether an older one landed behind it.
    landed: u8,
    old_landed: bool,
    /// By how much the first gatherer's clock is ahead of true time; the second's is behind by as
    /// much.
    apart: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Action {
    Time,
    /// Time passes for the slow clock only when it is due: this one it does not.
    TimeForTheFast,
    See(usize),
    Ask(usize),
    Reach(usize),
    Answer(usize),
    Lost(usize),
    Leave(usize),
    Land(usize),
    Restart(usize),
}

struct Rule {
    without: Without,
}

impl Rule {
    fn patience(&self) -> u8 {
        if self.without == Without::TheDrift {
            LEASE
        } else {
            LEASE + DRIFT
        }
    }

    fn holds(one: &Gatherer) -> bool {
        one.held.is_some_and(|(_, age)| age < LEASE)
    }

    /// The token that an owner writes by.
    fn token(&self, one: &Gatherer, grant: u8) -> u8 {
        if self.without == Without::TheRevision {
            one.life
        } else {
            grant
        }
    }

    fn wants(state: &State, at: usize, patience: u8) -> Option<Ask> {
        let one = &state.all[at];
        let (grant, renewals) = one.seen;
        if let Some((held, _)) = one.held.filter(|(held, _)| *held == grant) {
            return (renewals < RENEWALS).then_some(Ask::Renew { grant: held });
        }
        let free = grant == 0 || one.seen_age >= patience;
        (free && grant < GRANTS).then_some(Ask::Take { grant, renewals })
    }
}

impl Model for Rule {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let one = Gatherer {
            life: 1,
            seen: (0, 0),
            seen_age: 0,
            held: None,
            asked: None,
            effect: None,
        };
        let (grant, owner, renewals, landed, old_landed, apart) = (0, None, 0, 0, false, 0);
        vec![State {
            grant,
            owner,
            renewals,
            all: [one; 2],
            landed,
            old_landed,
            apart,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::Time);
        if state.apart < DRIFT {
            actions.push(Action::TimeForTheFast);
        }
        for (at, one) in state.all.iter().enumerate() {
            if one.seen != (state.grant, state.renewals) {
                actions.push(Action::See(at));
            }
            match one.asked {
                None if Rule::wants(state, at, self.patience()).is_some() => {
                    actions.push(Action::Ask(at))
                }
                None => {}
                Some((.., None)) => actions.extend([Action::Reach(at), Action::Lost(at)]),
                Some((.., Some(_))) => actions.extend([Action::Answer(at), Action::Lost(at)]),
            }
            if one.effect.is_none() && Rule::holds(one) {
                actions.push(Action::Leave(at));
            }
            if one.effect.is_some() {
                actions.push(Action::Land(at));
            }
            if at == 0 && one.life < 2 && one.held.is_some() {
                actions.push(Action::Restart(at));
            }
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        let older = |age: u8| (age + 1).min(OLD);
        // A lease that has run out, and an answer that is worth nothing any more, are nothing.
        let pass = |one: &mut Gatherer| {
            one.seen_age = older(one.seen_age);
            one.held = one
                .held
                .map(|(grant, age)| (grant, age + 1))
                .filter(|(_, age)| *age < LEASE);
            one.asked = one
                .asked
                .map(|(ask, age, reached)| (ask, (age + 1).min(LEASE), reached));
        };
        match action {
            Action::Time => next.all.iter_mut().for_each(pass),
            Action::TimeForTheFast => {
                // The first one's clock runs ahead; over a lease no further than it may.
                pass(&mut next.all[0]);
                next.apart += 1;
            }
            Action::See(at) => {
                let one = &mut next.all[at];
                (one.seen, one.seen_age) = ((state.grant, state.renewals), 0);
                one.held = one.held.filter(|(held, _)| *held == state.grant);
            }
            Action::Ask(at) => {
                let ask = Rule::wants(state, at, self.patience())?;
                next.all[at].asked = Some((ask, 0, None));
            }
            Action::Reach(at) => {
                let one = &mut next.all[at];
                let (ask, age, _) = one.asked?;
                let made = match ask {
                    Ask::Take { grant, renewals } => {
                        let as_seen = (grant, renewals) == (state.grant, state.renewals);
                        as_seen || self.without == Without::TheCheck && grant == state.grant
                    }
                    Ask::Renew { grant } => grant == state.grant,
                };
                one.asked = Some((ask, age, Some(made)));
                if !made {
                    one.asked = None;
                }
                let life = one.life;
                match ask {
                    Ask::Take { .. } if made => {
                        (next.grant, next.owner, next.renewals) =
                            (state.grant + 1, Some((at, life)), 0);
                    }
                    Ask::Renew { .. } if made => next.renewals += 1,
                    _ => {}
                }
            }
            Action::Answer(at) => {
                let one = &mut next.all[at];
                let (ask, age, made) = one.asked.take()?;
                let age = if self.without == Without::TheQuestion {
                    0
                } else {
                    age
                };
                // The member that was asked has applied what it answers.
                if made == Some(true) {
                    let grant = match ask {
                        Ask::Take { grant, .. } => grant + 1,
                        Ask::Renew { grant } => grant,
                    };
                    if grant == state.grant && age < LEASE {
                        one.held = Some((grant, age));
                    }
                }
                if one.seen != (state.grant, state.renewals) {
                    (one.seen, one.seen_age) = ((state.grant, state.renewals), 0);
                }
            }
            Action::Lost(at) => next.all[at].asked = None,
            Action::Leave(at) => {
                let one = next.all[at];
                let (grant, _) = one.held?;
                next.all[at].effect = Some(self.token(&one, grant));
                // Without a fence it is looked whether the work is its own, and written later.
                if self.without == Without::TheFence && grant != state.grant {
                    next.all[at].effect = None;
                }
            }
            Action::Land(at) => {
                let token = next.all[at].effect.take()?;
                let fenced = match self.without {
                    Without::TheFence => true,
                    // A store that knows no better token than the highest that it has seen.
                    Without::TheRevision => token >= state.landed,
                    _ => token == state.grant,
                };
                if fenced {
                    let by_grant = state
                        .owner
                        .is_some_and(|(owner, life)| owner == at && life == next.all[at].life);
                    next.old_landed |= !by_grant || token < state.landed;
                    next.landed = next.landed.max(token);
                }
            }
            Action::Restart(at) => {
                let one = &mut next.all[at];
                one.life += 1;
                (one.asked, one.effect) = (None, None);
                (one.seen, one.seen_age) = ((state.grant, state.renewals), 0);
                if self.without == Without::TheLife {
                    // It takes the lease up where its former life had it, with its time anew.
                    one.held = one.held.map(|(grant, _)| (grant, 0));
                } else {
                    one.held = None;
                }
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never two owners", |_: &Rule, state: &State| {
                state.all.iter().filter(|one| Rule::holds(one)).count() <= 1
            }),
            Property::always(
                "nothing lands under an old token",
                |_: &Rule, state: &State| !state.old_landed,
            ),
            Property::sometimes("the work changes hands", |_: &Rule, state: &State| {
                state.grant >= 2 && state.landed >= 2
            }),
        ]
    }
}

/// Checks as far as this many steps from the begin, or to the end.
fn check(without: Without, depth: Option<usize>) -> (usize, Vec<&'static str>) {
    let checker = Rule { without }.checker().threads(2);
    let checker = match depth {
        Some(depth) => checker.target_max_depth(depth),
        None => checker,
    };
    let checker = checker.spawn_bfs().join();
    let broken = ["never two owners", "nothing lands under an old token"];
    let broken = broken
        .into_iter()
        .filter(|name| checker.discovery(name).is_some())
        .collect();
    if without == Without::Nothing {
        assert!(checker.discovery("the work changes hands").is_some());
    }
    (checker.unique_state_count(), broken)
}

/// `OWNERSHIP_MODEL=all` goes to the end, which takes minutes.
#[test]
fn the_rule_holds_and_without_any_part_of_it_does_not() {
    let depth = if std::env::var_os("OWNERSHIP_MODEL").is_some() {
        None
    } else {
        Some(18)
    };
    let (states, broken) = check(Without::Nothing, depth);
    println!("two gatherers: {states} states, kept");
    assert_eq!(broken, Vec::<&str>::new());
    for without in [
        Without::TheFence,
        Without::TheRevision,
        Without::TheQuestion,
        Without::TheDrift,
        Without::TheCheck,
        Without::TheLife,
    ] {
        let (states, broken) = check(without, depth);
        println!("without {without:?}: {states} states, broken: {broken:?}");
        assert!(!broken.is_empty(), "without {without:?} nothing breaks");
    }
}

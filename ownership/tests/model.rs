//! Model check of lease, takeover and fencing: discrete time, clocks that differ by one step, and
//! every order and delay of requests, responses and side effects.

use stateright::{Checker, Model, Property};

/// Steps of time that a lease holds, on its owner's clock; by how many steps two clocks can differ
/// over that.
const LEASE: u8 = 2;
const DRIFT: u8 = 1;
/// Ages stop counting here: nothing tells older ones apart.
const MAX_AGE: u8 = LEASE + DRIFT;
/// Grants and renewals that are looked at.
const GRANTS: u8 = 2;
const RENEWALS: u8 = 1;

/// A part of the protocol that is left out, to show that the properties need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ablation {
    None,
    /// Check and write of an effect are two steps.
    Fencing,
    /// Tokens are counted in memory and start anew with each incarnation.
    TokenFromRevision,
    /// A lease counts from the response instead of the request.
    LeaseFromSend,
    /// The takeover delay has no margin for clock drift.
    DriftMargin,
    /// An acquisition does not check that no renewal was committed meanwhile.
    RenewalCheck,
    /// An incarnation goes on with the lease of the one before it.
    Incarnation,
}

/// A request to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Request {
    /// Takes the work, if grant and renewals are as they were observed.
    Acquire { grant: u8, renewals: u8 },
    /// Renews this grant.
    Renew { grant: u8 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Gatherer {
    incarnation: u8,
    /// What it has seen of the store, and how long ago that changed.
    observed: (u8, u8),
    observed_age: u8,
    /// The grant that it holds, and how long ago it asked what was answered.
    lease: Option<(u8, u8)>,
    /// What it has asked, how long ago, whether it has reached the store, and whether that took it.
    in_flight: Option<(Request, u8, Option<bool>)>,
    /// An effect for which leave was given, by its token: it lands at any time.
    effect: Option<u8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// The grant, whose it is (who, in which incarnation), and how often it was renewed.
    grant: u8,
    owner: Option<(usize, u8)>,
    renewals: u8,
    all: [Gatherer; 2],
    /// The token of the last effect that landed, and whether an older one landed behind it.
    landed: u8,
    stale_landed: bool,
    /// By how much the first gatherer's clock is ahead of true time; the second's is behind by as
    /// much.
    clock_skew: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Action {
    Time,
    /// Time passes for the slow clock only when it is due: this one it does not.
    TimeForTheFast,
    Observe(usize),
    Send(usize),
    Commit(usize),
    Respond(usize),
    Lose(usize),
    Permit(usize),
    Land(usize),
    Restart(usize),
}

struct LeaseProtocol {
    ablation: Ablation,
}

impl LeaseProtocol {
    fn takeover_delay(&self) -> u8 {
        if self.ablation == Ablation::DriftMargin {
            LEASE
        } else {
            LEASE + DRIFT
        }
    }

    fn is_owner(one: &Gatherer) -> bool {
        one.lease.is_some_and(|(_, age)| age < LEASE)
    }

    /// The token that an owner writes by.
    fn token(&self, one: &Gatherer, grant: u8) -> u8 {
        if self.ablation == Ablation::TokenFromRevision {
            one.incarnation
        } else {
            grant
        }
    }

    fn next_request(state: &State, at: usize, takeover_delay: u8) -> Option<Request> {
        let one = &state.all[at];
        let (grant, renewals) = one.observed;
        if let Some((held, _)) = one.lease.filter(|(held, _)| *held == grant) {
            return (renewals < RENEWALS).then_some(Request::Renew { grant: held });
        }
        let free = grant == 0 || one.observed_age >= takeover_delay;
        (free && grant < GRANTS).then_some(Request::Acquire { grant, renewals })
    }
}

impl Model for LeaseProtocol {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let one = Gatherer {
            incarnation: 1,
            observed: (0, 0),
            observed_age: 0,
            lease: None,
            in_flight: None,
            effect: None,
        };
        let (grant, owner, renewals, landed, stale_landed, clock_skew) = (0, None, 0, 0, false, 0);
        vec![State {
            grant,
            owner,
            renewals,
            all: [one; 2],
            landed,
            stale_landed,
            clock_skew,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::Time);
        if state.clock_skew < DRIFT {
            actions.push(Action::TimeForTheFast);
        }
        for (at, one) in state.all.iter().enumerate() {
            if one.observed != (state.grant, state.renewals) {
                actions.push(Action::Observe(at));
            }
            match one.in_flight {
                None if LeaseProtocol::next_request(state, at, self.takeover_delay()).is_some() => {
                    actions.push(Action::Send(at))
                }
                None => {}
                Some((.., None)) => actions.extend([Action::Commit(at), Action::Lose(at)]),
                Some((.., Some(_))) => actions.extend([Action::Respond(at), Action::Lose(at)]),
            }
            if one.effect.is_none() && LeaseProtocol::is_owner(one) {
                actions.push(Action::Permit(at));
            }
            if one.effect.is_some() {
                actions.push(Action::Land(at));
            }
            if at == 0 && one.incarnation < 2 && one.lease.is_some() {
                actions.push(Action::Restart(at));
            }
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        let older = |age: u8| (age + 1).min(MAX_AGE);
        // Expired leases and responses that came too late are dropped from the state.
        let pass = |one: &mut Gatherer| {
            one.observed_age = older(one.observed_age);
            one.lease = one
                .lease
                .map(|(grant, age)| (grant, age + 1))
                .filter(|(_, age)| *age < LEASE);
            one.in_flight = one
                .in_flight
                .map(|(ask, age, reached)| (ask, (age + 1).min(LEASE), reached));
        };
        match action {
            Action::Time => next.all.iter_mut().for_each(pass),
            Action::TimeForTheFast => {
                // The first gatherer's clock runs fast, within the drift allowed over a lease.
                pass(&mut next.all[0]);
                next.clock_skew += 1;
            }
            Action::Observe(at) => {
                let one = &mut next.all[at];
                (one.observed, one.observed_age) = ((state.grant, state.renewals), 0);
                one.lease = one.lease.filter(|(held, _)| *held == state.grant);
            }
            Action::Send(at) => {
                let ask = LeaseProtocol::next_request(state, at, self.takeover_delay())?;
                next.all[at].in_flight = Some((ask, 0, None));
            }
            Action::Commit(at) => {
                let one = &mut next.all[at];
                let (ask, age, _) = one.in_flight?;
                let made = match ask {
                    Request::Acquire { grant, renewals } => {
                        let as_seen = (grant, renewals) == (state.grant, state.renewals);
                        as_seen || self.ablation == Ablation::RenewalCheck && grant == state.grant
                    }
                    Request::Renew { grant } => grant == state.grant,
                };
                one.in_flight = Some((ask, age, Some(made)));
                if !made {
                    one.in_flight = None;
                }
                let incarnation = one.incarnation;
                match ask {
                    Request::Acquire { .. } if made => {
                        (next.grant, next.owner, next.renewals) =
                            (state.grant + 1, Some((at, incarnation)), 0);
                    }
                    Request::Renew { .. } if made => next.renewals += 1,
                    _ => {}
                }
            }
            Action::Respond(at) => {
                let one = &mut next.all[at];
                let (ask, age, made) = one.in_flight.take()?;
                let age = if self.ablation == Ablation::LeaseFromSend {
                    0
                } else {
                    age
                };
                // The member that responds has applied the transaction.
                if made == Some(true) {
                    let grant = match ask {
                        Request::Acquire { grant, .. } => grant + 1,
                        Request::Renew { grant } => grant,
                    };
                    if grant == state.grant && age < LEASE {
                        one.lease = Some((grant, age));
                    }
                }
                if one.observed != (state.grant, state.renewals) {
                    (one.observed, one.observed_age) = ((state.grant, state.renewals), 0);
                }
            }
            Action::Lose(at) => next.all[at].in_flight = None,
            Action::Permit(at) => {
                let one = next.all[at];
                let (grant, _) = one.lease?;
                next.all[at].effect = Some(self.token(&one, grant));
                // Without fencing the owner is checked now, and the effect is written later.
                if self.ablation == Ablation::Fencing && grant != state.grant {
                    next.all[at].effect = None;
                }
            }
            Action::Land(at) => {
                let token = next.all[at].effect.take()?;
                let fenced = match self.ablation {
                    Ablation::Fencing => true,
                    // A store that can only compare with the highest token that it has seen.
                    Ablation::TokenFromRevision => token >= state.landed,
                    _ => token == state.grant,
                };
                if fenced {
                    let by_grant = state.owner.is_some_and(|(owner, incarnation)| {
                        owner == at && incarnation == next.all[at].incarnation
                    });
                    next.stale_landed |= !by_grant || token < state.landed;
                    next.landed = next.landed.max(token);
                }
            }
            Action::Restart(at) => {
                let one = &mut next.all[at];
                one.incarnation += 1;
                (one.in_flight, one.effect) = (None, None);
                (one.observed, one.observed_age) = ((state.grant, state.renewals), 0);
                if self.ablation == Ablation::Incarnation {
                    // It resumes the lease of its former incarnation, with a new expiry.
                    one.lease = one.lease.map(|(grant, _)| (grant, 0));
                } else {
                    one.lease = None;
                }
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never two owners", |_: &LeaseProtocol, state: &State| {
                state
                    .all
                    .iter()
                    .filter(|one| LeaseProtocol::is_owner(one))
                    .count()
                    <= 1
            }),
            Property::always(
                "nothing lands under an old token",
                |_: &LeaseProtocol, state: &State| !state.stale_landed,
            ),
            Property::sometimes(
                "the work changes hands",
                |_: &LeaseProtocol, state: &State| state.grant >= 2 && state.landed >= 2,
            ),
        ]
    }
}

/// Checks as far as this many steps from the begin, or to the end.
fn check(ablation: Ablation, depth: Option<usize>) -> (usize, Vec<&'static str>) {
    let checker = LeaseProtocol { ablation }.checker().threads(2);
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
    if ablation == Ablation::None {
        assert!(checker.discovery("the work changes hands").is_some());
    }
    (checker.unique_state_count(), broken)
}

/// `OWNERSHIP_MODEL=all` goes to the end, which takes minutes.
#[test]
fn holds_and_needs_each_part() {
    let depth = if std::env::var_os("OWNERSHIP_MODEL").is_some() {
        None
    } else {
        Some(18)
    };
    let (states, broken) = check(Ablation::None, depth);
    println!("two gatherers: {states} states, kept");
    assert_eq!(broken, Vec::<&str>::new());
    for ablation in [
        Ablation::Fencing,
        Ablation::TokenFromRevision,
        Ablation::LeaseFromSend,
        Ablation::DriftMargin,
        Ablation::RenewalCheck,
        Ablation::Incarnation,
    ] {
        let (states, broken) = check(ablation, depth);
        println!("without {ablation:?}: {states} states, broken: {broken:?}");
        assert!(!broken.is_empty(), "without {ablation:?} nothing breaks");
    }
}

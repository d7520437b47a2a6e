//! Model check of lease, takeover and fencing: discrete time, clocks that differ by one step, and
//! every order and delay of requests, responses and side effects.

use stateright::{Checker, Model, Property};

/// The duration of a lease on its owner's clock, in time steps.
const LEASE: u8 = 2;
/// The maximum difference of two clocks over a lease, in time steps.
const DRIFT: u8 = 1;
/// Ages are capped here, as the protocol does not distinguish older ones.
const MAX_AGE: u8 = LEASE + DRIFT;
/// Maximum number of grants in the model.
const MAX_GRANTS: u8 = 2;
/// Maximum number of renewals of a grant in the model.
const MAX_RENEWALS: u8 = 1;

/// A part of the protocol that is omitted, to show that the properties need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ablation {
    None,
    /// Check and write of an effect are two steps.
    Fencing,
    /// Tokens are counted in memory and restart with each incarnation.
    TokenFromRevision,
    /// A lease starts at the response instead of the request.
    LeaseFromSend,
    /// The takeover delay has no margin for clock drift.
    DriftMargin,
    /// An acquisition does not check that no renewal has been committed since.
    RenewalCheck,
    /// An incarnation inherits the lease of the previous one.
    Incarnation,
}

/// A request to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Request {
    /// Acquires the role, if grant and renewals are as observed.
    Acquire { grant: u8, renewals: u8 },
    /// Renews this grant.
    Renew { grant: u8 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Gatherer {
    incarnation: u8,
    /// The grant and the number of renewals that it has observed.
    observed: (u8, u8),
    /// The time since the observation changed.
    observed_age: u8,
    /// The grant that it owns, and the age of the request that was committed last.
    lease: Option<(u8, u8)>,
    /// The request in flight, its age, and, once the store has processed it, whether it was
    /// committed.
    in_flight: Option<(Request, u8, Option<bool>)>,
    /// The token of an effect that has a permit and may reach its target at any time.
    effect: Option<u8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// The number of the grant.
    grant: u8,
    /// The index and the incarnation of the owner.
    owner: Option<(usize, u8)>,
    /// The number of renewals of the grant.
    renewals: u8,
    gatherers: [Gatherer; 2],
    /// The highest token of an accepted effect.
    highest_token: u8,
    /// Whether an effect of a former owner, or under a lower token, was accepted.
    stale_accepted: bool,
    /// How far the first gatherer's clock is ahead of the second's.
    clock_skew: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Action {
    Time,
    /// Time passes on the fast clock only.
    TimeOnFastClock,
    Observe(usize),
    Send(usize),
    Commit(usize),
    Respond(usize),
    Lose(usize),
    Permit(usize),
    DeliverEffect(usize),
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

    fn is_owner(gatherer: &Gatherer) -> bool {
        gatherer.lease.is_some_and(|(_, age)| age < LEASE)
    }

    /// The fencing token of an owner's effects.
    fn token(&self, gatherer: &Gatherer, grant: u8) -> u8 {
        if self.ablation == Ablation::TokenFromRevision {
            gatherer.incarnation
        } else {
            grant
        }
    }

    fn next_request(state: &State, at: usize, takeover_delay: u8) -> Option<Request> {
        let gatherer = &state.gatherers[at];
        let (grant, renewals) = gatherer.observed;
        if let Some((held, _)) = gatherer.lease.filter(|(held, _)| *held == grant) {
            return (renewals < MAX_RENEWALS).then_some(Request::Renew { grant: held });
        }
        let may_acquire = grant == 0 || gatherer.observed_age >= takeover_delay;
        (may_acquire && grant < MAX_GRANTS).then_some(Request::Acquire { grant, renewals })
    }
}

impl Model for LeaseProtocol {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let gatherer = Gatherer {
            incarnation: 1,
            observed: (0, 0),
            observed_age: 0,
            lease: None,
            in_flight: None,
            effect: None,
        };
        let (grant, owner, renewals, highest_token, stale_accepted, clock_skew) =
            (0, None, 0, 0, false, 0);
        vec![State {
            grant,
            owner,
            renewals,
            gatherers: [gatherer; 2],
            highest_token,
            stale_accepted,
            clock_skew,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::Time);
        if state.clock_skew < DRIFT {
            actions.push(Action::TimeOnFastClock);
        }
        for (at, gatherer) in state.gatherers.iter().enumerate() {
            if gatherer.observed != (state.grant, state.renewals) {
                actions.push(Action::Observe(at));
            }
            match gatherer.in_flight {
                None if LeaseProtocol::next_request(state, at, self.takeover_delay()).is_some() => {
                    actions.push(Action::Send(at))
                }
                None => {}
                Some((.., None)) => actions.extend([Action::Commit(at), Action::Lose(at)]),
                Some((.., Some(_))) => actions.extend([Action::Respond(at), Action::Lose(at)]),
            }
            if gatherer.effect.is_none() && LeaseProtocol::is_owner(gatherer) {
                actions.push(Action::Permit(at));
            }
            if gatherer.effect.is_some() {
                actions.push(Action::DeliverEffect(at));
            }
            if at == 0 && gatherer.incarnation < 2 && gatherer.lease.is_some() {
                actions.push(Action::Restart(at));
            }
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        let older = |age: u8| (age + 1).min(MAX_AGE);
        // Expired leases are dropped from the state, and the age of requests is capped at LEASE.
        let advance = |gatherer: &mut Gatherer| {
            gatherer.observed_age = older(gatherer.observed_age);
            gatherer.lease = gatherer
                .lease
                .map(|(grant, age)| (grant, age + 1))
                .filter(|(_, age)| *age < LEASE);
            gatherer.in_flight = gatherer
                .in_flight
                .map(|(request, age, committed)| (request, (age + 1).min(LEASE), committed));
        };
        match action {
            Action::Time => next.gatherers.iter_mut().for_each(advance),
            Action::TimeOnFastClock => {
                // The first gatherer's clock runs fast, within the drift allowed over a lease.
                advance(&mut next.gatherers[0]);
                next.clock_skew += 1;
            }
            Action::Observe(at) => {
                let gatherer = &mut next.gatherers[at];
                (gatherer.observed, gatherer.observed_age) = ((state.grant, state.renewals), 0);
                gatherer.lease = gatherer.lease.filter(|(held, _)| *held == state.grant);
            }
            Action::Send(at) => {
                let request = LeaseProtocol::next_request(state, at, self.takeover_delay())?;
                next.gatherers[at].in_flight = Some((request, 0, None));
            }
            Action::Commit(at) => {
                let gatherer = &mut next.gatherers[at];
                let (request, age, _) = gatherer.in_flight?;
                let committed = match request {
                    Request::Acquire { grant, renewals } => {
                        let unchanged = (grant, renewals) == (state.grant, state.renewals);
                        unchanged || self.ablation == Ablation::RenewalCheck && grant == state.grant
                    }
                    Request::Renew { grant } => grant == state.grant,
                };
                gatherer.in_flight = Some((request, age, Some(committed)));
                if !committed {
                    gatherer.in_flight = None;
                }
                let incarnation = gatherer.incarnation;
                match request {
                    Request::Acquire { .. } if committed => {
                        (next.grant, next.owner, next.renewals) =
                            (state.grant + 1, Some((at, incarnation)), 0);
                    }
                    Request::Renew { .. } if committed => next.renewals += 1,
                    _ => {}
                }
            }
            Action::Respond(at) => {
                let gatherer = &mut next.gatherers[at];
                let (request, age, committed) = gatherer.in_flight.take()?;
                let age = if self.ablation == Ablation::LeaseFromSend {
                    0
                } else {
                    age
                };
                // The member that responds has applied the transaction.
                if committed == Some(true) {
                    let grant = match request {
                        Request::Acquire { grant, .. } => grant + 1,
                        Request::Renew { grant } => grant,
                    };
                    if grant == state.grant && age < LEASE {
                        gatherer.lease = Some((grant, age));
                    }
                }
                if gatherer.observed != (state.grant, state.renewals) {
                    (gatherer.observed, gatherer.observed_age) = ((state.grant, state.renewals), 0);
                }
            }
            Action::Lose(at) => next.gatherers[at].in_flight = None,
            Action::Permit(at) => {
                let gatherer = next.gatherers[at];
                let (grant, _) = gatherer.lease?;
                next.gatherers[at].effect = Some(self.token(&gatherer, grant));
                // Without fencing the owner checks the grant now, and the effect is written later.
                if self.ablation == Ablation::Fencing && grant != state.grant {
                    next.gatherers[at].effect = None;
                }
            }
            Action::DeliverEffect(at) => {
                let token = next.gatherers[at].effect.take()?;
                let accepted = match self.ablation {
                    Ablation::Fencing => true,
                    // Stands for a store that compares with the highest token that it has seen.
                    Ablation::TokenFromRevision => token >= state.highest_token,
                    _ => token == state.grant,
                };
                if accepted {
                    let by_owner = state.owner.is_some_and(|(owner, incarnation)| {
                        owner == at && incarnation == next.gatherers[at].incarnation
                    });
                    next.stale_accepted |= !by_owner || token < state.highest_token;
                    next.highest_token = next.highest_token.max(token);
                }
            }
            Action::Restart(at) => {
                let gatherer = &mut next.gatherers[at];
                gatherer.incarnation += 1;
                (gatherer.in_flight, gatherer.effect) = (None, None);
                (gatherer.observed, gatherer.observed_age) = ((state.grant, state.renewals), 0);
                if self.ablation == Ablation::Incarnation {
                    // The incarnation resumes the lease of the previous one, with a new expiry.
                    gatherer.lease = gatherer.lease.map(|(grant, _)| (grant, 0));
                } else {
                    gatherer.lease = None;
                }
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one owner", |_: &LeaseProtocol, state: &State| {
                state
                    .gatherers
                    .iter()
                    .filter(|gatherer| LeaseProtocol::is_owner(gatherer))
                    .count()
                    <= 1
            }),
            Property::always(
                "no effect is accepted under a stale token",
                |_: &LeaseProtocol, state: &State| !state.stale_accepted,
            ),
            Property::sometimes(
                "the role changes owners",
                |_: &LeaseProtocol, state: &State| state.grant >= 2 && state.highest_token >= 2,
            ),
        ]
    }
}

/// Checks all states within `depth` steps from the initial state, or all reachable states. Returns
/// the number of states and the violated properties.
fn check(ablation: Ablation, depth: Option<usize>) -> (usize, Vec<&'static str>) {
    let checker = LeaseProtocol { ablation }.checker().threads(2);
    let checker = match depth {
        Some(depth) => checker.target_max_depth(depth),
        None => checker,
    };
    let checker = checker.spawn_bfs().join();
    let properties = [
        "at most one owner",
        "no effect is accepted under a stale token",
    ];
    let violated = properties
        .into_iter()
        .filter(|name| checker.discovery(name).is_some())
        .collect();
    if ablation == Ablation::None {
        assert!(checker.discovery("the role changes owners").is_some());
    }
    (checker.unique_state_count(), violated)
}

/// `OWNERSHIP_MODEL=all` checks all reachable states, which takes minutes.
#[test]
fn properties_hold_and_fail_without_each_rule() {
    let depth = if std::env::var_os("OWNERSHIP_MODEL").is_some() {
        None
    } else {
        Some(18)
    };
    let (states, violated) = check(Ablation::None, depth);
    println!("two gatherers: {states} states, no violation");
    assert_eq!(violated, Vec::<&str>::new());
    for ablation in [
        Ablation::Fencing,
        Ablation::TokenFromRevision,
        Ablation::LeaseFromSend,
        Ablation::DriftMargin,
        Ablation::RenewalCheck,
        Ablation::Incarnation,
    ] {
        let (states, violated) = check(ablation, depth);
        println!("without {ablation:?}: {states} states, violated: {violated:?}");
        assert!(!violated.is_empty(), "no violation without {ablation:?}");
    }
}

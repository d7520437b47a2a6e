//! Model check of activation and validity: discrete time and every order of queries, responses that
//! are delayed or lost, votes, exclusions and the switch.

use stateright::{Checker, Model, Property};

/// Steps of time that an answer holds, and how long an activation waits for those it leaves out.
const VALIDITY: u8 = 3;
/// Ages stop counting here: nothing tells older ones apart.
const MAX_AGE: u8 = VALIDITY + 2;

/// A part of the protocol that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ablation {
    None,
    /// An activation does not wait for excluded gatherers to stop.
    ExclusionDelay,
    /// A validity counts from the response instead of the query.
    ValidityFromQuery,
    /// An excluded gatherer renews its validity.
    ExclusionResponse,
    /// A response that names another version renews the validity of the running one.
    VersionMatch,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Gatherer {
    /// Whether it runs the new version.
    switched: bool,
    /// How long ago it asked what was last answered for what it switched.
    confirmed: u8,
    /// What it has in_flight: how long ago, and what was true then: whether the new one was active,
    /// and whether it was left out.
    in_flight: Option<(u8, bool, bool)>,
    voted: bool,
    /// How long ago it was excluded.
    excluded: Option<u8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    all: Vec<Gatherer>,
    /// How long ago the new version was made active, and who had been left out of that.
    active: Option<(u8, Vec<bool>)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Action {
    Time,
    Query(usize),
    Respond(usize),
    Lose(usize),
    Vote(usize),
    Exclude(usize),
    Activate,
    Switch(usize),
}

struct ActivationProtocol {
    gatherers: usize,
    ablation: Ablation,
}

impl ActivationProtocol {
    fn may_accept(one: &Gatherer) -> bool {
        one.confirmed < VALIDITY
    }
}

impl Model for ActivationProtocol {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let one = Gatherer {
            switched: false,
            confirmed: MAX_AGE,
            in_flight: None,
            voted: false,
            excluded: None,
        };
        vec![State {
            all: vec![one; self.gatherers],
            active: None,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::Time);
        for (at, one) in state.all.iter().enumerate() {
            match one.in_flight {
                None => actions.push(Action::Query(at)),
                Some(_) => actions.extend([Action::Respond(at), Action::Lose(at)]),
            }
            if state.active.is_none() {
                actions.push(Action::Vote(at));
                actions.push(Action::Exclude(at));
            } else if !one.switched {
                actions.push(Action::Switch(at));
            }
        }
        let waited = |out: u8| out >= VALIDITY || self.ablation == Ablation::ExclusionDelay;
        if state.active.is_none()
            && state
                .all
                .iter()
                .all(|one| one.voted || one.excluded.is_some_and(waited))
        {
            actions.push(Action::Activate);
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        let older = |age: u8| (age + 1).min(MAX_AGE);
        match action {
            Action::Time => {
                for one in &mut next.all {
                    one.confirmed = older(one.confirmed);
                    one.in_flight = one
                        .in_flight
                        .map(|(age, active, out)| (older(age), active, out));
                    one.excluded = one.excluded.map(older);
                }
                next.active = next.active.map(|(age, out)| (older(age), out));
            }
            Action::Query(at) => {
                let one = &mut next.all[at];
                one.in_flight = Some((
                    0,
                    state.active.is_some(),
                    state.active.is_none() && one.excluded.is_some(),
                ));
            }
            Action::Respond(at) => {
                let one = &mut next.all[at];
                let (age, active, out) = one.in_flight.take()?;
                let age = if self.ablation == Ablation::ValidityFromQuery {
                    0
                } else {
                    age
                };
                let own = active == one.switched || self.ablation == Ablation::VersionMatch;
                if own && (!out || self.ablation == Ablation::ExclusionResponse) {
                    one.confirmed = one.confirmed.min(age);
                }
            }
            Action::Lose(at) => next.all[at].in_flight = None,
            Action::Vote(at) => next.all[at].voted = true,
            Action::Exclude(at) => next.all[at].excluded = next.all[at].excluded.or(Some(0)),
            Action::Activate => {
                // Whoever has given its word meanwhile takes part.
                next.active = Some((0, state.all.iter().map(|one| !one.voted).collect()));
            }
            Action::Switch(at) => next.all[at].switched = true,
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "whoever was left out has stopped",
                |_: &ActivationProtocol, state: &State| {
                    let Some((_, out)) = &state.active else {
                        return true;
                    };
                    state.all.iter().zip(out).all(|(one, out)| {
                        one.switched || !out || !ActivationProtocol::may_accept(one)
                    })
                },
            ),
            Property::always(
                "nobody acts beyond the bound",
                |_: &ActivationProtocol, state: &State| {
                    let Some((age, _)) = &state.active else {
                        return true;
                    };
                    *age < VALIDITY
                        || state
                            .all
                            .iter()
                            .all(|one| one.switched || !ActivationProtocol::may_accept(one))
                },
            ),
            Property::sometimes(
                "one is left out, and all the others switch",
                |_: &ActivationProtocol, state: &State| {
                    let Some((_, out)) = &state.active else {
                        return false;
                    };
                    out.contains(&true)
                        && state
                            .all
                            .iter()
                            .zip(out)
                            .all(|(one, out)| *out || one.switched)
                },
            ),
        ]
    }
}

fn check(gatherers: usize, ablation: Ablation) -> (usize, Vec<&'static str>) {
    let protocol = ActivationProtocol {
        gatherers,
        ablation,
    };
    let checker = protocol.checker().threads(2).spawn_bfs().join();
    let broken = [
        "whoever was left out has stopped",
        "nobody acts beyond the bound",
    ];
    let broken = broken
        .into_iter()
        .filter(|name| checker.discovery(name).is_some())
        .collect();
    if ablation == Ablation::None {
        assert!(
            checker
                .discovery("one is left out, and all the others switch")
                .is_some()
        );
    }
    (checker.unique_state_count(), broken)
}

#[test]
fn holds_and_needs_each_part() {
    let (states, broken) = check(2, Ablation::None);
    println!("two gatherers: {states} states, kept");
    assert_eq!(broken, Vec::<&str>::new());
    for ablation in [
        Ablation::ExclusionDelay,
        Ablation::ValidityFromQuery,
        Ablation::ExclusionResponse,
        Ablation::VersionMatch,
    ] {
        let (states, broken) = check(2, ablation);
        println!("without {ablation:?}: {states} states, broken: {broken:?}");
        assert!(!broken.is_empty(), "without {ablation:?} nothing breaks");
    }
}

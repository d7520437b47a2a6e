//! Model check of activation and validity: discrete time, and every order of queries, delayed or
//! lost responses, votes, exclusions and switches.

use stateright::{Checker, Model, Property};

/// The validity of a confirmation, and how long an activation waits for excluded gatherers, in time
/// steps.
const VALIDITY: u8 = 3;
/// Ages are capped here, as the protocol does not distinguish older ones.
const MAX_AGE: u8 = VALIDITY + 2;

/// A part of the protocol that is omitted, to show that the properties need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ablation {
    None,
    /// An activation does not wait for excluded gatherers to stop.
    ExclusionDelay,
    /// The validity counts from the response instead of the query.
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
    /// The age of the last query that confirmed its version.
    confirmation_age: u8,
    /// The query in flight: its age, and whether at that time the new version was active and the
    /// gatherer excluded.
    in_flight: Option<(u8, bool, bool)>,
    voted: bool,
    /// The time since it was excluded.
    excluded: Option<u8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    gatherers: Vec<Gatherer>,
    /// The time since the new version was activated, and which gatherers had not voted for it.
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
    fn may_accept(gatherer: &Gatherer) -> bool {
        gatherer.confirmation_age < VALIDITY
    }
}

impl Model for ActivationProtocol {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let gatherer = Gatherer {
            switched: false,
            confirmation_age: MAX_AGE,
            in_flight: None,
            voted: false,
            excluded: None,
        };
        vec![State {
            gatherers: vec![gatherer; self.gatherers],
            active: None,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::Time);
        for (at, gatherer) in state.gatherers.iter().enumerate() {
            match gatherer.in_flight {
                None => actions.push(Action::Query(at)),
                Some(_) => actions.extend([Action::Respond(at), Action::Lose(at)]),
            }
            if state.active.is_none() {
                actions.push(Action::Vote(at));
                actions.push(Action::Exclude(at));
            } else if !gatherer.switched {
                actions.push(Action::Switch(at));
            }
        }
        let has_stopped =
            |excluded: u8| excluded >= VALIDITY || self.ablation == Ablation::ExclusionDelay;
        if state.active.is_none()
            && state
                .gatherers
                .iter()
                .all(|gatherer| gatherer.voted || gatherer.excluded.is_some_and(has_stopped))
        {
            actions.push(Action::Activate);
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        let older = |age: u8| (age + 1).min(MAX_AGE);
        match action {
            Action::Time => {
                for gatherer in &mut next.gatherers {
                    gatherer.confirmation_age = older(gatherer.confirmation_age);
                    gatherer.in_flight = gatherer
                        .in_flight
                        .map(|(age, active, excluded)| (older(age), active, excluded));
                    gatherer.excluded = gatherer.excluded.map(older);
                }
                next.active = next.active.map(|(age, excluded)| (older(age), excluded));
            }
            Action::Query(at) => {
                let gatherer = &mut next.gatherers[at];
                gatherer.in_flight = Some((
                    0,
                    state.active.is_some(),
                    state.active.is_none() && gatherer.excluded.is_some(),
                ));
            }
            Action::Respond(at) => {
                let gatherer = &mut next.gatherers[at];
                let (age, active, excluded) = gatherer.in_flight.take()?;
                let age = if self.ablation == Ablation::ValidityFromQuery {
                    0
                } else {
                    age
                };
                let confirms =
                    active == gatherer.switched || self.ablation == Ablation::VersionMatch;
                if confirms && (!excluded || self.ablation == Ablation::ExclusionResponse) {
                    gatherer.confirmation_age = gatherer.confirmation_age.min(age);
                }
            }
            Action::Lose(at) => next.gatherers[at].in_flight = None,
            Action::Vote(at) => next.gatherers[at].voted = true,
            Action::Exclude(at) => {
                next.gatherers[at].excluded = next.gatherers[at].excluded.or(Some(0))
            }
            Action::Activate => {
                // An excluded gatherer that has voted since takes part.
                next.active = Some((
                    0,
                    state
                        .gatherers
                        .iter()
                        .map(|gatherer| !gatherer.voted)
                        .collect(),
                ));
            }
            Action::Switch(at) => next.gatherers[at].switched = true,
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "excluded gatherers have stopped",
                |_: &ActivationProtocol, state: &State| {
                    let Some((_, excluded)) = &state.active else {
                        return true;
                    };
                    state
                        .gatherers
                        .iter()
                        .zip(excluded)
                        .all(|(gatherer, excluded)| {
                            gatherer.switched
                                || !excluded
                                || !ActivationProtocol::may_accept(gatherer)
                        })
                },
            ),
            Property::always(
                "no gatherer serves beyond the validity",
                |_: &ActivationProtocol, state: &State| {
                    let Some((age, _)) = &state.active else {
                        return true;
                    };
                    *age < VALIDITY
                        || state.gatherers.iter().all(|gatherer| {
                            gatherer.switched || !ActivationProtocol::may_accept(gatherer)
                        })
                },
            ),
            Property::sometimes(
                "gatherer gatherer is excluded, and all others switch",
                |_: &ActivationProtocol, state: &State| {
                    let Some((_, excluded)) = &state.active else {
                        return false;
                    };
                    excluded.contains(&true)
                        && state
                            .gatherers
                            .iter()
                            .zip(excluded)
                            .all(|(gatherer, excluded)| *excluded || gatherer.switched)
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
    let properties = [
        "excluded gatherers have stopped",
        "no gatherer serves beyond the validity",
    ];
    let violated = properties
        .into_iter()
        .filter(|name| checker.discovery(name).is_some())
        .collect();
    if ablation == Ablation::None {
        assert!(
            checker
                .discovery("gatherer gatherer is excluded, and all others switch")
                .is_some()
        );
    }
    (checker.unique_state_count(), violated)
}

#[test]
fn properties_hold_and_fail_without_each_rule() {
    let (states, violated) = check(2, Ablation::None);
    println!("two gatherers: {states} states, no violation");
    assert_eq!(violated, Vec::<&str>::new());
    for ablation in [
        Ablation::ExclusionDelay,
        Ablation::ValidityFromQuery,
        Ablation::ExclusionResponse,
        Ablation::VersionMatch,
    ] {
        let (states, violated) = check(2, ablation);
        println!("without {ablation:?}: {states} states, violated: {violated:?}");
        assert!(!violated.is_empty(), "no violation without {ablation:?}");
    }
}

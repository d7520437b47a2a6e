//! Activation and shut-out, model-checked: one step of time after the other, every order of
//! questions, answers that come late or never, words given, gatherers left out, and the switch.

use stateright::{Checker, Model, Property};

/// Steps of time that an answer holds, and how long an activation waits for those it leaves out.
const VALIDITY: u8 = 3;
/// Ages stop counting here: nothing tells older ones apart.
const OLD: u8 = VALIDITY + 2;

/// A part of the rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// An activation does not wait for those that it leaves out.
    TheWait,
    /// A validity counts from the answer.
    TheQuestion,
    /// One that is left out renews its validity.
    TheMark,
    /// Being told of another version renews the validity of the one that is run.
    TheVersion,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Gatherer {
    /// Whether it runs the new version.
    runs: bool,
    /// How long ago it asked what was last answered for what it runs.
    proved: u8,
    /// What it has asked: how long ago, and what was true then: whether the new one was active, and
    /// whether it was left out.
    asked: Option<(u8, bool, bool)>,
    word: bool,
    /// How long ago it was left out.
    out: Option<u8>,
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
    Ask(usize),
    Answer(usize),
    Lost(usize),
    Word(usize),
    LeaveOut(usize),
    Activate,
    Switch(usize),
}

struct Rule {
    gatherers: usize,
    without: Without,
}

impl Rule {
    fn may_act(one: &Gatherer) -> bool {
        one.proved < VALIDITY
    }
}

impl Model for Rule {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let one = Gatherer {
            runs: false,
            proved: OLD,
            asked: None,
            word: false,
            out: None,
        };
        vec![State {
            all: vec![one; self.gatherers],
            active: None,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::Time);
        for (at, one) in state.all.iter().enumerate() {
            match one.asked {
                None => actions.push(Action::Ask(at)),
                Some(_) => actions.extend([Action::Answer(at), Action::Lost(at)]),
            }
            if state.active.is_none() {
                actions.push(Action::Word(at));
                actions.push(Action::LeaveOut(at));
            } else if !one.runs {
                actions.push(Action::Switch(at));
            }
        }
        let waited = |out: u8| out >= VALIDITY || self.without == Without::TheWait;
        if state.active.is_none()
            && state
                .all
                .iter()
                .all(|one| one.word || one.out.is_some_and(waited))
        {
            actions.push(Action::Activate);
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        let older = |age: u8| (age + 1).min(OLD);
        match action {
            Action::Time => {
                for one in &mut next.all {
                    one.proved = older(one.proved);
                    one.asked = one
                        .asked
                        .map(|(age, active, out)| (older(age), active, out));
                    one.out = one.out.map(older);
                }
                next.active = next.active.map(|(age, out)| (older(age), out));
            }
            Action::Ask(at) => {
                let one = &mut next.all[at];
                one.asked = Some((
                    0,
                    state.active.is_some(),
                    state.active.is_none() && one.out.is_some(),
                ));
            }
            Action::Answer(at) => {
                let one = &mut next.all[at];
                let (age, active, out) = one.asked.take()?;
                let age = if self.without == Without::TheQuestion {
                    0
                } else {
                    age
                };
                let own = active == one.runs || self.without == Without::TheVersion;
                if own && (!out || self.without == Without::TheMark) {
                    one.proved = one.proved.min(age);
                }
            }
            Action::Lost(at) => next.all[at].asked = None,
            Action::Word(at) => next.all[at].word = true,
            Action::LeaveOut(at) => next.all[at].out = next.all[at].out.or(Some(0)),
            Action::Activate => {
                // Whoever has given its word meanwhile takes part.
                next.active = Some((0, state.all.iter().map(|one| !one.word).collect()));
            }
            Action::Switch(at) => next.all[at].runs = true,
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "whoever was left out has stopped",
                |_: &Rule, state: &State| {
                    let Some((_, out)) = &state.active else {
                        return true;
                    };
                    state
                        .all
                        .iter()
                        .zip(out)
                        .all(|(one, out)| one.runs || !out || !Rule::may_act(one))
                },
            ),
            Property::always("nobody acts beyond the bound", |_: &Rule, state: &State| {
                let Some((age, _)) = &state.active else {
                    return true;
                };
                *age < VALIDITY || state.all.iter().all(|one| one.runs || !Rule::may_act(one))
            }),
            Property::sometimes(
                "one is left out, and all the others switch",
                |_: &Rule, state: &State| {
                    let Some((_, out)) = &state.active else {
                        return false;
                    };
                    out.contains(&true)
                        && state.all.iter().zip(out).all(|(one, out)| *out || one.runs)
                },
            ),
        ]
    }
}

fn check(gatherers: usize, without: Without) -> (usize, Vec<&'static str>) {
    let rule = Rule { gatherers, without };
    let checker = rule.checker().threads(2).spawn_bfs().join();
    let broken = [
        "whoever was left out has stopped",
        "nobody acts beyond the bound",
    ];
    let broken = broken
        .into_iter()
        .filter(|name| checker.discovery(name).is_some())
        .collect();
    if without == Without::Nothing {
        assert!(
            checker
                .discovery("one is left out, and all the others switch")
                .is_some()
        );
    }
    (checker.unique_state_count(), broken)
}

#[test]
fn the_rule_holds_and_without_any_part_of_it_does_not() {
    let (states, broken) = check(2, Without::Nothing);
    println!("two gatherers: {states} states, kept");
    assert_eq!(broken, Vec::<&str>::new());
    for without in [
        Without::TheWait,
        Without::TheQuestion,
        Without::TheMark,
        Without::TheVersion,
    ] {
        let (states, broken) = check(2, without);
        println!("without {without:?}: {states} states, broken: {broken:?}");
        assert!(!broken.is_empty(), "without {without:?} nothing breaks");
    }
}

//! The writer, a crash at any moment and the reader, checked in every order by a model checker. The
//! model walks the same steps that the writer does.

use learning::atomic_write::{self, Step};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;

/// A file's content: which picture, and whether all of it is on the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Content {
    snapshot: u64,
    whole: bool,
    synced: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// What the system shows: the names, and the file beside.
    names: BTreeMap<u64, Content>,
    beside: Option<Content>,
    /// The names as they are on the disk.
    durable: BTreeMap<u64, Content>,
    /// The write under way: its generation and how many of its steps are done.
    writing: Option<(u64, Vec<Step>, usize)>,
    /// The newest picture whose folder was synced: it must never be lost.
    promised: u64,
    /// Pictures begun, and crashes so far.
    begun: u64,
    crashes: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Act {
    Begin,
    Next,
    /// The process is killed: what the system was told stays.
    Kill,
    /// The machine loses power: what is not synced may be gone, in part or as a whole; `renamed`
    /// says whether a rename that was not synced stands, `torn` whether data that was not is torn.
    Power {
        renamed: bool,
        torn: bool,
    },
}

struct Disk {
    /// A step that is left out, to see that the model would find the mistake.
    without: Option<Step>,
}

fn sound(content: &Content) -> bool {
    // The reader's checksum tells.
    content.whole
}

/// What the reader takes.
fn read(names: &BTreeMap<u64, Content>) -> Option<u64> {
    let present: Vec<u64> = names.keys().copied().collect();
    atomic_write::load_order(&present)
        .into_iter()
        .find(|g| sound(&names[g]))
        .map(|g| names[&g].snapshot)
}

impl Model for Disk {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            names: BTreeMap::new(),
            beside: None,
            durable: BTreeMap::new(),
            writing: None,
            promised: 0,
            begun: 0,
            crashes: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Act>) {
        match &state.writing {
            None if state.begun < 5 => actions.push(Act::Begin),
            None => {}
            Some(_) => actions.push(Act::Next),
        }
        if state.crashes < 2 {
            actions.push(Act::Kill);
            for (renamed, torn) in [(false, false), (false, true), (true, false), (true, true)] {
                actions.push(Act::Power { renamed, torn });
            }
        }
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut state = last.clone();
        match act {
            Act::Begin => {
                let present: Vec<u64> = state.names.keys().copied().collect();
                let (generation, mut steps) = atomic_write::plan(&present);
                steps.retain(|step| Some(step) != self.without.as_ref());
                state.begun += 1;
                state.writing = Some((generation, steps, 0));
            }
            Act::Next => {
                let (generation, steps, at) = state.writing.take()?;
                match &steps[at] {
                    Step::Create => {
                        state.beside = Some(Content {
                            snapshot: state.begun,
                            whole: false,
                            synced: false,
                        })
                    }
                    Step::Write => {
                        state.beside = state.beside.map(|c| Content { whole: true, ..c })
                    }
                    Step::SyncFile => {
                        state.beside = state.beside.map(|c| Content { synced: true, ..c })
                    }
                    Step::Rename => {
                        let content = state.beside.take()?;
                        state.names.insert(generation, content);
                    }
                    Step::SyncFolder => {
                        state.durable = state.names.clone();
                        state.promised = state.promised.max(state.begun);
                    }
                    Step::Remove(old) => {
                        state.names.remove(old);
                    }
                }
                if at + 1 < steps.len() {
                    state.writing = Some((generation, steps, at + 1));
                }
            }
            Act::Kill => {
                state.crashes += 1;
                state.writing = None;
            }
            Act::Power { renamed, torn } => {
                state.crashes += 1;
                state.writing = None;
                state.beside = None;
                let mut after = if renamed {
                    state.names.clone()
                } else {
                    state.durable.clone()
                };
                for content in after.values_mut() {
                    content.whole &= content.synced || !torn;
                    content.synced = true;
                }
                state.names = after.clone();
                state.durable = after;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("what was promised is read, or newer", |_, state: &State| {
                read(&state.names).unwrap_or(0) >= state.promised
            }),
            Property::always("few generations stay", |_, state: &State| {
                // One more while the new one is in place and the old one not yet removed, and one a
                // crash.
                state.names.len()
                    <= atomic_write::RETAINED_GENERATIONS + 1 + usize::from(state.crashes)
            }),
            Property::sometimes(
                "a crash in the middle leaves a file that is not sound",
                |_, state: &State| state.crashes > 0 && state.beside.is_some_and(|c| !c.whole),
            ),
        ]
    }
}

#[test]
fn crashes_lose_no_acknowledged_snapshot() {
    let checker = Disk { without: None }.checker().spawn_bfs().join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 500,
        "{}",
        checker.unique_state_count()
    );
}

/// The model is worth something only if it finds the classic mistake: what is named before it is on
/// the disk.
#[test]
fn model_finds_missing_sync() {
    let checker = Disk {
        without: Some(Step::SyncFile),
    }
    .checker()
    .spawn_bfs()
    .join();
    assert!(
        checker
            .discovery("what was promised is read, or newer")
            .is_some()
    );
}

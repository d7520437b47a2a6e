//! Model check of writer and reader with a crash at any point. The model executes the same steps as
//! the writer.

use learning::atomic_write::{self, Step};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;

/// The content of a file: the number of the snapshot, whether it is complete, and whether it is
/// synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Content {
    snapshot: u64,
    complete: bool,
    synced: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// The generations in the folder, as the operating system shows them.
    visible: BTreeMap<u64, Content>,
    /// The temporary file.
    temporary: Option<Content>,
    /// The generations in the folder, as they are on the disk.
    durable: BTreeMap<u64, Content>,
    /// The write in progress: its generation, its steps, and how many of them are done.
    writing: Option<(u64, Vec<Step>, usize)>,
    /// The newest snapshot whose rename was synced, which must never be lost.
    acknowledged: u64,
    /// The number of writes that were begun.
    begun: u64,
    crashes: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Action {
    Begin,
    Next,
    /// The process is killed. All its system calls remain in effect.
    Kill,
    /// The machine loses power. Unsynced changes may be lost: `renamed` is whether an unsynced
    /// rename survives, `torn` whether unsynced data is incomplete.
    PowerLoss {
        renamed: bool,
        torn: bool,
    },
}

struct Disk {
    /// A step that is omitted, to show that the model detects it.
    omitted: Option<Step>,
}

fn is_valid(content: &Content) -> bool {
    // The checksum of the file detects incomplete content.
    content.complete
}

/// The snapshot that the reader loads.
fn read(generations: &BTreeMap<u64, Content>) -> Option<u64> {
    let present: Vec<u64> = generations.keys().copied().collect();
    atomic_write::load_order(&present)
        .into_iter()
        .find(|g| is_valid(&generations[g]))
        .map(|g| generations[&g].snapshot)
}

impl Model for Disk {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            visible: BTreeMap::new(),
            temporary: None,
            durable: BTreeMap::new(),
            writing: None,
            acknowledged: 0,
            begun: 0,
            crashes: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        match &state.writing {
            None if state.begun < 5 => actions.push(Action::Begin),
            None => {}
            Some(_) => actions.push(Action::Next),
        }
        if state.crashes < 2 {
            actions.push(Action::Kill);
            for (renamed, torn) in [(false, false), (false, true), (true, false), (true, true)] {
                actions.push(Action::PowerLoss { renamed, torn });
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Begin => {
                let present: Vec<u64> = state.visible.keys().copied().collect();
                let (generation, mut steps) = atomic_write::plan(&present);
                steps.retain(|step| Some(step) != self.omitted.as_ref());
                state.begun += 1;
                state.writing = Some((generation, steps, 0));
            }
            Action::Next => {
                let (generation, steps, at) = state.writing.take()?;
                match &steps[at] {
                    Step::Create => {
                        state.temporary = Some(Content {
                            snapshot: state.begun,
                            complete: false,
                            synced: false,
                        })
                    }
                    Step::Write => {
                        state.temporary = state.temporary.map(|c| Content {
                            complete: true,
                            ..c
                        })
                    }
                    Step::SyncFile => {
                        state.temporary = state.temporary.map(|c| Content { synced: true, ..c })
                    }
                    Step::Rename => {
                        let content = state.temporary.take()?;
                        state.visible.insert(generation, content);
                    }
                    Step::SyncFolder => {
                        state.durable = state.visible.clone();
                        state.acknowledged = state.acknowledged.max(state.begun);
                    }
                    Step::Remove(old) => {
                        state.visible.remove(old);
                    }
                }
                if at + 1 < steps.len() {
                    state.writing = Some((generation, steps, at + 1));
                }
            }
            Action::Kill => {
                state.crashes += 1;
                state.writing = None;
            }
            Action::PowerLoss { renamed, torn } => {
                state.crashes += 1;
                state.writing = None;
                state.temporary = None;
                let mut after = if renamed {
                    state.visible.clone()
                } else {
                    state.durable.clone()
                };
                for content in after.values_mut() {
                    content.complete &= content.synced || !torn;
                    content.synced = true;
                }
                state.visible = after.clone();
                state.durable = after;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "the acknowledged snapshot or a newer one is read",
                |_, state: &State| read(&state.visible).unwrap_or(0) >= state.acknowledged,
            ),
            Property::always(
                "the number of generations is bounded",
                |_, state: &State| {
                    // One more between the rename of a new generation and the removal of an old
                    // one, and one more for each crash.
                    state.visible.len()
                        <= atomic_write::RETAINED_GENERATIONS + 1 + usize::from(state.crashes)
                },
            ),
            Property::sometimes("a crash leaves an incomplete file", |_, state: &State| {
                state.crashes > 0 && state.temporary.is_some_and(|c| !c.complete)
            }),
        ]
    }
}

#[test]
fn crashes_lose_no_acknowledged_snapshot() {
    let checker = Disk { omitted: None }.checker().spawn_bfs().join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 500,
        "{}",
        checker.unique_state_count()
    );
}

/// The model detects a file that is renamed before its data is synced.
#[test]
fn model_finds_missing_sync() {
    let checker = Disk {
        omitted: Some(Step::SyncFile),
    }
    .checker()
    .spawn_bfs()
    .join();
    assert!(
        checker
            .discovery("the acknowledged snapshot or a newer one is read")
            .is_some()
    );
}

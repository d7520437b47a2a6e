//! Random walks: deep paths within bounds that are too wide for an exhaustive search.

use crate::bounds::Bounds;
use stateright::{Expectation, Model};

/// The combined result of several walks.
#[derive(Debug, Default)]
pub struct Walked {
    /// The number of steps of all walks.
    pub steps: u64,
    /// The depth of the deepest walk.
    pub depth: usize,
    /// The highest epoch that any walk decided.
    pub epoch: u64,
    /// The violated property, if any, and the seed of the walk.
    pub violated: Option<(&'static str, u64)>,
}

/// Walks from the initial state once per seed. A walk ends when a property is violated, no action
/// is possible, or `depth` is reached.
pub fn walk(bounds: &Bounds, seeds: std::ops::Range<u64>, depth: usize) -> Walked {
    let properties = bounds.properties();
    let mut walked = Walked::default();
    for seed in seeds {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut state = bounds.init_states().remove(0);
        for step in 0..depth {
            let mut actions = Vec::new();
            bounds.actions(&state, &mut actions);
            rng.shuffle(&mut actions);
            let next = actions
                .into_iter()
                .find_map(|action| bounds.next_state(&state, action));
            let Some(next) = next else { break };
            state = next;
            walked.steps += 1;
            walked.depth = walked.depth.max(step + 1);
            let violated = properties.iter().find(|property| {
                assert!(matches!(property.expectation, Expectation::Always));
                !(property.condition)(bounds, &state)
            });
            if let Some(property) = violated {
                walked.violated = Some((property.name, seed));
                return walked;
            }
        }
        let decided = state.decided.keys().max().copied();
        walked.epoch = walked.epoch.max(decided.unwrap_or_default());
    }
    walked
}

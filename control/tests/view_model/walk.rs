//! Random walks: single paths of great depth, within bounds that are far too wide to see every
//! state.

use crate::bounds::Bounds;
use stateright::{Expectation, Model};

/// The outcome of some walks.
#[derive(Debug, Default)]
pub struct Walked {
    /// Steps of all walks.
    pub steps: u64,
    /// The depth of the deepest walk.
    pub depth: usize,
    /// The highest epoch that was decided on any walk.
    pub epoch: u64,
    /// What was broken, and by which seed.
    pub broken: Option<(&'static str, u64)>,
}

/// Walks from the first state, once for each seed, until something is broken, nothing can happen
/// any more, or `depth` is reached.
pub fn walk(bounds: &Bounds, seeds: std::ops::Range<u64>, depth: usize) -> Walked {
    let properties = bounds.properties();
    let mut walked = Walked::default();
    for seed in seeds {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut state = bounds.init_states().remove(0);
        for step in 0..depth {
            let mut acts = Vec::new();
            bounds.actions(&state, &mut acts);
            rng.shuffle(&mut acts);
            let next = acts
                .into_iter()
                .find_map(|act| bounds.next_state(&state, act));
            let Some(next) = next else { break };
            state = next;
            walked.steps += 1;
            walked.depth = walked.depth.max(step + 1);
            let broken = properties.iter().find(|property| {
                assert!(matches!(property.expectation, Expectation::Always));
                !(property.condition)(bounds, &state)
            });
            if let Some(property) = broken {
                walked.broken = Some((property.name, seed));
                return walked;
            }
        }
        let decided = state.decided.keys().max().copied();
        walked.epoch = walked.epoch.max(decided.unwrap_or_default());
    }
    walked
}

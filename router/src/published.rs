//! The committed control state as this router uses it, and how it reaches others.

use crate::protocol::{Body, PublishedState};
use compact_str::CompactString;
use control::configuration::Configuration;
use control::delta;
use control::state::{ControlState, Position, WeightsTarget};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// How many former configurations are kept as bases for differences.
const KEPT: usize = 4;

/// A configuration with its text.
#[derive(Debug, Clone)]
pub struct Loaded {
    /// The text, byte for byte.
    pub body: Arc<Vec<u8>>,
    /// What it says.
    pub parsed: Arc<Configuration>,
}

/// The newest committed state that this router knows. It never goes back.
#[derive(Debug, Default)]
pub struct Published {
    position: Position,
    configuration: Option<Loaded>,
    weights: BTreeMap<CompactString, WeightsTarget>,
    former: VecDeque<(u64, Arc<Vec<u8>>)>,
}

impl Published {
    /// The last change in it.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The configuration in force here.
    pub fn configuration(&self) -> Option<&Loaded> {
        self.configuration.as_ref()
    }

    /// The version of that configuration.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|loaded| loaded.parsed.version)
    }

    /// The newest version of each model's weights.
    pub fn weights(&self) -> &BTreeMap<CompactString, WeightsTarget> {
        &self.weights
    }

    /// Takes what this node's own replica has committed. True where that is news.
    pub fn take_own(&mut self, state: &ControlState) -> bool {
        if state.position.index <= self.position.index {
            return false;
        }
        let configuration = state.configuration.as_ref();
        if let Some(stored) = configuration.filter(|stored| Some(stored.version) != self.version()) {
            self.load(stored.body.clone());
        }
        self.position = state.position;
        self.weights.clone_from(&state.weights);
        true
    }

    /// Takes what another router has. True where that is news.
    pub fn take(&mut self, state: PublishedState) -> bool {
        if state.position.index <= self.position.index {
            return false;
        }
        if let Some((_, body)) = state.configuration {
            let whole = match body {
                Body::Whole(body) => Some(body),
                Body::Difference(pieces) => {
                    let base = self.configuration.as_ref().map_or(&[][..], |loaded| &loaded.body);
                    delta::restore(base, &pieces)
                }
            };
            let Some(whole) = whole else { return false };
            if !self.load(whole) {
                return false;
            }
        }
        self.position = state.position;
        self.weights = state.weights;
        true
    }

    fn load(&mut self, body: Vec<u8>) -> bool {
        match Configuration::parse(&body) {
            Ok(parsed) => {
                let loaded = Loaded { body: Arc::new(body), parsed: Arc::new(parsed) };
                self.former.push_back((loaded.parsed.version, loaded.body.clone()));
                if self.former.len() > KEPT {
                    self.former.pop_front();
                }
                self.configuration = Some(loaded);
                true
            }
            Err(problem) => {
                log::error!("a committed configuration can't be read: {problem}");
                false
            }
        }
    }

    /// What a router lacks that has a state up to `position` and a configuration of version `base`.
    pub fn news_for(&self, position: Position, base: Option<u64>) -> Option<PublishedState> {
        if position.index >= self.position.index {
            return None;
        }
        let changed = self.configuration.as_ref().filter(|loaded| Some(loaded.parsed.version) != base);
        let configuration = changed.map(|loaded| {
            let former = self.former.iter().find(|(version, _)| Some(*version) == base);
            let body = match former {
                Some((_, base)) => Body::Difference(delta::difference(base, &loaded.body)),
                None => Body::Whole(loaded.body.to_vec()),
            };
            (loaded.parsed.version, body)
        });
        Some(PublishedState { position: self.position, configuration, weights: self.weights.clone() })
    }
}

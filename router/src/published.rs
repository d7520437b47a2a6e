//! The committed control state as routers use it, and its propagation between them.

use crate::clock;
use crate::protocol::PublishedState;
use compact_str::CompactString;
use control::Millis;
use control::configuration::Configuration;
use control::history::{ApplyError, History};
use control::state::{ControlState, Position, WeightsTarget};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The latest committed state that this router knows. Its position never decreases.
#[derive(Debug, Default)]
pub struct Published {
    position: Position,
    history: History,
    configuration: Option<Arc<Configuration>>,
    weights: BTreeMap<CompactString, WeightsTarget>,
    /// Whether a delta to the current text failed its checksum, so that the full text is needed.
    needs_full_text: bool,
    /// Whether a newer configuration than the one in force is known and could not be applied.
    is_outdated: bool,
    /// When this router first had a configuration.
    configured_at: Option<Millis>,
}

impl Published {
    /// Position of the last applied change.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// When this router first had a configuration.
    pub fn configured_at(&self) -> Option<Millis> {
        self.configured_at
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.configuration
            .as_ref()
            .map(|configuration| configuration.version)
    }

    /// Length of the configuration's text in bytes.
    pub fn text_bytes(&self) -> usize {
        self.history.text().len()
    }

    /// The version that deltas may build on; `None` if the full text is needed.
    pub fn base(&self) -> Option<u64> {
        self.version().filter(|_| !self.needs_full_text)
    }

    /// Whether a newer configuration than the one in force is known and could not be applied.
    pub fn is_outdated(&self) -> bool {
        self.is_outdated
    }

    /// The latest version of each model's weights.
    pub fn weights(&self) -> &BTreeMap<CompactString, WeightsTarget> {
        &self.weights
    }

    /// Applies the state that this node's own replica has committed. Returns whether anything
    /// changed.
    pub fn apply_committed(&mut self, state: &ControlState) -> bool {
        if state.position.index <= self.position.index {
            return false;
        }
        let configuration = state.configuration.as_ref();
        if let Some(stored) = configuration.filter(|stored| Some(stored.version) != self.version())
        {
            let mut history = self.history.clone();
            history.advance(stored.version, stored.body.to_vec());
            self.load(history);
        }
        self.position = state.position;
        self.set_weights(state.weights.clone());
        true
    }

    /// Applies an update of another router. Returns whether anything changed.
    pub fn apply_update(&mut self, state: PublishedState) -> bool {
        if state.position.index <= self.position.index {
            return false;
        }
        let update = state
            .configuration
            .filter(|update| update.version() != self.version());
        if let Some(update) = update {
            let mut history = self.history.clone();
            if let Err(error) = history.apply(update) {
                log::debug!("an update of the configuration could not be applied: {error}");
                self.needs_full_text = matches!(error, ApplyError::Checksum { .. });
                self.is_outdated = true;
                return false;
            }
            if !self.load(history) {
                return false;
            }
        }
        self.position = state.position;
        self.set_weights(state.weights);
        true
    }

    /// Replaces the versions of weights, and logs changes.
    fn set_weights(&mut self, weights: BTreeMap<CompactString, WeightsTarget>) {
        for (model, target) in &weights {
            if self.weights.get(model) != Some(target) {
                log::info!(
                    "version {} of the weights of {model} is announced",
                    target.version
                );
            }
        }
        self.weights = weights;
    }

    /// Replaces the configuration. Returns false if the text can't be parsed.
    fn load(&mut self, history: History) -> bool {
        match Configuration::parse(history.text()) {
            Ok(parsed) => {
                log::info!(
                    "configuration {} is in force on this router",
                    parsed.version
                );
                self.configuration = Some(Arc::new(parsed));
                self.history = history;
                self.configured_at.get_or_insert_with(clock::now);
                self.needs_full_text = false;
                self.is_outdated = false;
                true
            }
            Err(error) => {
                log::error!("a committed configuration can't be parsed: {error}");
                self.is_outdated = true;
                false
            }
        }
    }

    /// The update for a router that has the state up to `position` and the configuration version
    /// `base`; `None` if it is up to date.
    pub fn update_for(&self, position: Position, base: Option<u64>) -> Option<PublishedState> {
        if position.index >= self.position.index {
            return None;
        }
        let configuration = self.history.update_for(base.unwrap_or(0));
        Some(PublishedState {
            position: self.position,
            configuration,
            weights: self.weights.clone(),
        })
    }
}

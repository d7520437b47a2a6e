//! The committed control state as this router uses it, and how it reaches others.

use crate::protocol::PublishedState;
use compact_str::CompactString;
use control::configuration::Configuration;
use control::history::{ApplyError, History};
use control::state::{ControlState, Position, WeightsTarget};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The newest committed state that this router knows. It never goes back.
#[derive(Debug, Default)]
pub struct Published {
    position: Position,
    history: History,
    configuration: Option<Arc<Configuration>>,
    weights: BTreeMap<CompactString, WeightsTarget>,
    /// Steps from the text held have led astray, so the whole text is wanted.
    wants_whole: bool,
}

impl Published {
    /// The last change in it.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The configuration in force here.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// The version of that configuration.
    pub fn version(&self) -> Option<u64> {
        self.configuration
            .as_ref()
            .map(|configuration| configuration.version)
    }

    /// The length of the configuration's text.
    pub fn text_bytes(&self) -> usize {
        self.history.text().len()
    }

    /// The version that steps to a newer one may start from; none where the whole text is wanted.
    pub fn base(&self) -> Option<u64> {
        self.version().filter(|_| !self.wants_whole)
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
        if let Some(stored) = configuration.filter(|stored| Some(stored.version) != self.version())
        {
            let mut history = self.history.clone();
            history.advance(stored.version, stored.body.to_vec());
            self.load(history);
        }
        self.position = state.position;
        self.name_weights(state.weights.clone());
        true
    }

    /// Takes what another router has. True where that is news.
    pub fn take(&mut self, state: PublishedState) -> bool {
        if state.position.index <= self.position.index {
            return false;
        }
        let news = state
            .configuration
            .filter(|news| news.version() != self.version());
        if let Some(news) = news {
            let mut history = self.history.clone();
            if let Err(misfit) = history.apply(news) {
                log::debug!("a configuration is not taken: {misfit}");
                self.wants_whole = matches!(misfit, ApplyError::Checksum { .. });
                return false;
            }
            if !self.load(history) {
                return false;
            }
        }
        self.position = state.position;
        self.name_weights(state.weights);
        true
    }

    /// The one place where the versions of weights change.
    fn name_weights(&mut self, weights: BTreeMap<CompactString, WeightsTarget>) {
        for (model, target) in &weights {
            if self.weights.get(model) != Some(target) {
                log::info!(
                    "version {} of the weights of {model} is named",
                    target.version
                );
            }
        }
        self.weights = weights;
    }

    /// The one place where the configuration changes.
    fn load(&mut self, history: History) -> bool {
        match Configuration::parse(history.text()) {
            Ok(parsed) => {
                log::info!("configuration {} is in force here", parsed.version);
                self.configuration = Some(Arc::new(parsed));
                self.history = history;
                self.wants_whole = false;
                true
            }
            Err(problem) => {
                log::error!("a committed configuration can't be read: {problem}");
                false
            }
        }
    }

    /// What a router lacks that has a state up to `position` and a configuration of version `base`.
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

//! The state of a role in the store, as read by one gatherer.

use super::record::{Grant, Renewal};
use crate::role::Role;
use crate::{Token, keys};
use store::state::State;

/// The state of a role in the store, as one gatherer reads it. Each record is paired with the
/// revision at which it was written.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// The store's era.
    pub era: u64,
    /// The grant.
    pub grant: Option<(u64, Grant)>,
    /// The last renewal, possibly of an earlier grant.
    pub renewal: Option<(u64, Renewal)>,
    /// Whether an operator has excluded this gatherer from the role.
    pub excluded: bool,
    /// The gatherer to which an operator wants the role transferred.
    pub transfer: Option<(u64, String)>,
    /// Reports of other gatherers that the owner's work fails while their own attempts succeed.
    pub fault_reports: usize,
}

impl View {
    /// Reads the view of the gatherer with this name from a state of the store.
    pub fn of(state: &State, role: Role, name: &str) -> View {
        let entry = |key: &str| {
            state
                .versioned(key)
                .map(|entry| (entry.revision, entry.value.as_str()))
        };
        let mut view = View {
            era: state.era(),
            grant: entry(&keys::owner(role)).map(|(at, text)| (at, Grant::parse(text))),
            renewal: entry(&keys::renewal(role))
                .and_then(|(at, text)| Some((at, Renewal::parse(text)?))),
            excluded: state.get(&keys::exclusion(role, name)).is_some(),
            transfer: entry(&keys::transfer(role)).map(|(at, to)| (at, to.to_owned())),
            fault_reports: 0,
        };
        if let Some(token) = view.token() {
            view.fault_reports = fault_reports(state, role, token);
        }
        view
    }

    /// The fencing token of the grant.
    pub fn token(&self) -> Option<Token> {
        Some(Token {
            era: self.era,
            revision: self.grant_revision()?,
        })
    }

    /// The last renewal, if it belongs to the current grant.
    pub fn current_renewal(&self) -> Option<Renewal> {
        let (_, renewal) = self.renewal.as_ref()?;
        (Some(renewal.token) == self.token()).then_some(*renewal)
    }

    pub(super) fn grant_revision(&self) -> Option<u64> {
        self.grant.as_ref().map(|(revision, _)| *revision)
    }

    pub(super) fn renewal_revision(&self) -> Option<u64> {
        self.renewal.as_ref().map(|(revision, _)| *revision)
    }
}

/// The number of reports on the owner with this token; reports on earlier owners do not count.
fn fault_reports(state: &State, role: Role, token: Token) -> usize {
    let reported = |text: &str| Token::from_json(&serde_json::from_str(text).ok()?);
    state
        .with_prefix(&keys::fault_report(role, ""))
        .filter(|(_, entry)| reported(&entry.value) == Some(token))
        .count()
}

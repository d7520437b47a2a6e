//! Where in the store things stand.

use crate::kind::Kind;

pub use store::state::ERA;

/// Lists that an owner publishes.
pub const LIST: &str = "hosts/list";
/// Hosts that somebody wants probed, by their name.
pub const SUSPECT: &str = "suspect/";
/// What came of probing a host.
pub const VERDICT: &str = "verdict/";
/// Jobs, by their number.
pub const JOB: &str = "job/";
/// Orders to gatherers, by their name.
pub const ORDER: &str = "order/";
/// What each gatherer says of itself.
pub const HERE: &str = "here/";

/// Who owns a kind.
pub fn owner(kind: Kind) -> String {
    format!("owner/{kind}")
}

/// How often the grant was renewed.
pub fn alive(kind: Kind) -> String {
    format!("alive/{kind}")
}

/// That a gatherer may not own a kind; of every gatherer without a name.
pub fn forbid(kind: Kind, name: &str) -> String {
    format!("forbid/{kind}/{name}")
}

/// To whom an operator wants a kind to go.
pub fn wish(kind: Kind) -> String {
    format!("wish/{kind}")
}

/// That a gatherer can do what the owner cannot; of every gatherer without a name.
pub fn doubt(kind: Kind, name: &str) -> String {
    format!("doubt/{kind}/{name}")
}

//! The keys of the store. All versions of the program share them, so they must not change.

use crate::role::Role;

pub use store::state::ERA;

/// The endpoint list that the owner of [`Role::Hosts`] publishes.
pub const ENDPOINT_LIST: &str = "hosts/list";
/// Prefix: hosts that gatherers suspect, by the host's name.
pub const SUSPECT: &str = "suspect/";
/// Prefix: results of health checks, by the host's name.
pub const VERDICT: &str = "verdict/";
/// Prefix: jobs, by their number.
pub const JOB: &str = "job/";
/// Prefix: restart orders, by the gatherer's name.
pub const RESTART_ORDER: &str = "order/";
/// Prefix: presence entries, by the gatherer's name.
pub const PRESENCE: &str = "here/";

/// The key of a role's grant.
pub fn owner(role: Role) -> String {
    format!("owner/{role}")
}

/// The key of the last renewal of a role's grant.
pub fn renewal(role: Role) -> String {
    format!("alive/{role}")
}

/// The key that excludes a gatherer from a role; with an empty name the prefix for all gatherers.
pub fn exclusion(role: Role, name: &str) -> String {
    format!("forbid/{role}/{name}")
}

/// The key of an operator's request to transfer a role; the value is the gatherer's name.
pub fn transfer(role: Role) -> String {
    format!("wish/{role}")
}

/// The key of a gatherer's report that the owner's work fails while its own attempts succeed; with
/// an empty name the prefix for all gatherers.
pub fn fault_report(role: Role, name: &str) -> String {
    format!("doubt/{role}/{name}")
}

//! The keys of the store. Their texts are shared by all versions of the program and must not
//! change.

use crate::role::Role;

pub use store::state::ERA;

/// The endpoint list that the owner of [`Role::Hosts`] publishes.
pub const ENDPOINT_LIST: &str = "hosts/list";
/// Prefix: hosts that some gatherer wants checked, by the host's name.
pub const SUSPECT: &str = "suspect/";
/// Prefix: results of health checks, by the host's name.
pub const VERDICT: &str = "verdict/";
/// Prefix: jobs, by their number.
pub const JOB: &str = "job/";
/// Prefix: restart orders, by the gatherer's name.
pub const RESTART_ORDER: &str = "order/";
/// Prefix: each gatherer's presence, by its name.
pub const PRESENCE: &str = "here/";

/// The grant of a role.
pub fn owner(role: Role) -> String {
    format!("owner/{role}")
}

/// The last renewal of a role's grant.
pub fn renewal(role: Role) -> String {
    format!("alive/{role}")
}

/// The exclusion of a gatherer from a role; with an empty name the prefix for all gatherers.
pub fn exclusion(role: Role, name: &str) -> String {
    format!("forbid/{role}/{name}")
}

/// The gatherer to which an operator wants a role transferred.
pub fn transfer(role: Role) -> String {
    format!("wish/{role}")
}

/// A gatherer's report that it can do what the owner fails to do; with an empty name the prefix for
/// all gatherers.
pub fn fault_report(role: Role, name: &str) -> String {
    format!("doubt/{role}/{name}")
}

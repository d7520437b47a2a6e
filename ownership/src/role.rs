//! The singleton roles, the targets of their side effects, and the protection of each target from
//! late side effects of a former owner.

use crate::Token;
use std::fmt;

/// A role that at most one gatherer of the fleet owns at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Watches the discovery service and publishes the endpoint list.
    Hosts,
    /// Runs health checks on suspected index hosts.
    HealthChecks,
    /// Executes jobs step by step.
    Rollout,
    /// Removes the entries of gatherers that have failed permanently.
    Cleanup,
}

/// The target of a side effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// A transaction of the store.
    Store,
    /// A request to the discovery service.
    Discovery,
    /// A health check of an index host.
    IndexHosts,
}

/// How a target is protected from late side effects of a former owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// The target rejects them by the fencing token, however late they arrive.
    Fenced,
    /// The target accepts them; they are idempotent.
    Idempotent,
    /// The target accepts them; at most this many can arrive after the lease has expired, because
    /// each needs its own permit.
    Bounded(u32),
}

impl Role {
    /// All roles.
    pub const ALL: [Role; 4] = [
        Role::Hosts,
        Role::HealthChecks,
        Role::Rollout,
        Role::Cleanup,
    ];

    /// The targets that the role may affect. The exhaustive match makes a new role state its
    /// targets.
    pub const fn targets(self) -> &'static [Target] {
        match self {
            Role::Hosts => &[Target::Store, Target::Discovery],
            Role::HealthChecks => &[Target::Store, Target::IndexHosts],
            Role::Rollout | Role::Cleanup => &[Target::Store],
        }
    }

    /// The role's name in keys of the store.
    pub const fn name(self) -> &'static str {
        match self {
            Role::Hosts => "hosts",
            Role::HealthChecks => "probes",
            Role::Rollout => "rollout",
            Role::Cleanup => "keeping",
        }
    }

    /// The role with this name.
    pub fn from_name(name: &str) -> Option<Role> {
        Self::ALL.into_iter().find(|role| role.name() == name)
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl Target {
    /// How this target is protected.
    pub const fn guard(self) -> Guard {
        match self {
            Target::Store => Guard::Fenced,
            Target::Discovery => Guard::Idempotent,
            Target::IndexHosts => Guard::Bounded(1),
        }
    }
}

/// The permission for one side effect. A permit has to be requested right before the effect, with a
/// current reading of the clock: a process that was suspended between an earlier check and the
/// effect would act on an expired lease.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit stands for one side effect"]
pub struct Permit {
    role: Role,
    target: Target,
    token: Token,
}

impl Permit {
    /// A permit if the role may affect the target. Only [`crate::lease::Lease`] issues permits.
    pub(crate) fn new(role: Role, target: Target, token: Token) -> Option<Permit> {
        role.targets().contains(&target).then_some(Permit {
            role,
            target,
            token,
        })
    }

    /// The role that the effect is part of.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The target of the effect.
    pub fn target(&self) -> Target {
        self.target
    }

    /// The fencing token of the grant.
    pub fn token(&self) -> Token {
        self.token
    }
}

#[cfg(test)]
mod tests;

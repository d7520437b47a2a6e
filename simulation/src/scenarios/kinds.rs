//! The kinds of planned work and faults of the test bench, and the parameters of each. Names and
//! variants are defined by the bench.

/// A kind of planned work or fault.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// The bench's name of the kind.
    pub name: &'static str,
    /// Whether the kind is planned work and not a fault.
    pub planned: bool,
    /// The variants other than the default one.
    pub variants: &'static [&'static str],
    /// The affected part of the system.
    pub target: Target,
}

/// The part of the system that a kind affects, which determines the parameters it can have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Machines, which can be chosen by a selector and combined with a concurrent action.
    Machines,
    /// Machines with a replica of the control state, which can be chosen in the same way.
    Core,
    /// Any other part, without a selector or a concurrent action.
    Other,
}

impl Kind {
    /// Whether the kind concerns the control state: its replicas, their disks, or the calls that
    /// change it.
    pub fn concerns_control_state(&self) -> bool {
        const CONTROL_CALLS: &[&str] = &[
            "ack_lost",
            "bad_config",
            "config_change",
            "config_race",
            "config_storm",
            "release",
            "replace_with_reuse",
            "revoke",
            "seed_turnover",
            "version_bump",
        ];
        self.target != Target::Other || CONTROL_CALLS.contains(&self.name)
    }
}

/// Selectors of machines. Without a selector any machine can be affected.
pub const SELECTORS: &[&str] = &["turn", "leader", "reader", "giver", "seed"];
/// Actions while a machine is affected, or when it recovers.
pub const CONCURRENT_ACTIONS: &[&str] = &["meet", "race", "hard", "drain"];

const fn planned(name: &'static str, variants: &'static [&'static str]) -> Kind {
    Kind {
        name,
        planned: true,
        variants,
        target: Target::Other,
    }
}

const fn fault(name: &'static str, variants: &'static [&'static str]) -> Kind {
    Kind {
        name,
        planned: false,
        variants,
        target: Target::Other,
    }
}

const fn with_target(target: Target, kind: Kind) -> Kind {
    Kind { target, ..kind }
}

/// All known kinds.
pub const KINDS: &[Kind] = &[
    planned("big_config", &[]),
    planned(
        "config_change",
        &[
            "route", "weights", "timeout", "tenant", "quota", "topup", "idle",
        ],
    ),
    planned("config_storm", &[]),
    planned("hup", &[]),
    planned("release", &[]),
    with_target(
        Target::Core,
        planned("replace_core", &["oldest", "planned"]),
    ),
    planned("revoke", &["last"]),
    with_target(Target::Machines, planned("roll_term", &["remove", "busy"])),
    planned("scale_in", &["spot"]),
    planned("scale_out", &[]),
    planned("seed_turnover", &[]),
    planned("version_bump", &["adapter"]),
    fault("ack_lost", &[]),
    with_target(
        Target::Core,
        fault("after_ack_kill", &["kill", "timed", "taken"]),
    ),
    with_target(Target::Core, fault("after_ack_wipe", &["oldest"])),
    fault("answer_lost", &[]),
    fault("bad_config", &[]),
    fault("burst", &[]),
    with_target(Target::Machines, fault("clock_step", &["back", "ahead"])),
    fault("config_race", &[]),
    with_target(
        Target::Core,
        fault(
            "core_cut",
            &[
                "behind", "split", "all", "near", "oldest", "one_way", "seeds", "both", "lure",
                "relieve", "reset", "refuse",
            ],
        ),
    ),
    with_target(Target::Core, fault("disk_full", &[])),
    with_target(Target::Core, fault("disk_slow", &[])),
    with_target(Target::Core, fault("disk_stall", &[])),
    fault("events_gap", &[]),
    fault("garble", &["extra", "unframed", "early", "rot"]),
    fault("give_up", &[]),
    with_target(
        Target::Machines,
        fault("herd_kill", &["power", "off", "taken"]),
    ),
    fault("hot_key", &[]),
    fault("idle_race", &[]),
    with_target(Target::Machines, fault("node_cut", &["all", "servers"])),
    with_target(Target::Machines, fault("node_freeze", &[])),
    with_target(Target::Machines, fault("node_kill", &["power"])),
    with_target(Target::Machines, fault("node_slow", &[])),
    fault("replace_with_reuse", &["drain", "dark"]),
    with_target(Target::Machines, fault("reset_conns", &[])),
    fault("retry_abuse", &[]),
    fault("srv_crash", &["dark", "gone", "domain"]),
    fault("srv_cut", &["fronts", "some", "one_way", "reset"]),
    fault("srv_flap", &[]),
    fault(
        "srv_grey",
        &["errors", "shed", "busy", "hang", "reset", "mute", "slow"],
    ),
    fault("srv_lying_health", &["errors", "hang", "reset", "bad"]),
    fault("srv_slow", &[]),
];

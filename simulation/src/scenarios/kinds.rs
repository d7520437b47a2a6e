//! The kinds of planned work and faults of the test bench, with the parameters that each can have.
//! Their names and variants are those of the bench.

/// A kind of planned work or fault.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Whether it is planned work; otherwise it is a fault.
    pub planned: bool,
    /// The variants other than the default one.
    pub variants: &'static [&'static str],
    /// What it affects.
    pub target: Target,
}

/// What a kind affects, which decides on its other parameters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Machines of the system: some of them can be selected, with actions at the same time.
    Machines,
    /// Only machines with a replica of the control state.
    Core,
    /// Anything else.
    Other,
}

impl Kind {
    /// Whether it concerns the control state: its replicas, their disks, and the calls that change
    /// it.
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

/// Selectors of machines; without one any machine is affected.
pub const SELECTORS: &[&str] = &["turn", "leader", "reader", "giver", "seed"];
/// Actions while a machine is affected, or as it returns.
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

const fn targeting(target: Target, kind: Kind) -> Kind {
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
    targeting(
        Target::Core,
        planned("replace_core", &["oldest", "planned"]),
    ),
    planned("revoke", &["last"]),
    targeting(Target::Machines, planned("roll_term", &["remove", "busy"])),
    planned("scale_in", &["spot"]),
    planned("scale_out", &[]),
    planned("seed_turnover", &[]),
    planned("version_bump", &["adapter"]),
    fault("ack_lost", &[]),
    targeting(
        Target::Core,
        fault("after_ack_kill", &["kill", "timed", "taken"]),
    ),
    targeting(Target::Core, fault("after_ack_wipe", &["oldest"])),
    fault("answer_lost", &[]),
    fault("bad_config", &[]),
    fault("burst", &[]),
    targeting(Target::Machines, fault("clock_step", &["back", "ahead"])),
    fault("config_race", &[]),
    targeting(
        Target::Core,
        fault(
            "core_cut",
            &[
                "behind", "split", "all", "near", "oldest", "one_way", "seeds", "both", "lure",
                "relieve", "reset", "refuse",
            ],
        ),
    ),
    targeting(Target::Core, fault("disk_full", &[])),
    targeting(Target::Core, fault("disk_slow", &[])),
    targeting(Target::Core, fault("disk_stall", &[])),
    fault("events_gap", &[]),
    fault("garble", &["extra", "unframed", "early", "rot"]),
    fault("give_up", &[]),
    targeting(
        Target::Machines,
        fault("herd_kill", &["power", "off", "taken"]),
    ),
    fault("hot_key", &[]),
    fault("idle_race", &[]),
    targeting(Target::Machines, fault("node_cut", &["all", "servers"])),
    targeting(Target::Machines, fault("node_freeze", &[])),
    targeting(Target::Machines, fault("node_kill", &["power"])),
    targeting(Target::Machines, fault("node_slow", &[])),
    fault("replace_with_reuse", &["drain", "dark"]),
    targeting(Target::Machines, fault("reset_conns", &[])),
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

//! The kinds of planned work and trouble that are known here, with what may stand beside each.

/// A kind of planned work or trouble, with its variants.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Whether it is planned work.
    pub planned: bool,
    /// The variants beside the usual one.
    pub variants: &'static [&'static str],
    /// What it strikes.
    pub target: Target,
}

/// What a kind strikes, which says what else may stand beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Machines of the system: some of them may be meant, and calls may be made meanwhile.
    Machines,
    /// Machines that hold the control state, and nothing else.
    Core,
    /// Anything else.
    Other,
}

impl Kind {
    /// Whether it concerns the control state: those who hold it, its disks, and the calls that
    /// change it.
    pub fn is_about_control(&self) -> bool {
        const CALLS: &[&str] = &[
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
        self.target != Target::Other || CALLS.contains(&self.name)
    }
}

/// Which machines are meant, where not any.
pub const CHOSEN: &[&str] = &["turn", "leader", "reader", "giver", "seed"];
/// What is done while a machine is struck, or as it returns.
pub const MEANWHILE: &[&str] = &["meet", "race", "hard", "drain"];

const fn planned(name: &'static str, variants: &'static [&'static str]) -> Kind {
    Kind {
        name,
        planned: true,
        variants,
        target: Target::Other,
    }
}

const fn trouble(name: &'static str, variants: &'static [&'static str]) -> Kind {
    Kind {
        name,
        planned: false,
        variants,
        target: Target::Other,
    }
}

const fn striking(target: Target, kind: Kind) -> Kind {
    Kind { target, ..kind }
}

/// Every kind that is known here.
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
    striking(
        Target::Core,
        planned("replace_core", &["oldest", "planned"]),
    ),
    planned("revoke", &["last"]),
    striking(Target::Machines, planned("roll_term", &["remove", "busy"])),
    planned("scale_in", &["spot"]),
    planned("scale_out", &[]),
    planned("seed_turnover", &[]),
    planned("version_bump", &["adapter"]),
    trouble("ack_lost", &[]),
    striking(
        Target::Core,
        trouble("after_ack_kill", &["kill", "timed", "taken"]),
    ),
    striking(Target::Core, trouble("after_ack_wipe", &["oldest"])),
    trouble("answer_lost", &[]),
    trouble("bad_config", &[]),
    trouble("burst", &[]),
    striking(Target::Machines, trouble("clock_step", &["back", "ahead"])),
    trouble("config_race", &[]),
    striking(
        Target::Core,
        trouble(
            "core_cut",
            &[
                "behind", "split", "all", "near", "oldest", "one_way", "seeds", "both", "lure",
                "relieve", "reset", "refuse",
            ],
        ),
    ),
    striking(Target::Core, trouble("disk_full", &[])),
    striking(Target::Core, trouble("disk_slow", &[])),
    striking(Target::Core, trouble("disk_stall", &[])),
    trouble("events_gap", &[]),
    trouble("garble", &["extra", "unframed", "early", "rot"]),
    trouble("give_up", &[]),
    striking(
        Target::Machines,
        trouble("herd_kill", &["power", "off", "taken"]),
    ),
    trouble("hot_key", &[]),
    trouble("idle_race", &[]),
    striking(Target::Machines, trouble("node_cut", &["all", "servers"])),
    striking(Target::Machines, trouble("node_freeze", &[])),
    striking(Target::Machines, trouble("node_kill", &["power"])),
    striking(Target::Machines, trouble("node_slow", &[])),
    trouble("replace_with_reuse", &["drain", "dark"]),
    striking(Target::Machines, trouble("reset_conns", &[])),
    trouble("retry_abuse", &[]),
    trouble("srv_crash", &["dark", "gone", "domain"]),
    trouble("srv_cut", &["fronts", "some", "one_way", "reset"]),
    trouble("srv_flap", &[]),
    trouble(
        "srv_grey",
        &["errors", "shed", "busy", "hang", "reset", "mute", "slow"],
    ),
    trouble("srv_lying_health", &["errors", "hang", "reset", "bad"]),
    trouble("srv_slow", &[]),
];

//! A short soak with fixed seeds: real router processes under overlapping signals, restarts and
//! configuration changes, while clients keep their connections until the process behind them has
//! gone. The long one is started by hand; see `soak/src/main.rs`.

use soak::run::{Plan, Report, run};
use soak::settings::Size;
use std::path::PathBuf;
use std::time::Duration;

/// Seeds, run two at a time.
const SEEDS: [[u64; 2]; 2] = [[1, 3], [6, 11]];
/// Seeds of runs with repeated faults of the leader.
const LEADER_SEEDS: [u64; 2] = [21, 22];
/// Seeds of runs with repeated partitions between routers and backends.
const PARTITION_SEEDS: [u64; 2] = [31, 32];

/// Seeds of runs with withdrawals of backends and kills of all replicas.
const WITHDRAWAL_SEEDS: [u64; 2] = [41, 42];

/// Seeds of runs with alternating configurations, suspensions and kills of all replicas.
const POLICY_SEEDS: [u64; 2] = [54, 55];

/// Additional faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Series {
    None,
    Leader,
    Partitions,
    Withdrawals,
    Policies,
}

fn plan(seed: u64, series: Series) -> Plan {
    Plan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_bitternsill")),
        seed,
        size: Size {
            routers: 5,
            replicas: 3,
        },
        backends: 4,
        clients: 16,
        pause: Duration::from_millis(400),
        fault_ms: match series {
            Series::Leader | Series::Withdrawals | Series::Policies => 20_000,
            Series::None | Series::Partitions => 10_000,
        },
        leader_faults: series == Series::Leader,
        partitions: series == Series::Partitions,
        withdrawals: series == Series::Withdrawals,
        policies: series == Series::Policies,
        folder: std::env::temp_dir().join(format!("soak-test-{}-{seed}", std::process::id())),
    }
}

/// Violations of a run; its logs are kept if there are any.
async fn violations_of(seed: u64, series: Series) -> Vec<String> {
    let plan = plan(seed, series);
    let folder = plan.folder.clone();
    let Report {
        violations,
        history,
    } = run(plan).await.expect("soak run failed to start");
    assert!(
        history.requests.len() > 500,
        "only {} requests were made",
        history.requests.len()
    );
    if violations.is_empty() {
        // A leftover folder does no harm.
        let _ = std::fs::remove_dir_all(folder);
    }
    violations
        .iter()
        .map(|violation| format!("seed {seed}: {violation}"))
        .collect()
}

#[test]
fn short_soak_has_no_violations() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("no tokio runtime");
    let mut found = Vec::new();
    let series = [
        (LEADER_SEEDS, Series::Leader),
        (PARTITION_SEEDS, Series::Partitions),
        (WITHDRAWAL_SEEDS, Series::Withdrawals),
        (POLICY_SEEDS, Series::Policies),
    ];
    for ([first, second], series) in SEEDS
        .map(|seeds| (seeds, Series::None))
        .into_iter()
        .chain(series)
    {
        let both =
            async { tokio::join!(violations_of(first, series), violations_of(second, series)) };
        let (first, second) = runtime.block_on(both);
        found.extend(first.into_iter().chain(second));
    }
    assert!(found.is_empty(), "{}", found.join("\n"));
}

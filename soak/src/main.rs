//! Runs soak tests of a router fleet: `soak --program target/release/bitternsill --first 1 --seeds
//! 50`.

use clap::Parser;
use soak::run::{Plan, Report, run};
use soak::settings::Size;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// The number of violations that are printed of a run.
const PRINTED: usize = 12;

/// Runs routers under signals, restarts and changes that overlap, and checks what was seen.
#[derive(Debug, Parser)]
struct Options {
    /// The program whose routers are run.
    #[arg(long, default_value = "target/release/bitternsill")]
    program: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How many runs at the same time.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// Routers in each run.
    #[arg(long, default_value_t = 7)]
    routers: usize,
    /// Routers with a replica of the control state.
    #[arg(long, default_value_t = 3)]
    replicas: usize,
    /// Backends in each run.
    #[arg(long, default_value_t = 6)]
    backends: usize,
    /// Clients in each run.
    #[arg(long, default_value_t = 30)]
    clients: usize,
    /// The longest pause of a client between two requests, in milliseconds.
    #[arg(long, default_value_t = 300)]
    pause_ms: u64,
    /// The length of the schedule of faults in each run, in seconds.
    #[arg(long = "trouble-s", default_value_t = 15)]
    schedule_s: u64,
    /// A series of faults of the leader while versions of the weights are announced.
    #[arg(long = "strike-primary")]
    leader_faults: bool,
    /// A series of partitions of links to backends while versions of the weights are announced;
    /// what was sent meanwhile arrives later.
    #[arg(long = "cut-ways")]
    partitions: bool,
    /// The folder for logs of runs with violations.
    #[arg(long)]
    keep: Option<PathBuf>,
}

impl Options {
    fn plan(&self, seed: u64) -> Plan {
        let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        Plan {
            program: self.program.clone(),
            seed,
            size: Size {
                routers: self.routers,
                replicas: self.replicas,
            },
            backends: self.backends,
            clients: self.clients,
            pause: Duration::from_millis(self.pause_ms),
            fault_ms: self.schedule_s * 1_000,
            leader_faults: self.leader_faults,
            partitions: self.partitions,
            folder: self
                .keep
                .as_ref()
                .map_or(folder, |keep| keep.join(format!("seed-{seed}"))),
        }
    }
}

/// Prints the result of a run. Returns whether there is no violation.
fn tell(seed: u64, report: &Report) -> bool {
    println!(
        "seed {seed}: {} broken; {}",
        report.violations.len(),
        report.figures()
    );
    report
        .violations
        .iter()
        .take(PRINTED)
        .for_each(|violation| println!("  {violation}"));
    report.violations.is_empty()
}

async fn soak(options: Options) -> bool {
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(options.jobs.max(1)));
    let mut runs = tokio::task::JoinSet::new();
    for seed in options.first..options.first + options.seeds {
        let (plan, permits) = (options.plan(seed), permits.clone());
        runs.spawn(async move {
            // The semaphore is never closed.
            let _permit = permits.acquire().await.ok();
            let folder = plan.folder.clone();
            (seed, folder, run(plan).await)
        });
    }
    let mut all_passed = true;
    while let Some(ended) = runs.join_next().await {
        let passed = match ended {
            Ok((seed, folder, Ok(report))) => {
                let passed = tell(seed, &report);
                if passed || options.keep.is_none() {
                    // Files that remain do no harm.
                    let _ = std::fs::remove_dir_all(folder);
                }
                passed
            }
            Ok((seed, _, Err(problem))) => {
                println!("seed {seed}: {problem}");
                false
            }
            Err(problem) => {
                println!("a run broke off: {problem}");
                false
            }
        };
        all_passed &= passed;
    }
    all_passed
}

/// Returns on SIGTERM or SIGINT.
async fn terminated() {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn main() -> ExitCode {
    let options = Options::parse();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(problem) => {
            eprintln!("soak: {problem}");
            return ExitCode::FAILURE;
        }
    };
    let all_passed = runtime.block_on(async {
        tokio::select! {
            all_passed = soak(options) => all_passed,
            // Dropping the runs kills their processes.
            () = terminated() => false,
        }
    });
    drop(runtime);
    if all_passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

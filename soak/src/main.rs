//! Runs soak tests of a router fleet, for example
//! `soak --program target/release/bitternsill --first 1 --seeds 50`.

use clap::Parser;
use soak::availability;
use soak::latency;
use soak::run::{Plan, Report, run};
use soak::settings::Size;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// The largest number of violations that are printed for a run.
const MAX_PRINTED_VIOLATIONS: usize = 12;

/// Runs routers under overlapping signals, restarts and changes, and checks all observations.
#[derive(Debug, Parser)]
struct Options {
    /// The router program.
    #[arg(long, default_value = "target/release/bitternsill")]
    program: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// The number of consecutive seeds, with one run each.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// The number of concurrent runs.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// The number of routers in each run.
    #[arg(long, default_value_t = 7)]
    routers: usize,
    /// The number of routers with a replica of the control state.
    #[arg(long, default_value_t = 3)]
    replicas: usize,
    /// The number of backends in each run.
    #[arg(long, default_value_t = 6)]
    backends: usize,
    /// The number of clients in each run.
    #[arg(long, default_value_t = 30)]
    clients: usize,
    /// The longest pause of a client between two requests, in milliseconds.
    #[arg(long, default_value_t = 300)]
    pause_ms: u64,
    /// The length of the schedule of faults in each run, in seconds.
    #[arg(long = "trouble-s", default_value_t = 15)]
    schedule_s: u64,
    /// Adds a series of faults of the leader while versions of the weights are announced.
    #[arg(long = "strike-primary")]
    leader_faults: bool,
    /// Adds a series of partitions of links to backends while versions of the weights are
    /// announced; bytes sent during a partition arrive after it.
    #[arg(long = "cut-ways")]
    partitions: bool,
    /// Adds a series of withdrawals of backends, with kills of all replicas as soon as they are
    /// acknowledged.
    #[arg(long)]
    withdrawals: bool,
    /// Alternates configurations that forbid and that permit repeated executions and shared caches,
    /// while routers are suspended and all replicas are killed.
    #[arg(long)]
    policies: bool,
    /// Measures the latencies of acknowledgements with this number of backends, instead of runs with
    /// faults.
    #[arg(long, value_name = "BACKENDS")]
    latencies: Option<usize>,
    /// Measures what is served after a kill of all routers and without a majority of the replicas,
    /// instead of runs with faults.
    #[arg(long)]
    availability: bool,
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
            withdrawals: self.withdrawals,
            policies: self.policies,
            folder: self
                .keep
                .as_ref()
                .map_or(folder, |keep| keep.join(format!("seed-{seed}"))),
        }
    }
}

/// Prints the result of a run. Returns true if there are no violations.
fn print_report(seed: u64, report: &Report) -> bool {
    println!(
        "seed {seed}: {} violations; {}",
        report.violations.len(),
        report.summary()
    );
    report
        .violations
        .iter()
        .take(MAX_PRINTED_VIOLATIONS)
        .for_each(|violation| println!("  {violation}"));
    report.violations.is_empty()
}

/// Measures and prints the latencies of acknowledgements. Returns false if the fleet can't be
/// started.
async fn measure_latencies(options: &Options, samples: usize) -> bool {
    let Plan {
        program,
        size,
        folder,
        ..
    } = options.plan(options.first);
    let measured = latency::measure(&program, &folder, size, samples).await;
    // Leftover files in the temporary folder are harmless.
    let _ = std::fs::remove_dir_all(folder);
    match measured {
        Ok(report) => {
            println!("{report}");
            true
        }
        Err(error) => {
            println!("{error}");
            false
        }
    }
}

/// Measures and prints what is served while the control state is unconfirmed. Returns false if the
/// fleet can't be started.
async fn measure_availability(options: &Options) -> bool {
    let Plan {
        program,
        size,
        folder,
        ..
    } = options.plan(options.first);
    let measured = availability::measure(&program, &folder, size).await;
    // Leftover files in the temporary folder are harmless.
    let _ = std::fs::remove_dir_all(folder);
    match measured {
        Ok(phases) => {
            phases.iter().for_each(|phase| println!("{phase}"));
            true
        }
        Err(error) => {
            println!("{error}");
            false
        }
    }
}

async fn run_all(options: Options) -> bool {
    if let Some(samples) = options.latencies {
        return measure_latencies(&options, samples).await;
    }
    if options.availability {
        return measure_availability(&options).await;
    }
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
                let passed = print_report(seed, &report);
                if passed || options.keep.is_none() {
                    // Leftover files in the temporary folder are harmless.
                    let _ = std::fs::remove_dir_all(folder);
                }
                passed
            }
            Ok((seed, _, Err(error))) => {
                println!("seed {seed}: {error}");
                false
            }
            Err(error) => {
                println!("a run failed: {error}");
                false
            }
        };
        all_passed &= passed;
    }
    all_passed
}

/// Returns when SIGTERM or SIGINT is received.
async fn termination_signal() {
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
        Err(error) => {
            eprintln!("soak: {error}");
            return ExitCode::FAILURE;
        }
    };
    let all_passed = runtime.block_on(async {
        tokio::select! {
            all_passed = run_all(options) => all_passed,
            // Dropping the runs kills their router processes.
            () = termination_signal() => false,
        }
    });
    drop(runtime);
    if all_passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

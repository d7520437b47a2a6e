//! Founding of the control state by real router processes, under kills, freezes and a lost disk.
//! Each case is a fleet of its own; all cases run side by side.

use soak::fleet::Fleet;
use soak::history::{Policy, Reply};
use soak::settings::Size;
use soak::supervisor::RouterFault;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const SIZE: Size = Size {
    routers: 4,
    replicas: 3,
};
/// The time within which the fleet has to serve after all its processes are back, as deployments
/// set it.
const RECOVERY: Duration = Duration::from_secs(12);
/// The longest time until a killed process is started again, and has started.
const RESTART: Duration = Duration::from_secs(3);
/// How long one of three replicas is frozen from its start on, while two found the system.
const FREEZE: Duration = Duration::from_secs(9);
/// How long the other founder is frozen after one of them lost its disk.
const ABSENCE: Duration = Duration::from_secs(3);
const START_TIMEOUT: Duration = Duration::from_secs(20);
const READ_TIMEOUT: Duration = Duration::from_secs(12);

fn start(name: &str) -> (Fleet, PathBuf) {
    let folder = std::env::temp_dir().join(format!("founding-{name}-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_bitternsill"));
    let fleet = Fleet::start(program, &folder, SIZE).expect("the fleet starts");
    (fleet, folder)
}

/// Waits until a replica has recorded that it may vote on the first view.
async fn wait_for_record(folder: &Path, number: usize) {
    let record = folder.join(format!("data-{number}/first-start"));
    let started_at = Instant::now();
    while !record.exists() {
        assert!(started_at.elapsed() < START_TIMEOUT, "router {number}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Sends the first configuration until it is acknowledged.
async fn configure(fleet: &Fleet, within: Duration) -> bool {
    let attempts = async {
        while fleet.operator.configure(0, 1, Policy::Relaxed).await != Reply::Acknowledged {}
    };
    tokio::time::timeout(within, attempts).await.is_ok()
}

async fn stop(fleet: Fleet, folder: &Path) {
    fleet.stop().await;
    // A leftover folder does no harm.
    let _ = std::fs::remove_dir_all(folder);
}

/// All replicas are killed some time after they started for the first time, and once more.
async fn kill_all(name: &str, after: Duration, again_after: Duration) {
    let (fleet, folder) = start(name);
    for number in 0..SIZE.replicas {
        wait_for_record(&folder, number).await;
    }
    tokio::time::sleep(after).await;
    fleet.kill_replicas();
    tokio::time::sleep(again_after).await;
    fleet.kill_replicas();
    let is_configured = configure(&fleet, RESTART + RECOVERY).await;
    assert!(is_configured, "{name}: logs in {}", folder.display());
    stop(fleet, &folder).await;
}

/// One replica is frozen while the two others found the system. Then one of these loses its disk
/// while the other one is frozen.
async fn lose_disk_of_founder(name: &str, lost: usize) {
    let (fleet, folder) = start(name);
    let (absent, kept) = (2, 1 - lost);
    fleet.inject(absent, RouterFault::Suspend(FREEZE));
    assert!(
        configure(&fleet, FREEZE).await,
        "{name}: two found the system; logs in {}",
        folder.display()
    );
    fleet.inject(kept, RouterFault::Suspend(ABSENCE));
    fleet.inject(lost, RouterFault::Wipe);
    tokio::time::sleep(FREEZE + ABSENCE).await;
    let version = fleet.operator.read_back(READ_TIMEOUT).await;
    assert_eq!(version, Some(1), "{name}: logs in {}", folder.display());
    stop(fleet, &folder).await;
}

/// Guards against a core that never founds the control state, or can't be read any more, after a
/// failure in its first seconds.
#[tokio::test(flavor = "multi_thread")]
async fn routers_found_the_control_state_despite_early_failures() {
    let ms = Duration::from_millis;
    tokio::join!(
        kill_all("at-once", ms(0), ms(0)),
        kill_all("soon", ms(300), ms(2_500)),
        kill_all("later", ms(1_200), ms(4_000)),
        lose_disk_of_founder("first-lost", 0),
        lose_disk_of_founder("second-lost", 1),
    );
}

//! Handling of the platform's signals, and graceful shutdown.

use crate::fleet::Fleet;
use crate::replica::handle::ReplicaHandle;
use crate::settings::Settings;
use std::io;
use std::time::{Duration, Instant};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// After SIGTERM new connections are accepted for this long, as the platform stops sending them
/// only after two readiness checks.
const DRAIN_DELAY: Duration = Duration::from_millis(2_300);
/// Fraction of the grace period within which the shutdown has to complete.
const GRACE_RATIO: f64 = 0.9;

/// Signals that the platform sends.
pub struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Registers the signal handlers.
    pub fn register() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Waits for SIGTERM, keeps accepting connections until the platform stops sending them, and
/// returns once all responses are sent and other replicas have this node's data, or the grace
/// period ends.
pub async fn shut_down(
    fleet: &Fleet,
    settings: &Settings,
    mut signals: Signals,
    stop: watch::Sender<bool>,
    clients: Option<JoinHandle<()>>,
) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.hangup.recv() => log::info!("SIGHUP is ignored: settings are not reloaded while the process runs"),
        }
    }
    log::info!("SIGTERM: shutting down, pending requests are completed");
    let grace = Duration::from_secs_f64(settings.bounds.grace_period_s * GRACE_RATIO);
    let started_at = Instant::now();
    fleet.begin_shutdown();
    if let Some(replica) = &fleet.replica {
        replica.begin_shutdown().await;
    }
    tokio::time::sleep(DRAIN_DELAY.min(grace / 2)).await;
    // The receiver is dropped if the clients' interface has failed.
    let _ = stop.send(true);
    if let Some(clients) = clients {
        let remaining = grace.saturating_sub(started_at.elapsed());
        if tokio::time::timeout(remaining, clients).await.is_err() {
            log::warn!("the grace period is over and requests are still pending");
        }
    }
    if let Some(replica) = &fleet.replica {
        wait_for_replication(replica, grace.saturating_sub(started_at.elapsed())).await;
    }
}

/// Waits until enough other replicas have this node's data, but no longer than the time limit.
async fn wait_for_replication(replica: &ReplicaHandle, time_limit: Duration) {
    const CHECK_INTERVAL: Duration = Duration::from_millis(50);
    let started_at = Instant::now();
    if !replica.can_shut_down() {
        log::info!(
            "this node's replica of the control state is still needed: waiting for other replicas to catch up"
        );
    }
    while !replica.can_shut_down() {
        if started_at.elapsed() >= time_limit {
            log::warn!(
                "the grace period is over and this node's replica is still needed: restart the node soon"
            );
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

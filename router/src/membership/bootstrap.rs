//! Bootstrap of the control state when the system starts for the first time.

use crate::fleet::Fleet;
use crate::sync::lock;
use compact_str::CompactString;
use control::node::Timing;
use control::view::ReplicaId;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bootstrap waits until the set of known replicas has not changed for this long.
const BOOTSTRAP_QUIET_TIME: Duration = Duration::from_millis(400);
/// After this time a first view with fewer witnesses is proposed, so that replicas that never start
/// do not block the system.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Interval between bootstrap attempts.
const BOOTSTRAP_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Each seed waits this much longer than the seed before it in the list.
const BOOTSTRAP_STAGGER: Duration = Duration::from_millis(1_500);
/// Interval between checks of the known replicas.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Bootstraps a new system if this node's replica votes on the first view: proposes that view to
/// the electorate, the seeds at the system's first start. The first of them proposes at once, each
/// of the others only if its predecessors did not. Continues what an earlier process of this node
/// began, whatever the settings say now.
pub async fn run(fleet: Arc<Fleet>) {
    let settings = &fleet.settings;
    let own = settings.internal_address();
    let Some(replica) = &fleet.replica else {
        return;
    };
    let Some(rank) = replica.electorate.iter().position(|seed| *seed == own) else {
        return;
    };
    let timing = Timing::tolerating(settings.fault_tolerance.machines);
    let (full, fewest) = (
        timing.min_witnesses(),
        timing.min_first_view(replica.electorate.len()),
    );
    tokio::time::sleep(BOOTSTRAP_STAGGER * rank as u32).await;
    let started_at = Instant::now();
    let mut known = BTreeSet::new();
    let mut changed_at = Instant::now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if fleet.leader().is_some() {
            return;
        }
        let members = fleet.replica_members();
        let replicas: BTreeSet<ReplicaId> =
            members.into_iter().filter_map(|(_, m)| m.replica).collect();
        if replicas != known {
            (known, changed_at) = (replicas, Instant::now());
        }
        let is_quiet = changed_at.elapsed() > BOOTSTRAP_QUIET_TIME
            && started_at.elapsed() > 2 * BOOTSTRAP_QUIET_TIME;
        let required = if is_quiet && started_at.elapsed() < BOOTSTRAP_TIMEOUT {
            full
        } else {
            fewest
        };
        let may_propose = is_quiet || started_at.elapsed() >= BOOTSTRAP_TIMEOUT;
        if !may_propose || known.len() < required {
            continue;
        }
        log::info!(
            "bootstrapping the control state with {} replicas",
            known.len()
        );
        replica.bootstrap(electorate(&fleet, &replica.electorate), known.clone());
        tokio::time::sleep(BOOTSTRAP_RETRY_INTERVAL).await;
    }
}

/// The replicas at the addresses of the electorate. One whose member record is unknown is
/// represented by a placeholder id, so that two nodes never consider different electorates
/// complete.
fn electorate(fleet: &Fleet, addresses: &[SocketAddrV4]) -> BTreeSet<ReplicaId> {
    const PLACEHOLDER_DISK: u64 = 0;
    let directory = lock(&fleet.directory);
    let replica_at = |address: &SocketAddrV4| {
        let member = directory
            .members()
            .map(|(_, member)| member)
            .find(|member| member.internal == *address);
        match member {
            Some(member) => member.replica.clone(),
            None => Some(ReplicaId {
                disk: PLACEHOLDER_DISK,
                node: CompactString::default(),
                address: *address,
            }),
        }
    };
    addresses.iter().filter_map(replica_at).collect()
}

//! Benchmarks of the statistics that are retained across restarts.
//!
//! cargo bench -p bitternsill --bench learned -- restart|scale
#![allow(missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;

use bitternsill::learned::folder::{Folder, FolderError};
use common::*;
use crossbeam_queue::ArrayQueue;
use dispatch::Aggregator;
use dispatch::interface::{
    Action, Class, Endpoint, Event, ListKind, LoadReport, Outcome, PartId, QueryId, ServerId,
    Settings,
};
use learning::atomic_write;
use learning::file;
use learning::snapshot::{Fleet, HostStats, Snapshot};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOSTS: usize = 10;
const TARGET_MS: u64 = 1500;
const QUERIES_PER_S: u64 = 60;
const WARM_UP_S: u64 = 8;
const MEASURED_S: u64 = 10;

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Hosts in a ring: two of the ten are slow, and one is cold for five seconds after each start of
/// the gatherer.
struct HostFleet {
    addresses: Vec<std::net::SocketAddr>,
    parts: Arc<AtomicUsize>,
    cold_until: Arc<AtomicU64>,
    cold: usize,
}

fn fleet(seed: u64) -> HostFleet {
    let (parts, cold_until) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicU64::new(0)));
    // No two neighbours are slow, so that each slice is on at least one fast host.
    let first = (seed * 3) as usize % HOSTS;
    let (slow, cold) = ([first, (first + 5) % HOSTS], (first + 2) % HOSTS);
    let host = |n: usize| {
        let (parts, cold_until) = (parts.clone(), cold_until.clone());
        FrameHost::start(move |_| {
            parts.fetch_add(1, Ordering::Relaxed);
            let delay = match () {
                () if slow.contains(&n) => 1600,
                () if n == cold && now_ms() < cold_until.load(Ordering::Relaxed) => 30,
                () => 8,
            };
            thread::sleep(Duration::from_millis(delay));
            PartReply::Good(1, "x".to_owned())
        })
        .address
    };
    HostFleet {
        addresses: (0..HOSTS).map(host).collect(),
        parts,
        cold_until,
        cold,
    }
}

fn fleet_settings() -> Value {
    let mut settings = settings();
    settings["extra"]["sets"] = json!(HOSTS);
    settings["extra"]["ranges"] = json!(HOSTS);
    for class in settings["request_classes"].as_array_mut().unwrap() {
        class["target"] = json!(TARGET_MS * 1_000_000);
        class["deadline"] = json!(4_000_000_000u64);
    }
    settings["limits"]["max_open"] = json!(600);
    settings
}

/// Counts in the first 2, 5 and 10 seconds: queries that missed their latency target or were not
/// served, and parts sent beyond the first attempts.
type Counts = [(usize, usize); 3];

fn run_load(hosts: &HostFleet, folder: Option<&Path>, seconds: u64, seed: u64) -> Counts {
    let start = now_ms();
    hosts.cold_until.store(start + 5_000, Ordering::Relaxed);
    let mut targets: Vec<Value> = hosts
        .addresses
        .iter()
        .enumerate()
        .map(|(n, a)| target(n, *a, "active"))
        .collect();
    targets[hosts.cold]["boot_ms"] = json!(start);
    let mut more = Vec::new();
    if let Some(folder) = folder {
        let file = folder.with_extension("json");
        std::fs::write(
            &file,
            json!({"learning": {"folder": folder, "period_ms": 200}}).to_string(),
        )
        .unwrap();
        more = vec!["--operator".to_owned(), file.display().to_string()];
    }
    let platform = Arc::new(Platform::start_in(
        "true",
        fleet_settings(),
        Vec::new(),
        Discovery::start(targets),
        256,
        &more,
    ));
    let (next, begin) = (Arc::new(AtomicU64::new(0)), Instant::now());
    let asked = hosts.parts.load(Ordering::Relaxed);
    let late: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let marks: Arc<Mutex<Vec<usize>>> = Arc::default();
    let threads: Vec<_> = (0..200)
        .map(|_| {
            let (platform, next, late) = (platform.clone(), next.clone(), late.clone());
            thread::spawn(move || {
                loop {
                    // Open loop: arrival times are predetermined, however long answers take.
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    let due = Duration::from_micros(n * 1_000_000 / QUERIES_PER_S);
                    if due >= Duration::from_secs(seconds) {
                        return;
                    }
                    if let Some(wait) = due.checked_sub(begin.elapsed()) {
                        thread::sleep(wait);
                    }
                    let shard = ((n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ seed) >> 33) as u32
                        % HOSTS as u32;
                    let shards = [shard, (shard + 1) % HOSTS as u32];
                    let answer = platform.send_query(&format!("{:016x}", n + 1), "page", &shards);
                    let took = begin.elapsed() - due;
                    if took > Duration::from_millis(TARGET_MS)
                        || !answer.starts_with("HTTP/1.1 200")
                    {
                        late.lock().unwrap().push(due);
                    }
                }
            })
        })
        .collect();
    for at in [2, 5, 10] {
        let until = Duration::from_secs(at.min(seconds));
        thread::sleep(until.saturating_sub(begin.elapsed()));
        let parts = hosts.parts.load(Ordering::Relaxed) - asked;
        let first = 2 * (QUERIES_PER_S * at.min(seconds)) as usize;
        marks.lock().unwrap().push(parts.saturating_sub(first));
    }
    threads.into_iter().for_each(|t| t.join().unwrap());
    platform.program.signal("TERM");
    let mut platform = Arc::into_inner(platform).expect("all threads have ended");
    platform.program.child.wait().unwrap();
    let (late, marks) = (late.lock().unwrap(), marks.lock().unwrap());
    let count = |at: u64| {
        late.iter()
            .filter(|due| **due < Duration::from_secs(at))
            .count()
    };
    [
        (count(2), marks[0]),
        (count(5), marks[1]),
        (count(10), marks[2]),
    ]
}

fn new_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("learned-bench-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir(&path).unwrap();
    path
}

/// A new folder with a modified copy of the newest snapshot.
fn modified_copy(from: &Path, name: &str, change: impl FnOnce(&mut Snapshot)) -> PathBuf {
    // A program that another seed's thread is just starting holds all descriptors of this process
    // for an instant, and with them the lock.
    let folder = loop {
        match Folder::open(from) {
            Ok(folder) => break folder,
            Err(FolderError::Locked) => thread::yield_now(),
            Err(problem) => panic!("{problem}"),
        }
    };
    let (mut snapshot, ..) = folder.load().snapshot.expect("a snapshot");
    change(&mut snapshot);
    let to = new_folder(name);
    std::fs::write(
        to.join(atomic_write::file_name(1)),
        file::encode(&snapshot).unwrap(),
    )
    .unwrap();
    to
}

fn run_seed(seed: u64) -> [Counts; 4] {
    let hosts = fleet(seed);
    let kept = new_folder(&format!("{seed}-kept"));
    run_load(&hosts, Some(&kept), WARM_UP_S, seed);
    let old = modified_copy(&kept, &format!("{seed}-old"), |p| {
        let days = 3 * 86_400_000;
        p.taken_at -= days;
        let older = |(uid, host): (&Arc<str>, &HostStats)| {
            (
                uid.clone(),
                HostStats {
                    updated_at: host.updated_at - days,
                    ..host.clone()
                },
            )
        };
        p.hosts = p.hosts.iter().map(older).collect();
    });
    let wrong = modified_copy(&kept, &format!("{seed}-wrong"), |p| {
        // Every host gets the statistics of the third host after it.
        let stats: Vec<HostStats> = p.hosts.values().cloned().collect();
        let count = stats.len();
        let other = |(n, (uid, host)): (usize, (&Arc<str>, &HostStats))| {
            (
                uid.clone(),
                HostStats {
                    started: host.started,
                    ..stats[(n + 3) % count].clone()
                },
            )
        };
        p.hosts = p.hosts.iter().enumerate().map(other).collect();
    });
    let copy = modified_copy(&kept, &format!("{seed}-copy"), |_| {});
    [None, Some(&copy), Some(&old), Some(&wrong)]
        .map(|folder| run_load(&hosts, folder.map(PathBuf::as_path), MEASURED_S, seed))
}

/// A mean with its 95 % interval (Student's t with nine degrees of freedom for ten seeds).
fn interval(values: &[f64]) -> String {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n;
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    format!("{mean:6.1} ± {:4.1}", 2.262 * (variance / n).sqrt())
}

/// Late queries and additional parts after a restart, over ten seeds.
fn restart() {
    let results: Arc<Mutex<Vec<[Counts; 4]>>> = Arc::default();
    for batch in 0..2 {
        let threads: Vec<_> = (0..5)
            .map(|n| {
                let results = results.clone();
                thread::spawn(move || {
                    let seen = run_seed(5 * batch + n + 1);
                    results.lock().unwrap().push(seen);
                })
            })
            .collect();
        threads.into_iter().for_each(|t| t.join().unwrap());
    }
    let results = results.lock().unwrap();
    println!(
        "{} seeds, {QUERIES_PER_S} queries a second of two parts, {HOSTS} hosts, target {TARGET_MS} ms",
        results.len()
    );
    println!(
        "snapshot        late in 2 s    in 5 s         in 10 s        further parts in 2 s  in 5 s         in 10 s"
    );
    for (n, name) in ["none", "previous run", "three days old", "shuffled"]
        .into_iter()
        .enumerate()
    {
        let of = |at: usize, late: bool| {
            let values: Vec<f64> = results
                .iter()
                .map(|r| {
                    if late {
                        r[n][at].0 as f64
                    } else {
                        r[n][at].1 as f64
                    }
                })
                .collect();
            interval(&values)
        };
        println!(
            "{name:14}  {}  {}  {}  {}         {}  {}",
            of(0, true),
            of(1, true),
            of(2, true),
            of(0, false),
            of(1, false),
            of(2, false)
        );
    }
}

fn percentiles_us(times: &mut [Duration]) -> (f64, f64) {
    times.sort_unstable();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e6;
    (at(0.5), at(0.99))
}

/// 10,000 hosts and 8 classes: the cost of learning in a turn, and of the file.
fn scale() {
    const MANY: u32 = 10_000;
    const CLASSES: usize = 8;
    let class = Class {
        latency_target: 1_000_000_000,
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class; CLASSES],
        cells: 100,
        replication_factor: 2,
        ..Settings::default()
    };
    let entry = |n: u32| Endpoint {
        server: ServerId(n),
        cell: n % 100,
        ..Endpoint::default()
    };
    let list = Event::Endpoints {
        kind: ListKind::Complete,
        entries: (0..MANY).map(entry).collect(),
    };
    println!(
        "turns with learning  p50 us  p99 us  of which learning p50  p99   handing over p50  p99"
    );
    for learns in [false, true, false, true] {
        let mut aggregator = Aggregator::new(settings.clone(), 7);
        let mut actions: Vec<Action> = Vec::new();
        let mut now = 1_700_000_000_000_000_000;
        aggregator.turn(now, std::slice::from_ref(&list), &mut actions);
        if learns {
            aggregator.learned(0);
        }
        let fleet = Fleet {
            classes: vec!["c".into(); CLASSES],
            cells: 100,
            reach: 2,
        };
        let mut snapshot = Snapshot::new(fleet);
        let queue: ArrayQueue<Snapshot> = ArrayQueue::new(2);
        let (mut turn_times, mut collect_times, mut submit_times) =
            (Vec::new(), Vec::new(), Vec::new());
        let mut out: Vec<(PartId, u32)> = Vec::new();
        let mut next = 1u64;
        for turn in 0..1200u32 {
            now += 5_000_000;
            let mut events = Vec::new();
            for (part, attempt) in out.drain(..) {
                events.push(Event::AttemptEnded {
                    part,
                    attempt,
                    server: ServerId(0),
                    outcome: Outcome::Ok,
                    took: 5_000_000,
                    load: LoadReport::default(),
                });
            }
            for _ in 0..4 {
                let number = next;
                events.push(Event::Query {
                    id: QueryId(number),
                    number,
                    class: (number % CLASSES as u64) as usize,
                    parts: 2,
                    client_timeout: 2_000_000_000,
                    is_retry: false,
                });
                for part in 1..=2 {
                    let shard = (number * 37 + part) as u32 % 100;
                    events.push(Event::Part {
                        id: PartId(number + part),
                        number,
                        shard,
                        weight: 0.5,
                    });
                }
                next += 3;
            }
            actions.clear();
            let start = Instant::now();
            aggregator.turn(now, &events, &mut actions);
            // The program collects statistics every 20 ms, and submits a snapshot every period.
            if learns && turn % 4 == 0 {
                let begin = Instant::now();
                for (id, stats) in aggregator.learned(64).servers {
                    let host = HostStats {
                        started: 0,
                        slowness: stats.slowness.iter().map(|s| *s as f32).collect(),
                        delay: stats.delay as f32,
                        limit: stats.limit as f32,
                        errors: stats.errors as f32,
                        weight: stats.answers as f32,
                        updated_at: now / 1_000_000,
                    };
                    snapshot
                        .hosts
                        .insert(Arc::from(format!("host-{}", id.0)), host);
                }
                collect_times.push(begin.elapsed());
                if turn % 40 == 0 {
                    let begin = Instant::now();
                    let _ = queue.push(snapshot.clone());
                    submit_times.push(begin.elapsed());
                }
            }
            turn_times.push(start.elapsed());
            // Stands in for the writer.
            queue.pop();
            for action in &actions {
                if let Action::Send { part, .. } = action {
                    out.push((*part, 0));
                }
            }
        }
        let (p50, p99) = percentiles_us(&mut turn_times);
        let (l50, l99) = if collect_times.is_empty() {
            (0.0, 0.0)
        } else {
            percentiles_us(&mut collect_times)
        };
        let (h50, h99) = if submit_times.is_empty() {
            (0.0, 0.0)
        } else {
            percentiles_us(&mut submit_times)
        };
        println!("{learns:19}  {p50:6.0}  {p99:6.0}  {l50:21.1}  {l99:4.1}  {h50:16.2}  {h99:4.2}");
    }
    let fleet = Fleet {
        classes: vec!["c".into(); CLASSES],
        cells: 100,
        reach: 2,
    };
    let host = |n: u32| HostStats {
        started: 0,
        slowness: (0..CLASSES)
            .map(|c| 1.0 + (n as f32 * 0.37 + c as f32) % 7.0)
            .collect(),
        delay: 0.1,
        limit: 3.0,
        errors: 0.01,
        weight: 16.0,
        updated_at: now_ms(),
    };
    let hosts = (0..MANY)
        .map(|n| (Arc::from(format!("host-{n:05}")), host(n)))
        .collect();
    let snapshot = Snapshot {
        taken_at: now_ms(),
        hosts,
        ..Snapshot::new(fleet)
    };
    let path = new_folder("scale");
    let folder = Folder::open(&path).unwrap();
    println!("hosts  classes  bytes    encode ms  write and sync ms  load ms");
    for _ in 0..3 {
        let start = Instant::now();
        let bytes = file::encode(&snapshot).unwrap();
        let encoded = start.elapsed();
        let start = Instant::now();
        folder.write(&bytes, |_| {}).unwrap();
        let written = start.elapsed();
        let start = Instant::now();
        assert_eq!(
            folder.load().snapshot.map(|(p, ..)| p.hosts.len()),
            Some(MANY as usize)
        );
        println!(
            "{MANY}  {CLASSES:7}  {}  {:9.1}  {:17.1}  {:7.1}",
            bytes.len(),
            encoded.as_secs_f64() * 1e3,
            written.as_secs_f64() * 1e3,
            start.elapsed().as_secs_f64() * 1e3
        );
    }
    let _ = std::fs::remove_dir_all(&path);
}

fn main() {
    // Flags are skipped: cargo adds one.
    match std::env::args()
        .skip(1)
        .find(|a| !a.starts_with("--"))
        .as_deref()
    {
        Some("restart") => restart(),
        Some("scale") => scale(),
        _ => eprintln!("name a benchmark: restart or scale"),
    }
}

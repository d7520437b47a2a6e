//! Test harness for fleets: gatherer processes, links between them that fail in one direction,
//! stand-in index hosts and discovery, clients, and store watchers.

use super::*;
use simulation::history::{History, SessionId};
use simulation::link::{Flow, Link};
use simulation::timeline::Fault;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

/// A discovery stand-in that sends the whole target list to each watcher whenever the list changes.
/// The port of one entry carries a counter.
pub struct CountingDiscovery {
    pub address: SocketAddr,
    pub count: Arc<AtomicU64>,
    /// Start time that the list gives for the index hosts, in milliseconds since the Unix epoch.
    pub boot_ms: Arc<AtomicU64>,
    /// While set, neither new calls nor open watches receive data.
    pub mute: Arc<AtomicBool>,
}

impl CountingDiscovery {
    pub fn start(hosts: &[FrameHost]) -> CountingDiscovery {
        let count: Arc<AtomicU64> = Arc::new(AtomicU64::new(1));
        let entry = |(at, host): (usize, &FrameHost)| target(at, host.address, "active");
        let hosts: Vec<Value> = hosts.iter().enumerate().map(entry).collect();
        let (mute, boot_ms): (Arc<AtomicBool>, Arc<AtomicU64>) = Default::default();
        let (counter, muted, boot_time) = (count.clone(), mute.clone(), boot_ms.clone());
        let address = accept(move |mut socket| {
            let mut line = String::new();
            BufReader::new(socket.try_clone().unwrap())
                .read_line(&mut line)
                .unwrap();
            let mut sent = 0;
            while muted.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            }
            let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
            while socket.write_all(text.as_bytes()).is_ok() {
                thread::sleep(Duration::from_millis(10));
                while muted.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                }
                let now = counter.load(Ordering::SeqCst);
                let mut hosts = hosts.clone();
                for host in &mut hosts {
                    host["boot_ms"] = boot_time.load(Ordering::SeqCst).into();
                }
                let list = if now == sent {
                    "\n".to_owned()
                } else {
                    // Nothing is sent to a leaving host, so its port can carry the counter.
                    let entry = json!({"uid": "counted", "endpoint": format!("127.0.0.1:{}", 10_000 + now),
                                       "pod_group": 0, "state": "leaving"});
                    let targets: Vec<&Value> = hosts.iter().chain([&entry]).collect();
                    json!({"rev": now, "all": true, "targets": targets}).to_string() + "\n"
                };
                sent = now;
                text = format!("{:x}\r\n{list}\r\n", list.len());
            }
        });
        CountingDiscovery {
            address,
            count,
            boot_ms,
            mute,
        }
    }
}

/// The counter value in a target list from the store.
pub fn counter_value(value: &str) -> Option<u64> {
    let list: Value = serde_json::from_str(value).ok()?;
    let entry = list
        .as_array()?
        .iter()
        .find(|entry| entry["uid"] == "counted")?;
    let port: u64 = entry["endpoint"]
        .as_str()?
        .rsplit(':')
        .next()?
        .parse()
        .ok()?;
    port.checked_sub(10_000)
}

/// Outcomes of the client queries.
#[derive(Debug, Default, Clone, Copy)]
pub struct QueryCounts {
    pub complete: u32,
    pub rejected: u32,
    pub closed: u32,
    pub max_latency: Duration,
}

pub struct FleetOptions {
    pub settings: Value,
    /// The `recovery` section of the operator file.
    pub recovery: Option<Value>,
    /// Whether the configuration contains the target list as `known`.
    pub known: bool,
    /// Warm-up state of the index hosts; `None` for hosts that are always warm.
    pub warmup: Option<Arc<HostWarmup>>,
    /// Whether learned statistics persist across restarts.
    pub learning: bool,
    /// Whether discovery is silent from the start.
    pub mute: bool,
    /// The `versions` section of the operator file. With it, a gatherer keeps its name and audit
    /// log across restarts.
    pub versions: Option<Value>,
    pub has_admin: bool,
    /// Gatherers that run under the name of another one.
    pub named_as: BTreeMap<usize, usize>,
}

impl Default for FleetOptions {
    fn default() -> FleetOptions {
        let (settings, known, learning, mute, has_admin) = (settings(), false, false, false, false);
        let (recovery, warmup, versions, named_as) = (None, None, None, BTreeMap::new());
        FleetOptions {
            settings,
            recovery,
            known,
            warmup,
            learning,
            mute,
            versions,
            has_admin,
            named_as,
        }
    }
}

/// Service time of a part on a warm index host, which serves one part at a time.
pub const PART_DURATION: Duration = Duration::from_millis(4);

/// Last start of the index hosts. After a start, capacity grows from a fifth to full over 10 s.
#[derive(Debug, Default)]
pub struct HostWarmup {
    since: Mutex<Option<Instant>>,
    overloads: AtomicU64,
}

impl HostWarmup {
    pub fn restart(&self) {
        *self.since.lock().unwrap() = Some(Instant::now());
    }

    fn since(&self) -> Option<Instant> {
        *self.since.lock().unwrap()
    }

    /// How often a host failed from overload.
    pub fn overloads(&self) -> u64 {
        self.overloads.load(Ordering::SeqCst)
    }
}

/// An index host that warms up and fails from overload as the settings describe: after more than
/// twice its capacity within one second, it turns everything away for two seconds and is cold
/// again.
pub fn warming_host(warmup: Arc<HostWarmup>) -> FrameHost {
    let server = Mutex::new(());
    let state = Mutex::new((warmup.since(), VecDeque::<Instant>::new()));
    let speed = |since: Option<Instant>| {
        since.map_or(1.0, |since| {
            (0.2 + 0.8 * since.elapsed().as_secs_f64() / 10.0).min(1.0)
        })
    };
    FrameHost::start(move |id| {
        let since = {
            let (since, arrivals) = &mut *state.lock().unwrap();
            *since = (*since).max(warmup.since());
            arrivals.push_back(Instant::now());
            while arrivals
                .front()
                .is_some_and(|at| at.elapsed() > Duration::from_secs(1))
            {
                arrivals.pop_front();
            }
            let up = since.is_none_or(|since| since <= Instant::now());
            if up && arrivals.len() as f64 > 2.0 * speed(*since) / PART_DURATION.as_secs_f64() {
                *since = Some(Instant::now() + Duration::from_secs(2));
                warmup.overloads.fetch_add(1, Ordering::SeqCst);
            }
            if since.is_some_and(|since| since > Instant::now()) {
                return PartReply::Later;
            }
            *since
        };
        let _turn = server.lock().unwrap();
        thread::sleep(PART_DURATION.div_f64(speed(since)));
        PartReply::Good(1, format!("value of {id}"))
    })
}

/// Gatherers that are all members of one store, with a separate link for each direction between two
/// of them.
pub struct Fleet {
    pub name: String,
    pub stores: Vec<SocketAddr>,
    pub client_addresses: Vec<SocketAddr>,
    pub admin_addresses: Vec<SocketAddr>,
    pub links: BTreeMap<(usize, usize), Link>,
    pub programs: Vec<Option<Program>>,
    pub starts: Vec<u32>,
    pub files: Vec<PathBuf>,
    pub discovery: CountingDiscovery,
    pub hosts: Vec<FrameHost>,
    pub options: FleetOptions,
    pub history: Arc<Mutex<History>>,
    pub stopped: Arc<AtomicBool>,
    pub threads: Vec<JoinHandle<()>>,
    pub query_counts: Arc<Mutex<QueryCounts>>,
}

impl Fleet {
    pub fn start(name: &str, count: usize) -> Fleet {
        Self::with(name, count, FleetOptions::default())
    }

    pub fn with(name: &str, count: usize, options: FleetOptions) -> Fleet {
        let host = |_| match &options.warmup {
            Some(warmup) => warming_host(warmup.clone()),
            None => FrameHost::start(|id| PartReply::Good(1, format!("value of {id}"))),
        };
        let hosts: Vec<FrameHost> = (0..3).map(host).collect();
        let stores: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        let pairs =
            (0..count).flat_map(|a| (0..count).filter(move |b| a != *b).map(move |b| (a, b)));
        let file = |i| {
            std::env::temp_dir().join(format!(
                "bitternsill-{name}-{}-{i}.store",
                std::process::id()
            ))
        };
        let mut fleet = Fleet {
            name: name.to_owned(),
            links: pairs
                .map(|(a, b)| ((a, b), Link::to(stores[b]).unwrap()))
                .collect(),
            client_addresses: (0..count).map(|_| free_address()).collect(),
            admin_addresses: (0..count).map(|_| free_address()).collect(),
            stores,
            programs: (0..count).map(|_| None).collect(),
            starts: vec![0; count],
            files: (0..count).map(file).collect(),
            discovery: CountingDiscovery::start(&hosts),
            hosts,
            options,
            history: Arc::default(),
            stopped: Arc::default(),
            threads: Vec::new(),
            query_counts: Arc::default(),
        };
        fleet.clear();
        fleet
            .discovery
            .mute
            .store(fleet.options.mute, Ordering::SeqCst);
        (0..count).for_each(|at| fleet.power_on(at));
        if fleet.options.warmup.is_none() {
            for at in 0..count {
                if fleet.options.versions.is_none() {
                    fleet.start_watcher(at);
                }
                fleet.start_client(at);
            }
        }
        fleet
    }

    pub fn clear(&self) {
        for file in &self.files {
            for end in ["store", "lock", "id", "new", "config", "beside", "log"] {
                let _ = std::fs::remove_file(file.with_extension(end));
            }
            for folder in ["trail", "learned"] {
                let _ = std::fs::remove_dir_all(file.with_extension(folder));
            }
        }
    }

    /// Without versions, each start of a gatherer has its own name, so that no later start
    /// overwrites its key.
    pub fn member_key(&self, at: usize) -> String {
        format!("members/{}", self.gatherer_name(at))
    }

    pub fn gatherer_name(&self, at: usize) -> String {
        let name = self.options.named_as.get(&at).unwrap_or(&at);
        if self.options.versions.is_some() {
            format!("g{name}")
        } else {
            format!("g{name}-{}", self.starts[at])
        }
    }

    /// The folder of a gatherer's audit log.
    pub fn audit_folder(&self, at: usize) -> PathBuf {
        self.files[at].with_extension("trail")
    }

    /// Runs `bitternsill fleet` against these gatherers; returns the output and whether the exit
    /// code was 0.
    pub fn run_command(&self, words: &[&str], at: &[usize]) -> (String, bool) {
        let output = Command::new(env!("CARGO_BIN_EXE_bitternsill"))
            .arg("fleet")
            .args(words)
            .arg("--at")
            .args(at.iter().map(|at| self.stores[*at].to_string()))
            .output()
            .unwrap();
        (
            String::from_utf8(output.stdout)
                .unwrap()
                .trim_end()
                .to_owned(),
            output.status.success(),
        )
    }

    pub fn power_on(&mut self, at: usize) {
        self.starts[at] += 1;
        let count = self.discovery.count.load(Ordering::SeqCst);
        self.history
            .lock()
            .unwrap()
            .record_write(&self.member_key(at), count);
        let members: serde_json::Map<String, Value> = (0..self.stores.len())
            .map(|to| {
                let address = self
                    .links
                    .get(&(at, to))
                    .map_or(self.stores[at], |link| link.address);
                (to.to_string(), json!(address.to_string()))
            })
            .collect();
        let operator_file = self.files[at].with_extension("beside");
        let mut operator_config = json!({"store": {"member": at, "members": members, "begins": at == 0,
                                             "file": self.files[at], "test_sync_ms": 25}});
        if let Some(recovery) = &self.options.recovery {
            operator_config["recovery"] = recovery.clone();
        }
        if self.options.learning {
            let folder = self.files[at].with_extension("learned");
            std::fs::create_dir_all(&folder).unwrap();
            operator_config["learning"] = json!({"folder": folder, "period_ms": 500});
        }
        if let Some(versions) = &self.options.versions {
            operator_config["versions"] = versions.clone();
            operator_config["versions"]["trail"] = json!(self.audit_folder(at));
        }
        std::fs::write(&operator_file, operator_config.to_string()).unwrap();
        let entry = |(cell, host): (usize, &FrameHost)| target(cell, host.address, "active");
        let targets: Vec<Value> = self.hosts.iter().enumerate().map(entry).collect();
        let known = if self.options.known {
            json!({"rev": 1, "all": true, "targets": targets})
        } else {
            Value::Null
        };
        let admin = if self.options.has_admin {
            json!(self.admin_addresses[at].to_string())
        } else {
            Value::Null
        };
        let config = json!({
            "name": self.gatherer_name(at), "listen": self.client_addresses[at].to_string(), "admin": admin,
            "discovery": self.discovery.address.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "known": known, "settings": self.options.settings
        });
        let log = self.files[at].with_extension("log");
        let more = ["--operator".to_owned(), operator_file.display().to_string()];
        let shell = format!("export BITTERNSILL_LOG=info; exec 2>>{}", log.display());
        self.programs[at] = Some(Program::start_in(&shell, "--config", &config, &more));
    }

    /// Kills these gatherers with a single `kill` command, so as close together as signals allow.
    pub fn power_off(&mut self, group: &BTreeSet<usize>) {
        let off: Vec<Program> = group
            .iter()
            .filter_map(|at| self.programs[*at].take())
            .collect();
        if off.is_empty() {
            return;
        }
        let pids = off.iter().map(|program| program.child.id().to_string());
        assert!(
            Command::new("kill")
                .arg("-KILL")
                .args(pids)
                .status()
                .unwrap()
                .success()
        );
    }

    /// Starts a thread that records what a member sends to a watcher, until the test stops.
    pub fn start_watcher(&mut self, at: usize) {
        let (address, stopped, history) =
            (self.stores[at], self.stopped.clone(), self.history.clone());
        self.threads.push(thread::spawn(move || {
            for session in (at as SessionId * 1_000_000).. {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                watch(address, Duration::from_millis(400), |key, value| {
                    if let Some(value) = counter_value(value) {
                        history.lock().unwrap().record_read(at, session, key, value);
                    }
                    !stopped.load(Ordering::SeqCst)
                });
                thread::sleep(Duration::from_millis(5));
            }
        }));
    }

    /// Starts a thread that sends one query after another. Each must get exactly one response in
    /// time, or its connection must end.
    pub fn start_client(&mut self, at: usize) {
        let (address, stopped, query_counts) = (
            self.client_addresses[at],
            self.stopped.clone(),
            self.query_counts.clone(),
        );
        self.threads.push(thread::spawn(move || {
            for number in 0.. {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let started = Instant::now();
                let answer = (|| {
                    let mut socket = TcpStream::connect(address)?;
                    socket.set_read_timeout(Some(Duration::from_secs(30)))?;
                    let text = query(
                        &format!("q{at}-{number}"),
                        "page",
                        &[0, 1, 2],
                        "Connection: close\r\n",
                    );
                    socket.write_all(text.as_bytes())?;
                    let mut answer = String::new();
                    socket.read_to_string(&mut answer)?;
                    std::io::Result::Ok(answer)
                })();
                let text = answer.unwrap_or_default();
                assert!(
                    text.matches("HTTP/1.1 ").count() <= 1,
                    "more than one response: {text}"
                );
                let mut query_counts = query_counts.lock().unwrap();
                match text.get(9..12) {
                    Some("200") => {
                        assert!(
                            text.contains("\"total\":true")
                                && text.contains(&format!("value of q{at}-{number}.2"))
                        );
                        query_counts.complete += 1;
                        query_counts.max_latency = query_counts.max_latency.max(started.elapsed());
                    }
                    Some(_) => query_counts.rejected += 1,
                    None => query_counts.closed += 1,
                }
                drop(query_counts);
                thread::sleep(Duration::from_millis(4));
            }
        }));
    }

    /// Queries with a response since the counts were last reset.
    pub fn answered(&self) -> u32 {
        let query_counts = self.query_counts.lock().unwrap();
        query_counts.complete + query_counts.rejected
    }

    /// Increments the counter that discovery publishes to all running gatherers.
    pub fn increment(&self) {
        let next = self.discovery.count.load(Ordering::SeqCst) + 1;
        (0..self.starts.len()).for_each(|at| {
            self.history
                .lock()
                .unwrap()
                .record_write(&self.member_key(at), next)
        });
        self.discovery.count.store(next, Ordering::SeqCst);
    }

    pub fn link(&self, from: usize, to: usize) -> &Link {
        &self.links[&(from, to)]
    }

    /// A power failure of all gatherers and index hosts, and the restart. Discovery, unless silent,
    /// publishes the new start time.
    pub fn power_cycle_all(&mut self) {
        let all: BTreeSet<usize> = (0..self.stores.len()).collect();
        self.power_off(&all);
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        self.discovery.boot_ms.store(now, Ordering::SeqCst);
        self.increment();
        if let Some(warmup) = &self.options.warmup {
            warmup.restart();
        }
        all.into_iter().for_each(|at| self.power_on(at));
    }

    pub fn heal(&self) {
        self.links
            .values()
            .for_each(|link| link.set(Flow::Open, Flow::Open));
    }

    pub fn inject(&mut self, fault: &Fault) {
        match fault {
            Fault::PowerOff(group) => self.power_off(group),
            Fault::PowerOn(group) => group.iter().for_each(|at| self.power_on(*at)),
            Fault::Suspend(at) => self.programs[*at].as_ref().unwrap().signal("STOP"),
            Fault::Resume(at) => self.programs[*at].as_ref().unwrap().signal("CONT"),
            Fault::Partition(from, to) => self.link(*from, *to).set(Flow::Stalled, Flow::Open),
            Fault::Delay(from, to, by) => {
                self.link(*from, *to)
                    .set(Flow::Delayed(Duration::from_millis(*by)), Flow::Open);
            }
            Fault::Reset(one, other) => {
                self.link(*one, *other).reset();
                self.link(*other, *one).reset();
            }
            Fault::Heal => self.heal(),
            Fault::LoseFile(at) => drop(std::fs::remove_file(&self.files[*at])),
        }
    }

    /// The counter values that a member holds.
    pub fn counter_values(&self, at: usize) -> BTreeMap<String, u64> {
        let mut held = BTreeMap::new();
        watch(self.stores[at], Duration::from_millis(150), |key, value| {
            held.extend(counter_value(value).map(|value| (key.to_owned(), value)));
            true
        });
        held
    }

    /// Whether all members hold the same values, none below the highest that a watcher has seen.
    pub fn is_consistent(&self) -> bool {
        let shown = self.history.lock().unwrap().highest_read().clone();
        let held: Vec<_> = (0..self.stores.len())
            .map(|at| self.counter_values(at))
            .collect();
        let enough = |held: &BTreeMap<String, u64>| {
            shown
                .iter()
                .all(|(key, value)| held.get(key).is_some_and(|held| held >= value))
        };
        held.iter().all(enough) && held.iter().all(|other| *other == held[0])
    }

    /// Waits until all members hold the latest counter value of every gatherer.
    pub fn wait_until_consistent(&self) -> Result<(), String> {
        self.increment();
        let now = self.discovery.count.load(Ordering::SeqCst);
        let until = Instant::now() + Duration::from_secs(30);
        loop {
            let all = |at: usize| {
                let held = self.counter_values(at);
                (0..self.starts.len()).all(|of| {
                    held.get(&self.member_key(of))
                        .is_some_and(|held| *held >= now)
                })
            };
            if (0..self.starts.len()).all(all) && self.is_consistent() {
                return Ok(());
            }
            if Instant::now() > until {
                let held: Vec<_> = (0..self.starts.len())
                    .map(|at| self.counter_values(at))
                    .collect();
                let shown = self.history.lock().unwrap().highest_read().clone();
                return Err(format!(
                    "members differ 30 s after the last fault: {held:?}; watchers saw {shown:?}; counter {now}"
                ));
            }
        }
    }

    /// Stops clients and watchers and checks the recorded history; returns the query counts or the
    /// violations.
    pub fn finish(mut self) -> Result<QueryCounts, String> {
        let settled = self.wait_until_consistent();
        self.stopped.store(true, Ordering::SeqCst);
        let held = (0..self.stores.len())
            .map(|at| (at, self.counter_values(at)))
            .collect();
        for thread in self.threads.drain(..) {
            thread
                .join()
                .map_err(|_| "a client or watcher thread failed".to_owned())?;
        }
        let history = std::mem::take(&mut *self.history.lock().unwrap());
        let shown = history.highest_read().len();
        let violations = history.check(&held);
        settled?;
        if !violations.is_empty() {
            return Err(violations
                .iter()
                .map(|violation| format!("{violation}; "))
                .collect());
        }
        assert!(shown >= self.stores.len(), "watchers saw only {shown} keys");
        let query_counts = *self.query_counts.lock().unwrap();
        self.programs.clear();
        self.clear();
        Ok(query_counts)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // A stopped process (SIGSTOP) must not outlive the test.
        self.programs.clear();
        if thread::panicking() {
            eprintln!("files and logs of {} are kept for inspection", self.name);
        }
    }
}

/// Reads watch lines until the connection ends, nothing arrives for `idle_timeout`, or `on_value`
/// returns false.
pub fn watch(
    address: SocketAddr,
    idle_timeout: Duration,
    mut on_value: impl FnMut(&str, &str) -> bool,
) {
    let Ok(mut socket) = TcpStream::connect(address) else {
        return;
    };
    socket.set_read_timeout(Some(idle_timeout)).unwrap();
    if socket.write_all(b"watch\n").is_err() {
        return;
    }
    for line in BufReader::new(socket).lines().map_while(Result::ok) {
        let Ok(line) = serde_json::from_str::<Value>(&line) else {
            return;
        };
        // A deleted key has no value.
        let (Some(key), Some(value)) = (line["key"].as_str(), line["value"].as_str()) else {
            continue;
        };
        if !on_value(key, value) {
            return;
        }
    }
}

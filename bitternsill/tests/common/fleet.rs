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
pub struct Counter {
    pub address: SocketAddr,
    pub count: Arc<AtomicU64>,
    /// Start time that the list gives for the index hosts, in milliseconds since the Unix epoch.
    pub boot_ms: Arc<AtomicU64>,
    /// While set, neither new calls nor open watches receive data.
    pub mute: Arc<AtomicBool>,
}

impl Counter {
    pub fn start(hosts: &[FrameHost]) -> Counter {
        let count: Arc<AtomicU64> = Arc::new(AtomicU64::new(1));
        let entry = |(at, host): (usize, &FrameHost)| target(at, host.address, "active");
        let hosts: Vec<Value> = hosts.iter().enumerate().map(entry).collect();
        let (mute, boot_ms): (Arc<AtomicBool>, Arc<AtomicU64>) = Default::default();
        let (counted, silent, booted) = (count.clone(), mute.clone(), boot_ms.clone());
        let address = accept(move |mut socket| {
            let mut line = String::new();
            BufReader::new(socket.try_clone().unwrap())
                .read_line(&mut line)
                .unwrap();
            let mut told = 0;
            while silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            }
            let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
            while socket.write_all(text.as_bytes()).is_ok() {
                thread::sleep(Duration::from_millis(10));
                while silent.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                }
                let now = counted.load(Ordering::SeqCst);
                let mut hosts = hosts.clone();
                for host in &mut hosts {
                    host["boot_ms"] = booted.load(Ordering::SeqCst).into();
                }
                let list = if now == told {
                    "\n".to_owned()
                } else {
                    // Nothing is sent to a leaving host, so its port can carry the counter.
                    let entry = json!({"uid": "counted", "endpoint": format!("127.0.0.1:{}", 10_000 + now),
                                       "pod_group": 0, "state": "leaving"});
                    let targets: Vec<&Value> = hosts.iter().chain([&entry]).collect();
                    json!({"rev": now, "all": true, "targets": targets}).to_string() + "\n"
                };
                told = now;
                text = format!("{:x}\r\n{list}\r\n", list.len());
            }
        });
        Counter {
            address,
            count,
            boot_ms,
            mute,
        }
    }
}

/// The counter value in a target list from the store.
pub fn counted(value: &str) -> Option<u64> {
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
pub struct Asked {
    pub whole: u32,
    pub refused: u32,
    pub closed: u32,
    pub worst: Duration,
}

/// Options of the gatherers in a fleet.
pub struct Set {
    pub settings: Value,
    /// The `recovery` section of the operator file.
    pub recovery: Option<Value>,
    /// Whether the configuration contains the target list as `known`.
    pub known: bool,
    /// Warm-up state of the index hosts; `None` for hosts that are always warm.
    pub warmth: Option<Arc<Warmth>>,
    /// Whether learned statistics persist across restarts.
    pub learning: bool,
    /// Whether discovery is silent from the start.
    pub mute: bool,
    /// The `versions` section of the operator file. With it, a gatherer keeps its name and audit
    /// log across restarts.
    pub versions: Option<Value>,
    /// Whether each gatherer has an admin address.
    pub doors: bool,
    /// Gatherers that run under the name of another one.
    pub named_as: BTreeMap<usize, usize>,
}

impl Default for Set {
    fn default() -> Set {
        let (settings, known, learning, mute, doors) = (settings(), false, false, false, false);
        let (recovery, warmth, versions, named_as) = (None, None, None, BTreeMap::new());
        Set {
            settings,
            recovery,
            known,
            warmth,
            learning,
            mute,
            versions,
            doors,
            named_as,
        }
    }
}

/// Service time of a part on a warm index host, which serves one part at a time.
pub const WORK: Duration = Duration::from_millis(4);

/// Last start of the index hosts. After a start, capacity grows from a fifth to full over 10 s.
#[derive(Debug, Default)]
pub struct Warmth {
    since: Mutex<Option<Instant>>,
    falls: AtomicU64,
}

impl Warmth {
    pub fn restart(&self) {
        *self.since.lock().unwrap() = Some(Instant::now());
    }

    fn since(&self) -> Option<Instant> {
        *self.since.lock().unwrap()
    }

    /// How often a host failed from overload.
    pub fn falls(&self) -> u64 {
        self.falls.load(Ordering::SeqCst)
    }
}

/// An index host that warms up and fails from overload as the settings describe: after more than
/// twice its capacity within one second, it turns everything away for two seconds and is cold
/// again.
pub fn warming_host(warmth: Arc<Warmth>) -> FrameHost {
    let desk = Mutex::new(());
    let state = Mutex::new((warmth.since(), VecDeque::<Instant>::new()));
    let speed = |since: Option<Instant>| {
        since.map_or(1.0, |since| {
            (0.2 + 0.8 * since.elapsed().as_secs_f64() / 10.0).min(1.0)
        })
    };
    FrameHost::start(move |id| {
        let since = {
            let (since, met) = &mut *state.lock().unwrap();
            *since = (*since).max(warmth.since());
            met.push_back(Instant::now());
            while met
                .front()
                .is_some_and(|at| at.elapsed() > Duration::from_secs(1))
            {
                met.pop_front();
            }
            let up = since.is_none_or(|since| since <= Instant::now());
            if up && met.len() as f64 > 2.0 * speed(*since) / WORK.as_secs_f64() {
                *since = Some(Instant::now() + Duration::from_secs(2));
                warmth.falls.fetch_add(1, Ordering::SeqCst);
            }
            if since.is_some_and(|since| since > Instant::now()) {
                return Say::Later;
            }
            *since
        };
        let _turn = desk.lock().unwrap();
        thread::sleep(WORK.div_f64(speed(since)));
        Say::Good(1, format!("value of {id}"))
    })
}

/// Gatherers that are all members of one store, with a separate link for each direction between two
/// of them.
pub struct Fleet {
    pub name: String,
    pub stores: Vec<SocketAddr>,
    pub fronts: Vec<SocketAddr>,
    pub doors: Vec<SocketAddr>,
    pub links: BTreeMap<(usize, usize), Link>,
    pub programs: Vec<Option<Program>>,
    pub lives: Vec<u32>,
    pub files: Vec<PathBuf>,
    pub counter: Counter,
    pub hosts: Vec<FrameHost>,
    pub set: Set,
    pub history: Arc<Mutex<History>>,
    pub over: Arc<AtomicBool>,
    pub helpers: Vec<JoinHandle<()>>,
    pub asked: Arc<Mutex<Asked>>,
}

impl Fleet {
    pub fn start(name: &str, count: usize) -> Fleet {
        Self::with(name, count, Set::default())
    }

    pub fn with(name: &str, count: usize, set: Set) -> Fleet {
        let host = |_| match &set.warmth {
            Some(warmth) => warming_host(warmth.clone()),
            None => FrameHost::start(|id| Say::Good(1, format!("value of {id}"))),
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
            fronts: (0..count).map(|_| free_address()).collect(),
            doors: (0..count).map(|_| free_address()).collect(),
            stores,
            programs: (0..count).map(|_| None).collect(),
            lives: vec![0; count],
            files: (0..count).map(file).collect(),
            counter: Counter::start(&hosts),
            hosts,
            set,
            history: Arc::default(),
            over: Arc::default(),
            helpers: Vec::new(),
            asked: Arc::default(),
        };
        fleet.clear();
        fleet.counter.mute.store(fleet.set.mute, Ordering::SeqCst);
        (0..count).for_each(|at| fleet.power_on(at));
        if fleet.set.warmth.is_none() {
            for at in 0..count {
                if fleet.set.versions.is_none() {
                    fleet.observe(at);
                }
                fleet.ask(at);
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
    pub fn key(&self, at: usize) -> String {
        format!("members/{}", self.gatherer(at))
    }

    pub fn gatherer(&self, at: usize) -> String {
        let name = self.set.named_as.get(&at).unwrap_or(&at);
        if self.set.versions.is_some() {
            format!("g{name}")
        } else {
            format!("g{name}-{}", self.lives[at])
        }
    }

    /// The folder of a gatherer's audit log.
    pub fn trail(&self, at: usize) -> PathBuf {
        self.files[at].with_extension("trail")
    }

    /// Runs `bitternsill fleet` against these gatherers; returns the output and whether the exit
    /// code was 0.
    pub fn call(&self, words: &[&str], at: &[usize]) -> (String, bool) {
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
        self.lives[at] += 1;
        let count = self.counter.count.load(Ordering::SeqCst);
        self.history
            .lock()
            .unwrap()
            .record_write(&self.key(at), count);
        let members: serde_json::Map<String, Value> = (0..self.stores.len())
            .map(|to| {
                let address = self
                    .links
                    .get(&(at, to))
                    .map_or(self.stores[at], |link| link.address);
                (to.to_string(), json!(address.to_string()))
            })
            .collect();
        let beside = self.files[at].with_extension("beside");
        let mut installed = json!({"store": {"member": at, "members": members, "begins": at == 0,
                                             "file": self.files[at], "test_sync_ms": 25}});
        if let Some(recovery) = &self.set.recovery {
            installed["recovery"] = recovery.clone();
        }
        if self.set.learning {
            let folder = self.files[at].with_extension("learned");
            std::fs::create_dir_all(&folder).unwrap();
            installed["learning"] = json!({"folder": folder, "period_ms": 500});
        }
        if let Some(versions) = &self.set.versions {
            installed["versions"] = versions.clone();
            installed["versions"]["trail"] = json!(self.trail(at));
        }
        std::fs::write(&beside, installed.to_string()).unwrap();
        let entry = |(cell, host): (usize, &FrameHost)| target(cell, host.address, "active");
        let targets: Vec<Value> = self.hosts.iter().enumerate().map(entry).collect();
        let known = if self.set.known {
            json!({"rev": 1, "all": true, "targets": targets})
        } else {
            Value::Null
        };
        let door = if self.set.doors {
            json!(self.doors[at].to_string())
        } else {
            Value::Null
        };
        let config = json!({
            "name": self.gatherer(at), "listen": self.fronts[at].to_string(), "admin": door,
            "discovery": self.counter.address.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "known": known, "settings": self.set.settings
        });
        let log = self.files[at].with_extension("log");
        let more = ["--operator".to_owned(), beside.display().to_string()];
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
    pub fn observe(&mut self, at: usize) {
        let (address, over, history) = (self.stores[at], self.over.clone(), self.history.clone());
        self.helpers.push(thread::spawn(move || {
            for look in (at as SessionId * 1_000_000).. {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                watch(address, Duration::from_millis(400), |key, value| {
                    if let Some(value) = counted(value) {
                        history.lock().unwrap().record_read(at, look, key, value);
                    }
                    !over.load(Ordering::SeqCst)
                });
                thread::sleep(Duration::from_millis(5));
            }
        }));
    }

    /// Starts a thread that sends one query after another. Each must get exactly one response in
    /// time, or its connection must end.
    pub fn ask(&mut self, at: usize) {
        let (address, over, asked) = (self.fronts[at], self.over.clone(), self.asked.clone());
        self.helpers.push(thread::spawn(move || {
            for number in 0.. {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                let begun = Instant::now();
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
                assert!(text.matches("HTTP/1.1 ").count() <= 1, "one answer: {text}");
                let mut asked = asked.lock().unwrap();
                match text.get(9..12) {
                    Some("200") => {
                        assert!(
                            text.contains("\"total\":true")
                                && text.contains(&format!("value of q{at}-{number}.2"))
                        );
                        asked.whole += 1;
                        asked.worst = asked.worst.max(begun.elapsed());
                    }
                    Some(_) => asked.refused += 1,
                    None => asked.closed += 1,
                }
                drop(asked);
                thread::sleep(Duration::from_millis(4));
            }
        }));
    }

    /// Queries with a response since the counts were last reset.
    pub fn answered(&self) -> u32 {
        let asked = self.asked.lock().unwrap();
        asked.whole + asked.refused
    }

    /// Increments the counter that discovery publishes to all running gatherers.
    pub fn count_up(&self) {
        let next = self.counter.count.load(Ordering::SeqCst) + 1;
        (0..self.lives.len()).for_each(|at| {
            self.history
                .lock()
                .unwrap()
                .record_write(&self.key(at), next)
        });
        self.counter.count.store(next, Ordering::SeqCst);
    }

    pub fn link(&self, from: usize, to: usize) -> &Link {
        &self.links[&(from, to)]
    }

    /// A power failure of all gatherers and index hosts, and the restart. Discovery, unless silent,
    /// publishes the new start time.
    pub fn blackout(&mut self) {
        let all: BTreeSet<usize> = (0..self.stores.len()).collect();
        self.power_off(&all);
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        self.counter.boot_ms.store(now, Ordering::SeqCst);
        self.count_up();
        if let Some(warmth) = &self.set.warmth {
            warmth.restart();
        }
        all.into_iter().for_each(|at| self.power_on(at));
    }

    pub fn heal(&self) {
        self.links
            .values()
            .for_each(|link| link.set(Flow::Open, Flow::Open));
    }

    pub fn befall(&mut self, fault: &Fault) {
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
    pub fn held(&self, at: usize) -> BTreeMap<String, u64> {
        let mut held = BTreeMap::new();
        watch(self.stores[at], Duration::from_millis(150), |key, value| {
            held.extend(counted(value).map(|value| (key.to_owned(), value)));
            true
        });
        held
    }

    /// Whether all members hold the same values, none below the highest that a watcher has seen.
    pub fn is_one(&self) -> bool {
        let shown = self.history.lock().unwrap().highest_read().clone();
        let held: Vec<_> = (0..self.stores.len()).map(|at| self.held(at)).collect();
        let enough = |held: &BTreeMap<String, u64>| {
            shown
                .iter()
                .all(|(key, value)| held.get(key).is_some_and(|held| held >= value))
        };
        held.iter().all(enough) && held.iter().all(|other| *other == held[0])
    }

    /// Waits until all members hold the latest counter value of every gatherer.
    pub fn settle(&self) -> Result<(), String> {
        self.count_up();
        let now = self.counter.count.load(Ordering::SeqCst);
        let until = Instant::now() + Duration::from_secs(30);
        loop {
            let all = |at: usize| {
                let held = self.held(at);
                (0..self.lives.len())
                    .all(|of| held.get(&self.key(of)).is_some_and(|held| *held >= now))
            };
            if (0..self.lives.len()).all(all) && self.is_one() {
                return Ok(());
            }
            if Instant::now() > until {
                let held: Vec<_> = (0..self.lives.len()).map(|at| self.held(at)).collect();
                let shown = self.history.lock().unwrap().highest_read().clone();
                return Err(format!(
                    "30 s after the last fault {held:?}; shown was {shown:?}; now {now}"
                ));
            }
        }
    }

    /// Stops clients and watchers and checks the recorded history; returns the query counts or the
    /// violations.
    pub fn judge(mut self) -> Result<Asked, String> {
        let settled = self.settle();
        self.over.store(true, Ordering::SeqCst);
        let held = (0..self.stores.len())
            .map(|at| (at, self.held(at)))
            .collect();
        for helper in self.helpers.drain(..) {
            helper
                .join()
                .map_err(|_| "a client or an observer saw what it must not".to_owned())?;
        }
        let history = std::mem::take(&mut *self.history.lock().unwrap());
        let shown = history.highest_read().len();
        let wrong = history.check(&held);
        settled?;
        if !wrong.is_empty() {
            return Err(wrong.iter().map(|wrong| format!("{wrong}; ")).collect());
        }
        assert!(shown >= self.stores.len(), "hardly anything was shown");
        let asked = *self.asked.lock().unwrap();
        self.programs.clear();
        self.clear();
        Ok(asked)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        // A stopped process (SIGSTOP) must not outlive the test.
        self.programs.clear();
        if thread::panicking() {
            eprintln!("the files of {} are left beside their logs", self.name);
        }
    }
}

/// Reads watch lines until the connection ends, nothing arrives for `quiet`, or `hear` returns
/// false.
pub fn watch(address: SocketAddr, quiet: Duration, mut hear: impl FnMut(&str, &str) -> bool) {
    let Ok(mut socket) = TcpStream::connect(address) else {
        return;
    };
    socket.set_read_timeout(Some(quiet)).unwrap();
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
        if !hear(key, value) {
            return;
        }
    }
}

//! Benchmarks of the catalogue front on loopback, with the stand-in index hosts of the integration
//! tests.
//!
//! cargo bench -p bitternsill --bench catalogue -- floor|pages|sessions|copies|memory
//!
//! Each prints one table. BITTERNSILL_PROGRAM selects another build of the program, for comparison.
#![allow(missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;

use common::standins::*;
use common::*;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SLICES: usize = 6;
const TICK_NS: u64 = 5_000_000;

/// Hosts that hold every slice, with `titles` titles in each.
fn hosts(titles: usize) -> Vec<Arc<HostScript>> {
    let own = |slice: usize| {
        (0..titles)
            .map(|n| format!("{:05} {slice}", n * 7919 % 99_991))
            .collect::<Vec<_>>()
    };
    let all: Vec<Vec<String>> = (0..SLICES).map(own).collect();
    let host = |_| {
        let titles: Vec<(usize, Vec<&str>)> = all
            .iter()
            .enumerate()
            .map(|(n, t)| (n, t.iter().map(String::as_str).collect()))
            .collect();
        let borrowed: Vec<(usize, &[&str])> =
            titles.iter().map(|(n, t)| (*n, t.as_slice())).collect();
        let script = HostScript::with(&borrowed);
        // The SRU version that every build supports.
        *script.version.lock().unwrap() = "1.1";
        script
    };
    (0..SLICES).map(host).collect()
}

fn settings(tick: Option<u64>, open: u32) -> Value {
    let mut settings = sliced_settings(SLICES as u32, 2);
    settings["limits"]["max_open"] = json!(open);
    if let Some(tick) = tick {
        settings["tick"] = json!(tick);
    }
    settings
}

/// The processor time that the program has used, in seconds.
fn cpu(catalogue: &Catalogue) -> f64 {
    let stat =
        std::fs::read_to_string(format!("/proc/{}/stat", catalogue.program.child.id())).unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    // The fields utime and stime, in hundredths of a second.
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
}

/// The program's resident memory, in kB.
fn memory(catalogue: &Catalogue) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", catalogue.program.child.id())).unwrap();
    let line = status
        .lines()
        .find(|l| l.starts_with("VmRSS"))
        .unwrap()
        .to_owned();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap()
}

fn ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

/// A persistent SRU connection.
struct Client(TcpStream);

impl Client {
    fn open(catalogue: &Catalogue) -> Client {
        let socket = TcpStream::connect(catalogue.sru).unwrap();
        socket.set_nodelay(true).unwrap();
        Client(socket)
    }

    fn get(&mut self, target: &str) -> String {
        self.0
            .write_all(format!("GET {target} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes())
            .unwrap();
        read_response(&mut self.0)
    }
}

/// The latency of a search on an idle program, and the processor time of a search under load.
fn floor() {
    println!("speaks  tick   p50 ms  p99 ms   busy: searches/s  cpu ms/search");
    for speak in ["sru", "z3950"] {
        for tick in [Some(TICK_NS), None] {
            let catalogue =
                Catalogue::start_with(speak, hosts(20), settings(tick, 4000), json!({}));
            let mut client = Client::open(&catalogue);
            let mut times = histogram();
            for n in 0..600 {
                let start = Instant::now();
                let answer = client.get("/comics?query=moon");
                assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
                if n >= 100 {
                    times.record(start.elapsed().as_micros() as u64).unwrap();
                }
            }
            let (stop, served) = (
                Arc::new(AtomicBool::new(false)),
                Arc::new(AtomicUsize::new(0)),
            );
            let clients: Vec<Client> = (0..48).map(|_| Client::open(&catalogue)).collect();
            let (began, used) = (Instant::now(), cpu(&catalogue));
            let threads: Vec<_> = clients
                .into_iter()
                .map(|mut client| {
                    let (stop, served) = (stop.clone(), served.clone());
                    thread::spawn(move || {
                        while !stop.load(Ordering::Relaxed) {
                            if client.get("/comics?query=moon").starts_with("HTTP/1.1 200") {
                                served.fetch_add(1, Ordering::Relaxed);
                            }
                        }
                    })
                })
                .collect();
            thread::sleep(Duration::from_secs(4));
            stop.store(true, Ordering::Relaxed);
            threads.into_iter().for_each(|t| t.join().unwrap());
            let (took, used) = (began.elapsed().as_secs_f64(), cpu(&catalogue) - used);
            let served = count(&served) as f64;
            println!(
                "{speak:6}  {:5}  {:6.2}  {:6.2}   {:16.0}  {:13.3}",
                if tick.is_some() { "5 ms" } else { "open" },
                ms(&times, 0.5),
                ms(&times, 0.99),
                served / took,
                1000.0 * used / served
            );
        }
    }
}

/// Records fetched from hosts for each record delivered, on pages of ten records.
fn pages() {
    println!("order     page  delivered  fetched  fetched/delivered");
    for (order, keys) in [("slices", ""), ("by title", "&sortKeys=title")] {
        let hosts = hosts(200);
        let catalogue =
            Catalogue::start_with("z3950", hosts, settings(Some(TICK_NS), 4000), json!({}));
        let fetched_so_far = || {
            catalogue
                .scripts
                .iter()
                .map(|s| count(&s.records_sent))
                .sum::<usize>()
        };
        // The first pages are read in sequence, then page 50 by a jump.
        for page in [1, 2, 3, 4, 5, 50, 51] {
            let before = fetched_so_far();
            let start = 10 * (page - 1) + 1;
            let target = format!(
                "/comics?version=1.1&operation=searchRetrieve&query=moon&startRecord={start}{keys}"
            );
            let answer = catalogue.sru(&target);
            let delivered = titles(&answer).len();
            let fetched = fetched_so_far() - before;
            let why = between(&answer, "<uri>", "</uri>").unwrap_or_default();
            println!(
                "{order:8}  {page:4}  {delivered:9}  {fetched:7}  {:17.2} {why}",
                fetched as f64 / delivered.max(1) as f64
            );
        }
    }
}

/// Many sessions, a tenth of them active: memory per session, and the latency of a search with a
/// page, with healthy hosts and with a third of the hosts frozen for half a second every two
/// seconds.
fn sessions() {
    const OPEN: usize = 2000;
    const ACTIVE: usize = 200;
    println!(
        "hosts     sessions  kB/session  p50 ms  p99 ms  max ms  asked  answered  refused  failed"
    );
    for with_freezes in [false, true] {
        let hosts = hosts(50);
        hosts
            .iter()
            .for_each(|h| h.delay.store(2, Ordering::SeqCst));
        let catalogue = Arc::new(Catalogue::start_with(
            "z3950",
            hosts,
            settings(None, 20_000),
            json!({"sockets": 8192}),
        ));
        let before = memory(&catalogue);
        let mut readers: Vec<Z3950Client> = (0..OPEN)
            .map(|_| Z3950Client::open(catalogue.z3950))
            .collect();
        for reader in &mut readers {
            assert!(reader.search("comics", "moon", 0).contains("unit 23"));
        }
        let each = (memory(&catalogue) - before) as f64 / OPEN as f64;
        let stop = Arc::new(AtomicBool::new(false));
        let freezer = with_freezes.then(|| {
            let (catalogue, stop) = (catalogue.clone(), stop.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let until = Instant::now() + Duration::from_millis(500);
                    for host in [1, 4] {
                        *catalogue.scripts[host].paused_until.lock().unwrap() = Some(until);
                    }
                    thread::sleep(Duration::from_secs(2));
                }
            })
        });
        let times = Arc::new(Mutex::new(histogram()));
        let ends: Arc<[AtomicUsize; 4]> = Arc::default();
        let begin = Instant::now() + Duration::from_millis(200);
        let threads: Vec<_> = readers
            .drain(..ACTIVE)
            .enumerate()
            .map(|(number, mut reader)| {
                let (times, ends) = (times.clone(), ends.clone());
                thread::spawn(move || {
                    // Open loop: each session sends once a second at predetermined times, however
                    // long answers take.
                    for turn in 0..12u32 {
                        let due = begin
                            + Duration::from_secs(1) * turn
                            + Duration::from_millis(5 * number as u64);
                        if let Some(wait) = due.checked_duration_since(Instant::now()) {
                            thread::sleep(wait);
                        }
                        for part in 0..2 {
                            ends[0].fetch_add(1, Ordering::Relaxed);
                            let said = if part == 0 {
                                reader.search("comics", "moon", 0)
                            } else {
                                reader.present(11, 10)
                            };
                            let end = match () {
                                () if said.contains("success true")
                                    || said.contains("present status 0") =>
                                {
                                    1
                                }
                                () if said.ends_with("diagnostic 2") => 2,
                                () => 3,
                            };
                            ends[end].fetch_add(1, Ordering::Relaxed);
                        }
                        let took = due.elapsed().as_micros() as u64;
                        times.lock().unwrap().record(took).unwrap();
                    }
                    // No further data may arrive: each request has had its one answer.
                    reader
                        .socket
                        .set_read_timeout(Some(Duration::from_millis(50)))
                        .unwrap();
                    let mut byte = [0; 1];
                    assert!(
                        std::io::Read::read(&mut reader.socket, &mut byte).is_err(),
                        "a second answer"
                    );
                })
            })
            .collect();
        threads.into_iter().for_each(|t| t.join().unwrap());
        stop.store(true, Ordering::Relaxed);
        if let Some(freezer) = freezer {
            freezer.join().unwrap();
        }
        let times = times.lock().unwrap();
        let ends: Vec<usize> = ends.iter().map(count).collect();
        println!(
            "{:8}  {OPEN:8}  {each:10.1}  {:6.1}  {:6.1}  {:6.1}  {:5}  {:8}  {:7}  {:6}",
            if with_freezes { "2 of 6" } else { "calm" },
            ms(&times, 0.5),
            ms(&times, 0.99),
            ms(&times, 1.0),
            ends[0],
            ends[1],
            ends[2],
            ends[3]
        );
    }
}

/// Connections opened to hosts during 1,000 searches, while one answer in fifty is slow and copies
/// of requests are sent.
fn copies() {
    println!("speaks  searches  answered  connections before  made meanwhile");
    for speak in ["sru", "z3950"] {
        let hosts = hosts(20);
        hosts
            .iter()
            .for_each(|h| *h.periodic_delay.lock().unwrap() = (50, 120));
        let catalogue = Arc::new(Catalogue::start_with(
            speak,
            hosts,
            settings(Some(TICK_NS), 4000),
            json!({}),
        ));
        let made = || {
            catalogue
                .scripts
                .iter()
                .map(|s| count(&s.connections))
                .sum::<usize>()
        };
        let run = |searches: usize| {
            let answered = Arc::new(AtomicUsize::new(0));
            let threads: Vec<_> = (0..8)
                .map(|_| {
                    let (catalogue, answered) = (catalogue.clone(), answered.clone());
                    thread::spawn(move || {
                        let mut client = Client::open(&catalogue);
                        for _ in 0..searches / 8 {
                            if client.get("/comics?query=moon").starts_with("HTTP/1.1 200") {
                                answered.fetch_add(1, Ordering::Relaxed);
                            }
                        }
                    })
                })
                .collect();
            threads.into_iter().for_each(|t| t.join().unwrap());
            count(&answered)
        };
        run(400);
        let before = made();
        let answered = run(1000);
        println!(
            "{speak:6}  {:8}  {answered:8}  {before:18}  {:14}",
            1000,
            made() - before
        );
    }
}

/// The memory of the program with the platform's front, before any request.
fn idle() {
    let host = FrameHost::start(|_| PartReply::Good(1, "x".to_owned()));
    let platform = Platform::start(common::settings(), vec![host]);
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", platform.program.child.id())).unwrap();
    for line in status
        .lines()
        .filter(|l| l.starts_with("VmRSS") || l.starts_with("VmHWM"))
    {
        println!("{line}");
    }
}

fn main() {
    // Flags are skipped: cargo adds one.
    match std::env::args()
        .skip(1)
        .find(|a| !a.starts_with("--"))
        .as_deref()
    {
        Some("floor") => floor(),
        Some("pages") => pages(),
        Some("sessions") => sessions(),
        Some("copies") => copies(),
        Some("memory") => idle(),
        _ => eprintln!("name a benchmark: floor, pages, sessions, copies or memory"),
    }
}

//! Stories of daily operations: the door, hosts out by hand, drains and upgrades, on loopback.

mod common;

use common::*;
use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A gatherer with a door, and a folder that its processes share.
struct Served {
    platform: Platform,
    door: SocketAddr,
    folder: PathBuf,
}

impl Drop for Served {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn hosts() -> Vec<FrameHost> {
    (1..=3).map(|score| FrameHost::start(move |id| Say::Good(score, format!("value of {id}")))).collect()
}

fn start(settings: Value, hosts: Vec<FrameHost>, descriptors: u32) -> Served {
    let targets = hosts.iter().enumerate().map(|(i, h)| target(i, h.address, "active")).collect();
    let (address, door, discovery) = (free_address(), free_address(), Discovery::start(targets));
    let folder = std::env::temp_dir().join(format!("bitternsill-shared-{}", address.ip()));
    std::fs::create_dir_all(&folder).unwrap();
    let config = json!({
        "name": "n0", "listen": address.to_string(), "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 48, "sockets": descriptors},
        "admin": door.to_string(), "known": null, "settings": settings
    });
    let program = run(&config, &folder, descriptors);
    let served = Served { platform: Platform { program, address, discovery, hosts, config }, door, folder };
    eventually("ready", || call(door, "GET", "ready", "").starts_with("HTTP/1.1 200"));
    served
}

fn run(config: &Value, folder: &std::path::Path, descriptors: u32) -> Program {
    let shell = format!("export TMPDIR={}; ulimit -n {descriptors}", folder.display());
    Program::start_in(&shell, "--config", config, &[])
}

impl Served {
    /// A second process beside the first, with a door of its own; returns once it takes clients.
    fn upgrade(&self) -> (Program, SocketAddr) {
        let mut config = self.platform.config.clone();
        let door = free_address();
        config["admin"] = json!(door.to_string());
        let program = run(&config, &self.folder, 256);
        eventually("the next is ready", || call(door, "GET", "ready", "").starts_with("HTTP/1.1 200"));
        (program, door)
    }

    fn seen(&self, host: usize) -> usize {
        self.platform.hosts[host].seen().len()
    }
}

fn text(method: &str, path: &str, body: &str) -> String {
    format!("{method} /api/{path} HTTP/1.1\r\nHost: door\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Makes a call; the answer, or nothing where there is no door.
fn call(door: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let Ok(mut socket) = TcpStream::connect(door) else { return String::new() };
    socket.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    socket.write_all(text(method, path, body).as_bytes()).unwrap();
    read_response(&mut socket)
}

fn post(door: SocketAddr, path: &str, member: &str) -> String {
    call(door, "POST", path, &json!({"member": member}).to_string())
}

#[test]
fn the_door_answers_while_callers_say_nothing_and_clients_hold_every_descriptor() {
    // Told of more descriptors than there are, the program runs out of them.
    let served = start(settings(), hosts(), 96);
    let mut crowd = Vec::new();
    for _ in 0..400 {
        crowd.extend(TcpStream::connect_timeout(&served.platform.address, Duration::from_millis(200)).ok());
    }
    let mute: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(served.door).unwrap()).collect();
    for round in 0..20 {
        let start = Instant::now();
        let answer = call(served.door, "GET", "ready", "");
        assert!(answer.starts_with("HTTP/1.1 200"), "round {round}: {answer}");
        assert!(start.elapsed() < Duration::from_secs(1), "round {round}: {:?}", start.elapsed());
    }
    drop((crowd, mute));
    assert!(served.platform.ask("after", "page", &[0]).starts_with("HTTP/1.1 200"));
}

#[test]
fn a_call_is_understood_from_any_split_of_its_bytes_and_what_is_none_is_told_why() {
    let served = start(settings(), hosts(), 256);
    let whole = text("POST", "exclude", r#"{"member":"s-1"}"#);
    for at in 1..whole.len() {
        let mut socket = TcpStream::connect(served.door).unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        socket.write_all(&whole.as_bytes()[..at]).unwrap();
        // The gatherer has read the first piece once it answers another call.
        assert!(call(served.door, "GET", "ready", "").starts_with("HTTP/1.1 200"));
        socket.write_all(&whole.as_bytes()[at..]).unwrap();
        let answer = read_response(&mut socket);
        assert!(answer.starts_with("HTTP/1.1 200"), "cut at {at}: {answer}");
        let mut rest = String::new();
        assert!(answer.contains("Connection: close") && socket.read_to_string(&mut rest).is_ok());
    }
    let calls = [
        ("GET", "nothing", ""),
        ("GET", "exclude", ""),
        ("POST", "ready", ""),
        ("POST", "exclude", ""),
        ("POST", "exclude", "{\"member\":"),
        ("POST", "exclude", "{\"host\":\"s-1\"}"),
        ("POST", "exclude", "{\"member\":7}"),
        ("POST", "exclude", "{\"member\":\"\"}"),
        ("POST", "exclude", "{\"member\":\"s-9\"}"),
        ("POST", "include", "{\"member\":\"s-9\"}"),
        ("POST", "include", "{\"member\":\"s-1\"}"),
        ("POST", "rejoin", ""),
    ];
    let said = calls.map(|(method, path, body)| {
        let answer = call(served.door, method, path, body);
        let line = answer.lines().next().unwrap_or_default().to_owned();
        let allow = answer.lines().find(|l| l.starts_with("Allow")).unwrap_or_default().to_owned();
        let words = answer.split("\n\n").nth(1).unwrap_or_default().trim().to_owned();
        format!("{method} {path} {body}: {line} {allow} {words}")
    });
    insta::assert_snapshot!(said.join("\n"));
    let huge = call(served.door, "POST", "exclude", &format!("{{\"member\":\"{}\"}}", "x".repeat(100_000)));
    assert!(huge.starts_with("HTTP/1.1 413"), "{huge}");
    // A refused length is answered before the rest comes; one without a length has no body.
    let program = env!("CARGO_BIN_EXE_bitternsill");
    let cli = |args: &[&str]| {
        let run = Command::new(program).arg("admin").args(args).output().unwrap();
        let words = String::from_utf8_lossy(&[run.stdout, run.stderr].concat()).trim().to_owned();
        (run.status.success(), words)
    };
    let at = format!("--at={}", served.door);
    assert_eq!(cli(&["exclude", "s-2", &at]), (true, "out".to_owned()));
    assert_eq!(cli(&["exclude", "s-7", &at]), (false, "bitternsill: no: no index host `s-7`".to_owned()));
    let (ok, words) = cli(&["ready", "--at=127.0.0.1:1"]);
    assert!(!ok && words.contains("refused"), "{words}");
}

#[test]
fn a_host_out_by_hand_gets_nothing_new_whatever_discovery_says_and_then_serves_again() {
    let served = start(settings(), hosts(), 256);
    let ask = |id: &str, shard: u32| served.platform.ask(id, "page", &[shard]);
    for i in 0..12 {
        assert!(ask(&format!("a{i}"), i % 3).starts_with("HTTP/1.1 200"));
    }
    assert!(served.seen(1) > 0);
    assert!(post(served.door, "exclude", "s-1").starts_with("HTTP/1.1 200"));
    assert!(post(served.door, "exclude", "s-1").starts_with("HTTP/1.1 200"), "the call may come twice");
    let before = served.seen(1);
    for i in 0..12 {
        assert!(ask(&format!("b{i}"), i % 3).starts_with("HTTP/1.1 200"));
    }
    // It leaves, comes back under the same id, started anew: none of that is a call back.
    let line = |state: &str, boot: u64| {
        let mut line = target(1, served.platform.hosts[1].address, state);
        line["boot_ms"] = json!(boot);
        line
    };
    for (version, state, boot) in
        [(2, "left", 0), (3, "active", 1_700_000_000_000), (4, "leaving", 0), (5, "active", 0)]
    {
        served.platform.discovery.tell(version, vec![line(state, boot)]);
        for i in 0..6 {
            assert!(ask(&format!("c{version}{i}"), i % 3).starts_with("HTTP/1.1 200"));
        }
    }
    // Nor is an upgrade; and the process that follows answers the call back for both.
    let (next, door) = served.upgrade();
    for i in 0..24 {
        assert!(ask(&format!("d{i}"), i % 3).starts_with("HTTP/1.1 200"));
    }
    assert_eq!(served.seen(1), before, "{:?}", served.platform.hosts[1].seen());
    assert!(post(door, "include", "s-1").starts_with("HTTP/1.1 200"), "one call undoes both");
    let start = Instant::now();
    while served.seen(1) == before {
        assert!(start.elapsed() < Duration::from_secs(5), "not used again");
        ask(&format!("e{:?}", start.elapsed()), 0);
    }
    drop(next);
    // The first process has heard of it as well.
    let before = served.seen(1);
    let start = Instant::now();
    while served.seen(1) == before {
        assert!(start.elapsed() < Duration::from_secs(5), "not used again by the first");
        ask(&format!("f{:?}", start.elapsed()), 0);
    }
}

#[test]
fn work_that_waits_for_a_connection_does_not_reach_a_host_taken_out_meanwhile() {
    // The host of cell 0 answers nothing at first, so that copies and further attempts are due; then it is taken out.
    let mut all = hosts();
    all[0] = FrameHost::start(|_| Say::Nothing);
    let served = start(settings(), all, 256);
    let (address, answers) = (served.platform.address, std::sync::mpsc::channel());
    for i in 0..8 {
        let tell = answers.0.clone();
        thread::spawn(move || {
            let mut socket = TcpStream::connect(address).unwrap();
            socket.write_all(query(&format!("q{i}"), "page", &[0, 2], "").as_bytes()).unwrap();
            let _ = tell.send(read_response(&mut socket));
        });
    }
    eventually("parts are out", || served.seen(0) > 0);
    assert!(post(served.door, "exclude", "s-0").starts_with("HTTP/1.1 200"));
    let parts = |seen: Vec<String>| seen.iter().filter(|line| !line.starts_with("given up")).count();
    let before = parts(served.platform.hosts[0].seen());
    for _ in 0..8 {
        let answer = answers.1.recv_timeout(Duration::from_secs(5)).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    assert_eq!(parts(served.platform.hosts[0].seen()), before, "{:?}", served.platform.hosts[0].seen());
}

#[test]
fn a_drain_lets_every_request_end_holds_no_client_and_is_undone() {
    let served = start(settings(), hosts(), 256);
    let health = || served.platform.say("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n");
    let mut kept = served.platform.connect();
    let mut served_once = served.platform.connect();
    let mut half = served.platform.connect();
    let mute = served.platform.connect();
    kept.write_all(query("k1", "page", &[0], "").as_bytes()).unwrap();
    assert!(!read_response(&mut kept).contains("Connection: close"));
    served_once.write_all(query("o1", "page", &[0], "").as_bytes()).unwrap();
    read_response(&mut served_once);
    half.write_all(b"POST /api HTTP/1.1\r\nX-Call").unwrap();
    assert!(call(served.door, "POST", "evacuate", "").starts_with("HTTP/1.1 200"));
    let began = Instant::now();
    assert!(health().starts_with("HTTP/1.1 503"), "health says no at once");
    assert!(call(served.door, "POST", "evacuate", "").starts_with("HTTP/1.1 200"), "twice is once");
    // A client that asks on and on is served until its connection is closed with an answer, and never without one.
    let mut asked = 0;
    loop {
        asked += 1;
        kept.write_all(query(&format!("l{asked}"), "page", &[0], "").as_bytes()).unwrap();
        let answer = read_response(&mut kept);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        if answer.contains("Connection: close") {
            break;
        }
    }
    // New connections are still served, one request each.
    let late = served.platform.ask("late", "page", &[0]);
    assert!(late.starts_with("HTTP/1.1 200"), "{late}");
    let closed = |mut socket: TcpStream| {
        let mut rest = String::new();
        socket.read_to_string(&mut rest).map(|_| rest)
    };
    assert_eq!(closed(served_once).unwrap(), "", "an idle one is closed");
    assert_eq!(closed(mute).unwrap(), "");
    let told = closed(half).unwrap();
    assert!(told.starts_with("HTTP/1.1 503"), "half a request may be sent elsewhere: {told}");
    assert!(began.elapsed() < Duration::from_secs(2), "held for {:?}", began.elapsed());
    assert!(call(served.door, "GET", "ready", "").starts_with("HTTP/1.1 503"));
    assert!(call(served.door, "POST", "rejoin", "").starts_with("HTTP/1.1 200"));
    assert!(health().starts_with("HTTP/1.1 200"), "health says yes at once");
    let mut again = served.platform.connect();
    again.write_all(query("again", "page", &[0], "").as_bytes()).unwrap();
    assert!(!read_response(&mut again).contains("Connection: close"), "connections are kept again");
}

/// Asks on new connections, one after the other, until told to stop; how many were served, and how many met a connection
/// that was refused, reset or closed without an answer.
fn knock(address: SocketAddr, name: String, stop: &AtomicBool, all: &AtomicU32) -> Vec<String> {
    let (mut served, mut met) = (0, Vec::new());
    while !stop.load(Ordering::SeqCst) {
        let asked = TcpStream::connect(address).and_then(|mut socket| {
            socket.set_read_timeout(Some(Duration::from_secs(5)))?;
            socket.write_all(query(&format!("{name}-{served}"), "page", &[0], "").as_bytes())?;
            let answer = read_response(&mut socket);
            if answer.starts_with("HTTP/1.1 ") { Ok(()) } else { Err(ErrorKind::UnexpectedEof.into()) }
        });
        match asked {
            Ok(()) => {
                served += 1;
                all.fetch_add(1, Ordering::SeqCst);
            }
            Err(problem) => met.push(format!("{name}-{served}: {problem}")),
        }
    }
    met
}

#[test]
fn upgrades_under_load_leave_no_connection_behind() {
    let served = start(settings(), hosts(), 256);
    let (address, stop, all) = (served.platform.address, AtomicBool::new(false), AtomicU32::new(0));
    let (mut met, mut upgrades) = (Vec::new(), 0);
    thread::scope(|scope| {
        let (stop, all) = (&stop, &all);
        let knock = |n| scope.spawn(move || knock(address, format!("k{n}"), stop, all));
        let knocking: Vec<_> = (0..16).map(knock).collect();
        let some_more = || {
            let before = all.load(Ordering::SeqCst);
            eventually("more are served", || all.load(Ordering::SeqCst) > before + 100);
        };
        some_more();
        let mut running = vec![served.upgrade().0];
        served.platform.program.signal("TERM");
        for _ in 0..8 {
            some_more();
            let (next, _) = served.upgrade();
            running.last().unwrap().signal("TERM");
            // The one told to end is left to do so.
            running.push(next);
            upgrades += 1;
        }
        some_more();
        stop.store(true, Ordering::SeqCst);
        met.extend(knocking.into_iter().flat_map(|knocker| knocker.join().unwrap()));
    });
    let all = all.into_inner();
    assert!(met.len() <= 1, "{upgrades} upgrades, {all} served, {} met a closed door: {met:?}", met.len());
}

#[test]
fn whoever_waits_in_the_queue_of_a_process_told_to_end_is_answered() {
    let served = start(settings(), hosts(), 512);
    let old = &served.platform.program;
    let (next, _) = served.upgrade();
    // While it stands still a good half of two hundred connections gathers in its queue: more than one round accepts.
    old.signal("STOP");
    let mut waiting: Vec<TcpStream> = (0..200).map(|_| served.platform.connect()).collect();
    for (n, socket) in waiting.iter_mut().enumerate() {
        socket.write_all(query(&format!("w{n}"), "page", &[0], "").as_bytes()).unwrap();
    }
    old.signal("TERM");
    old.signal("CONT");
    let answers: Vec<String> = waiting.iter_mut().map(read_response).collect();
    let unread = answers.iter().filter(|answer| !answer.starts_with("HTTP/1.1 ")).count();
    assert_eq!(unread, 0, "of 200 that had connected");
    drop(next);
}

//! Operations: the admin address, excluded hosts, drains, reloads and upgrades.

mod common;

use common::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A gatherer with an admin address and a folder that its processes share.
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
    (1..=3)
        .map(|score| FrameHost::start(move |id| Say::Good(score, format!("value of {id}"))))
        .collect()
}

fn start(settings: Value, hosts: Vec<FrameHost>, descriptors: u32) -> Served {
    let targets = hosts
        .iter()
        .enumerate()
        .map(|(i, h)| target(i, h.address, "active"))
        .collect();
    let (address, door, discovery) = (free_address(), free_address(), Discovery::start(targets));
    let folder = std::env::temp_dir().join(format!("bitternsill-shared-{}", address.ip()));
    std::fs::create_dir_all(&folder).unwrap();
    let config = json!({
        "name": "n0", "listen": address.to_string(), "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 48, "sockets": descriptors},
        "admin": door.to_string(), "known": null, "settings": settings
    });
    let program = run(&config, &folder, descriptors);
    let served = Served {
        platform: Platform {
            program,
            address,
            discovery,
            hosts,
            config,
        },
        door,
        folder,
    };
    eventually("ready", || {
        call(door, "GET", "ready", "").starts_with("HTTP/1.1 200")
    });
    served
}

fn run(config: &Value, folder: &std::path::Path, descriptors: u32) -> Program {
    let shell = format!(
        "export TMPDIR={}; ulimit -n {descriptors}",
        folder.display()
    );
    Program::start_in(&shell, "--config", config, &[])
}

impl Served {
    /// Starts a second process next to the first, with its own admin address; returns once it
    /// accepts clients.
    fn upgrade(&self) -> (Program, SocketAddr) {
        let mut config = self.platform.config.clone();
        let door = free_address();
        config["admin"] = json!(door.to_string());
        let program = run(&config, &self.folder, 256);
        eventually("the next is ready", || {
            call(door, "GET", "ready", "").starts_with("HTTP/1.1 200")
        });
        (program, door)
    }

    fn seen(&self, host: usize) -> usize {
        self.platform.hosts[host].seen().len()
    }
}

fn text(method: &str, path: &str, body: &str) -> String {
    format!(
        "{method} /api/{path} HTTP/1.1\r\nHost: door\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends an admin request; returns the response, or an empty string if the connection is refused.
fn call(door: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let Ok(mut socket) = TcpStream::connect(door) else {
        return String::new();
    };
    socket
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    socket
        .write_all(text(method, path, body).as_bytes())
        .unwrap();
    read_response(&mut socket)
}

fn post(door: SocketAddr, path: &str, member: &str) -> String {
    call(door, "POST", path, &json!({"member": member}).to_string())
}

#[test]
fn the_door_answers_while_callers_say_nothing_and_clients_hold_every_descriptor() {
    let served = start(settings(), hosts(), 256);
    let pid = served.platform.program.child.id();
    let crowd: Vec<TcpStream> = (0..30).map(|_| served.platform.connect()).collect();
    // By then the connections of the readiness checks are closed and leave no free descriptor.
    let count = || {
        std::fs::read_dir(format!("/proc/{pid}/fd"))
            .unwrap()
            .count()
    };
    let mut still = (0, Instant::now());
    eventually("nothing closes any more", || {
        if count() != still.0 {
            still = (count(), Instant::now());
        }
        still.1.elapsed() > Duration::from_millis(700)
    });
    // From here on the process can open no further descriptor.
    let held = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap();
    let held: Vec<u32> = held
        .filter_map(|fd| fd.ok()?.file_name().to_str()?.parse().ok())
        .collect();
    let limit = format!("--nofile={}", (0..).find(|fd| !held.contains(fd)).unwrap());
    let lowered = Command::new("prlimit")
        .args([&format!("--pid={pid}"), &limit])
        .status();
    assert!(lowered.unwrap().success());
    let mute: Vec<TcpStream> = (0..20)
        .map(|_| TcpStream::connect(served.door).unwrap())
        .collect();
    for round in 0..20 {
        let start = Instant::now();
        let answer = call(served.door, "GET", "ready", "");
        assert!(
            answer.starts_with("HTTP/1.1 200"),
            "round {round}: {answer}"
        );
        assert!(
            start.elapsed() < Duration::from_secs(1),
            "round {round}: {:?}",
            start.elapsed()
        );
    }
    drop((crowd, mute));
    eventually("clients are served again", || {
        served
            .platform
            .say("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
            .starts_with("HTTP/1.1 200")
    });
}

#[test]
fn a_call_is_understood_from_any_split_of_its_bytes_and_what_is_none_is_told_why() {
    let served = start(settings(), hosts(), 256);
    let whole = text("POST", "exclude", r#"{"member":"s-1"}"#);
    for at in 1..whole.len() {
        let mut socket = TcpStream::connect(served.door).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        socket.write_all(&whole.as_bytes()[..at]).unwrap();
        // By the time it answers another request, the gatherer has read the first piece.
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
        let allow = answer
            .lines()
            .find(|l| l.starts_with("Allow"))
            .unwrap_or_default()
            .to_owned();
        let words = answer
            .split("\n\n")
            .nth(1)
            .unwrap_or_default()
            .trim()
            .to_owned();
        format!("{method} {path} {body}: {line} {allow} {words}")
    });
    insta::assert_snapshot!(said.join("\n"));
    let huge = call(
        served.door,
        "POST",
        "exclude",
        &format!("{{\"member\":\"{}\"}}", "x".repeat(100_000)),
    );
    assert!(huge.starts_with("HTTP/1.1 413"), "{huge}");
    // A refused length is answered before the body arrives; a request without a length has no body.
    let program = env!("CARGO_BIN_EXE_bitternsill");
    let cli = |args: &[&str]| {
        let run = Command::new(program)
            .arg("admin")
            .args(args)
            .output()
            .unwrap();
        let words = String::from_utf8_lossy(&[run.stdout, run.stderr].concat())
            .trim()
            .to_owned();
        (run.status.success(), words)
    };
    let at = format!("--at={}", served.door);
    assert_eq!(cli(&["exclude", "s-2", &at]), (true, "out".to_owned()));
    assert_eq!(
        cli(&["exclude", "s-7", &at]),
        (false, "bitternsill: no: no index host `s-7`".to_owned())
    );
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
    assert!(
        post(served.door, "exclude", "s-1").starts_with("HTTP/1.1 200"),
        "the call may come twice"
    );
    let before = served.seen(1);
    for i in 0..12 {
        assert!(ask(&format!("b{i}"), i % 3).starts_with("HTTP/1.1 200"));
    }
    // The host leaves and returns under the same id with a new start time. None of this includes it
    // again.
    let line = |state: &str, boot: u64| {
        let mut line = target(1, served.platform.hosts[1].address, state);
        line["boot_ms"] = json!(boot);
        line
    };
    for (version, state, boot) in [
        (2, "left", 0),
        (3, "active", 1_700_000_000_000),
        (4, "leaving", 0),
        (5, "active", 0),
    ] {
        served
            .platform
            .discovery
            .tell(version, vec![line(state, boot)]);
        for i in 0..6 {
            assert!(ask(&format!("c{version}{i}"), i % 3).starts_with("HTTP/1.1 200"));
        }
    }
    // An upgrade does not include it either, and an include call to the new process applies to
    // both.
    let (next, door) = served.upgrade();
    for i in 0..24 {
        assert!(ask(&format!("d{i}"), i % 3).starts_with("HTTP/1.1 200"));
    }
    assert_eq!(
        served.seen(1),
        before,
        "{:?}",
        served.platform.hosts[1].seen()
    );
    assert!(
        post(door, "include", "s-1").starts_with("HTTP/1.1 200"),
        "one call undoes both"
    );
    let start = Instant::now();
    while served.seen(1) == before {
        assert!(start.elapsed() < Duration::from_secs(5), "not used again");
        ask(&format!("e{:?}", start.elapsed()), 0);
    }
    drop(next);
    // The first process has received the call as well.
    let before = served.seen(1);
    let start = Instant::now();
    while served.seen(1) == before {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "not used again by the first"
        );
        ask(&format!("f{:?}", start.elapsed()), 0);
    }
}

#[test]
fn work_that_waits_for_a_connection_does_not_reach_a_host_taken_out_meanwhile() {
    // The host of cell 0 does not answer at first, so that hedges and further attempts are due;
    // then it is excluded.
    let mut all = hosts();
    all[0] = FrameHost::start(|_| Say::Nothing);
    let served = start(settings(), all, 256);
    let (address, answers) = (served.platform.address, std::sync::mpsc::channel());
    for i in 0..8 {
        let tell = answers.0.clone();
        thread::spawn(move || {
            let mut socket = TcpStream::connect(address).unwrap();
            socket
                .write_all(query(&format!("q{i}"), "page", &[0, 2], "").as_bytes())
                .unwrap();
            let _ = tell.send(read_response(&mut socket));
        });
    }
    eventually("parts are out", || served.seen(0) > 0);
    assert!(post(served.door, "exclude", "s-0").starts_with("HTTP/1.1 200"));
    let parts = |seen: Vec<String>| {
        seen.iter()
            .filter(|line| !line.starts_with("given up"))
            .count()
    };
    let before = parts(served.platform.hosts[0].seen());
    for _ in 0..8 {
        let answer = answers.1.recv_timeout(Duration::from_secs(5)).unwrap();
        assert!(
            answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 503"),
            "{answer}"
        );
    }
    assert_eq!(
        parts(served.platform.hosts[0].seen()),
        before,
        "{:?}",
        served.platform.hosts[0].seen()
    );
}

#[test]
fn a_drain_lets_every_request_end_holds_no_client_and_is_undone() {
    let served = start(settings(), hosts(), 256);
    let health = || {
        served
            .platform
            .say("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
    };
    let mut kept = served.platform.connect();
    let mut served_once = served.platform.connect();
    let mut half = served.platform.connect();
    let mute = served.platform.connect();
    kept.write_all(query("k1", "page", &[0], "").as_bytes())
        .unwrap();
    assert!(!read_response(&mut kept).contains("Connection: close"));
    served_once
        .write_all(query("o1", "page", &[0], "").as_bytes())
        .unwrap();
    read_response(&mut served_once);
    half.write_all(b"POST /api HTTP/1.1\r\nX-Call").unwrap();
    assert!(call(served.door, "POST", "evacuate", "").starts_with("HTTP/1.1 200"));
    let began = Instant::now();
    assert!(
        health().starts_with("HTTP/1.1 503"),
        "health says no at once"
    );
    assert!(
        call(served.door, "POST", "evacuate", "").starts_with("HTTP/1.1 200"),
        "twice is once"
    );
    // A client with consecutive requests is served until a response closes its connection; the
    // connection never closes without a response.
    let mut asked = 0;
    loop {
        asked += 1;
        kept.write_all(query(&format!("l{asked}"), "page", &[0], "").as_bytes())
            .unwrap();
        let answer = read_response(&mut kept);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        if answer.contains("Connection: close") {
            break;
        }
    }
    // New connections are still served, with one request each.
    let late = served.platform.ask("late", "page", &[0]);
    assert!(late.starts_with("HTTP/1.1 200"), "{late}");
    let closed = |mut socket: TcpStream| {
        let mut rest = String::new();
        socket.read_to_string(&mut rest).map(|_| rest)
    };
    assert_eq!(closed(served_once).unwrap(), "", "an idle one is closed");
    assert_eq!(closed(mute).unwrap(), "");
    let told = closed(half).unwrap();
    assert!(
        told.starts_with("HTTP/1.1 503"),
        "half a request may be sent elsewhere: {told}"
    );
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "held for {:?}",
        began.elapsed()
    );
    assert!(call(served.door, "GET", "ready", "").starts_with("HTTP/1.1 503"));
    assert!(call(served.door, "POST", "rejoin", "").starts_with("HTTP/1.1 200"));
    assert!(
        health().starts_with("HTTP/1.1 200"),
        "health says yes at once"
    );
    let mut again = served.platform.connect();
    again
        .write_all(query("again", "page", &[0], "").as_bytes())
        .unwrap();
    assert!(
        !read_response(&mut again).contains("Connection: close"),
        "connections are kept again"
    );
}

/// Sends queries on new connections, one after another, until `stop` is set. Counts the served ones
/// in `all`; returns one entry for each connection that was refused, reset or closed without a
/// response.
fn knock(address: SocketAddr, name: String, stop: &AtomicBool, all: &AtomicU32) -> Vec<String> {
    let (mut served, mut met) = (0, Vec::new());
    while !stop.load(Ordering::SeqCst) {
        let asked = TcpStream::connect(address).and_then(|mut socket| {
            socket.set_read_timeout(Some(Duration::from_secs(5)))?;
            socket.write_all(query(&format!("{name}-{served}"), "page", &[0], "").as_bytes())?;
            let answer = read_response(&mut socket);
            if answer.starts_with("HTTP/1.1 ") {
                Ok(())
            } else {
                Err(ErrorKind::UnexpectedEof.into())
            }
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
    let (address, stop, all) = (
        served.platform.address,
        AtomicBool::new(false),
        AtomicU32::new(0),
    );
    let (mut met, mut upgrades) = (Vec::new(), 0);
    thread::scope(|scope| {
        let (stop, all) = (&stop, &all);
        let knock = |n| scope.spawn(move || knock(address, format!("k{n}"), stop, all));
        let knocking: Vec<_> = (0..16).map(knock).collect();
        let some_more = || {
            let before = all.load(Ordering::SeqCst);
            eventually("more are served", || {
                all.load(Ordering::SeqCst) > before + 100
            });
        };
        some_more();
        let mut running = vec![served.upgrade().0];
        served.platform.program.signal("TERM");
        for _ in 0..8 {
            some_more();
            let (next, _) = served.upgrade();
            running.last().unwrap().signal("TERM");
            // Kept, so that the drop does not kill the process during its shutdown.
            running.push(next);
            upgrades += 1;
        }
        some_more();
        stop.store(true, Ordering::SeqCst);
        met.extend(
            knocking
                .into_iter()
                .flat_map(|knocker| knocker.join().unwrap()),
        );
    });
    let all = all.into_inner();
    assert!(
        met.len() <= 1,
        "{upgrades} upgrades, {all} served, {} met a closed door: {met:?}",
        met.len()
    );
}

#[test]
fn whoever_waits_in_the_queue_of_a_process_told_to_end_is_answered() {
    let served = start(settings(), hosts(), 512);
    let old = &served.platform.program;
    let (next, _) = served.upgrade();
    // While the process is stopped, about half of two hundred connections collect in its backlog:
    // more than one round accepts.
    old.signal("STOP");
    let mut waiting: Vec<TcpStream> = (0..200).map(|_| served.platform.connect()).collect();
    for (n, socket) in waiting.iter_mut().enumerate() {
        socket
            .write_all(query(&format!("w{n}"), "page", &[0], "").as_bytes())
            .unwrap();
    }
    old.signal("TERM");
    old.signal("CONT");
    let answers: Vec<String> = waiting.iter_mut().map(read_response).collect();
    let unread = answers
        .iter()
        .filter(|answer| !answer.starts_with("HTTP/1.1 "))
        .count();
    assert_eq!(unread, 0, "of 200 that had connected");
    drop(next);
}

#[test]
fn new_settings_are_taken_whole_or_not_at_all_and_what_is_open_keeps_its_class() {
    // The hosts delay their answers to one query until the test opens the gate.
    let gate = std::sync::Arc::new(AtomicBool::new(false));
    let host = |score| {
        let open = gate.clone();
        FrameHost::start(move |id| {
            eventually("the gate opens", || {
                !id.starts_with("w.") || open.load(Ordering::SeqCst)
            });
            Say::Good(score, format!("value of {id}"))
        })
    };
    let all = (1..=3).map(host).collect();
    let served = start(settings(), all, 256);
    let platform = &served.platform;
    let status = |answer: String| answer.split(' ').nth(1).unwrap_or_default().to_owned();
    let ask = |id: &str, class: &str| status(platform.ask(id, class, &[0]));
    let keyed = |id: &str, class: &str| {
        status(platform.say(&query(
            id,
            class,
            &[0],
            "Idempotency-Key: k\r\nConnection: close\r\n",
        )))
    };
    // An invalid file is rejected as a whole, including its discovery address, where nothing
    // listens.
    let good = platform.config.clone();
    let mut broken = vec![
        String::new(),
        "{".to_owned(),
        good.to_string()[..good.to_string().len() / 2].to_owned(),
    ];
    let mut spoil = |change: &dyn Fn(&mut Value)| {
        let mut file = good.clone();
        file["discovery"] = json!("127.0.0.1:1");
        file["settings"]["request_classes"][1]["name"] = json!("leaf");
        change(&mut file);
        broken.push(file.to_string());
    };
    let remove = |group: &'static str, key: &'static str| {
        move |f: &mut Value| {
            f["settings"][group]
                .as_object_mut()
                .unwrap()
                .remove(key)
                .map(drop)
                .unwrap()
        }
    };
    spoil(&remove("limits", "max_attempts"));
    spoil(&remove("extra", "ranges"));
    spoil(&|f| {
        f["settings"]["request_classes"][2]
            .as_object_mut()
            .unwrap()
            .remove("effect")
            .map(drop)
            .unwrap()
    });
    spoil(&|f| f["settings"]["request_classes"][1]["deadline"] = json!(0));
    spoil(&|f| f["settings"]["request_classes"][1]["deadline"] = json!("soon"));
    spoil(&|f| f["settings"]["limits"]["max_attempts"] = json!(-1));
    spoil(&|f| f["settings"]["extra"]["class_need"] = json!([1.0, 1.0]));
    spoil(&|f| {
        f.as_object_mut()
            .unwrap()
            .remove("listen")
            .map(drop)
            .unwrap()
    });
    let watches = platform.discovery.asked();
    for (n, file) in broken.iter().enumerate() {
        platform.reload(file);
        // A signal is handled before any request sent after it.
        assert_eq!(ask(&format!("b{n}"), "leaf"), "400", "{file}");
        assert_eq!(ask(&format!("c{n}"), "page"), "200", "{file}");
    }
    assert_eq!(
        (platform.discovery.watches(), platform.discovery.asked()),
        (1, watches)
    );
    // A query is open while its class is removed and another class changes its effect.
    let mut waiting = platform.connect();
    waiting
        .write_all(query("w", "page", &[1], "").as_bytes())
        .unwrap();
    let out = |host: &FrameHost| host.seen().iter().any(|line| line.starts_with("w."));
    eventually("its part is out", || platform.hosts.iter().any(out));
    let mut fresh = good.clone();
    let classes = fresh["settings"]["request_classes"].as_array_mut().unwrap();
    classes[1]["name"] = json!("leaf");
    classes[2]["effect"] = json!("read_like");
    classes.push(json!({"name": "note", "target": 1_500_000_000u64, "deadline": 4_000_000_000u64, "effect": "non_idempotent"}));
    for list in ["class_fetch", "class_need", "floor_by_class", "short_worth"] {
        let one = json!(if list == "class_fetch" { 0.0 } else { 1.0 });
        fresh["settings"]["extra"][list]
            .as_array_mut()
            .unwrap()
            .push(one);
    }
    platform.reload(&fresh.to_string());
    let began = Instant::now();
    eventually("the new class is served", || {
        ask(&format!("n{:?}", began.elapsed()), "leaf") == "200"
    });
    assert_eq!(
        (ask("o1", "page"), ask("n1", "note")),
        ("200".into(), "200".into()),
        "both namings hold for a while"
    );
    assert_eq!(
        (keyed("k1", "shelf"), ask("k2", "shelf")),
        ("200".into(), "200".into()),
        "and both meanings"
    );
    gate.store(true, Ordering::SeqCst);
    let answer = read_response(&mut waiting);
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.contains("value of w.1"),
        "{answer}"
    );
    eventually("the former naming ends", || {
        ask(&format!("e{:?}", began.elapsed()), "page") == "400"
    });
    assert!(
        began.elapsed() >= Duration::from_millis(1_200),
        "too soon: {:?}",
        began.elapsed()
    );
    assert_eq!(
        (ask("k3", "shelf"), ask("n2", "leaf")),
        ("200".into(), "200".into())
    );
    // Repeated changes neither accumulate classes nor lose them: at most 64 classes may be kept,
    // and each change adds some.
    for n in 0..60 {
        platform.reload(&if n % 2 == 0 { &good } else { &fresh }.to_string());
        ask(&format!("f{n}"), "search");
    }
    eventually("the last settings are taken in the end", || {
        platform.reload(&fresh.to_string());
        ask(&format!("l{:?}", began.elapsed()), "note") == "200"
    });
}

/// The remote ports of a process's TCP connections, from `/proc`.
fn connected_ports(process: u32) -> BTreeSet<u16> {
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap();
    let links = descriptors
        .flatten()
        .filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let inode = |link: std::path::PathBuf| {
        let name = link.to_string_lossy().into_owned();
        let inode = name.strip_prefix("socket:[")?.strip_suffix(']')?;
        Some(inode.to_owned())
    };
    let inodes: BTreeSet<String> = links.filter_map(inode).collect();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let remote_port = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (remote, inode) = (*fields.get(2)?, *fields.get(9)?);
        let (_, port) = remote.split_once(':')?;
        let port = u16::from_str_radix(port, 16).ok()?;
        inodes.contains(inode).then_some(port)
    };
    table.lines().skip(1).filter_map(remote_port).collect()
}

#[test]
fn a_client_that_never_reads_does_not_hold_a_drain_and_sigterm_ends_it_in_order() {
    // Too large for the system's buffers of a client that does not read.
    let large = |score| FrameHost::start(move |_| Say::Good(score, "x".repeat(60_000)));
    let mut served = start(settings(), (1..=3).map(large).collect(), 256);
    let process = served.platform.program.child.id();
    let mut deaf: Vec<TcpStream> = (0..2).map(|_| served.platform.connect()).collect();
    for (n, socket) in deaf.iter_mut().enumerate() {
        for m in 0..200 {
            let asked = query(&format!("d{n}-{m}"), "page", &[0, 1, 2], "");
            socket
                .set_write_timeout(Some(Duration::from_millis(50)))
                .unwrap();
            if socket.write_all(asked.as_bytes()).is_err() {
                break;
            }
        }
    }
    // The hosts get no further parts for these clients, and the memory held for them is bounded.
    let asked = || (0..3).map(|host| served.seen(host)).sum::<usize>();
    let mut last = (asked(), Instant::now());
    eventually("no more is asked for the deaf", || {
        if asked() > last.0 {
            last = (asked(), Instant::now());
        }
        last.1.elapsed() > Duration::from_millis(700)
    });
    assert!(last.0 < 2 * 200 * 3 / 2, "{} parts asked", last.0);
    let is_held = |socket: &TcpStream| {
        let port = socket.local_addr().unwrap().port();
        connected_ports(process).contains(&port)
    };
    assert!(deaf.iter().all(is_held));
    let began = Instant::now();
    assert!(call(served.door, "POST", "evacuate", "").starts_with("HTTP/1.1 200"));
    assert!(
        served
            .platform
            .ask("beside", "page", &[0])
            .starts_with("HTTP/1.1 200")
    );
    // The process may keep connections to its hosts, but none to these clients.
    eventually("the deaf are let go", || !deaf.iter().any(is_held));
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "held for {:?}",
        began.elapsed()
    );
    served.platform.program.signal("TERM");
    assert!(served.platform.program.child.wait().unwrap().success());
}

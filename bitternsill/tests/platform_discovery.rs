//! Discovery, target lists and configuration reloads of the program in platform mode.

mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[test]
fn leaving_host_gets_nothing_new_and_list_survives_watch() {
    let platform = Platform::start(settings(), three_hosts());
    platform
        .discovery
        .publish(2, vec![target(0, platform.hosts[0].address, "leaving")]);
    // Once the change has arrived, only cell 1 serves shard 0.
    wait_until("list change applied", || {
        let before = platform.hosts[0].received().len();
        for i in 0..6 {
            platform.send_query(&format!("a{i}"), "page", &[0]);
        }
        platform.hosts[0].received().len() == before
    });
    let (before, watches) = (
        platform.hosts[0].received().len(),
        platform.discovery.open_watches(),
    );
    platform.discovery.close_watches();
    for i in 0..10 {
        let answer = platform.send_query(&format!("b{i}"), "page", &[0]);
        assert!(
            answer.starts_with("HTTP/1.1 200"),
            "not served from the last list: {answer}"
        );
    }
    assert_eq!((platform.hosts[0].received().len(), watches), (before, 1));
    wait_until("a new watch", || platform.discovery.open_watches() == 1);
}

#[test]
fn silent_watch_is_replaced_and_list_kept() {
    let host = FrameHost::start(good_reply(1));
    let targets = vec![target(0, host.address, "active")];
    let mut settings = settings();
    settings["extra"]["sets"] = 1.into();
    settings["extra"]["in_a_row"] = 1.into();
    let platform = Platform::start_silent(settings, host, targets);
    let start = Instant::now();
    wait_until("a second watch", || {
        platform.discovery.watch_requests() == 2
    });
    assert!(
        start.elapsed() < Duration::from_secs(6),
        "{:?}",
        start.elapsed()
    );
    assert!(
        platform
            .send_query("q", "page", &[0])
            .starts_with("HTTP/1.1 200")
    );
}

#[test]
fn reload_moves_discovery_without_loss() {
    let slow = |id: &str| {
        if id.starts_with("slow") {
            std::thread::sleep(Duration::from_millis(800));
        }
        PartReply::Good(1, format!("value of {id}"))
    };
    let platform = Platform::start(settings(), (0..3).map(|_| FrameHost::start(slow)).collect());
    let mut held = platform.connect();
    held.write_all(query("slow", "page", &[0], "").as_bytes())
        .unwrap();
    // An unreadable file changes nothing; the current watch continues.
    platform.reload("{\"name\": ");
    assert!(
        platform
            .send_query("a", "page", &[1])
            .starts_with("HTTP/1.1 200")
    );
    assert_eq!(
        (
            platform.discovery.watch_requests(),
            platform.discovery.open_watches()
        ),
        (1, 1)
    );
    let moved = Discovery::start(vec![
        target(0, platform.hosts[0].address, "leaving"),
        target(1, platform.hosts[1].address, "active"),
        target(2, platform.hosts[2].address, "active"),
    ]);
    let mut config = platform.config.clone();
    config["discovery"] = moved.address.to_string().into();
    platform.reload(&config.to_string());
    wait_until("a watch at the new address", || moved.watch_requests() == 1);
    assert!(read_response(&mut held).contains("value of slow.0"));
    wait_until("new list applied", || {
        let before = platform.hosts[0].received().len();
        for i in 0..6 {
            assert!(
                platform
                    .send_query(&format!("b{i}"), "page", &[0])
                    .starts_with("HTTP/1.1 200")
            );
        }
        platform.hosts[0].received().len() == before
    });
    // The earlier connection is still served.
    held.write_all(query("c", "page", &[1], "").as_bytes())
        .unwrap();
    assert!(read_response(&mut held).starts_with("HTTP/1.1 200"));
    assert_eq!(platform.discovery.watch_requests(), 1);
}

#[test]
fn start_with_known_list_does_not_wait_for_discovery() {
    let (silent, hosts) = (
        accept(|_| std::thread::sleep(Duration::from_secs(9))),
        three_hosts(),
    );
    let targets: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(i, h)| target(i, h.address, "active"))
        .collect();
    let address = free_address();
    let config = serde_json::json!({
        "name": "n0", "listen": address.to_string(), "discovery": silent.to_string(), "seed": "1",
        "known": {"rev": 3, "all": true, "targets": targets}, "settings": settings()
    });
    let _program = Program::start("--config", &config);
    wait_until("listening", || TcpStream::connect(address).is_ok());
    let mut socket = TcpStream::connect(address).unwrap();
    socket.write_all(b"GET /_health HTTP/1.1\r\n\r\n").unwrap();
    assert!(read_response(&mut socket).starts_with("HTTP/1.1 200"));
    socket
        .write_all(query("q", "page", &[0], "").as_bytes())
        .unwrap();
    assert!(read_response(&mut socket).contains("value of q.0"));
}

/// Guards against a program that calls a refusing discovery without pause. With 100 gatherers,
/// discovery could then answer nobody any more.
#[test]
fn refused_discovery_calls_back_off() {
    let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (log, hosts) = (calls.clone(), three_hosts());
    let refusing = accept(move |mut socket| {
        let mut calls = log.lock().unwrap();
        calls.push(Instant::now());
        // Every other call is closed without a response.
        if calls.len() % 2 == 1 {
            let _ =
                socket.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
    });
    let targets: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(i, h)| target(i, h.address, "active"))
        .collect();
    let address = free_address();
    let mut settings = settings();
    settings["group_size"] = 100.into();
    let config = serde_json::json!({
        "name": "n0", "listen": address.to_string(), "discovery": refusing.to_string(), "seed": "1",
        "known": {"rev": 3, "all": true, "targets": targets}, "settings": settings
    });
    let _program = Program::start("--config", &config);
    wait_until("listening", || TcpStream::connect(address).is_ok());
    // In a fleet of a hundred, the first delay is 0.8 to 1.6 s, so that changes are known in time;
    // the next ones are twice and four times as long.
    wait_until("four calls", || calls.lock().unwrap().len() >= 4);
    let mut socket = TcpStream::connect(address).unwrap();
    socket
        .write_all(query("q", "page", &[0], "").as_bytes())
        .unwrap();
    assert!(
        read_response(&mut socket).contains("value of q.0"),
        "not served from the last list"
    );
    let calls = calls.lock().unwrap();
    let waits: Vec<Duration> = calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        waits[2] >= Duration::from_millis(500),
        "delays do not grow: {waits:?}"
    );
    assert!(
        waits.iter().all(|wait| *wait < Duration::from_secs(4)),
        "delay too long for changes: {waits:?}"
    );
}

#[test]
fn tolerates_unknown_and_missing_fields() {
    // As in the protocol description, as in the second deployment, with more fields, with fewer,
    // with none, without any report, and malformed.
    let reports = [
        "inflight=7,util=0.61",
        "qps=4.2,util=0.61,queue=2",
        "qps=4.2,util=0.61,queue=2,gc_ms=18,odd",
        "util=0.61",
        "-",
        "",
        "util=high",
    ];
    let turn = AtomicU32::new(0);
    let reported = Arc::new(turn);
    let host = |_| {
        let reported = reported.clone();
        FrameHost::start(move |id| {
            let report = reports[reported.fetch_add(1, Ordering::SeqCst) as usize % reports.len()];
            PartReply::Raw(frame(
                b'q',
                format!("{id} good 1 {report}\nvalue of {id}").as_bytes(),
            ))
        })
    };
    let hosts: Vec<FrameHost> = (0..3).map(host).collect();
    let mut targets: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(i, h)| target(i, h.address, "active"))
        .collect();
    for key in ["az", "model", "capacity_hint", "boot_ms"] {
        targets[0].as_object_mut().unwrap().remove(key);
    }
    targets[1]["rack"] = serde_json::json!({"row": 3});
    targets[1]["model"] = serde_json::json!("a kind that no setting names");
    let platform = Platform::start_in(
        "ulimit -n 1024",
        settings(),
        hosts,
        Discovery::start(targets),
        256,
        &[],
    );
    for i in 0..14 {
        let answer = platform.send_query(&format!("q{i}"), "page", &[0, 1, 2]);
        assert!(
            answer.starts_with("HTTP/1.1 200") && answer.contains("\"total\":true"),
            "{answer}"
        );
    }
    assert!(
        reported.load(Ordering::SeqCst) >= 42,
        "not every report was sent"
    );
}

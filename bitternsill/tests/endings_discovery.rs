//! Behaviour when responses or watches of discovery end or fall silent, and what must not keep a
//! dead watch alive.

mod common;

use common::*;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A discovery whose calls a test answers byte by byte. Each call is delivered with its request
/// line and socket.
struct ScriptedDiscovery {
    address: SocketAddr,
    calls: Receiver<(String, TcpStream)>,
}

impl ScriptedDiscovery {
    fn start() -> ScriptedDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, calls) = mpsc::channel();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let mut line = String::new();
                BufReader::new(socket.try_clone().unwrap())
                    .read_line(&mut line)
                    .unwrap_or(0);
                if sender.send((line, socket)).is_err() {
                    return;
                }
            }
        });
        ScriptedDiscovery { address, calls }
    }

    fn call(&self) -> (String, TcpStream) {
        self.calls
            .recv_timeout(Duration::from_secs(20))
            .expect("a call")
    }
}

fn write_chunk(socket: &mut TcpStream, text: &str) {
    write!(socket, "{:x}\r\n{text}\r\n", text.len()).unwrap();
}

fn target_list(version: u64, is_complete: bool, targets: &[Value]) -> String {
    json!({"rev": version, "all": is_complete, "targets": targets}).to_string()
}

struct Gatherer {
    program: Program,
    address: SocketAddr,
    hosts: Vec<FrameHost>,
    config: Value,
    file: std::path::PathBuf,
}

impl Gatherer {
    fn start(discovery: SocketAddr) -> Gatherer {
        Self::start_with(discovery, 1024)
    }

    /// Like `start`, with this descriptor limit.
    fn start_with(discovery: SocketAddr, descriptors: u32) -> Gatherer {
        let reply = |id: &str| {
            if id.starts_with("held") {
                PartReply::NoReply
            } else {
                PartReply::Good(1, format!("value of {id}"))
            }
        };
        let hosts: Vec<FrameHost> = (0..3).map(|_| FrameHost::start(reply)).collect();
        let address = free_address();
        let mut settings = settings();
        // A long limit, under which failed calls would otherwise be repeated rarely.
        settings["guarantees"]["ask_within"] = json!(20_000_000_000u64);
        settings["group_size"] = json!(5);
        settings["limits"]["max_open"] = json!(1000);
        let config = json!({
            "name": "n0", "listen": address.to_string(), "discovery": discovery.to_string(), "seed": "1",
            "known": null, "settings": settings
        });
        let program = Program::start_with("--config", &config, descriptors);
        wait_until("listening", || TcpStream::connect(address).is_ok());
        let file = program.config_path.clone();
        Gatherer {
            program,
            address,
            hosts,
            config,
            file,
        }
    }

    fn targets(&self) -> Vec<Value> {
        self.hosts
            .iter()
            .enumerate()
            .map(|(cell, host)| target(cell, host.address, "active"))
            .collect()
    }

    fn leaving(&self, cell: usize) -> Value {
        target(cell, self.hosts[cell].address, "leaving")
    }

    fn send_query(&self, id: &str, shard: u32) -> String {
        let mut socket = TcpStream::connect(self.address).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        socket
            .write_all(query(id, "page", &[shard], "Connection: close\r\n").as_bytes())
            .unwrap();
        read_response(&mut socket)
    }

    /// Whether the program accepts clients. All earlier messages are read before the response.
    fn is_ready(&self) -> bool {
        let mut socket = TcpStream::connect(self.address).unwrap();
        socket
            .write_all(b"GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
            .unwrap();
        read_response(&mut socket).starts_with("HTTP/1.1 200")
    }

    fn wait_until_ready(&self) {
        wait_until("ready", || self.is_ready());
    }

    /// Waits until none of six consecutive queries uses this host, which shares shard `cell` with
    /// the next one. All queries must succeed.
    fn wait_until_unused(&self, cell: usize) {
        let mut round = 0;
        wait_until("host not used", || {
            round += 1;
            let before = self.hosts[cell].received().len();
            for at in 0..6 {
                let answer = self.send_query(&format!("r{round}-{at}"), cell as u32);
                assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            }
            self.hosts[cell].received().len() == before
        });
    }
}

/// A gatherer with an open watch and its first list.
fn start_with_watch() -> (ScriptedDiscovery, Gatherer, TcpStream) {
    let discovery = ScriptedDiscovery::start();
    let gatherer = Gatherer::start(discovery.address);
    let (_, mut watch) = discovery.call();
    watch.write_all(HEAD).unwrap();
    write_chunk(
        &mut watch,
        &(target_list(1, true, &gatherer.targets()) + "\n"),
    );
    (discovery, gatherer, watch)
}

#[test]
fn changes_arrive_in_time_after_silent_watch_and_unanswered_call() {
    let (discovery, gatherer, _held_open) = start_with_watch();
    let silent = Instant::now();
    gatherer.wait_until_ready();
    let (line, _held) = discovery.call();
    assert!(line.contains("index=1"), "{line}");
    let (_, mut next) = discovery.call();
    let took = silent.elapsed();
    // Changes missed on a silent watch must be known 6 s after it fell silent, and the response
    // takes time too.
    assert!(took < Duration::from_millis(5_400), "{took:?}");
    next.write_all(HEAD).unwrap();
    write_chunk(
        &mut next,
        &(target_list(2, false, &[gatherer.leaving(0)]) + "\n"),
    );
    gatherer.wait_until_unused(0);
    assert!(
        silent.elapsed() < Duration::from_millis(6_500),
        "{:?}",
        silent.elapsed()
    );
}

#[test]
fn incomplete_line_does_not_keep_watch_alive() {
    let (discovery, gatherer, mut watch) = start_with_watch();
    gatherer.wait_until_ready();
    let start = Instant::now();
    // Sends one byte of an unfinished line at a time until the program calls again.
    let next = loop {
        let _ = watch.write_all(b"1\r\n{\r\n");
        match discovery.calls.recv_timeout(Duration::from_millis(100)) {
            Ok(next) => break next,
            Err(_) => assert!(
                start.elapsed() < Duration::from_secs(10),
                "silent watch still open"
            ),
        }
    };
    assert!(
        start.elapsed() < Duration::from_millis(3_500),
        "{:?}",
        start.elapsed()
    );
    drop(next);
}

#[test]
fn parses_split_indented_list_and_joined_changes() {
    let discovery = ScriptedDiscovery::start();
    let gatherer = Gatherer::start(discovery.address);
    let (_, mut watch) = discovery.call();
    watch.write_all(HEAD).unwrap();
    let whole: Value = serde_json::from_str(&target_list(1, true, &gatherer.targets())).unwrap();
    let indented = serde_json::to_string_pretty(&whole).unwrap() + "\n";
    for piece in indented.as_bytes().chunks(97) {
        write_chunk(&mut watch, std::str::from_utf8(piece).unwrap());
        // The program has read this piece once it responds.
        gatherer.is_ready();
    }
    write_chunk(&mut watch, "\n");
    gatherer.wait_until_ready();
    assert!(gatherer.send_query("a", 0).starts_with("HTTP/1.1 200"));
    let change = serde_json::to_string_pretty(
        &json!({"rev": 3, "all": false, "targets": [gatherer.leaving(0)]}),
    );
    let changes = target_list(2, false, &[gatherer.leaving(1)]) + " " + &change.unwrap() + "\n";
    let (begin, rest) = changes.split_at(changes.len() - 30);
    write_chunk(&mut watch, begin);
    gatherer.is_ready();
    write_chunk(&mut watch, rest);
    // Shard 0 is on the hosts of cells 0 and 1, so no host is left for it.
    wait_until("both hosts known as leaving", || {
        let before = [0, 1].map(|cell| gatherer.hosts[cell].received().len());
        let answer = gatherer.send_query("b", 0);
        answer.starts_with("HTTP/1.1 503")
            && before == [0, 1].map(|cell| gatherer.hosts[cell].received().len())
    });
    assert!(discovery.calls.try_recv().is_err(), "watch replaced");
}

#[test]
fn complete_list_removes_missing_hosts() {
    let (discovery, gatherer, watch) = start_with_watch();
    gatherer.wait_until_ready();
    wait_until("host 0 serves", || {
        assert!(gatherer.send_query("a", 0).starts_with("HTTP/1.1 200"));
        !gatherer.hosts[0].received().is_empty()
    });
    // The watch ends without an update, and the next one begins with a complete list.
    close(watch);
    let (line, mut watch) = discovery.call();
    assert!(line.contains("index=1"), "{line}");
    watch.write_all(HEAD).unwrap();
    write_chunk(
        &mut watch,
        &(target_list(7, true, &gatherer.targets()[1..]) + "\n"),
    );
    assert!(gatherer.is_ready());
    let before = gatherer.hosts[0].received().len();
    for at in 0..12 {
        assert!(
            gatherer
                .send_query(&format!("b{at}"), 0)
                .starts_with("HTTP/1.1 200")
        );
    }
    assert_eq!(
        gatherer.hosts[0].received().len(),
        before,
        "part sent to a removed host"
    );
    // A host at the old address with a new id is used again.
    let mut successor = gatherer.targets()[0].clone();
    successor["uid"] = json!("s-new");
    write_chunk(&mut watch, &(target_list(8, false, &[successor]) + "\n"));
    let before = gatherer.hosts[0].received().len();
    wait_until("new host in use", || {
        assert!(gatherer.send_query("c", 0).starts_with("HTTP/1.1 200"));
        gatherer.hosts[0].received().len() > before
    });
    // An empty complete list removes all hosts.
    write_chunk(&mut watch, &(target_list(9, true, &[]) + "\n"));
    assert!(!gatherer.is_ready());
}

#[test]
fn old_watch_is_kept_until_moved_discovery_answers() {
    let (_discovery, gatherer, mut watch) = start_with_watch();
    gatherer.wait_until_ready();
    // Discovery moves to an address without a listener, and then to one that accepts calls but does
    // not answer.
    let nobody = free_address();
    let mute = ScriptedDiscovery::start();
    for to in [nobody, mute.address] {
        let mut config = gatherer.config.clone();
        config["discovery"] = to.to_string().into();
        std::fs::write(&gatherer.file, config.to_string()).unwrap();
        gatherer.program.signal("HUP");
        // The program reads the signal before the query, so by now it has read the file and its
        // call has been refused.
        assert!(gatherer.send_query("h", 1).starts_with("HTTP/1.1 200"));
    }
    let (line, _held) = mute.call();
    assert!(line.contains("index=1"), "{line}");
    write_chunk(
        &mut watch,
        &(target_list(2, false, &[gatherer.leaving(0)]) + "\n"),
    );
    gatherer.wait_until_unused(0);
    // The new discovery answers, and the previous watch ends.
    let (_, mut new_watch) = mute.call();
    write_chunk(&mut watch, "\n");
    new_watch.write_all(HEAD).unwrap();
    write_chunk(&mut new_watch, "\n");
    write_chunk(
        &mut new_watch,
        &(target_list(3, true, &gatherer.targets()) + "\n"),
    );
    watch
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let (mut rest, start) = (Vec::new(), Instant::now());
    watch.read_to_end(&mut rest).unwrap();
    // Its silence alone would end it later.
    assert!(
        start.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against retry delays that stay as long as they had grown in an outage if the next watch
/// has no changes.
#[test]
fn idle_watch_and_reload_reset_retry_delays() {
    let (discovery, gatherer, watch) = start_with_watch();
    gatherer.wait_until_ready();
    close(watch);
    // Four calls are dropped, each after a longer delay; the fifth is answered by an empty line
    // only.
    (0..4).for_each(|_| drop(discovery.call()));
    let (_, mut watch) = discovery.call();
    watch.write_all(HEAD).unwrap();
    write_chunk(&mut watch, "\n");
    gatherer.is_ready();
    let start = Instant::now();
    close(watch);
    drop(discovery.call());
    let first = start.elapsed();
    assert!(first < Duration::from_millis(600), "{first:?}");
    // A reload resets the delays too, since a moved discovery must be known 4 s later.
    (0..4).for_each(|_| drop(discovery.call()));
    gatherer.program.signal("HUP");
    let start = Instant::now();
    // The current delay runs on; the following ones start from the beginning.
    (0..3).for_each(|_| drop(discovery.call()));
    assert!(
        start.elapsed() < Duration::from_millis(4_500),
        "{:?}",
        start.elapsed()
    );
}

/// Discovery goes away while clients use all client connections, each with a query that gets no
/// answer, and returns with a new host.
#[test]
fn full_client_connections_do_not_block_discovery_or_hosts() {
    let discovery = ScriptedDiscovery::start();
    let gatherer = Gatherer::start_with(discovery.address, 120);
    let (_, mut watch) = discovery.call();
    watch.write_all(HEAD).unwrap();
    write_chunk(
        &mut watch,
        &(target_list(1, true, &gatherer.targets()[1..]) + "\n"),
    );
    gatherer.wait_until_ready();
    let mut crowd: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(gatherer.address).unwrap())
        .collect();
    for (at, socket) in crowd.iter_mut().enumerate() {
        socket
            .write_all(query(&format!("held{at}"), "page", &[0], "").as_bytes())
            .unwrap();
    }
    let folder = format!("/proc/{}/fd", gatherer.program.child.id());
    wait_until("client connections accepted", || {
        std::fs::read_dir(&folder).unwrap().count() > 70
    });
    let start = Instant::now();
    close(watch);
    let (_, mut watch) = discovery.call();
    // After 1.5 s the first of them get their responses and become idle.
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
    watch.write_all(HEAD).unwrap();
    write_chunk(
        &mut watch,
        &(target_list(2, false, &[gatherer.targets()[0].clone()]) + "\n"),
    );
    wait_until("new host in use", || {
        !gatherer.hosts[0].received().is_empty()
    });
    assert!(
        start.elapsed() < Duration::from_millis(1_300),
        "{:?}",
        start.elapsed()
    );
    drop(crowd);
}

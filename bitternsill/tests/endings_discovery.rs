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
struct Scripted {
    address: SocketAddr,
    calls: Receiver<(String, TcpStream)>,
}

impl Scripted {
    fn start() -> Scripted {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, calls) = mpsc::channel();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let mut line = String::new();
                BufReader::new(socket.try_clone().unwrap())
                    .read_line(&mut line)
                    .unwrap_or(0);
                if tell.send((line, socket)).is_err() {
                    return;
                }
            }
        });
        Scripted { address, calls }
    }

    fn call(&self) -> (String, TcpStream) {
        self.calls
            .recv_timeout(Duration::from_secs(20))
            .expect("a call")
    }
}

fn chunk(socket: &mut TcpStream, text: &str) {
    write!(socket, "{:x}\r\n{text}\r\n", text.len()).unwrap();
}

fn list(version: u64, whole: bool, targets: &[Value]) -> String {
    json!({"rev": version, "all": whole, "targets": targets}).to_string()
}

struct Scene {
    program: Program,
    address: SocketAddr,
    hosts: Vec<FrameHost>,
    config: Value,
    file: std::path::PathBuf,
}

impl Scene {
    fn start(discovery: SocketAddr) -> Scene {
        Self::start_with(discovery, 1024)
    }

    /// Like `start`, with this descriptor limit.
    fn start_with(discovery: SocketAddr, descriptors: u32) -> Scene {
        let say = |id: &str| {
            if id.starts_with("held") {
                Say::Nothing
            } else {
                Say::Good(1, format!("value of {id}"))
            }
        };
        let hosts: Vec<FrameHost> = (0..3).map(|_| FrameHost::start(say)).collect();
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
        eventually("it listens", || TcpStream::connect(address).is_ok());
        let file = program.file.clone();
        Scene {
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

    fn ask(&self, id: &str, shard: u32) -> String {
        let mut socket = TcpStream::connect(self.address).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        socket
            .write_all(query(id, "page", &[shard], "Connection: close\r\n").as_bytes())
            .unwrap();
        read_response(&mut socket)
    }

    /// Whether the program accepts clients. It has read all earlier messages before it responds.
    fn is_ready(&self) -> bool {
        let mut socket = TcpStream::connect(self.address).unwrap();
        socket
            .write_all(b"GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
            .unwrap();
        read_response(&mut socket).starts_with("HTTP/1.1 200")
    }

    fn until_ready(&self) {
        eventually("ready", || self.is_ready());
    }

    /// Waits until none of six consecutive queries uses this host, which shares shard `cell` with
    /// the next one. All queries must succeed.
    fn until_spared(&self, cell: usize) {
        let mut round = 0;
        eventually("nothing goes to that host", || {
            round += 1;
            let before = self.hosts[cell].seen().len();
            for at in 0..6 {
                let answer = self.ask(&format!("r{round}-{at}"), cell as u32);
                assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            }
            self.hosts[cell].seen().len() == before
        });
    }
}

/// A gatherer with an open watch and its first list.
fn watched() -> (Scripted, Scene, TcpStream) {
    let discovery = Scripted::start();
    let scene = Scene::start(discovery.address);
    let (_, mut watch) = discovery.call();
    watch.write_all(HEAD).unwrap();
    chunk(&mut watch, &(list(1, true, &scene.targets()) + "\n"));
    (discovery, scene, watch)
}

#[test]
fn what_changes_is_asked_for_in_time_after_a_silent_watch_and_a_call_that_nobody_answers() {
    let (discovery, scene, _held_open) = watched();
    let silent = Instant::now();
    scene.until_ready();
    let (line, _held) = discovery.call();
    assert!(line.contains("index=1"), "{line}");
    let (_, mut next) = discovery.call();
    let took = silent.elapsed();
    // Changes missed on a silent watch must be known 6 s after it fell silent, and the response
    // takes time too.
    assert!(took < Duration::from_millis(5_400), "{took:?}");
    next.write_all(HEAD).unwrap();
    chunk(&mut next, &(list(2, false, &[scene.leaving(0)]) + "\n"));
    scene.until_spared(0);
    assert!(
        silent.elapsed() < Duration::from_millis(6_500),
        "{:?}",
        silent.elapsed()
    );
}

#[test]
fn bytes_that_never_make_a_line_do_not_keep_a_silent_watch() {
    let (discovery, scene, mut watch) = watched();
    scene.until_ready();
    let start = Instant::now();
    // Sends one byte of an unfinished line at a time until the program calls again.
    let next = loop {
        let _ = watch.write_all(b"1\r\n{\r\n");
        match discovery.calls.recv_timeout(Duration::from_millis(100)) {
            Ok(next) => break next,
            Err(_) => assert!(
                start.elapsed() < Duration::from_secs(10),
                "the watch is kept"
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
fn an_indented_list_in_pieces_and_changes_on_one_line_are_understood() {
    let discovery = Scripted::start();
    let scene = Scene::start(discovery.address);
    let (_, mut watch) = discovery.call();
    watch.write_all(HEAD).unwrap();
    let whole: Value = serde_json::from_str(&list(1, true, &scene.targets())).unwrap();
    let indented = serde_json::to_string_pretty(&whole).unwrap() + "\n";
    for piece in indented.as_bytes().chunks(97) {
        chunk(&mut watch, std::str::from_utf8(piece).unwrap());
        // It reads the pieces one by one.
        scene.is_ready();
    }
    chunk(&mut watch, "\n");
    scene.until_ready();
    assert!(scene.ask("a", 0).starts_with("HTTP/1.1 200"));
    let change = serde_json::to_string_pretty(
        &json!({"rev": 3, "all": false, "targets": [scene.leaving(0)]}),
    );
    let changes = list(2, false, &[scene.leaving(1)]) + " " + &change.unwrap() + "\n";
    let (begin, rest) = changes.split_at(changes.len() - 30);
    chunk(&mut watch, begin);
    scene.is_ready();
    chunk(&mut watch, rest);
    // Shard 0 is on the hosts of cells 0 and 1, so no host is left for it.
    eventually("both are known to leave", || {
        let before = [0, 1].map(|cell| scene.hosts[cell].seen().len());
        let answer = scene.ask("b", 0);
        answer.starts_with("HTTP/1.1 503")
            && before == [0, 1].map(|cell| scene.hosts[cell].seen().len())
    });
    assert!(discovery.calls.try_recv().is_err(), "the watch goes on");
}

#[test]
fn a_host_that_a_whole_list_leaves_out_is_gone_though_it_still_answers() {
    let (discovery, scene, watch) = watched();
    scene.until_ready();
    eventually("host 0 serves", || {
        assert!(scene.ask("a", 0).starts_with("HTTP/1.1 200"));
        !scene.hosts[0].seen().is_empty()
    });
    // The watch ends without an update, and the next one begins with a complete list.
    close(watch);
    let (line, mut watch) = discovery.call();
    assert!(line.contains("index=1"), "{line}");
    watch.write_all(HEAD).unwrap();
    chunk(&mut watch, &(list(7, true, &scene.targets()[1..]) + "\n"));
    assert!(scene.is_ready());
    let before = scene.hosts[0].seen().len();
    for at in 0..12 {
        assert!(scene.ask(&format!("b{at}"), 0).starts_with("HTTP/1.1 200"));
    }
    assert_eq!(
        scene.hosts[0].seen().len(),
        before,
        "nothing goes there once the list is known"
    );
    // A host at the old address with a new id is used again.
    let mut back = scene.targets()[0].clone();
    back["uid"] = json!("s-new");
    chunk(&mut watch, &(list(8, false, &[back]) + "\n"));
    let before = scene.hosts[0].seen().len();
    eventually("its successor serves", || {
        assert!(scene.ask("c", 0).starts_with("HTTP/1.1 200"));
        scene.hosts[0].seen().len() > before
    });
    // An empty complete list removes all hosts.
    chunk(&mut watch, &(list(9, true, &[]) + "\n"));
    assert!(!scene.is_ready());
}

#[test]
fn the_watch_that_is_there_is_kept_until_a_discovery_that_has_moved_twice_answers() {
    let (_discovery, scene, mut watch) = watched();
    scene.until_ready();
    // Discovery moves to an address without a listener, and then to one that accepts calls but does
    // not answer.
    let nobody = free_address();
    let mute = Scripted::start();
    for to in [nobody, mute.address] {
        let mut config = scene.config.clone();
        config["discovery"] = to.to_string().into();
        std::fs::write(&scene.file, config.to_string()).unwrap();
        scene.program.signal("HUP");
        // The program reads the signal before the query, so by now it has read the file and its
        // call has been refused.
        assert!(scene.ask("h", 1).starts_with("HTTP/1.1 200"));
    }
    let (line, _held) = mute.call();
    assert!(line.contains("index=1"), "{line}");
    chunk(&mut watch, &(list(2, false, &[scene.leaving(0)]) + "\n"));
    scene.until_spared(0);
    // The new discovery answers, and the previous watch ends.
    let (_, mut there) = mute.call();
    chunk(&mut watch, "\n");
    there.write_all(HEAD).unwrap();
    chunk(&mut there, "\n");
    chunk(&mut there, &(list(3, true, &scene.targets()) + "\n"));
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
fn a_watch_without_news_and_new_settings_make_the_next_failure_the_first_again() {
    let (discovery, scene, watch) = watched();
    scene.until_ready();
    close(watch);
    // Four calls are dropped, each after a longer delay; the fifth is answered by an empty line
    // only.
    (0..4).for_each(|_| drop(discovery.call()));
    let (_, mut watch) = discovery.call();
    watch.write_all(HEAD).unwrap();
    chunk(&mut watch, "\n");
    scene.is_ready();
    let start = Instant::now();
    close(watch);
    drop(discovery.call());
    let first = start.elapsed();
    assert!(first < Duration::from_millis(600), "{first:?}");
    // A reload resets the delays too, since the new address must be known within 4 s.
    (0..4).for_each(|_| drop(discovery.call()));
    scene.program.signal("HUP");
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
fn clients_that_take_every_place_keep_neither_discovery_nor_a_new_host_out() {
    let discovery = Scripted::start();
    let scene = Scene::start_with(discovery.address, 120);
    let (_, mut watch) = discovery.call();
    watch.write_all(HEAD).unwrap();
    chunk(&mut watch, &(list(1, true, &scene.targets()[1..]) + "\n"));
    scene.until_ready();
    let mut crowd: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(scene.address).unwrap())
        .collect();
    for (at, socket) in crowd.iter_mut().enumerate() {
        socket
            .write_all(query(&format!("held{at}"), "page", &[0], "").as_bytes())
            .unwrap();
    }
    let folder = format!("/proc/{}/fd", scene.program.child.id());
    eventually("the crowd has its places", || {
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
    chunk(
        &mut watch,
        &(list(2, false, &[scene.targets()[0].clone()]) + "\n"),
    );
    eventually("the new host is reached", || {
        !scene.hosts[0].seen().is_empty()
    });
    assert!(
        start.elapsed() < Duration::from_millis(1_300),
        "{:?}",
        start.elapsed()
    );
    drop(crowd);
}

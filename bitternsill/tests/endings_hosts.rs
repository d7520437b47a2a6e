//! Behaviour when a connection to an index host ends or cannot be made.

mod common;

use common::standins::*;
use common::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

#[test]
fn more_hosts_than_descriptors_are_all_reached() {
    let hosts: Vec<FrameHost> = (0..48)
        .map(|_| FrameHost::start(|id| PartReply::Good(1, format!("value of {id}"))))
        .collect();
    let mut settings = settings();
    (settings["extra"]["sets"], settings["extra"]["ranges"]) = (json!(48), json!(48));
    let platform = Platform::start_with(settings, hosts, 100, 1024);
    let folder = format!("/proc/{}/fd", platform.program.child.id());
    let mut most = 0;
    for round in 0..2 {
        for shard in 0..48 {
            let answer = platform.send_query(&format!("q{round}-{shard}"), "page", &[shard]);
            assert!(answer.starts_with("HTTP/1.1 200"), "{shard}: {answer}");
            most = most.max(std::fs::read_dir(&folder).unwrap().count());
        }
    }
    // Of 100 descriptors, clients may use 54 and index hosts 14.
    assert!(
        most <= 14 + 26,
        "{most} descriptors in use by the program and its host connections"
    );
}

/// An index host that accepts one part per connection, sends all but the last bytes of the answer,
/// and then calls `then` with the connection. The receiver yields the ids of the parts.
fn host_with_partial_answer(
    mut then: impl FnMut(TcpStream) + Send + 'static,
) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, accepted) = mpsc::channel();
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let mut length = [0; 4];
            if socket.read_exact(&mut length).is_err() {
                continue;
            }
            let mut body = vec![0; u32::from_le_bytes(length) as usize];
            socket.read_exact(&mut body).unwrap();
            let name = String::from_utf8_lossy(&body[1..])
                .split(' ')
                .next()
                .unwrap()
                .to_owned();
            let answer = frame(b'q', format!("{name} good 1 -\nvalue of {name}").as_bytes());
            socket.write_all(&answer[..answer.len() - 3]).unwrap();
            sender.send(name).unwrap();
            then(socket);
        }
    });
    (address, accepted)
}

/// A host accepts a part, sends half of its answer and resets the connection. The part may have
/// run, so it is retried elsewhere only if that is harmless.
#[test]
fn partial_answer_before_reset_is_discarded() {
    // Closing with unread data (a probe or a part may follow) also causes a reset.
    let reset = |socket: TcpStream| {
        rustix::net::sockopt::set_socket_linger(&socket, Some(Duration::ZERO)).unwrap();
    };
    let (address, accepted) = host_with_partial_answer(reset);
    let mut hosts: Vec<FrameHost> = (0..3)
        .map(|_| FrameHost::start(|id| PartReply::Good(1, format!("value of {id}"))))
        .collect();
    hosts[0].address = address;
    let platform = Platform::start(settings(), hosts);
    let mut reached = Vec::new();
    for at in 0..8 {
        let (id, start) = (format!("q{at}"), Instant::now());
        let answer = platform.send_query(&id, "page", &[0]);
        reached.extend(accepted.try_iter());
        let whole =
            answer.starts_with("HTTP/1.1 200") && answer.contains(&format!("\"value of {id}.0\""));
        assert!(whole || answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(
            start.elapsed() < Duration::from_millis(1800),
            "{:?}",
            start.elapsed()
        );
    }
    assert!(!reached.is_empty(), "host not used");
}

/// A host sends half a line and nothing more on a connection that stays open: the attempt must fail
/// soon.
#[test]
fn stalled_partial_answer_fails_early() {
    let mut kept = Vec::new();
    let (address, accepted) = host_with_partial_answer(move |socket| kept.push(socket));
    let mut hosts: Vec<FrameHost> = (0..3)
        .map(|_| FrameHost::start(|id| PartReply::Good(1, format!("value of {id}"))))
        .collect();
    hosts[0].address = address;
    let mut settings = settings();
    settings["limits"]["second_copies"] = json!(false);
    let platform = Platform::start(settings, hosts);
    let mut reached = false;
    for at in 0..8 {
        let (id, start) = (format!("q{at}"), Instant::now());
        let text = query(
            &id,
            "shelf",
            &[0],
            "Idempotency-Key: k\r\nConnection: close\r\n",
        );
        let answer = platform.send_request(&text);
        assert!(answer.contains(&format!("\"value of {id}.0\"")), "{answer}");
        reached |= accepted.try_iter().any(|name| name.starts_with(&id));
        assert!(
            start.elapsed() < Duration::from_millis(900),
            "{:?}",
            start.elapsed()
        );
    }
    assert!(reached, "host not used");
}

/// A host leaves the list before a connection to it comes up: parts that wait for the connection
/// are sent elsewhere.
#[test]
fn parts_waiting_for_leaving_host_are_rerouted() {
    // A listener with a full backlog accepts no further connection.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::net::listen(&listener, 0).unwrap();
    let address = listener.local_addr().unwrap();
    let fill: Vec<_> = (0..4)
        .map(|_| std::net::TcpStream::connect_timeout(&address, Duration::from_millis(100)))
        .collect();
    assert!(fill.last().unwrap().is_err(), "listener not full");
    let served = Arc::new(AtomicU32::new(0));
    let host = |_| {
        let served = served.clone();
        FrameHost::start(move |id| {
            served.fetch_add(1, Ordering::SeqCst);
            PartReply::Good(1, format!("value of {id}"))
        })
    };
    let mut hosts: Vec<FrameHost> = (0..3).map(host).collect();
    hosts[0].address = address;
    let mut settings = settings();
    // Longer than any query waits, so that only the list change can end the attempt.
    settings["limits"]["connect_timeout"] = json!(5_000_000_000u64);
    settings["limits"]["second_copies"] = json!(false);
    let platform = Platform::start(settings, hosts);
    let mut sockets: Vec<_> = (0..6).map(|_| platform.connect()).collect();
    for (at, socket) in sockets.iter_mut().enumerate() {
        let more = "Idempotency-Key: k\r\n";
        socket
            .write_all(query(&format!("q{at}"), "shelf", &[0], more).as_bytes())
            .unwrap();
    }
    // Some queries went to host 1, which answers; the others wait for a connection to host 0.
    wait_until("some parts answered", || served.load(Ordering::SeqCst) > 0);
    let start = Instant::now();
    platform
        .discovery
        .publish(2, vec![target(0, address, "leaving")]);
    for socket in &mut sockets {
        let answer = read_response(socket);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert!(
        start.elapsed() < Duration::from_millis(900),
        "{:?}",
        start.elapsed()
    );
    drop(fill);
}

/// An answer without a length is complete if its connection ends in order. After a reset it is
/// incomplete, however much was received.
#[test]
fn answer_without_length_before_reset_is_discarded() {
    let catalogue = Catalogue::start("sru");
    let page =
        "/comics?operation=searchRetrieve&version=1.2&query=dc.title%3Dmoon&maximumRecords=10";
    let whole = catalogue.titles(page);
    assert!(whole.contains(&"0.0".to_owned()), "{whole:?}");
    *catalogue.scripts[0].without_length.lock().unwrap() = Some(false);
    assert_eq!(catalogue.titles(page), whole);
    *catalogue.scripts[0].without_length.lock().unwrap() = Some(true);
    for _ in 0..4 {
        let answer = catalogue.sru(page);
        assert!(!titles(&answer).contains(&"0.0".to_owned()), "{answer}");
    }
    *catalogue.scripts[0].without_length.lock().unwrap() = None;
    wait_until("host in use again", || catalogue.titles(page) == whole);
}

#[test]
fn accepts_list_of_400_hosts() {
    // While a fleet is replaced, the list contains both its old and its new hosts.
    let host = FrameHost::start(|id| PartReply::Good(1, format!("value of {id}")));
    let mut settings = settings();
    (settings["extra"]["sets"], settings["extra"]["ranges"]) = (json!(400), json!(400));
    settings["extra"]["in_a_row"] = json!(1);
    let targets: Vec<_> = (0..400)
        .map(|cell| target(cell, host.address, "active"))
        .collect();
    let platform = Platform::start_silent(settings, host, targets);
    for shard in [0, 255, 256, 399] {
        let answer = platform.send_query(&format!("q{shard}"), "page", &[shard]);
        assert!(
            answer.contains(&format!("value of q{shard}.{shard}")),
            "{shard}: {answer}"
        );
    }
}

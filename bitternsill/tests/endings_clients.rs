//! Responses still due when a client connection or the program ends. Each race is forced by the
//! order of bytes on loopback sockets; `docs/design/endings.md` lists the cases.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Blocks the answers of index hosts until it is opened.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn open(&self) {
        *self.0.0.lock().unwrap() = true;
        self.0.1.notify_all();
    }

    fn wait(&self) {
        let (open, opened) = &*self.0;
        drop(
            opened
                .wait_while(open.lock().unwrap(), |open| !*open)
                .unwrap(),
        );
    }
}

/// Index hosts that block the answer to each query whose id begins with `held` until the gate
/// opens.
fn gated_hosts(gate: &Gate) -> Vec<FrameHost> {
    let host = |_| {
        let gate = gate.clone();
        FrameHost::start(move |id| {
            if id.starts_with("held") {
                gate.wait();
            }
            PartReply::Good(1, format!("value of {id}"))
        })
    };
    (0..3).map(host).collect()
}

fn silent_hosts() -> Vec<FrameHost> {
    (0..3)
        .map(|_| FrameHost::start(|_| PartReply::NoReply))
        .collect()
}

fn received(platform: &Platform) -> Vec<String> {
    platform
        .hosts
        .iter()
        .flat_map(FrameHost::received)
        .collect()
}

fn was_sent(platform: &Platform, id: &str) -> bool {
    received(platform)
        .iter()
        .any(|line| line.starts_with(&format!("{id}.")))
}

fn send(socket: &mut TcpStream, text: &str) {
    socket.write_all(text.as_bytes()).unwrap();
}

/// Waits until the program has closed its listener.
fn wait_until_listener_closed(platform: &Platform) {
    wait_until("listener closed", || {
        TcpStream::connect(platform.address).is_err()
    });
}

#[test]
fn bytes_after_close_cause_no_reset_and_are_ignored() {
    for by_signal in [true, false] {
        let mut platform = Platform::start(settings(), gated_hosts(&Gate::default()));
        let mut kept = platform.connect();
        send(&mut kept, &query("first", "page", &[0], ""));
        assert!(read_response(&mut kept).starts_with("HTTP/1.1 200"));
        if by_signal {
            platform.program.signal("TERM");
        }
        // Closed by the program, either for its shutdown or after a long idle time.
        assert_eq!(
            kept.read(&mut [0; 64]).unwrap(),
            0,
            "data before the end of the connection"
        );
        // A client may have started its next request before it sees the end of the connection. On a
        // closed socket these bytes would cause a reset.
        send(&mut kept, &query("behind", "page", &[0], ""));
        assert_eq!(kept.read(&mut [0; 64]).unwrap(), 0, "connection reset");
        if by_signal {
            // The program waits only briefly for this client to close.
            assert!(platform.program.child.wait().unwrap().success());
        } else {
            assert!(
                platform
                    .send_query("other", "page", &[0])
                    .starts_with("HTTP/1.1 200")
            );
        }
        assert!(
            !was_sent(&platform, "behind"),
            "request after the end was sent to a host"
        );
    }
}

#[test]
fn pipelined_requests_are_answered_during_shutdown() {
    let gate = Gate::default();
    let mut platform = Platform::start(settings(), gated_hosts(&gate));
    let mut socket = platform.connect();
    let all: String = ["held", "b", "c"]
        .map(|id| query(id, "page", &[0], ""))
        .concat();
    send(&mut socket, &all);
    wait_until("first part sent", || was_sent(&platform, "held"));
    platform.program.signal("TERM");
    platform.program.signal("TERM");
    wait_until_listener_closed(&platform);
    gate.open();
    let answers = [(); 3].map(|()| read_response(&mut socket));
    for (answer, id) in answers.iter().zip(["held", "b", "c"]) {
        assert!(
            answer.contains(&format!("value of {id}.0")),
            "{id}: {answer}"
        );
    }
    let closes = answers.map(|answer| answer.contains("Connection: close"));
    assert_eq!(
        closes,
        [false, false, true],
        "`Connection: close` not on the last response only"
    );
    assert_eq!(socket.read(&mut [0; 1]).unwrap(), 0);
    assert!(platform.program.child.wait().unwrap().success());
}

#[test]
fn request_completed_during_shutdown_is_answered() {
    let mut platform = Platform::start(settings(), silent_hosts());
    let mut socket = platform.connect();
    let text = query("late", "page", &[0], "");
    let (begin, rest) = text.split_at(text.len() - 20);
    send(&mut socket, begin);
    platform.program.signal("TERM");
    // No query is open now; the program only waits for its last connections.
    wait_until_listener_closed(&platform);
    send(&mut socket, rest);
    // No index host answers, so the query runs to its deadline, which is later than the wait for
    // connections.
    let answer = read_response(&mut socket);
    assert!(
        answer.starts_with("HTTP/1.1 5"),
        "unexpected response: {answer:?}"
    );
    assert!(was_sent(&platform, "late"));
    assert!(platform.program.child.wait().unwrap().success());
}

#[test]
fn disconnect_behind_unread_bytes_cancels_parts() {
    let platform = Platform::start(settings(), silent_hosts());
    let mut socket = platform.connect();
    send(&mut socket, &query("gone", "search", &[0, 1], ""));
    // More than the program reads while a query is open.
    let more: String = (0..240)
        .map(|n| query(&format!("p{n}"), "page", &[0], ""))
        .collect();
    assert!(more.len() > 32 << 10, "{} bytes", more.len());
    send(&mut socket, &more);
    wait_until("part sent", || was_sent(&platform, "gone"));
    // When this request has its response, the program has read as much of the first connection as
    // it will.
    assert!(
        platform
            .send_request("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
            .starts_with("HTTP/1.1 200")
    );
    let start = Instant::now();
    close(socket);
    wait_until("part cancelled", || {
        received(&platform)
            .iter()
            .any(|line| line.starts_with("cancelled gone."))
    });
    // Its own deadline would end it only after 2.5 s.
    assert!(
        start.elapsed() < Duration::from_millis(600),
        "{:?}",
        start.elapsed()
    );
    assert!(
        !received(&platform).iter().any(|line| line.starts_with('p')),
        "pipelined request sent to a host"
    );
}

/// The client sends more than the system buffers, so its end is seen only after all of it is read.
#[test]
fn disconnect_behind_endless_input_cancels_parts() {
    let platform = Platform::start(settings(), silent_hosts());
    let mut socket = platform.connect();
    let start = Instant::now();
    send(&mut socket, &query("gone", "search", &[0, 1], ""));
    let body = "x".repeat(60_000);
    let one = format!(
        "POST /api HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    (0..400).for_each(|_| send(&mut socket, &one));
    close(socket);
    // The query's own deadline would end it only after 2.5 s, and then everything would be read.
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "written after {:?}",
        start.elapsed()
    );
    let start = Instant::now();
    wait_until("part cancelled", || {
        received(&platform)
            .iter()
            .any(|line| line.starts_with("cancelled gone."))
    });
    assert!(
        start.elapsed() < Duration::from_millis(600),
        "{:?}",
        start.elapsed()
    );
}

/// Requests on a connection whose client reads no responses must not be sent to index hosts after
/// the client has ended its output. Otherwise they would be sent for a client that has gone, as
/// soon as there is room for responses again.
#[test]
fn half_closed_client_with_unread_responses_sends_no_parts() {
    // Too large for the system's buffers of a client that does not read.
    let large = |_| FrameHost::start(|_| PartReply::Good(1, "x".repeat(60_000)));
    let platform = Platform::start(settings(), (0..3).map(large).collect());
    let mut socket = platform.connect();
    let all: String = (0..6000)
        .map(|n| query(&format!("p{n}"), "search", &[0, 1, 2], ""))
        .collect();
    send(&mut socket, &all);
    let sent = || {
        received(&platform)
            .iter()
            .filter(|line| line.starts_with('p'))
            .count()
    };
    let mut last = (0, Instant::now());
    wait_until("no more parts sent", || {
        if sent() > last.0 {
            last = (sent(), Instant::now());
        }
        last.0 > 0 && last.1.elapsed() > Duration::from_millis(700)
    });
    // So many responses wait in the program that it stops reading.
    assert!(last.0 < 600, "{} parts sent", last.0);
    socket.shutdown(Shutdown::Write).unwrap();
    let mut answers = Vec::new();
    let _ = socket.read_to_end(&mut answers);
    assert!(answers.len() > 1 << 20, "{} bytes", answers.len());
    assert!(
        platform
            .send_request("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
            .starts_with("HTTP/1.1 200")
    );
    assert_eq!(sent(), last.0, "part sent for a disconnected client");
}

/// The client closes its connection while the program is stopped, and the awaited answer arrives at
/// the same moment.
#[test]
fn disconnect_at_response_drops_pipelined_requests() {
    for _ in 0..8 {
        let gate = Gate::default();
        let platform = Platform::start(settings(), gated_hosts(&gate));
        let mut socket = platform.connect();
        send(
            &mut socket,
            &[
                query("held", "page", &[0], ""),
                query("behind", "page", &[1], ""),
            ]
            .concat(),
        );
        wait_until("part sent", || was_sent(&platform, "held"));
        platform.program.signal("STOP");
        close(socket);
        gate.open();
        // The host writes its answer while the signal is delivered; the result must be the same in
        // either order.
        platform.program.signal("CONT");
        let beside = platform.send_query("beside", "page", &[0, 1, 2]);
        assert!(beside.starts_with("HTTP/1.1 200"), "{beside}");
        assert!(
            !was_sent(&platform, "behind"),
            "part sent for a disconnected client"
        );
    }
}

/// A second small response must be written at once, even if the client has not acknowledged the
/// first. A delayed one arrives with the acknowledgement, 40 ms later each time.
#[test]
fn small_pipelined_response_is_not_delayed() {
    let platform = Platform::start(settings(), gated_hosts(&Gate::default()));
    let mut socket = platform.connect();
    let mut reader = BufReader::new(socket.try_clone().unwrap());
    let mut late = 0;
    for n in 0..30 {
        let both = [0, 1].map(|which| query(&format!("q{n}-{which}"), "page", &[which], ""));
        send(&mut socket, &both.concat());
        assert!(read_next_response(&mut reader).starts_with("HTTP/1.1 200"));
        let first = Instant::now();
        assert!(read_next_response(&mut reader).starts_with("HTTP/1.1 200"));
        late += u32::from(first.elapsed() > Duration::from_millis(35));
    }
    // A busy machine delays some of them; a delay until the acknowledgement affects all but the
    // first few.
    assert!(late < 20, "{late} of 30 responses late");
}

#[test]
fn excess_pipelined_requests_are_rejected_in_order() {
    let gate = Gate::default();
    let platform = Platform::start(settings(), gated_hosts(&gate));
    let mut socket = platform.connect();
    send(&mut socket, &query("held", "page", &[0], ""));
    let pad = format!("X-Pad: {}\r\n", "p".repeat(1_000));
    let all: Vec<String> = (0..200)
        .map(|n| query(&format!("p{n}"), "page", &[0], &pad))
        .collect();
    let (last, rest) = all[199].split_at(50);
    send(&mut socket, &(all[..199].concat() + last));
    wait_until("part sent", || was_sent(&platform, "held"));
    // When these requests have their responses, the program has read the first connection.
    for _ in 0..20 {
        assert!(
            platform
                .send_request("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
                .starts_with("HTTP/1.1 200")
        );
    }
    gate.open();
    let mut answers = BufReader::new(socket.try_clone().unwrap());
    let mut next = || read_next_response(&mut answers);
    assert!(next().contains("value of held.0"));
    let (mut kept, mut refused) = (0, 0);
    for n in 0..199 {
        let answer = next();
        // A request refused unread gets no body, unlike a rejected query.
        if answer.starts_with("HTTP/1.1 503") && answer.contains("Content-Length: 0") {
            refused += 1;
            continue;
        }
        assert_eq!(refused, 0, "{n} served after a rejected request: {answer}");
        assert!(
            answer.contains(&format!("value of p{n}.0")) || answer.starts_with("HTTP/1.1 503"),
            "{answer}"
        );
        kept += 1;
    }
    assert!(kept > 20 && refused > 20, "{kept} kept, {refused} rejected");
    send(&mut socket, rest);
    assert!(
        next().contains("value of p199.0"),
        "no answer to the incomplete last request"
    );
}

/// A single waiting request is kept whatever its size.
#[test]
fn large_pipelined_request_is_served() {
    let gate = Gate::default();
    let platform = Platform::start(settings(), gated_hosts(&gate));
    let mut socket = platform.connect();
    let body = json!({"ranges": [{"range": 0, "portion": 1.0}], "predicate": "p".repeat(50_000)})
        .to_string();
    let large = format!(
        "POST /api HTTP/1.1\r\nX-Call-Id: large\r\nX-Call-Class: page\r\nX-Budget: 3.0\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let (begin, rest) = large.split_at(30_000);
    send(&mut socket, &(query("held", "page", &[0], "") + begin));
    wait_until("first part sent", || was_sent(&platform, "held"));
    // When this request has its response, the program has read the first connection.
    assert!(
        platform
            .send_request("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
            .starts_with("HTTP/1.1 200")
    );
    send(&mut socket, rest);
    gate.open();
    let mut answers = BufReader::new(socket);
    assert!(read_next_response(&mut answers).contains("value of held.0"));
    let answer = read_next_response(&mut answers);
    assert!(answer.contains("value of large.0"), "{answer}");
}

/// Bytes that are not a request, after more requests than the program keeps, are answered in their
/// turn, and the connection ends.
#[test]
fn malformed_request_after_excess_is_answered_in_order() {
    let gate = Gate::default();
    let platform = Platform::start(settings(), gated_hosts(&gate));
    let mut socket = platform.connect();
    let pad = format!("X-Pad: {}\r\n", "p".repeat(1_000));
    let all: String = (0..200)
        .map(|n| query(&format!("p{n}"), "page", &[0], &pad))
        .collect();
    send(
        &mut socket,
        &(query("held", "page", &[0], "") + &all + "no request\r\n\r\n" + &"z".repeat(100_000)),
    );
    wait_until("part sent", || was_sent(&platform, "held"));
    gate.open();
    let mut answers = BufReader::new(socket);
    assert!(read_next_response(&mut answers).contains("value of held.0"));
    for _ in 0..200 {
        let answer = read_next_response(&mut answers);
        assert!(
            answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 503"),
            "{answer}"
        );
    }
    assert!(read_next_response(&mut answers).starts_with("HTTP/1.1 400"));
    assert_eq!(answers.read(&mut [0; 1]).unwrap(), 0);
}

#[test]
fn half_closed_client_gets_immediate_responses() {
    let platform = Platform::start(settings(), gated_hosts(&Gate::default()));
    let sent = [
        ("GET /_health HTTP/1.1\r\n\r\n".to_owned(), "HTTP/1.1 200"),
        ("GET /nowhere HTTP/1.1\r\n\r\n".to_owned(), "HTTP/1.1 404"),
        (query("keyless", "shelf", &[0], ""), "HTTP/1.1 400"),
    ];
    for (text, wanted) in sent {
        platform.program.signal("STOP");
        let mut socket = platform.connect();
        send(&mut socket, &text);
        socket.shutdown(Shutdown::Write).unwrap();
        platform.program.signal("CONT");
        let answer = read_response(&mut socket);
        assert!(answer.starts_with(wanted), "{text}: {answer:?}");
    }
    // According to the protocol a client whose end has arrived has gone, so nothing is sent for its
    // query.
    let mut socket = platform.connect();
    platform.program.signal("STOP");
    send(&mut socket, &query("left", "page", &[0], ""));
    socket.shutdown(Shutdown::Write).unwrap();
    platform.program.signal("CONT");
    assert_eq!(socket.read(&mut [0; 64]).unwrap(), 0);
    assert!(
        platform
            .send_query("next", "page", &[0])
            .starts_with("HTTP/1.1 200")
    );
    assert!(!was_sent(&platform, "left"));
}

#[test]
fn id_is_free_after_disconnect_in_the_same_round() {
    let gate = Gate::default();
    let platform = Platform::start(settings(), gated_hosts(&gate));
    let (mut first, mut second) = (platform.connect(), platform.connect());
    send(&mut first, &query("held", "page", &[0], ""));
    wait_until("part sent", || was_sent(&platform, "held"));
    // The program sees both in one round, and the second connection's bytes before the end of the
    // first.
    let text = query("held", "page", &[1], "");
    let (begin, rest) = text.split_at(30);
    platform.program.signal("STOP");
    send(&mut second, begin);
    close(first);
    send(&mut second, rest);
    gate.open();
    platform.program.signal("CONT");
    let answer = read_response(&mut second);
    assert!(answer.contains("value of held.1"), "{answer}");
}

#[test]
fn idle_clients_leave_descriptors_for_other_connections() {
    // The configuration states more descriptors than the system allows.
    let platform = Platform::start_with(settings(), gated_hosts(&Gate::default()), 1024, 120);
    let folder = format!("/proc/{}/fd", platform.program.child.id());
    let held = || std::fs::read_dir(&folder).unwrap().count();
    let mut most = 0;
    let mut crowd = Vec::new();
    for _ in 0..200 {
        crowd.push(platform.connect());
        most = most.max(held());
    }
    let answer = platform.send_query("q", "page", &[0]);
    most = most.max(held());
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(most <= 100, "{most} of 120 descriptors");
    drop(crowd);
}

#[test]
fn disconnect_between_steps_cancels_second_step() {
    let reply = |id: &str| {
        if id.ends_with(".r") {
            PartReply::NoReply
        } else {
            PartReply::Good(1, format!("value of {id}"))
        }
    };
    let platform = Platform::start(
        settings(),
        (0..3).map(|_| FrameHost::start(reply)).collect(),
    );
    let mut socket = platform.connect();
    send_search(&mut socket, "steps");
    wait_until("second step sent", || {
        received(&platform).iter().any(|line| line.contains(".r "))
    });
    let start = Instant::now();
    close(socket);
    let cancelled = |line: &String| line.starts_with("cancelled steps.") && line.ends_with(".r");
    wait_until("part cancelled", || {
        received(&platform).iter().any(cancelled)
    });
    assert!(
        start.elapsed() < Duration::from_millis(600),
        "{:?}",
        start.elapsed()
    );
}

/// Sends a search for all three shards.
fn send_search(socket: &mut TcpStream, id: &str) {
    send(socket, &query(id, "search", &[0, 1, 2], ""));
}

#[test]
fn shutdown_after_reload_still_applies_list_changes() {
    let mut platform = Platform::start(settings(), gated_hosts(&Gate::default()));
    let mut kept = platform.connect();
    send(&mut kept, &query("a", "page", &[0], ""));
    assert!(read_response(&mut kept).starts_with("HTTP/1.1 200"));
    platform.reload(&platform.config.to_string());
    platform.program.signal("TERM");
    platform
        .discovery
        .publish(2, vec![target(0, platform.hosts[0].address, "leaving")]);
    // The connection is still served. Its health response reports the shutdown only after the
    // program has read the signal.
    wait_until("health response reports the shutdown", || {
        send(&mut kept, "GET /_health HTTP/1.1\r\n\r\n");
        read_response(&mut kept).contains("told to end")
    });
    wait_until("list change applied", || {
        let before = platform.hosts[0].received().len();
        let mut other = platform.connect();
        let ids = ["b", "c", "d", "e", "f", "g"].map(|id| format!("{id}{before}"));
        for id in ids {
            send(&mut other, &query(&id, "page", &[0], ""));
            let answer = read_response(&mut other);
            assert!(answer.contains(&format!("value of {id}.0")), "{answer}");
        }
        platform.hosts[0].received().len() == before
    });
    assert!(platform.program.child.wait().unwrap().success());
}

/// During shutdown, more connections wait in the backlog than the program has descriptors for. They
/// are accepted as others finish.
#[test]
fn backlog_beyond_descriptors_is_served_before_exit() {
    let gate = Gate::default();
    let mut settings = settings();
    settings["limits"]["max_open"] = json!(1000);
    let mut platform = Platform::start_with(settings, gated_hosts(&gate), 1024, 120);
    let folder = format!("/proc/{}/fd", platform.program.child.id());
    let descriptors = || std::fs::read_dir(&folder).map_or(0, Iterator::count);
    let mut sockets: Vec<TcpStream> = (0..180).map(|_| platform.connect()).collect();
    for (n, socket) in sockets.iter_mut().enumerate() {
        send(socket, &query(&format!("held{n}"), "page", &[0], ""));
    }
    wait_until("some parts sent", || was_sent(&platform, "held0"));
    assert!(descriptors() <= 100, "{} descriptors in use", descriptors());
    platform.program.signal("TERM");
    wait_until("all descriptors in use", || descriptors() >= 119);
    gate.open();
    let answers: Vec<String> = sockets.iter_mut().map(read_response).collect();
    let lost = answers
        .iter()
        .filter(|answer| !answer.starts_with("HTTP/1.1 "))
        .count();
    assert_eq!(lost, 0, "connections without a response, of 180");
    assert!(platform.program.child.wait().unwrap().success());
}

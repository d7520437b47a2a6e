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

    fn pass(&self) {
        let (open, told) = &*self.0;
        drop(
            told.wait_while(open.lock().unwrap(), |open| !*open)
                .unwrap(),
        );
    }
}

/// Index hosts that block the answer to each query whose id begins with `held` until the gate
/// opens.
fn held_by(gate: &Gate) -> Vec<FrameHost> {
    let host = |_| {
        let gate = gate.clone();
        FrameHost::start(move |id| {
            if id.starts_with("held") {
                gate.pass();
            }
            Say::Good(1, format!("value of {id}"))
        })
    };
    (0..3).map(host).collect()
}

fn silent() -> Vec<FrameHost> {
    (0..3).map(|_| FrameHost::start(|_| Say::Nothing)).collect()
}

fn seen(platform: &Platform) -> Vec<String> {
    platform.hosts.iter().flat_map(FrameHost::seen).collect()
}

fn is_out(platform: &Platform, id: &str) -> bool {
    seen(platform)
        .iter()
        .any(|line| line.starts_with(&format!("{id}.")))
}

fn say(socket: &mut TcpStream, text: &str) {
    socket.write_all(text.as_bytes()).unwrap();
}

/// Waits until the program has closed its listener.
fn until_it_accepts_nobody(platform: &Platform) {
    eventually("it takes no more connections", || {
        TcpStream::connect(platform.address).is_err()
    });
}

#[test]
fn bytes_behind_the_end_of_an_idle_connection_do_not_reset_it_and_are_not_acted_on() {
    for by_signal in [true, false] {
        let mut platform = Platform::start(settings(), held_by(&Gate::default()));
        let mut kept = platform.connect();
        say(&mut kept, &query("first", "page", &[0], ""));
        assert!(read_response(&mut kept).starts_with("HTTP/1.1 200"));
        if by_signal {
            platform.program.signal("TERM");
        }
        // Closed by the program, either for its shutdown or after a long idle time.
        assert_eq!(
            kept.read(&mut [0; 64]).unwrap(),
            0,
            "its end, and nothing before it"
        );
        // A client may have started its next request before it sees the end of the connection. On a
        // closed socket these bytes would cause a reset.
        say(&mut kept, &query("behind", "page", &[0], ""));
        assert_eq!(kept.read(&mut [0; 64]).unwrap(), 0, "no reset");
        if by_signal {
            // It waits only briefly for this client to close.
            assert!(platform.program.child.wait().unwrap().success());
        } else {
            assert!(
                platform
                    .ask("other", "page", &[0])
                    .starts_with("HTTP/1.1 200")
            );
        }
        assert!(
            !is_out(&platform, "behind"),
            "what is read after the end is not sent on"
        );
    }
}

#[test]
fn requests_sent_behind_one_that_is_held_are_answered_when_the_program_is_told_to_end() {
    let gate = Gate::default();
    let mut platform = Platform::start(settings(), held_by(&gate));
    let mut socket = platform.connect();
    let all: String = ["held", "b", "c"]
        .map(|id| query(id, "page", &[0], ""))
        .concat();
    say(&mut socket, &all);
    eventually("the first is out", || is_out(&platform, "held"));
    platform.program.signal("TERM");
    platform.program.signal("TERM");
    until_it_accepts_nobody(&platform);
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
        "the last of them says that nothing follows"
    );
    assert_eq!(socket.read(&mut [0; 1]).unwrap(), 0);
    assert!(platform.program.child.wait().unwrap().success());
}

#[test]
fn the_rest_of_a_request_that_comes_once_all_is_answered_is_still_owed_an_answer() {
    let mut platform = Platform::start(settings(), silent());
    let mut socket = platform.connect();
    let text = query("late", "page", &[0], "");
    let (begin, rest) = text.split_at(text.len() - 20);
    say(&mut socket, begin);
    platform.program.signal("TERM");
    // No query is open now; the program only waits for its last connections.
    until_it_accepts_nobody(&platform);
    say(&mut socket, rest);
    // No index host answers, so the query runs to its deadline, which is later than the wait for
    // connections.
    let answer = read_response(&mut socket);
    assert!(
        answer.starts_with("HTTP/1.1 5"),
        "its one answer: {answer:?}"
    );
    assert!(is_out(&platform, "late"));
    assert!(platform.program.child.wait().unwrap().success());
}

#[test]
fn a_client_that_goes_behind_bytes_that_nobody_reads_yet_has_its_parts_given_up_at_once() {
    let platform = Platform::start(settings(), silent());
    let mut socket = platform.connect();
    say(&mut socket, &query("gone", "search", &[0, 1], ""));
    // More than the program reads while a query is open.
    let more: String = (0..240)
        .map(|n| query(&format!("p{n}"), "page", &[0], ""))
        .collect();
    assert!(more.len() > 32 << 10, "{} bytes", more.len());
    say(&mut socket, &more);
    eventually("it is out", || is_out(&platform, "gone"));
    // When this request has its response, the program has read as much of the first connection as
    // it will.
    assert!(
        platform
            .say("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
            .starts_with("HTTP/1.1 200")
    );
    let start = Instant::now();
    close(socket);
    eventually("it is given up", || {
        seen(&platform)
            .iter()
            .any(|line| line.starts_with("given up gone."))
    });
    // Its own deadline would end it only after 2.5 s.
    assert!(
        start.elapsed() < Duration::from_millis(600),
        "{:?}",
        start.elapsed()
    );
    assert!(
        !seen(&platform).iter().any(|line| line.starts_with('p')),
        "nothing behind it is sent on"
    );
}

/// The client sends more than the system buffers, so its end is seen only after all of it is read.
#[test]
fn a_client_that_sends_without_end_behind_its_request_and_goes_has_its_parts_given_up_at_once() {
    let platform = Platform::start(settings(), silent());
    let mut socket = platform.connect();
    let start = Instant::now();
    say(&mut socket, &query("gone", "search", &[0, 1], ""));
    let body = "x".repeat(60_000);
    let one = format!(
        "POST /api HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    (0..400).for_each(|_| say(&mut socket, &one));
    close(socket);
    // The query's own deadline would end it only after 2.5 s, and then everything would be read.
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "written after {:?}",
        start.elapsed()
    );
    let start = Instant::now();
    eventually("it is given up", || {
        seen(&platform)
            .iter()
            .any(|line| line.starts_with("given up gone."))
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
fn a_client_that_reads_no_answers_and_ends_has_nothing_more_sent_on_however_much_it_reads_then() {
    // Too large for the system's buffers of a client that does not read.
    let large = |_| FrameHost::start(|_| Say::Good(1, "x".repeat(60_000)));
    let platform = Platform::start(settings(), (0..3).map(large).collect());
    let mut socket = platform.connect();
    let all: String = (0..6000)
        .map(|n| query(&format!("p{n}"), "search", &[0, 1, 2], ""))
        .collect();
    say(&mut socket, &all);
    let asked = || {
        seen(&platform)
            .iter()
            .filter(|line| line.starts_with('p'))
            .count()
    };
    let mut last = (0, Instant::now());
    eventually("no more is asked", || {
        if asked() > last.0 {
            last = (asked(), Instant::now());
        }
        last.0 > 0 && last.1.elapsed() > Duration::from_millis(700)
    });
    // So many responses wait in the program that it stops reading.
    assert!(last.0 < 600, "{} parts asked", last.0);
    socket.shutdown(Shutdown::Write).unwrap();
    let mut answers = Vec::new();
    let _ = socket.read_to_end(&mut answers);
    assert!(answers.len() > 1 << 20, "{} bytes", answers.len());
    assert!(
        platform
            .say("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
            .starts_with("HTTP/1.1 200")
    );
    assert_eq!(asked(), last.0, "sent on for a client that has gone");
}

/// The client closes its connection while the program is stopped, and the awaited answer arrives at
/// the same moment.
#[test]
fn a_client_that_goes_as_its_answer_comes_has_nothing_behind_it_sent_on() {
    for _ in 0..8 {
        let gate = Gate::default();
        let platform = Platform::start(settings(), held_by(&gate));
        let mut socket = platform.connect();
        say(
            &mut socket,
            &[
                query("held", "page", &[0], ""),
                query("behind", "page", &[1], ""),
            ]
            .concat(),
        );
        eventually("it is out", || is_out(&platform, "held"));
        platform.program.signal("STOP");
        close(socket);
        gate.open();
        // The host writes its answer while the signal is delivered; the result must be the same in
        // either order.
        platform.program.signal("CONT");
        let beside = platform.ask("beside", "page", &[0, 1, 2]);
        assert!(beside.starts_with("HTTP/1.1 200"), "{beside}");
        assert!(
            !is_out(&platform, "behind"),
            "sent on for a client that has gone"
        );
    }
}

/// A second small response must be written at once, even if the client has not acknowledged the
/// first. A delayed one arrives with the acknowledgement, 40 ms later each time.
#[test]
fn a_small_answer_behind_another_is_not_held_back() {
    let platform = Platform::start(settings(), held_by(&Gate::default()));
    let mut socket = platform.connect();
    let mut reader = BufReader::new(socket.try_clone().unwrap());
    let mut late = 0;
    for n in 0..30 {
        let both = [0, 1].map(|which| query(&format!("q{n}-{which}"), "page", &[which], ""));
        say(&mut socket, &both.concat());
        assert!(read_next_response(&mut reader).starts_with("HTTP/1.1 200"));
        let first = Instant::now();
        assert!(read_next_response(&mut reader).starts_with("HTTP/1.1 200"));
        late += u32::from(first.elapsed() > Duration::from_millis(35));
    }
    // A busy machine delays some of them; a delay until the acknowledgement affects all but the
    // first few.
    assert!(late < 20, "{late} of 30");
}

#[test]
fn requests_behind_more_than_is_kept_are_refused_in_their_order_and_what_follows_them_is_served() {
    let gate = Gate::default();
    let platform = Platform::start(settings(), held_by(&gate));
    let mut socket = platform.connect();
    say(&mut socket, &query("held", "page", &[0], ""));
    let pad = format!("X-Pad: {}\r\n", "p".repeat(1_000));
    let all: Vec<String> = (0..200)
        .map(|n| query(&format!("p{n}"), "page", &[0], &pad))
        .collect();
    let (last, rest) = all[199].split_at(50);
    say(&mut socket, &(all[..199].concat() + last));
    eventually("it is out", || is_out(&platform, "held"));
    // When these requests have their responses, the program has read the first connection.
    for _ in 0..20 {
        assert!(
            platform
                .say("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
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
        assert_eq!(
            refused, 0,
            "{n} is served behind one that is refused: {answer}"
        );
        assert!(
            answer.contains(&format!("value of p{n}.0")) || answer.starts_with("HTTP/1.1 503"),
            "{answer}"
        );
        kept += 1;
    }
    assert!(
        kept > 20 && refused > 20,
        "{kept} are kept, {refused} refused"
    );
    say(&mut socket, rest);
    assert!(
        next().contains("value of p199.0"),
        "the last one, which was only begun"
    );
}

/// A single waiting request is kept whatever its size.
#[test]
fn a_request_as_large_as_may_be_behind_one_that_waits_is_served() {
    let gate = Gate::default();
    let platform = Platform::start(settings(), held_by(&gate));
    let mut socket = platform.connect();
    let body = json!({"ranges": [{"range": 0, "portion": 1.0}], "predicate": "p".repeat(50_000)})
        .to_string();
    let large = format!(
        "POST /api HTTP/1.1\r\nX-Call-Id: large\r\nX-Call-Class: page\r\nX-Budget: 3.0\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let (begin, rest) = large.split_at(30_000);
    say(&mut socket, &(query("held", "page", &[0], "") + begin));
    eventually("the first is out", || is_out(&platform, "held"));
    // When this request has its response, the program has read the first connection.
    assert!(
        platform
            .say("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
            .starts_with("HTTP/1.1 200")
    );
    say(&mut socket, rest);
    gate.open();
    let mut answers = BufReader::new(socket);
    assert!(read_next_response(&mut answers).contains("value of held.0"));
    let answer = read_next_response(&mut answers);
    assert!(answer.contains("value of large.0"), "{answer}");
}

/// Bytes that are not a request, after more requests than the program keeps, are answered in their
/// turn, and the connection ends.
#[test]
fn what_makes_no_sense_behind_more_than_is_kept_is_said_to_once_all_before_it_is_answered() {
    let gate = Gate::default();
    let platform = Platform::start(settings(), held_by(&gate));
    let mut socket = platform.connect();
    let pad = format!("X-Pad: {}\r\n", "p".repeat(1_000));
    let all: String = (0..200)
        .map(|n| query(&format!("p{n}"), "page", &[0], &pad))
        .collect();
    say(
        &mut socket,
        &(query("held", "page", &[0], "") + &all + "no request\r\n\r\n" + &"z".repeat(100_000)),
    );
    eventually("it is out", || is_out(&platform, "held"));
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
fn a_client_that_ends_its_output_alone_still_gets_what_could_be_answered_at_once() {
    let platform = Platform::start(settings(), held_by(&Gate::default()));
    let asked = [
        ("GET /_health HTTP/1.1\r\n\r\n".to_owned(), "HTTP/1.1 200"),
        ("GET /nowhere HTTP/1.1\r\n\r\n".to_owned(), "HTTP/1.1 404"),
        (query("keyless", "shelf", &[0], ""), "HTTP/1.1 400"),
    ];
    for (text, wanted) in asked {
        platform.program.signal("STOP");
        let mut socket = platform.connect();
        say(&mut socket, &text);
        socket.shutdown(Shutdown::Write).unwrap();
        platform.program.signal("CONT");
        let answer = read_response(&mut socket);
        assert!(answer.starts_with(wanted), "{text}: {answer:?}");
    }
    // According to the protocol a client whose end has arrived has gone, so nothing is sent for its
    // query.
    let mut socket = platform.connect();
    platform.program.signal("STOP");
    say(&mut socket, &query("left", "page", &[0], ""));
    socket.shutdown(Shutdown::Write).unwrap();
    platform.program.signal("CONT");
    assert_eq!(socket.read(&mut [0; 64]).unwrap(), 0);
    assert!(
        platform
            .ask("next", "page", &[0])
            .starts_with("HTTP/1.1 200")
    );
    assert!(!is_out(&platform, "left"));
}

#[test]
fn a_client_that_comes_back_with_the_same_id_by_another_connection_finds_its_former_request_gone() {
    let gate = Gate::default();
    let platform = Platform::start(settings(), held_by(&gate));
    let (mut first, mut second) = (platform.connect(), platform.connect());
    say(&mut first, &query("held", "page", &[0], ""));
    eventually("it is out", || is_out(&platform, "held"));
    // The program sees both in one round, and the second connection's bytes before the end of the
    // first.
    let text = query("held", "page", &[1], "");
    let (begin, rest) = text.split_at(30);
    platform.program.signal("STOP");
    say(&mut second, begin);
    close(first);
    say(&mut second, rest);
    gate.open();
    platform.program.signal("CONT");
    let answer = read_response(&mut second);
    assert!(answer.contains("value of held.1"), "{answer}");
}

#[test]
fn idle_clients_leave_descriptors_for_discovery_and_index_hosts_however_many_the_system_gives() {
    // The configuration states more descriptors than the system allows.
    let platform = Platform::start_with(settings(), held_by(&Gate::default()), 1024, 120);
    let folder = format!("/proc/{}/fd", platform.program.child.id());
    let held = || std::fs::read_dir(&folder).unwrap().count();
    let mut most = 0;
    let mut crowd = Vec::new();
    for _ in 0..200 {
        crowd.push(platform.connect());
        most = most.max(held());
    }
    let answer = platform.ask("q", "page", &[0]);
    most = most.max(held());
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(most <= 100, "{most} of 120 descriptors");
    drop(crowd);
}

#[test]
fn a_client_that_goes_between_two_steps_has_the_second_given_up_at_once() {
    let say = |id: &str| {
        if id.ends_with(".r") {
            Say::Nothing
        } else {
            Say::Good(1, format!("value of {id}"))
        }
    };
    let platform = Platform::start(settings(), (0..3).map(|_| FrameHost::start(say)).collect());
    let mut socket = platform.connect();
    say_all(&mut socket, "steps");
    eventually("the second step is out", || {
        seen(&platform).iter().any(|line| line.contains(".r "))
    });
    let start = Instant::now();
    close(socket);
    let given_up = |line: &String| line.starts_with("given up steps.") && line.ends_with(".r");
    eventually("it is given up", || seen(&platform).iter().any(given_up));
    assert!(
        start.elapsed() < Duration::from_millis(600),
        "{:?}",
        start.elapsed()
    );
}

/// Sends a search for all three shards.
fn say_all(socket: &mut TcpStream, id: &str) {
    say(socket, &query(id, "search", &[0, 1, 2], ""));
}

#[test]
fn between_a_reload_and_its_end_the_program_goes_on_hearing_which_hosts_leave() {
    let mut platform = Platform::start(settings(), held_by(&Gate::default()));
    let mut kept = platform.connect();
    say(&mut kept, &query("a", "page", &[0], ""));
    assert!(read_response(&mut kept).starts_with("HTTP/1.1 200"));
    platform.reload(&platform.config.to_string());
    platform.program.signal("TERM");
    platform
        .discovery
        .tell(2, vec![target(0, platform.hosts[0].address, "leaving")]);
    // The connection is still served. Its health response reports the shutdown only after the
    // program has read the signal.
    eventually("it says that it ends", || {
        say(&mut kept, "GET /_health HTTP/1.1\r\n\r\n");
        read_response(&mut kept).contains("told to end")
    });
    eventually("the news is there", || {
        let before = platform.hosts[0].seen().len();
        let mut other = platform.connect();
        let ids = ["b", "c", "d", "e", "f", "g"].map(|id| format!("{id}{before}"));
        for id in ids {
            say(&mut other, &query(&id, "page", &[0], ""));
            let answer = read_response(&mut other);
            assert!(answer.contains(&format!("value of {id}.0")), "{answer}");
        }
        platform.hosts[0].seen().len() == before
    });
    assert!(platform.program.child.wait().unwrap().success());
}

/// During shutdown, more connections wait in the backlog than the program has descriptors for. They
/// are accepted as others finish.
#[test]
fn whoever_waits_in_the_backlog_without_a_descriptor_left_is_answered_before_the_end() {
    let gate = Gate::default();
    let mut settings = settings();
    settings["limits"]["max_open"] = json!(1000);
    let mut platform = Platform::start_with(settings, held_by(&gate), 1024, 120);
    let folder = format!("/proc/{}/fd", platform.program.child.id());
    let descriptors = || std::fs::read_dir(&folder).map_or(0, Iterator::count);
    let mut sockets: Vec<TcpStream> = (0..180).map(|_| platform.connect()).collect();
    for (n, socket) in sockets.iter_mut().enumerate() {
        say(socket, &query(&format!("held{n}"), "page", &[0], ""));
    }
    eventually("some are out", || is_out(&platform, "held0"));
    assert!(
        descriptors() <= 100,
        "{} descriptors: the others wait in the backlog",
        descriptors()
    );
    platform.program.signal("TERM");
    eventually("it has none left", || descriptors() >= 119);
    gate.open();
    let answers: Vec<String> = sockets.iter_mut().map(read_response).collect();
    let lost = answers
        .iter()
        .filter(|answer| !answer.starts_with("HTTP/1.1 "))
        .count();
    assert_eq!(lost, 0, "of 180 that had connected");
    assert!(platform.program.child.wait().unwrap().success());
}

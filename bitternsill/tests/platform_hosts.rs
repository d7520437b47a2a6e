//! Index hosts and their answers to the program in platform mode.

mod common;

use common::*;
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[test]
fn part_that_never_ran_is_retried_with_its_key() {
    // Shard 1 is on the hosts of cells 1 and 2; the first turns every part away.
    let mut hosts = three_hosts();
    hosts[1] = FrameHost::start(|_| PartReply::Later);
    let platform = Platform::start(settings(), hosts);
    for i in 0..6 {
        let id = format!("q{i}");
        let answer = platform.send_request(&query(
            &id,
            "shelf",
            &[1],
            "Idempotency-Key: k1\r\nConnection: close\r\n",
        ));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    let served = platform.hosts[2].received();
    assert_eq!(served.len(), 6);
    assert!(
        served.iter().all(|line| line.contains("[k=k1]")),
        "{served:?}"
    );
}

#[test]
fn broken_connection_gives_one_answer_and_avoids_host() {
    let mut hosts = three_hosts();
    hosts[0] = FrameHost::start(|_| PartReply::Close);
    let platform = Platform::start(settings(), hosts);
    let mut served = 0;
    for i in 0..12 {
        // The part may have run, so the query is either served by another host or rejected.
        let answer = platform.send_query(&format!("q{i}"), "page", &[0]);
        let whole =
            answer.starts_with("HTTP/1.1 200") && answer.contains(&format!("value of q{i}.0"));
        assert!(whole || answer.starts_with("HTTP/1.1 503"), "{answer}");
        served += u32::from(whole);
    }
    assert!(served >= 6, "{served} of 12 served");
    assert!(
        platform.hosts[0].received().len() <= 6,
        "{:?}",
        platform.hosts[0].received()
    );
}

#[test]
fn unreachable_host_costs_only_connect_timeout() {
    // Two unaccepted connections fill this listener; further ones get no answer at all.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::net::listen(&listener, 0).unwrap();
    let address = listener.local_addr().unwrap();
    let fill: Vec<_> = (0..4)
        .map(|_| TcpStream::connect_timeout(&address, Duration::from_millis(100)))
        .collect();
    assert!(fill.last().unwrap().is_err(), "listener not full");
    let mut hosts = three_hosts();
    hosts[0].address = address;
    let platform = Platform::start(settings(), hosts);
    for i in 0..6 {
        let id = format!("q{i}");
        let start = Instant::now();
        let answer = platform.send_request(&query(
            &id,
            "shelf",
            &[0],
            "Idempotency-Key: k\r\nConnection: close\r\n",
        ));
        assert!(
            answer.starts_with("HTTP/1.1 200"),
            "part not retried on another host: {answer}"
        );
        assert!(
            start.elapsed() < Duration::from_millis(1200),
            "{:?}",
            start.elapsed()
        );
    }
}

#[test]
fn partial_answer_names_only_answered_shards() {
    // Shard 1 is on the hosts of cells 1 and 2, which do not answer its parts.
    let reply = |id: &str| {
        let lost = id.ends_with(".1") || id.ends_with(".1.r");
        if lost {
            PartReply::NoReply
        } else {
            PartReply::Good(7, format!("value of {id}"))
        }
    };
    let platform = Platform::start(
        settings(),
        (0..3).map(|_| FrameHost::start(reply)).collect(),
    );
    let answer = platform.send_query("s", "search", &[0, 1, 2]);
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.contains("\"total\":false"),
        "{answer}"
    );
    let received: Vec<String> = platform
        .hosts
        .iter()
        .flat_map(FrameHost::received)
        .collect();
    let mut second: Vec<&str> = received
        .iter()
        .filter(|line| line.contains(".r "))
        .map(String::as_str)
        .collect();
    second.sort_unstable();
    second.dedup();
    assert_eq!(
        second,
        [
            "s.0.r 0 [from=0+2,whole=0] c41e77d0",
            "s.2.r 2 [from=0+2,whole=0] c41e77d0"
        ]
    );
    // A page needs every part. Without one, the query is rejected within the client's budget.
    let start = Instant::now();
    let answer = platform.send_query("p", "page", &[0, 1]);
    assert!(
        answer.starts_with("HTTP/1.1 503") && start.elapsed() < Duration::from_secs(3),
        "{answer}"
    );
}

#[test]
fn malformed_answer_is_one_failed_attempt() {
    // A malformed answer of each kind, selected by the first character of the query's id.
    let malformed = |id: &str| -> Vec<u8> {
        let answer = |name: &str, end: &str| {
            frame(b'q', format!("{name} {end}\nvalue of {name}").as_bytes())
        };
        match &id[..1] {
            "0" => answer("nobody.0", "good 7 -"),
            "1" => answer(id, "well 7 -"),
            "2" => frame(b'z', b"?"),
            "3" => vec![0, 0, 0, 192, b'q'],
            // The length includes the bytes that follow the frame.
            "4" => {
                let mut long = answer(id, "good 7 -");
                long[0] += 60;
                [long, vec![0; 60]].concat()
            }
            // The rest of the announced length never arrives.
            _ => vec![200, 0, 0, 0, b'q', b'x'],
        }
    };
    for kind in 0..6 {
        let mut hosts = three_hosts();
        hosts[0] = FrameHost::start(move |id| PartReply::Raw(malformed(id)));
        let platform = Platform::start(settings(), hosts);
        // Shard 0 is on the first two hosts, and only the first sends malformed answers.
        for i in 0.. {
            let (id, start) = (format!("{kind}f{i}"), Instant::now());
            let answer = platform.send_query(&id, "page", &[0]);
            let whole = answer.starts_with("HTTP/1.1 200")
                && answer.contains(&format!("\"value of {id}.0\""));
            assert!(whole, "{answer}");
            assert!(
                start.elapsed() < Duration::from_millis(1300),
                "{id}: {:?}",
                start.elapsed()
            );
            if !platform.hosts[0].received().is_empty() {
                break;
            }
        }
    }
    // Valid answers with extra data: a second copy, random bytes, an unreadable report.
    let reply = |id: &str| {
        let good = frame(b'q', format!("{id} good 7 -\nvalue of {id}").as_bytes());
        PartReply::Raw(match &id[..1] {
            "0" => good.repeat(2),
            "1" => [good, b"\xff\xff\xff\xffnoise".to_vec()].concat(),
            _ => frame(
                b'q',
                &[id.as_bytes(), b" good 7 \xc3\x28\nvalue of ", id.as_bytes()].concat(),
            ),
        })
    };
    let platform = Platform::start(
        settings(),
        (0..3).map(|_| FrameHost::start(reply)).collect(),
    );
    for i in 0..9 {
        let id = format!("{}q{i}", i % 3);
        let answer = platform.send_query(&id, "page", &[i % 2]);
        assert!(
            answer.contains(&format!("value of {id}.{}", i % 2)),
            "{answer}"
        );
    }
    let received: Vec<String> = platform
        .hosts
        .iter()
        .flat_map(FrameHost::received)
        .collect();
    assert_eq!(received.len(), 9, "not one attempt per part: {received:?}");
}

#[test]
fn silent_connection_gets_no_more_parts() {
    // The first connection to each host goes silent after its first answer, as if a middlebox had
    // dropped its state.
    let hosts = (0..3).map(|_| {
        let first = Arc::new(AtomicU32::new(0));
        FrameHost::start_by_connection(move |number, id| {
            let answered = number == 0 && first.fetch_add(1, Ordering::SeqCst) > 0;
            if answered {
                PartReply::NoReply
            } else {
                PartReply::Good(1, format!("value of {id}"))
            }
        })
    });
    let platform = Platform::start(settings(), hosts.collect());
    for i in 0..40 {
        let more = "Idempotency-Key: k\r\nConnection: close\r\n";
        let answer = platform.send_request(&query(&format!("q{i}"), "shelf", &[i % 3], more));
        // Parts on a connection that goes silent are cancelled in time for another attempt.
        assert!(answer.starts_with("HTTP/1.1 200"), "{i}: {answer}");
    }
}

#[test]
fn second_step_parts_follow_its_first_part() {
    // A host that has not been told of the end of the first step rejects a part of the second.
    let first_parts: Arc<Mutex<HashMap<String, (usize, Instant)>>> = Arc::default();
    let hosts = (0..3).map(|host| {
        let first_parts = first_parts.clone();
        FrameHost::start(move |id| {
            if let Some((query, _)) = id.strip_suffix(".r").and_then(|id| id.split_once('.')) {
                let mut first_parts = first_parts.lock().unwrap();
                let (first, at) = *first_parts
                    .entry(query.to_owned())
                    .or_insert((host, Instant::now()));
                if first != host && at.elapsed() < Duration::from_millis(2) {
                    return PartReply::Bad;
                }
            }
            PartReply::Good(7, format!("value of {id}"))
        })
    });
    let platform = Platform::start(settings(), hosts.collect());
    for i in 0..12 {
        let answer = platform.send_query(&format!("s{i}"), "search", &[0, 1, 2]);
        assert!(answer.contains("\"total\":true"), "{answer}");
    }
    let received: Vec<String> = platform
        .hosts
        .iter()
        .flat_map(FrameHost::received)
        .collect();
    // If all parts of the second step were sent at once, nearly each of 12 queries would have one
    // rejected; a thread of a host may still be late now and then.
    let sent = received.iter().filter(|line| line.contains(".r ")).count();
    assert!(
        (24..=29).contains(&sent),
        "{sent} parts for 24: {received:?}"
    );
}

#[test]
fn long_text_is_sent_in_bounded_frames() {
    let platform = Platform::start(settings(), three_hosts());
    let text = "x".repeat(40_000);
    let ranges =
        r#"[{"range":0,"portion":0.4},{"range":1,"portion":0.3},{"range":2,"portion":0.3}]"#;
    let body = format!(r#"{{"ranges":{ranges},"predicate":"{text}"}}"#);
    for i in 0..8 {
        let answer = platform.send_request(&format!(
            "POST /api HTTP/1.1\r\nX-Call-Id: q{i}\r\nX-Call-Class: page\r\nX-Budget: 3.0\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    let longest = platform
        .hosts
        .iter()
        .map(|h| h.longest_frame.load(Ordering::SeqCst))
        .max();
    assert!(
        longest.is_some_and(|bytes| bytes < 65_000),
        "a frame of {longest:?} bytes"
    );
}

#[test]
fn partial_answer_requires_minimum_weight() {
    let mut settings = settings();
    settings["extra"]["class_fetch"] = serde_json::json!([0, 0, 0]);
    settings["extra"]["floor_by_class"] = serde_json::json!([0.7, 1.0, 1.0]);
    // Shard 2 is on the hosts of cells 2 and 0, which do not answer its parts.
    let hosts = |_| {
        FrameHost::start(|id: &str| {
            if id.ends_with(".2") {
                PartReply::NoReply
            } else {
                good_reply(1)(id)
            }
        })
    };
    let platform = Platform::start(settings, (0..3).map(hosts).collect());
    let ask = |id: &str, portions: [f64; 2]| {
        let body = format!(
            r#"{{"ranges":[{{"range":1,"portion":{}}},{{"range":2,"portion":{}}}],"predicate":"q"}}"#,
            portions[0], portions[1]
        );
        platform.send_request(&format!(
            "POST /api/k HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Call-Class: search\r\nX-Budget: 3\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ))
    };
    let enough = ask("enough", [0.7, 0.3]);
    assert!(
        enough.starts_with("HTTP/1.1 200") && enough.contains("\"total\":false"),
        "{enough}"
    );
    assert!(
        enough.contains("value of enough.1") && !enough.contains("\"range\":2"),
        "{enough}"
    );
    let short = ask("short", [0.69, 0.31]);
    assert!(short.starts_with("HTTP/1.1 503"), "{short}");
}

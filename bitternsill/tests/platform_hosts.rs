//! Index hosts and their answers to the program in platform mode.

mod common;

use common::*;
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[test]
fn a_part_that_never_ran_is_sent_elsewhere_and_a_keyed_one_keeps_its_key() {
    // Shard 1 is on the hosts of cells 1 and 2; the first turns every part away.
    let mut hosts = three();
    hosts[1] = FrameHost::start(|_| Say::Later);
    let platform = Platform::start(settings(), hosts);
    for i in 0..6 {
        let id = format!("q{i}");
        let answer = platform.say(&query(
            &id,
            "shelf",
            &[1],
            "Idempotency-Key: k1\r\nConnection: close\r\n",
        ));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    let served = platform.hosts[2].seen();
    assert_eq!(served.len(), 6);
    assert!(
        served.iter().all(|line| line.contains("[k=k1]")),
        "{served:?}"
    );
}

#[test]
fn a_connection_that_breaks_gives_one_final_answer_and_its_host_is_left_alone() {
    let mut hosts = three();
    hosts[0] = FrameHost::start(|_| Say::HangUp);
    let platform = Platform::start(settings(), hosts);
    let mut served = 0;
    for i in 0..12 {
        // The part may have run, so the query is either served by another host or rejected.
        let answer = platform.ask(&format!("q{i}"), "page", &[0]);
        let whole =
            answer.starts_with("HTTP/1.1 200") && answer.contains(&format!("value of q{i}.0"));
        assert!(whole || answer.starts_with("HTTP/1.1 503"), "{answer}");
        served += u32::from(whole);
    }
    assert!(served >= 6, "{served} of 12 served");
    assert!(
        platform.hosts[0].seen().len() <= 6,
        "{:?}",
        platform.hosts[0].seen()
    );
}

#[test]
fn a_host_to_which_no_connection_comes_up_costs_only_the_connect_time() {
    // Two unaccepted connections fill this listener; further ones get no answer at all.
    let deaf = TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::net::listen(&deaf, 0).unwrap();
    let address = deaf.local_addr().unwrap();
    let fill: Vec<_> = (0..4)
        .map(|_| TcpStream::connect_timeout(&address, Duration::from_millis(100)))
        .collect();
    assert!(fill.last().unwrap().is_err(), "the listener is full");
    let mut hosts = three();
    hosts[0].address = address;
    let platform = Platform::start(settings(), hosts);
    for i in 0..6 {
        let id = format!("q{i}");
        let start = Instant::now();
        let answer = platform.say(&query(
            &id,
            "shelf",
            &[0],
            "Idempotency-Key: k\r\nConnection: close\r\n",
        ));
        assert!(
            answer.starts_with("HTTP/1.1 200"),
            "it never ran, so it is sent elsewhere: {answer}"
        );
        assert!(
            start.elapsed() < Duration::from_millis(1200),
            "{:?}",
            start.elapsed()
        );
    }
}

#[test]
fn an_answer_short_of_whole_says_so_and_names_only_the_shards_that_are_in() {
    // Shard 1 is on the hosts of cells 1 and 2, which do not answer its parts.
    let say = |id: &str| {
        let lost = id.ends_with(".1") || id.ends_with(".1.r");
        if lost {
            Say::Nothing
        } else {
            Say::Good(7, format!("value of {id}"))
        }
    };
    let platform = Platform::start(settings(), (0..3).map(|_| FrameHost::start(say)).collect());
    let answer = platform.ask("s", "search", &[0, 1, 2]);
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.contains("\"total\":false"),
        "{answer}"
    );
    let seen: Vec<String> = platform.hosts.iter().flat_map(FrameHost::seen).collect();
    let mut second: Vec<&str> = seen
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
    let answer = platform.ask("p", "page", &[0, 1]);
    assert!(
        answer.starts_with("HTTP/1.1 503") && start.elapsed() < Duration::from_secs(3),
        "{answer}"
    );
}

#[test]
fn a_spoilt_answer_is_one_failed_attempt_and_what_is_good_is_passed_on_whatever_lies_behind_it() {
    // A malformed answer of each kind, selected by the first character of the query's id.
    let spoilt = |id: &str| -> Vec<u8> {
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
    for way in 0..6 {
        let mut hosts = three();
        hosts[0] = FrameHost::start(move |id| Say::Raw(spoilt(id)));
        let platform = Platform::start(settings(), hosts);
        // Shard 0 is on the first two hosts, and only the first sends malformed answers.
        for i in 0.. {
            let (id, start) = (format!("{way}f{i}"), Instant::now());
            let answer = platform.ask(&id, "page", &[0]);
            let whole = answer.starts_with("HTTP/1.1 200")
                && answer.contains(&format!("\"value of {id}.0\""));
            assert!(whole, "{answer}");
            assert!(
                start.elapsed() < Duration::from_millis(1300),
                "{id}: {:?}",
                start.elapsed()
            );
            if !platform.hosts[0].seen().is_empty() {
                break;
            }
        }
    }
    // Valid answers with extra data: a second copy, random bytes, an unreadable report.
    let say = |id: &str| {
        let good = frame(b'q', format!("{id} good 7 -\nvalue of {id}").as_bytes());
        Say::Raw(match &id[..1] {
            "0" => good.repeat(2),
            "1" => [good, b"\xff\xff\xff\xffnoise".to_vec()].concat(),
            _ => frame(
                b'q',
                &[id.as_bytes(), b" good 7 \xc3\x28\nvalue of ", id.as_bytes()].concat(),
            ),
        })
    };
    let platform = Platform::start(settings(), (0..3).map(|_| FrameHost::start(say)).collect());
    for i in 0..9 {
        let id = format!("{}q{i}", i % 3);
        let answer = platform.ask(&id, "page", &[i % 2]);
        assert!(
            answer.contains(&format!("value of {id}.{}", i % 2)),
            "{answer}"
        );
    }
    let seen: Vec<String> = platform.hosts.iter().flat_map(FrameHost::seen).collect();
    assert_eq!(seen.len(), 9, "each was sent once: {seen:?}");
}

#[test]
fn a_connection_that_falls_silent_takes_no_more_work_while_its_host_lives_on() {
    // The first connection to each host goes silent after its first answer, as if a middlebox had
    // dropped its state.
    let hosts = (0..3).map(|_| {
        let first = Arc::new(AtomicU32::new(0));
        FrameHost::start_by_connection(move |number, id| {
            let answered = number == 0 && first.fetch_add(1, Ordering::SeqCst) > 0;
            if answered {
                Say::Nothing
            } else {
                Say::Good(1, format!("value of {id}"))
            }
        })
    });
    let platform = Platform::start(settings(), hosts.collect());
    for i in 0..40 {
        let more = "Idempotency-Key: k\r\nConnection: close\r\n";
        let answer = platform.say(&query(&format!("q{i}"), "shelf", &[i % 3], more));
        // Parts on a connection that goes silent are cancelled in time for another attempt.
        assert!(answer.starts_with("HTTP/1.1 200"), "{i}: {answer}");
    }
}

#[test]
fn the_parts_of_a_second_step_follow_the_one_that_begins_it() {
    // A host that has not been told of the end of the first step rejects a part of the second.
    let begun: Arc<Mutex<HashMap<String, (usize, Instant)>>> = Arc::default();
    let hosts = (0..3).map(|host| {
        let begun = begun.clone();
        FrameHost::start(move |id| {
            if let Some((query, _)) = id.strip_suffix(".r").and_then(|id| id.split_once('.')) {
                let mut begun = begun.lock().unwrap();
                let (first, at) = *begun
                    .entry(query.to_owned())
                    .or_insert((host, Instant::now()));
                if first != host && at.elapsed() < Duration::from_millis(2) {
                    return Say::Bad;
                }
            }
            Say::Good(7, format!("value of {id}"))
        })
    });
    let platform = Platform::start(settings(), hosts.collect());
    for i in 0..12 {
        let answer = platform.ask(&format!("s{i}"), "search", &[0, 1, 2]);
        assert!(answer.contains("\"total\":true"), "{answer}");
    }
    let seen: Vec<String> = platform.hosts.iter().flat_map(FrameHost::seen).collect();
    // If all parts of the second step were sent at once, nearly each of 12 queries would have one
    // rejected; a thread of a host may still be late now and then.
    let sent = seen.iter().filter(|line| line.contains(".r ")).count();
    assert!((24..=29).contains(&sent), "{sent} parts for 24: {seen:?}");
}

#[test]
fn a_long_text_is_passed_on_in_frames_of_a_bounded_size() {
    let platform = Platform::start(settings(), three());
    let text = "x".repeat(40_000);
    let ranges =
        r#"[{"range":0,"portion":0.4},{"range":1,"portion":0.3},{"range":2,"portion":0.3}]"#;
    let body = format!(r#"{{"ranges":{ranges},"predicate":"{text}"}}"#);
    for i in 0..8 {
        let answer = platform.say(&format!(
            "POST /api HTTP/1.1\r\nX-Call-Id: q{i}\r\nX-Call-Class: page\r\nX-Budget: 3.0\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    let longest = platform
        .hosts
        .iter()
        .map(|h| h.longest.load(Ordering::SeqCst))
        .max();
    assert!(
        longest.is_some_and(|bytes| bytes < 65_000),
        "a frame of {longest:?} bytes"
    );
}

#[test]
fn an_answer_from_070_of_the_weight_is_given_as_partial_and_one_from_069_is_not() {
    let mut settings = settings();
    settings["extra"]["class_fetch"] = serde_json::json!([0, 0, 0]);
    settings["extra"]["floor_by_class"] = serde_json::json!([0.7, 1.0, 1.0]);
    // Shard 2 is on the hosts of cells 2 and 0, which do not answer its parts.
    let hosts = |_| {
        FrameHost::start(|id: &str| {
            if id.ends_with(".2") {
                Say::Nothing
            } else {
                good(1)(id)
            }
        })
    };
    let platform = Platform::start(settings, (0..3).map(hosts).collect());
    let ask = |id: &str, portions: [f64; 2]| {
        let body = format!(
            r#"{{"ranges":[{{"range":1,"portion":{}}},{{"range":2,"portion":{}}}],"predicate":"q"}}"#,
            portions[0], portions[1]
        );
        platform.say(&format!(
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

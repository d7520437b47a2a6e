//! Client connections and shutdown of the program in platform mode.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn a_query_is_served_whatever_the_split_of_its_bytes_and_a_second_step_follows() {
    let platform = Platform::start(settings(), three_hosts());
    let mut socket = platform.connect();
    for byte in query("one", "page", &[0, 1], "").bytes() {
        socket.write_all(&[byte]).unwrap();
    }
    let page = read_response(&mut socket);
    // The connection stays open. A body may be sent in chunks.
    let body = r#"{"ranges":[{"range":0,"portion":0.4},{"range":1,"portion":0.3},{"range":2,"portion":0.3}],"predicate":"q"}"#;
    write!(
        socket,
        "POST /api HTTP/1.1\r\nX-Call-Id: two\r\nX-Call-Class: search\r\nX-Budget: 4\r\n\
         Transfer-Encoding: chunked\r\n\r\n10\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n",
        &body[..16],
        body.len() - 16,
        &body[16..]
    )
    .unwrap();
    let search = read_response(&mut socket);
    // Two parts of the second step carry the shards that answered in the first.
    let received: Vec<String> = platform
        .hosts
        .iter()
        .flat_map(FrameHost::received)
        .collect();
    let second: Vec<&String> = received
        .iter()
        .filter(|line| line.contains(".r "))
        .collect();
    assert_eq!(second.len(), 2, "{received:?}");
    assert!(
        second
            .iter()
            .all(|line| line.contains("[from=0+1+2,whole=1] q")),
        "{second:?}"
    );
    assert!(
        search.starts_with("HTTP/1.1 200") && search.contains("\"total\":true"),
        "{search}"
    );
    assert_eq!(search.matches("value of two.").count(), 2, "{search}");
    insta::assert_snapshot!(page);
}

#[test]
fn what_is_no_query_gets_a_4xx_and_the_program_lives_on() {
    let platform = Platform::start(settings(), three_hosts());
    let whole = query("id", "page", &[0], "Connection: close\r\n");
    let cases = [
        "GET / HTTP/1.1\r\n\r\n".to_owned(),
        "GET /api HTTP/1.1\r\n\r\n".to_owned(),
        "\u{1}\u{2}\r\n\r\n".to_owned(),
        whole.replace("X-Call-Id: id", "X-Call-Id: i d"),
        whole.replace("X-Call-Class: page", "X-Call-Class: none"),
        whole.replace("X-Budget: 3.0", "X-Budget: -1"),
        whole.replace("X-Budget: 3.0", "X-Budget: inf"),
        whole.replace("\"range\":0", "\"range\":9"),
        whole.replace("\"portion\":1.0", "\"portion\":-10"),
        whole.replace("\"predicate\"", "\"predicat3\""),
        whole.replace("Content-Length: ", "Content-Length: 9999999"),
        whole.replace("X-Budget: 3.0", "X-Budget: 0"),
        whole.replace("\"portion\":1.0", "\"portion\":0.5"),
        query("id", "page", &[1, 1], "Connection: close\r\n"),
        query("id", "shelf", &[1], "Connection: close\r\n"),
    ];
    let said: Vec<String> = cases
        .iter()
        .map(|case| {
            let answer = platform.send_request(case);
            let body = answer
                .split("\n\n")
                .nth(1)
                .unwrap_or_default()
                .trim()
                .to_owned();
            format!("{} {body}", answer.lines().next().unwrap_or_default())
        })
        .collect();
    insta::assert_snapshot!(said.join("\n"));
    assert!(
        platform
            .send_query("after", "page", &[0])
            .starts_with("HTTP/1.1 200")
    );
}

#[test]
fn sigterm_finishes_open_requests_and_exits_with_0() {
    let slow = |id: &str| {
        if id.starts_with("slow") {
            std::thread::sleep(Duration::from_millis(1200));
        }
        PartReply::Good(1, "late".to_owned())
    };
    let mut platform =
        Platform::start(settings(), (0..3).map(|_| FrameHost::start(slow)).collect());
    let mut held = platform.connect();
    held.write_all(query("slow", "page", &[0], "").as_bytes())
        .unwrap();
    let mut kept = platform.connect();
    kept.write_all(query("k1", "page", &[0], "").as_bytes())
        .unwrap();
    assert!(!read_response(&mut kept).contains("Connection: close"));
    let start = Instant::now();
    platform.program.signal("TERM");
    platform.program.signal("HUP");
    std::thread::sleep(Duration::from_millis(100));
    kept.write_all(query("k2", "page", &[1], "").as_bytes())
        .unwrap();
    assert!(
        !read_response(&mut kept).contains("Connection: close"),
        "connection closed too early in the shutdown"
    );
    std::thread::sleep(Duration::from_millis(500));
    // New and kept connections are still served, with `Connection: close`.
    assert!(
        platform
            .send_query("new", "page", &[1])
            .starts_with("HTTP/1.1 200")
    );
    kept.write_all(query("k3", "page", &[1], "").as_bytes())
        .unwrap();
    let answer = read_response(&mut kept);
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.contains("Connection: close"),
        "{answer}"
    );
    let answer = read_response(&mut held);
    assert!(
        answer.contains("late") && answer.contains("Connection: close"),
        "{answer}"
    );
    assert_eq!(
        held.read(&mut [0; 1]).unwrap(),
        0,
        "data after the response"
    );
    let status = platform.program.child.wait().unwrap();
    assert!(status.success(), "{status}");
    assert!(
        start.elapsed() > Duration::from_millis(700),
        "exit without a grace period"
    );
}

#[test]
fn disconnect_cancels_parts() {
    let hosts = (0..3)
        .map(|_| FrameHost::start(|_| PartReply::NoReply))
        .collect();
    let platform = Platform::start(settings(), hosts);
    let mut socket = platform.connect();
    socket
        .write_all(query("gone", "page", &[0], "").as_bytes())
        .unwrap();
    let received = || {
        platform
            .hosts
            .iter()
            .flat_map(FrameHost::received)
            .collect::<Vec<_>>()
    };
    wait_until("part sent", || {
        received().iter().any(|line| line.starts_with("gone.0"))
    });
    let start = Instant::now();
    close(socket);
    wait_until("part cancelled", || {
        received().contains(&"cancelled gone.0".to_owned())
    });
    // Its own deadline would end it only after 1.5 s.
    assert!(
        start.elapsed() < Duration::from_millis(600),
        "{:?}",
        start.elapsed()
    );
}

#[test]
fn more_clients_than_descriptors_are_served_by_closing_idle_connections() {
    // Once as many as configured, and once fewer, so that accept fails.
    for (configured, available) in [(256, 1024), (1024, 120)] {
        let platform = Platform::start_with(settings(), three_hosts(), configured, available);
        // Every connection stays open and idle after its response.
        let mut idle = Vec::new();
        for i in 0..300 {
            let mut socket = platform.connect();
            socket
                .write_all(query(&format!("q{i}"), "page", &[i % 3], "").as_bytes())
                .unwrap();
            let answer = read_response(&mut socket);
            assert!(
                answer.starts_with("HTTP/1.1 200"),
                "{configured}, {i}: {answer}"
            );
            idle.push(socket);
        }
    }
}

#[test]
fn query_after_stall_is_answered_within_client_budget() {
    let hosts = (0..3)
        .map(|_| FrameHost::start(|_| PartReply::NoReply))
        .collect();
    let platform = Platform::start(settings(), hosts);
    let text = query("q", "page", &[0], "").replace("X-Budget: 3.0", "X-Budget: 2.0");
    platform.program.signal("STOP");
    // The connection also arrives while the program is stopped, and is accepted before anything on
    // it is read.
    let mut socket = platform.connect();
    let start = Instant::now();
    socket.write_all(text.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(1200));
    platform.program.signal("CONT");
    let answer = read_response(&mut socket);
    assert!(answer.starts_with("HTTP/1.1 5"), "{answer}");
    let took = start.elapsed();
    assert!(
        took < Duration::from_millis(2400),
        "response after {took:?}"
    );
}

#[test]
fn query_over_limit_is_rejected_with_retry_after() {
    let mut settings = settings();
    settings["limits"]["max_open"] = 2.into();
    let hosts = (0..3)
        .map(|_| FrameHost::start(|_| PartReply::NoReply))
        .collect();
    let platform = Platform::start(settings, hosts);
    let mut held = platform.connect();
    held.write_all(query("held", "page", &[0], "").as_bytes())
        .unwrap();
    let any_sent = || platform.hosts.iter().any(|h| !h.received().is_empty());
    wait_until("first part sent", any_sent);
    let start = Instant::now();
    let answer = platform.send_query("more", "page", &[0]);
    assert!(
        answer.starts_with("HTTP/1.1 503") && answer.contains("Retry-After: 2.000"),
        "{answer}"
    );
    assert!(
        start.elapsed() < Duration::from_millis(1000),
        "rejected only after {:?}",
        start.elapsed()
    );
}

/// Sends these bytes; returns everything received until the connection ends, and the time taken.
fn exchange(platform: &Platform, request: &[u8]) -> (String, Duration) {
    let mut socket = platform.connect();
    let start = Instant::now();
    let _ = socket.write_all(request);
    let mut response = Vec::new();
    let _ = socket.read_to_end(&mut response);
    (
        String::from_utf8_lossy(&response).into_owned(),
        start.elapsed(),
    )
}

#[test]
fn incomplete_and_oversized_requests_are_rejected_in_time() {
    let platform = Platform::start(settings(), three_hosts());
    let whole = query("half", "page", &[0], "");
    let huge = [
        &b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"[..],
        &chunks(20 << 20),
    ]
    .concat();
    let cases: [(&str, &[u8]); 6] = [
        ("", b""),
        ("HTTP/1.1 408", b"POST /api HTTP/1.1\r\nX-Call"),
        ("HTTP/1.1 408", &whole.as_bytes()[..whole.len() - 9]),
        ("HTTP/1.1 431", &[b'x'; 40_000]),
        // The program must read all of it, or a reset would discard the response.
        ("HTTP/1.1 413", &huge),
        (
            "HTTP/1.1 400",
            b"POST /api HTTP/1.1\r\nContent-Length: -5\r\n\r\nhello",
        ),
    ];
    let platform = &platform;
    std::thread::scope(|scope| {
        for (wanted, request) in cases {
            scope.spawn(move || {
                let (response, took) = exchange(platform, request);
                assert!(
                    response.starts_with(wanted) && response.is_empty() == wanted.is_empty(),
                    "{wanted}: {response}"
                );
                assert!(took < Duration::from_millis(2900), "{wanted}: {took:?}");
            });
        }
    });
}

fn chunks(bytes: usize) -> Vec<u8> {
    let chunk = [&b"10000\r\n"[..], &[b'x'; 0x10000], b"\r\n"].concat();
    chunk.repeat(bytes / 0x10000)
}

#[test]
fn nothing_is_read_after_malformed_request() {
    let platform = Platform::start(settings(), three_hosts());
    let hidden = query("hidden", "page", &[0], "");
    let both =
        "POST /api HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let short = query("short", "page", &[0], "").replace("Content-Length: ", "Content-Length: 0");
    for cover in [both, &short[..short.len() - 40]] {
        let (response, _) = exchange(&platform, format!("{cover}{hidden}").as_bytes());
        assert!(
            response.starts_with("HTTP/1.1 400") && response.matches("HTTP/1.1").count() == 1,
            "{response}"
        );
    }
    assert!(platform.hosts.iter().all(|h| h.received().is_empty()));
}

#[test]
fn id_of_open_query_is_rejected_until_answered() {
    let slow = |id: &str| {
        std::thread::sleep(Duration::from_millis(400));
        PartReply::Good(1, format!("value of {id}"))
    };
    let platform = Platform::start(settings(), (0..3).map(|_| FrameHost::start(slow)).collect());
    let mut first = platform.connect();
    first
        .write_all(query("same", "page", &[0], "").as_bytes())
        .unwrap();
    let any_sent = || platform.hosts.iter().any(|h| !h.received().is_empty());
    wait_until("first part sent", any_sent);
    assert!(
        platform
            .send_query("same", "page", &[1])
            .starts_with("HTTP/1.1 409")
    );
    assert!(read_response(&mut first).contains("value of same.0"));
    assert!(
        platform
            .send_query("same", "page", &[1])
            .contains("value of same.1")
    );
}

#[test]
fn silent_connections_do_not_evict_idle_client() {
    let platform = Platform::start(settings(), three_hosts());
    let mut kept = platform.connect();
    kept.write_all(query("a", "page", &[0], "").as_bytes())
        .unwrap();
    assert!(read_response(&mut kept).starts_with("HTTP/1.1 200"));
    /// How long a connection that is closed in stages keeps its descriptor.
    const LINGER: Duration = Duration::from_millis(500);
    let crowd: Vec<TcpStream> = (0..600).map(|_| platform.connect()).collect();
    let start = Instant::now();
    // A client after the crowd is served, and so is the connection opened before it.
    assert!(
        platform
            .send_query("b", "page", &[0])
            .starts_with("HTTP/1.1 200")
    );
    assert!(start.elapsed() < LINGER, "{:?}", start.elapsed());
    kept.write_all(query("c", "page", &[1], "").as_bytes())
        .unwrap();
    assert!(read_response(&mut kept).starts_with("HTTP/1.1 200"));
    drop(crowd);
}

#[test]
fn partial_and_one_time_clients_delay_nobody() {
    let platform = Platform::start(settings(), three_hosts());
    let mut kept = platform.connect();
    let mut ask = |id: &str| {
        kept.write_all(query(id, "page", &[0], "").as_bytes())
            .unwrap();
        assert!(
            read_response(&mut kept).starts_with("HTTP/1.1 200"),
            "active connection closed"
        );
    };
    ask("a");
    ask("b");
    let crowd = |text: &str| -> Vec<TcpStream> {
        let open = |_| {
            let mut socket = platform.connect();
            socket.write_all(text.as_bytes()).unwrap();
            socket
        };
        (0..400).map(open).collect()
    };
    let crowds = [
        crowd("POST /api HTTP/1.1\r\nX-Ca"),
        crowd("GET /_health HTTP/1.1\r\n\r\n"),
        crowd(""),
    ];
    let start = Instant::now();
    assert!(
        platform
            .send_query("c", "page", &[0])
            .starts_with("HTTP/1.1 200")
    );
    assert!(
        start.elapsed() < Duration::from_millis(2500),
        "{:?}",
        start.elapsed()
    );
    ask("d");
    drop(crowds);
}

#[test]
fn one_time_clients_do_not_fill_client_limit() {
    // Clients may use a third of the 256 descriptors; a quarter of these may be idle after a single
    // request.
    let platform = Platform::start(settings(), three_hosts());
    let mut kept = platform.connect();
    let ask = |socket: &mut TcpStream, id: &str| {
        socket
            .write_all(query(id, "page", &[0], "").as_bytes())
            .unwrap();
        assert!(read_response(socket).starts_with("HTTP/1.1 200"), "{id}");
    };
    ask(&mut kept, "a");
    ask(&mut kept, "b");
    let query_once = |i: u32| {
        let mut socket = platform.connect();
        ask(&mut socket, &format!("q{i}"));
        std::thread::sleep(Duration::from_millis(10));
        socket
    };
    let stayed: Vec<TcpStream> = (0..70).map(query_once).collect();
    let open = stayed.iter().filter(|socket| {
        socket.set_nonblocking(true).unwrap();
        let mut socket = *socket;
        !matches!(socket.read(&mut [0; 1]), Ok(0))
    });
    let open = open.count();
    assert!((15..=40).contains(&open), "{open} of 70 connections open");
    ask(&mut kept, "c");
}

#[test]
fn accepts_path_parameter_and_logs_rejections_once() {
    let log = std::env::temp_dir().join(format!("bitternsill-turned-{}", std::process::id()));
    let hosts = three_hosts();
    let targets = hosts
        .iter()
        .enumerate()
        .map(|(i, h)| target(i, h.address, "active"))
        .collect();
    let shell = format!("exec 2>{}", log.display());
    let platform = Platform::start_in(
        &shell,
        settings(),
        hosts,
        Discovery::start(targets),
        256,
        &[],
    );
    let query_path = |path: &str, id: &str| {
        let query = query(id, "page", &[0, 1], "Connection: close\r\n");
        platform.send_request(&query.replace("POST /api ", &format!("POST {path} ")))
    };
    let answer = query_path("/api/7f3a9c21e0b4d655", "one");
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.contains("value of one.1"),
        "{answer}"
    );
    assert!(query_path("/api/7f3a?x=1", "two").starts_with("HTTP/1.1 200"));
    for path in ["/api/", "/api/a/b", "/apis/7f3a", "/search/7f3a"] {
        assert!(
            query_path(path, "odd").starts_with("HTTP/1.1 404"),
            "{path}"
        );
    }
    assert!(
        platform
            .send_request("GET /api/7f3a HTTP/1.1\r\n\r\n")
            .starts_with("HTTP/1.1 405")
    );
    // Four requests of the same kind are logged once, with the path of the first.
    let log_text = std::fs::read_to_string(&log).unwrap();
    assert_eq!(log_text.matches("no such path").count(), 1, "{log_text}");
    assert!(
        log_text.contains("requests turned away") && log_text.contains("POST /api/"),
        "{log_text}"
    );
    std::fs::remove_file(&log).unwrap();
}

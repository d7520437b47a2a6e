//! Stories on the store: three programs on loopback sockets, and watchers of theirs.

mod common;

use common::*;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

struct Members {
    stores: Vec<SocketAddr>,
    discovery: Discovery,
    host: FrameHost,
    files: Vec<std::path::PathBuf>,
}

impl Members {
    fn start(&self, member: usize) -> Program {
        let members: Vec<(String, Value)> =
            self.stores.iter().enumerate().map(|(i, a)| (i.to_string(), json!(a.to_string()))).collect();
        let mut settings = settings();
        settings["extra"]["class_fetch"] = json!([0, 0, 0]);
        Program::start(
            "--catalogue",
            &json!({
                "name": format!("m{member}"), "listen": {"sru": free_address().to_string()},
                "database": "comics", "class": "search", "budget_ms": 3000,
                "index_hosts": {"speak": "sru", "discovery": self.discovery.address.to_string()},
                "settings": settings,
                "store": {"member": member, "members": serde_json::Map::from_iter(members),
                          "begins": member == 0, "file": self.files[member]}
            }),
        )
    }

    /// Whether a watcher of a member is told that a key has a value with this in it.
    fn told(&self, member: usize, key: &str, has: &str) -> bool {
        let Ok(mut socket) = TcpStream::connect(self.stores[member]) else { return false };
        socket.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        socket.write_all(b"watch\n").unwrap();
        let lines = BufReader::new(socket).lines().map_while(Result::ok);
        lines
            .filter_map(|line| serde_json::from_str::<Value>(&line).ok())
            .any(|line| line["key"] == key && line["value"].as_str().is_some_and(|v| v.contains(has)))
    }
}

#[test]
fn a_member_is_lost_and_comes_back_and_its_file_lets_it_go_on() {
    let host = FrameHost::start(|_| Say::Nothing);
    let files = (0..3)
        .map(|i| std::env::temp_dir().join(format!("bitternsill-store-{}-{i}.jsonl", std::process::id())));
    let members = Members {
        stores: (0..3).map(|_| free_address()).collect(),
        discovery: Discovery::start(vec![target(0, host.address, "active")]),
        host,
        files: files.collect(),
    };
    for file in &members.files {
        let _ = std::fs::remove_file(file);
    }
    let mut programs: Vec<Program> = (0..3).map(|i| members.start(i)).collect();
    eventually("every set-up is everywhere", || {
        (0..3).all(|at| (0..3).all(|of| members.told(at, &format!("setup/m{of}"), "catalogue")))
    });
    drop(programs.pop());
    members.discovery.tell(2, vec![target(0, members.host.address, "leaving")]);
    eventually("two of three commit", || members.told(1, "members/m0", "leaving"));
    programs.push(members.start(2));
    eventually("the third catches up", || members.told(2, "members/m0", "leaving"));
    for file in &members.files {
        std::fs::remove_file(file).unwrap();
    }
}

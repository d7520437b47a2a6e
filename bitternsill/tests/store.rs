//! Stories on the store: three programs on loopback sockets, and watchers of theirs.

mod common;

use common::*;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

struct Members {
    stores: Vec<SocketAddr>,
    discovery: Discovery,
    host: FrameHost,
    files: Vec<std::path::PathBuf>,
}

impl Members {
    fn new(name: &str) -> Members {
        let host = FrameHost::start(|_| Say::Nothing);
        let file =
            |i| std::env::temp_dir().join(format!("bitternsill-{name}-{}-{i}.store", std::process::id()));
        let members = Members {
            stores: (0..3).map(|_| free_address()).collect(),
            discovery: Discovery::start(vec![target(0, host.address, "active")]),
            host,
            files: (0..3).map(file).collect(),
        };
        members.clear();
        members
    }

    fn clear(&self) {
        for file in &self.files {
            let _ = std::fs::remove_file(file);
            let _ = std::fs::remove_file(file.with_extension("lock"));
        }
    }

    fn start(&self, member: usize) -> Program {
        let log = std::env::temp_dir().join("bitternsill-store-log");
        self.start_with(member, 0, &log, &format!("m{member}"))
    }

    /// Starts a member whose disk takes so much longer over each sync; the log goes to a file.
    fn start_with(&self, member: usize, sync_ms: u64, log: &Path, name: &str) -> Program {
        let mut settings = settings();
        settings["extra"]["class_fetch"] = json!([0, 0, 0]);
        Program::start_in(
            &format!("exec 2>{}", log.display()),
            "--catalogue",
            &json!({
                "name": name, "listen": {"sru": free_address().to_string()},
                "database": "comics", "class": "search", "budget_ms": 3000,
                "index_hosts": {"speak": "sru", "discovery": self.discovery.address.to_string()},
                "settings": settings,
                "store": {"member": member, "members": self.addresses(),
                          "begins": member == 0, "file": self.files[member], "test_sync_ms": sync_ms}
            }),
            &[],
        )
    }

    fn agree_on_set_ups(&self) -> bool {
        (0..3).all(|at| (0..3).all(|of| self.told(at, &format!("setup/m{of}"), "catalogue")))
    }

    /// Every member's address, by its number.
    fn addresses(&self) -> serde_json::Map<String, Value> {
        self.stores.iter().enumerate().map(|(i, a)| (i.to_string(), json!(a.to_string()))).collect()
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
    let members = Members::new("lost");
    let mut programs: Vec<Program> = (0..3).map(|i| members.start(i)).collect();
    eventually("every set-up is everywhere", || members.agree_on_set_ups());
    drop(programs.pop());
    members.discovery.tell(2, vec![target(0, members.host.address, "leaving")]);
    eventually("two of three commit", || members.told(1, "members/m0", "leaving"));
    programs.push(members.start(2));
    eventually("the third catches up", || members.told(2, "members/m0", "leaving"));
    members.clear();
}

/// Power lost to all three at one moment, as soon as any watcher was told of a change, four times: it stays told, by all.
/// The disks take 20 ms over a sync, and what is not synced by then is lost.
#[test]
fn what_was_shown_as_committed_outlives_a_loss_of_power_to_all_members() {
    let members = Members::new("power");
    let log = std::env::temp_dir().join(format!("bitternsill-power-{}", std::process::id()));
    // Each life of a member has a name of its own, so that nobody writes its key again.
    let key = |round: usize| format!("setup/m1-{round}");
    for round in 0..4 {
        let programs: Vec<Program> =
            (0..3).map(|i| members.start_with(i, 20, &log, &format!("m{i}-{round}"))).collect();
        for before in 0..round {
            eventually("all tell what one had told before", || {
                (0..3).all(|at| members.told(at, &key(before), "catalogue"))
            });
        }
        eventually("one tells it", || (0..3).any(|at| members.told(at, &key(round), "catalogue")));
        programs.iter().for_each(|program| program.signal("KILL"));
        drop(programs);
        for file in &members.files {
            let kept = store_says(&["verify", file.to_str().unwrap()]);
            assert!(kept.0, "{}", kept.1);
        }
    }
    members.clear();
    std::fs::remove_file(log).unwrap();
}

/// Before, such a member started and told its watchers what nobody had ever written.
#[test]
fn a_member_whose_file_was_changed_does_not_start_and_says_where_and_what_to_do() {
    let members = Members::new("changed");
    let programs: Vec<Program> = (0..3).map(|i| members.start(i)).collect();
    eventually("every set-up is everywhere", || members.agree_on_set_ups());
    drop(programs);
    let file = &members.files[2];
    let sound = std::fs::read(file).unwrap();
    let at = sound.windows(9).position(|w| w == b"catalogue").expect("the text of a set-up");
    let mut changed = sound.clone();
    changed[at] = b'k';
    std::fs::write(file, &changed).unwrap();
    let log = std::env::temp_dir().join(format!("bitternsill-changed-{}", std::process::id()));
    let others: Vec<Program> = (0..2).map(|i| members.start(i)).collect();
    let mut third = members.start_with(2, 0, &log, "m2");
    // One that starts after all must fail the story, not hold it up.
    let mut ended = None;
    eventually("it ends", || {
        ended = third.child.try_wait().unwrap();
        ended.is_some()
    });
    assert!(!ended.unwrap().success(), "it does not serve");
    let said = std::fs::read_to_string(&log).unwrap();
    for words in
        ["at byte", "its content does not have its checksum", "put the file back", "leave this member off"]
    {
        assert!(said.contains(words), "`{words}` in {said}");
    }
    assert!(!store_says(&["verify", file.to_str().unwrap()]).0);
    // The others go on, and the file put back lets the third go on too.
    eventually("two of three are one", || (0..2).all(|at| members.told(at, "setup/m2", "catalogue")));
    std::fs::write(file, &sound).unwrap();
    let whole = store_says(&["show", file.to_str().unwrap()]);
    assert!(whole.0 && whole.1.contains("starts: 1") && whole.1.contains("setup/m2"), "{}", whole.1);
    let third = members.start(2);
    eventually("the third is back", || members.told(2, "setup/m0", "catalogue"));
    drop((others, third));
    // A last record cut short is what a loss of power leaves: it is cut off and told, and nothing else is.
    let length = std::fs::metadata(file).unwrap().len();
    std::fs::OpenOptions::new().write(true).open(file).unwrap().set_len(length - 3).unwrap();
    let said = store_says(&["verify", file.to_str().unwrap()]);
    assert!(said.0 && said.1.contains("of a record that was never finished"), "{}", said.1);
    members.clear();
    std::fs::remove_file(log).unwrap();
}

/// Before, the member with its file gone began the store again, and the others took its word.
#[test]
fn a_member_that_begins_anew_because_its_file_is_gone_is_refused_by_the_others() {
    let members = Members::new("anew");
    let programs: Vec<Program> = (0..3).map(|i| members.start(i)).collect();
    eventually("every set-up is everywhere", || members.agree_on_set_ups());
    drop(programs);
    std::fs::remove_file(&members.files[0]).unwrap();
    let log = std::env::temp_dir().join(format!("bitternsill-anew-{}", std::process::id()));
    let _others = [members.start_with(1, 0, &log, "m1"), members.start(2)];
    let _first = members.start(0);
    eventually("it is refused in words", || {
        std::fs::read_to_string(&log).unwrap().contains("a member of another store is refused")
    });
    eventually("the others keep theirs", || (1..3).all(|at| members.told(at, "setup/m1", "catalogue")));
    members.clear();
    std::fs::remove_file(log).unwrap();
}

/// Before, each sync held up the loop: a query waited for as long as the disk took.
#[test]
fn a_disk_that_takes_2_s_over_a_sync_holds_up_no_query() {
    let members = Members::new("slow");
    let log = std::env::temp_dir().join(format!("bitternsill-slow-{}", std::process::id()));
    let _program = members.start_with(0, 2000, &log, "m0");
    eventually("it serves", || TcpStream::connect(members.stores[0]).is_ok());
    for state in ["leaving", "active", "leaving"] {
        members.discovery.tell(2, vec![target(0, members.host.address, state)]);
        for _ in 0..10 {
            let start = Instant::now();
            let mut socket = TcpStream::connect(members.stores[0]).unwrap();
            // A watch is answered by the same loop; what it shows is not the point here.
            socket.write_all(b"no packet\n").unwrap();
            let mut rest = Vec::new();
            let _ = socket.read_to_end(&mut rest);
            assert!(
                start.elapsed() < Duration::from_millis(900),
                "the loop stood still for {:?}",
                start.elapsed()
            );
        }
    }
    members.clear();
    std::fs::remove_file(log).unwrap();
}

#[test]
fn a_gatherer_of_the_platform_is_a_member_where_its_operators_file_says_so() {
    let members = Members::new("platform");
    let _catalogues = [members.start(0), members.start(1)];
    let beside = std::env::temp_dir().join(format!("bitternsill-beside-{}", std::process::id()));
    let store = json!({"store": {"member": 2, "members": members.addresses(), "file": members.files[2]}});
    std::fs::write(&beside, store.to_string()).unwrap();
    let check = Command::new(env!("CARGO_BIN_EXE_bitternsill")).arg("check").arg(&beside).output().unwrap();
    assert!(check.status.success(), "{}", String::from_utf8_lossy(&check.stderr));
    let start = || {
        let hosts: Vec<FrameHost> =
            (0..3).map(|_| FrameHost::start(|_| Say::Good(1, "v".to_owned()))).collect();
        let targets = hosts.iter().enumerate().map(|(i, h)| target(i, h.address, "active")).collect();
        let more = ["--operator".to_owned(), beside.display().to_string()];
        Platform::start_in("ulimit -n 1024", settings(), hosts, Discovery::start(targets), 256, &more)
    };
    let platform = start();
    eventually("all know its set-up", || (0..3).all(|at| members.told(at, "setup/n0", "platform")));
    assert!(platform.ask("q", "page", &[0, 1]).starts_with("HTTP/1.1 200"), "it serves beside that");
    drop(platform);
    let _again = start();
    eventually("it goes on from its file", || members.told(2, "setup/m0", "catalogue"));
    members.clear();
    std::fs::remove_file(beside).unwrap();
}

/// What `bitternsill store` says of a file, and whether it is well.
fn store_says(args: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_bitternsill")).arg("store").args(args).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    (output.status.success(), text.into_owned())
}

//! Tests of `admin::handover`.

use super::*;
use std::sync::atomic::{AtomicU32, Ordering};

/// A folder of its own, removed with the test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static SERIAL: AtomicU32 = AtomicU32::new(0);
        let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!(
            "bitternsill-handover-{}-{serial}",
            std::process::id()
        ));
        std::fs::create_dir(&path).unwrap();
        Folder(path)
    }

    fn process(&self, name: &str) -> (Handover, Hand) {
        let limits = Limits::default();
        let mut handover = Handover::new(&self.0, name, 0, &limits);
        let hand = handover.read().unwrap_or_else(|| Hand::new(limits.hosts));
        handover.announce();
        (handover, hand)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn two_processes_that_both_change_it_lose_nothing() {
    let folder = Folder::new();
    let change = |mark: &'static str, mut process: (Handover, Hand)| {
        for n in 0..100u64 {
            process
                .1
                .set(&format!("{mark}-{}", n % 50), n < 50, n)
                .unwrap();
            process.0.write(&mut process.1);
            process.0.look(&mut process.1, u64::MAX / 2 + n);
        }
        process
    };
    let (one, two) = (folder.process("n1"), folder.process("n1"));
    let mut both = std::thread::scope(|scope| {
        let one = scope.spawn(|| change("a", one));
        let two = scope.spawn(|| change("b", two));
        [one.join().unwrap(), two.join().unwrap()]
    });
    // Where one wrote without the lock, which the other held while it stood still, the next
    // look mends it.
    for later in [2, 1] {
        for (handover, hand) in &mut both {
            handover.look(hand, u64::MAX - 1_000_000_000 * later);
        }
    }
    let (_, third) = folder.process("n1");
    for (name, out) in [
        ("a-0", false),
        ("b-0", false),
        ("a-49", false),
        ("b-49", false),
    ] {
        assert_eq!(third.is_out(name), out, "{name}");
    }
    assert!(both.iter().all(|(_, hand)| *hand == third));
}

#[test]
fn a_file_that_cannot_be_used_stops_nothing_and_is_replaced() {
    let mut foreign = Hand::new(8);
    foreign.set("s-1", true, 1).unwrap();
    let text = foreign.encode("n1");
    let other_version = "{\"version\":2}";
    let noise: Vec<u8> = (0..4000u32).map(|n| (n * 31 % 251) as u8).collect();
    let versioned = format!(
        "{:08x}\n{other_version}\n",
        crc32fast::hash(other_version.as_bytes())
    );
    let cases = [
        noise,
        foreign.encode("n2").into_bytes(),
        text.as_bytes()[..text.len() / 2].to_vec(),
        Vec::new(),
        versioned.into_bytes(),
        vec![b'x'; 1 << 20],
    ];
    for case in cases {
        let folder = Folder::new();
        std::fs::write(folder.0.join("bitternsill-n1.hand"), &case).unwrap();
        // What a process left that was killed while it wrote.
        std::fs::write(folder.0.join("bitternsill-n1.new0"), &case).unwrap();
        let (mut handover, mut hand) = folder.process("n1");
        assert_eq!(hand.out().count(), 0);
        hand.set("s-2", true, 5).unwrap();
        handover.write(&mut hand);
        assert!(folder.process("n1").1.is_out("s-2"));
    }
    // A link is not followed out of the folder, and a name does not lead there.
    let (folder, outside) = (Folder::new(), Folder::new());
    std::fs::write(outside.0.join("file"), &text).unwrap();
    std::os::unix::fs::symlink(outside.0.join("file"), folder.0.join("bitternsill-n1.hand"))
        .unwrap();
    assert_eq!(folder.process("n1").1.out().count(), 0);
    let (mut handover, mut hand) = folder.process("../../n1");
    hand.set("s-3", true, 5).unwrap();
    handover.write(&mut hand);
    assert!(folder.0.join("bitternsill-______n1.hand").exists());
    // Without a folder each process stands alone.
    let mut alone = Handover::new(Path::new("/nowhere/at/all"), "n1", 0, &Limits::default());
    alone.announce();
    alone.write(&mut hand);
    assert!(alone.read().is_none() && !alone.look(&mut hand, 1) && !alone.is_followed());
}

#[test]
fn a_process_is_relied_on_while_it_serves_and_no_longer() {
    let folder = Folder::new();
    let ((mut one, _), (mut two, _)) = (folder.process("n1"), folder.process("n1"));
    assert!(one.look_at_others(1) && two.look_at_others(1));
    assert!(
        !folder.process("n2").0.look_at_others(1),
        "another gatherer is no process of this one"
    );
    one.withdraw();
    assert!(!two.look_at_others(2) && one.look_at_others(2));
    // One that is killed gives its lock back with its descriptors.
    drop(two);
    assert!(!one.look_at_others(3));
}

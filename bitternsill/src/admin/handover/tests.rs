//! Tests of `admin::handover`.

use super::*;
use std::sync::atomic::{AtomicU32, Ordering};

/// A temporary folder, removed at the end of the test.
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

    fn process(&self, name: &str) -> (Handover, Exclusions) {
        let limits = Limits::default();
        let mut handover = Handover::new(&self.0, name, 0, &limits);
        let exclusions = handover
            .read()
            .unwrap_or_else(|| Exclusions::new(limits.hosts));
        handover.announce();
        (handover, exclusions)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn concurrent_writers_lose_nothing() {
    let folder = Folder::new();
    let change = |mark: &'static str, mut process: (Handover, Exclusions)| {
        for n in 0..100u64 {
            process
                .1
                .set(&format!("{mark}-{}", n % 50), n < 50, n)
                .unwrap();
            process.0.write(&mut process.1);
            process.0.poll(&mut process.1, u64::MAX / 2 + n);
        }
        process
    };
    let (one, two) = (folder.process("n1"), folder.process("n1"));
    let mut both = std::thread::scope(|scope| {
        let one = scope.spawn(|| change("a", one));
        let two = scope.spawn(|| change("b", two));
        [one.join().unwrap(), two.join().unwrap()]
    });
    // If one wrote without the lock, which the other held while it was suspended, the next poll
    // repairs the file.
    for later in [2, 1] {
        for (handover, exclusions) in &mut both {
            handover.poll(exclusions, u64::MAX - 1_000_000_000 * later);
        }
    }
    let (_, third) = folder.process("n1");
    for (name, excluded) in [
        ("a-0", false),
        ("b-0", false),
        ("a-49", false),
        ("b-49", false),
    ] {
        assert_eq!(third.is_excluded(name), excluded, "{name}");
    }
    assert!(both.iter().all(|(_, exclusions)| *exclusions == third));
}

#[test]
fn unusable_file_is_replaced() {
    let mut foreign = Exclusions::new(8);
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
        // The temporary file of a process that was killed during a write.
        std::fs::write(folder.0.join("bitternsill-n1.new0"), &case).unwrap();
        let (mut handover, mut exclusions) = folder.process("n1");
        assert_eq!(exclusions.excluded().count(), 0);
        exclusions.set("s-2", true, 5).unwrap();
        handover.write(&mut exclusions);
        assert!(folder.process("n1").1.is_excluded("s-2"));
    }
    // A link is not followed out of the folder, and a name does not lead there.
    let (folder, outside) = (Folder::new(), Folder::new());
    std::fs::write(outside.0.join("file"), &text).unwrap();
    std::os::unix::fs::symlink(outside.0.join("file"), folder.0.join("bitternsill-n1.hand"))
        .unwrap();
    assert_eq!(folder.process("n1").1.excluded().count(), 0);
    let (mut handover, mut exclusions) = folder.process("../../n1");
    exclusions.set("s-3", true, 5).unwrap();
    handover.write(&mut exclusions);
    assert!(folder.0.join("bitternsill-______n1.hand").exists());
    // Without a folder, each process is on its own.
    let mut alone = Handover::new(Path::new("/nowhere/at/all"), "n1", 0, &Limits::default());
    alone.announce();
    alone.write(&mut exclusions);
    assert!(alone.read().is_none() && !alone.poll(&mut exclusions, 1) && !alone.has_successor());
}

#[test]
fn successor_is_known_while_it_serves() {
    let folder = Folder::new();
    let ((mut one, _), (mut two, _)) = (folder.process("n1"), folder.process("n1"));
    assert!(one.check_peers(1) && two.check_peers(1));
    assert!(
        !folder.process("n2").0.check_peers(1),
        "a process of another gatherer does not count"
    );
    one.withdraw();
    assert!(!two.check_peers(2) && one.check_peers(2));
    // A process that is killed releases its lock with its descriptors.
    drop(two);
    assert!(!one.check_peers(3));
}

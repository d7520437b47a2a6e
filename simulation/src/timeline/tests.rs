//! Tests of timelines.

use super::*;

#[test]
fn same_seed_gives_same_timeline_that_ends_healed() {
    for seed in 0..500 {
        let processes = 3 + seed as usize % 5;
        let timeline = draw(seed, processes, 5000);
        assert_eq!(timeline, draw(seed, processes, 5000));
        let (mut off, mut stopped, mut partitions) = (BTreeSet::new(), BTreeSet::new(), 0);
        let mut lost = BTreeSet::new();
        let mut before = 0;
        for Event { at_ms: at, fault } in timeline {
            assert!(at >= before, "seed {seed}: in order");
            before = at;
            match fault {
                Fault::PowerOff(group) => {
                    assert!(off.is_disjoint(&group));
                    stopped.retain(|process| !group.contains(process));
                    off.extend(group);
                }
                Fault::PowerOn(group) => {
                    assert!(
                        group.is_subset(&off),
                        "seed {seed}: only who is off comes back"
                    );
                    off.retain(|process| !group.contains(process));
                }
                Fault::Suspend(one) => assert!(!off.contains(&one) && stopped.insert(one)),
                Fault::Resume(one) => assert!(stopped.remove(&one), "seed {seed}"),
                Fault::LoseFile(one) => {
                    assert!(off.contains(&one));
                    lost.insert(one);
                }
                Fault::Heal => partitions = 0,
                _ => partitions += 1,
            }
        }
        assert!(
            off.is_empty()
                && stopped.is_empty()
                && partitions == 0
                && lost.len() <= (processes - 1) / 2
        );
    }
}

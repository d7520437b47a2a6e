//! Tests of random timelines.

use super::*;

#[test]
fn same_seed_gives_same_timeline_that_ends_healed() {
    for seed in 0..500 {
        let processes = 3 + seed as usize % 5;
        let timeline = draw(seed, processes, 5000);
        assert_eq!(timeline, draw(seed, processes, 5000));
        let (mut powered_off, mut suspended, mut partitions) =
            (BTreeSet::new(), BTreeSet::new(), 0);
        let mut file_losses = BTreeSet::new();
        let mut previous_at = 0;
        for Event { at_ms: at, fault } in timeline {
            assert!(at >= previous_at, "seed {seed}: events are sorted by time");
            previous_at = at;
            match fault {
                Fault::PowerOff(group) => {
                    assert!(powered_off.is_disjoint(&group));
                    suspended.retain(|process| !group.contains(process));
                    powered_off.extend(group);
                }
                Fault::PowerOn(group) => {
                    assert!(
                        group.is_subset(&powered_off),
                        "seed {seed}: powers on a process that has power"
                    );
                    powered_off.retain(|process| !group.contains(process));
                }
                Fault::Suspend(one) => {
                    assert!(!powered_off.contains(&one) && suspended.insert(one))
                }
                Fault::Resume(one) => assert!(suspended.remove(&one), "seed {seed}"),
                Fault::LoseFile(one) => {
                    assert!(powered_off.contains(&one));
                    file_losses.insert(one);
                }
                Fault::Heal => partitions = 0,
                _ => partitions += 1,
            }
        }
        assert!(
            powered_off.is_empty()
                && suspended.is_empty()
                && partitions == 0
                && file_losses.len() <= (processes - 1) / 2
        );
    }
}

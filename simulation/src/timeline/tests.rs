//! Tests of `timeline`.

use super::*;

#[test]
fn a_day_is_the_same_for_its_seed_and_ends_with_all_awake_and_in_power() {
    for seed in 0..500 {
        let processes = 3 + seed as usize % 5;
        let day = draw(seed, processes, 5000);
        assert_eq!(day, draw(seed, processes, 5000));
        let (mut off, mut stopped, mut cut) = (BTreeSet::new(), BTreeSet::new(), 0);
        let mut lost = BTreeSet::new();
        let mut before = 0;
        for (at, fault) in day {
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
                Fault::Stop(one) => assert!(!off.contains(&one) && stopped.insert(one)),
                Fault::Continue(one) => assert!(stopped.remove(&one), "seed {seed}"),
                Fault::LoseFile(one) => {
                    assert!(off.contains(&one));
                    lost.insert(one);
                }
                Fault::Heal => cut = 0,
                _ => cut += 1,
            }
        }
        assert!(
            off.is_empty() && stopped.is_empty() && cut == 0 && lost.len() <= (processes - 1) / 2
        );
    }
}

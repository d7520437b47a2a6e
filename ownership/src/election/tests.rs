//! Tests of the election order.

use super::*;

fn fleet(count: usize) -> BTreeMap<String, f64> {
    (0..count).map(|n| (format!("gatherer-{n}"), 1.0)).collect()
}

#[test]
fn spreads_roles_and_keeps_order_without_a_candidate() {
    let all = fleet(60);
    let firsts: Vec<&str> = Role::ALL
        .into_iter()
        .map(|role| rank(role, &all)[0])
        .collect();
    let mut distinct = firsts.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() >= 3, "{firsts:?}");
    for role in Role::ALL {
        let before = rank(role, &all);
        for removed in ["gatherer-3", before[0], before[30]] {
            let mut remaining = all.clone();
            remaining.remove(removed);
            let expected: Vec<&str> = before
                .iter()
                .copied()
                .filter(|name| *name != removed)
                .collect();
            assert_eq!(rank(role, &remaining), expected, "without {removed}");
        }
    }
}

#[test]
fn ranks_busy_candidates_lower() {
    let (mut busy_first, mut total) = (0, 0);
    for fleet in 0..500 {
        let names = [0, 1].map(|n| format!("{fleet}-{n}"));
        let weights =
            BTreeMap::from([(names[0].clone(), weight(1)), (names[1].clone(), weight(0))]);
        for role in Role::ALL {
            total += 1;
            busy_first += usize::from(rank(role, &weights)[0] == names[0]);
        }
    }
    let share = busy_first as f64 / total as f64;
    assert!((0.28..0.39).contains(&share), "expected a third: {share}");
    let none = BTreeMap::from([("a".to_owned(), 0.0)]);
    assert_eq!(rank(Role::Hosts, &none), Vec::<&str>::new());
}

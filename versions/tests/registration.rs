//! Two processes of one name: every order in which their registrations are committed.

use versions::registration::Registration;

/// Every sequence of the two lives up to a length, told to both processes one by one: as soon as
/// each has registered, the one whose registration is not the last is displaced, and never both
/// unless the later one registered again.
#[test]
fn displaces_the_earlier_process_in_every_order() {
    for length in 1..=6_u32 {
        for order in 0..1_u32 << length {
            let mut processes = [Registration::new(1), Registration::new(2)];
            let mut seen = [false; 2];
            for at in 0..length {
                let who = (order >> at & 1) as usize;
                let was = processes.clone();
                let incarnation = processes[who].incarnation();
                for (index, process) in processes.iter_mut().enumerate() {
                    let lost = process.observe_commit(incarnation);
                    assert_eq!(lost, process.is_displaced() && !was[index].is_displaced());
                }
                seen[who] = true;
                let other = 1 - who;
                assert_eq!(processes[who].is_displaced(), was[who].is_displaced());
                assert_eq!(processes[other].is_displaced(), seen[other]);
            }
        }
    }
}

/// Both registrations are committed before either process looks, again and again: the store's
/// content alone would show each of them only the second one.
#[test]
fn overwritten_registrations_count() {
    let mut first = Registration::new(1);
    assert!(!first.observe_commit(1));
    assert!(first.observe_commit(2));
    assert!(first.is_displaced());
    assert!(
        !first.observe_commit(1),
        "a late registration of its own does not bring the name back"
    );
    assert!(first.is_displaced());
}

//! Two processes with the same name: every order in which their registrations are committed.

use versions::registration::Registration;

/// Both processes observe every sequence of their registrations up to a length. A process that has
/// registered is displaced as soon as the other one registers, and stays displaced.
#[test]
fn displaces_the_earlier_process_in_every_order() {
    for length in 1..=6_u32 {
        for order in 0..1_u32 << length {
            let mut processes = [Registration::new(1), Registration::new(2)];
            let mut registered = [false; 2];
            for at in 0..length {
                let registering = (order >> at & 1) as usize;
                let before = processes.clone();
                let incarnation = processes[registering].incarnation();
                for (index, process) in processes.iter_mut().enumerate() {
                    let lost = process.observe_commit(incarnation);
                    assert_eq!(
                        lost,
                        process.is_displaced() && !before[index].is_displaced()
                    );
                }
                registered[registering] = true;
                let other = 1 - registering;
                assert_eq!(
                    processes[registering].is_displaced(),
                    before[registering].is_displaced()
                );
                assert_eq!(processes[other].is_displaced(), registered[other]);
            }
        }
    }
}

/// The second registration overwrites the first before either process reads the store. The current
/// content would show only the second one; the commits show both.
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

//! Least-loaded selection.

use routing::selection::{Candidate, least_loaded};

#[test]
fn picks_least_loaded_and_breaks_ties_randomly() {
    let mut rng = fastrand::Rng::with_seed(3);
    let candidate = |load: f64, is_last_resort: bool| Candidate {
        load,
        is_last_resort,
    };
    let loads = [
        candidate(5.0, false),
        candidate(1.0, false),
        candidate(1.0, false),
        candidate(0.0, true),
    ];
    let mut chosen = [0; 4];
    for _ in 0..1_000 {
        chosen[least_loaded(&loads, &mut rng).unwrap()] += 1;
    }
    assert_eq!(
        (chosen[0], chosen[3]),
        (0, 0),
        "neither the loaded backend nor the last resort"
    );
    assert!(chosen[1] > 400 && chosen[2] > 400, "{chosen:?}");
    let all_last_resorts = [candidate(2.0, true), candidate(1.0, true)];
    assert_eq!(
        least_loaded(&all_last_resorts, &mut rng),
        Some(1),
        "last resorts are used if there are no others"
    );
    assert_eq!(least_loaded(&[], &mut rng), None);
}

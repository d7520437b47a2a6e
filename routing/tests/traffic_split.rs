//! Weighted traffic splitting.

use routing::traffic_split::choose_weighted;

#[test]
fn traffic_split_follows_weights() {
    let mut rng = fastrand::Rng::with_seed(5);
    let hits = (0..10_000)
        .filter(|_| choose_weighted(&[90, 10], &mut rng) == Some(1))
        .count();
    assert!((800..1_200).contains(&hits), "{hits}");
    assert_eq!(choose_weighted(&[0, 5, 0], &mut rng), Some(1));
    assert_eq!(choose_weighted(&[0, 0], &mut rng), None);
}

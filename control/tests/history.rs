//! Distribution of configurations as deltas: updates may arrive in any order; each one advances the
//! text or leaves it unchanged.

use assert_matches::assert_matches;
use control::history::{ApplyError, History, TextUpdate};
use simulation::orders;

/// A text with many routes. Each version changes one of them.
fn text(version: u64) -> Vec<u8> {
    let route = |at: u64| {
        let revision = if at == version { version } else { 0 };
        format!("{{\"route\":{at},\"revision\":{revision}}}")
    };
    let routes: Vec<String> = (0..200).map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}]}}",
        routes.join(",")
    )
    .into_bytes()
}

fn up_to(version: u64) -> History {
    let mut history = History::default();
    (1..=version).for_each(|version| history.advance(version, text(version)));
    history
}

#[test]
fn updates_applied_in_any_order_lead_to_the_newest_text() {
    // Updates for requests from versions 1, 2 and 3, sent while the sender advances from 3 to 6.
    let updates: Vec<TextUpdate> = [(1, 3), (1, 4), (2, 4), (3, 5), (3, 6)]
        .map(|(base, at)| up_to(at).update_for(base).unwrap())
        .into();
    for order in orders::all(&[0, 1, 2, 3, 4]) {
        let mut replica = up_to(1);
        for index in &order {
            let before = replica.version();
            let update = updates[*index].clone();
            let target = update.version().unwrap();
            if target <= before {
                continue;
            }
            match replica.apply(update) {
                Ok(()) => assert_eq!(replica.version(), target),
                Err(error) => {
                    assert_matches!(error, ApplyError::BaseMismatch { current } if current == before);
                    assert_eq!(replica.version(), before);
                }
            }
            assert_eq!(replica.text(), text(replica.version()), "order {order:?}");
        }
        if let Some(update) = up_to(6).update_for(replica.version()) {
            replica.apply(update).unwrap();
        }
        assert_eq!((replica.version(), replica.text()), (6, &text(6)[..]));
    }
}

#[test]
fn replica_far_behind_gets_the_full_text_and_others_get_deltas() {
    let newest = up_to(100);
    assert_matches!(newest.update_for(1), Some(TextUpdate::Full { version: 100, text: full }) if full == text(100));
    assert_matches!(newest.update_for(0), Some(TextUpdate::Full { .. }));
    assert_matches!(newest.update_for(90), Some(TextUpdate::Deltas(deltas)) if deltas.len() == 10);
    assert_eq!(newest.update_for(100), None);
    let sent = postcard::to_stdvec(&newest.update_for(99)).unwrap();
    assert!(sent.len() < text(100).len() / 10, "{} bytes", sent.len());
}

#[test]
fn received_deltas_are_forwarded() {
    let mut second = up_to(3);
    second.apply(up_to(5).update_for(3).unwrap()).unwrap();
    let mut third = up_to(4);
    third.apply(second.update_for(4).unwrap()).unwrap();
    assert_eq!((third.version(), third.text()), (5, &text(5)[..]));
}

#[test]
fn delta_on_a_different_text_of_the_same_version_is_rejected() {
    let mut replica = History::default();
    replica.advance(4, [&b"{\"other\":1}"[..], &text(4)].concat());
    let current = replica.text().to_vec();
    assert_matches!(
        replica.apply(up_to(5).update_for(4).unwrap()),
        Err(ApplyError::Checksum { version: 5 })
    );
    assert_eq!((replica.version(), replica.text()), (4, &current[..]));
}

#[test]
fn full_text_is_sent_when_deltas_are_larger() {
    let mut history = History::default();
    history.advance(1, b"{\"a\":1}".to_vec());
    history.advance(2, b"something else entirely, and longer".to_vec());
    assert_matches!(
        history.update_for(1),
        Some(TextUpdate::Full { version: 2, .. })
    );
}

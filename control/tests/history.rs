//! Configurations travel as steps: every order in which answers to earlier questions may arrive
//! leads to the newest text or changes nothing.

use assert_matches::assert_matches;
use control::history::{ApplyError, History, TextUpdate};
use simulation::orders;

/// A text with many routes, of which one changes with each version.
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
fn answers_to_two_questions_in_any_order_lead_to_the_newest_text() {
    // Two sources answer what was asked at versions 1, 2 and 3; the sources themselves go on from 3
    // to 6.
    let in_reply_to: Vec<TextUpdate> = [(1, 3), (1, 4), (2, 4), (3, 5), (3, 6)]
        .map(|(base, at)| up_to(at).update_for(base).unwrap())
        .into();
    for order in orders::all(&[0, 1, 2, 3, 4]) {
        let mut holder = up_to(1);
        for at in &order {
            let before = holder.version();
            let news = in_reply_to[*at].clone();
            let leads_to = news.version().unwrap();
            if leads_to <= before {
                continue;
            }
            match holder.apply(news) {
                Ok(()) => assert_eq!(holder.version(), leads_to),
                Err(misfit) => {
                    assert_matches!(misfit, ApplyError::BaseMismatch { current } if current == before);
                    assert_eq!(holder.version(), before);
                }
            }
            assert_eq!(holder.text(), text(holder.version()), "order {order:?}");
        }
        if let Some(news) = up_to(6).update_for(holder.version()) {
            holder.apply(news).unwrap();
        }
        assert_eq!((holder.version(), holder.text()), (6, &text(6)[..]));
    }
}

#[test]
fn a_holder_that_lags_far_gets_the_whole_text_and_others_a_few_bytes() {
    let newest = up_to(100);
    assert_matches!(newest.update_for(1), Some(TextUpdate::Full { version: 100, text: whole }) if whole == text(100));
    assert_matches!(newest.update_for(0), Some(TextUpdate::Full { .. }));
    assert_matches!(newest.update_for(90), Some(TextUpdate::Deltas(steps)) if steps.len() == 10);
    assert_eq!(newest.update_for(100), None);
    let sent = postcard::to_stdvec(&newest.update_for(99)).unwrap();
    assert!(sent.len() < text(100).len() / 10, "{} bytes", sent.len());
}

#[test]
fn steps_that_other_holders_made_are_passed_on() {
    let mut second = up_to(3);
    second.apply(up_to(5).update_for(3).unwrap()).unwrap();
    let mut third = up_to(4);
    third.apply(second.update_for(4).unwrap()).unwrap();
    assert_eq!((third.version(), third.text()), (5, &text(5)[..]));
}

#[test]
fn a_text_of_the_same_number_and_other_content_is_not_built_on() {
    let mut holder = History::default();
    holder.advance(4, [&b"{\"other\":1}"[..], &text(4)].concat());
    let current = holder.text().to_vec();
    assert_matches!(
        holder.apply(up_to(5).update_for(4).unwrap()),
        Err(ApplyError::Checksum { version: 5 })
    );
    assert_eq!((holder.version(), holder.text()), (4, &current[..]));
}

#[test]
fn more_change_than_text_is_sent_as_the_text() {
    let mut history = History::default();
    history.advance(1, b"{\"a\":1}".to_vec());
    history.advance(2, b"something else entirely, and longer".to_vec());
    assert_matches!(
        history.update_for(1),
        Some(TextUpdate::Full { version: 2, .. })
    );
}

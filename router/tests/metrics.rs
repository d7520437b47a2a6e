//! The page of figures: what it counts, and that each figure is one line of its own.

mod common;

use common::*;
use router::metrics::{Counters, Event, MetricsPage};

fn figure(text: &str, name: &str) -> Option<u64> {
    text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
}

#[test]
fn every_event_has_a_counter_of_its_own() {
    let counters = Counters::default();
    for (at, (event, _)) in Event::ALL.into_iter().enumerate() {
        assert_eq!(event as usize, at, "{event:?} stands at its place");
        counters.count(event);
        assert_eq!(counters.get(event), 1, "{event:?}");
    }
}

#[tokio::test]
async fn the_page_tells_what_became_of_requests_and_which_weights_are_where() {
    let full = answer("503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
    let backend = StandIn::start(vec![Act::Say(success("ok")), Act::Say(full)]).await;
    let router = Router::start(&[&backend]).await;
    let page = MetricsPage::new(router.fleet.clone(), router.table.clone());
    assert_eq!(status(&router.ask("/unsafe/", KEY).await), "200");
    assert_eq!(status(&router.ask("/unsafe/", KEY).await), "503");
    let text = page.text();
    for (name, expected) in [
        ("requests_begun_total", 2),
        ("answers_begun_total", 1),
        ("requests_refused_unrun_total", 1),
        ("sends_total", 2),
        ("rejections_total", 1),
        ("configuration_version", 1),
        ("backends_with_weights{model=\"m\",version=\"1\"}", 1),
        ("backends{phase=\"ready\"}", 1),
    ] {
        assert_eq!(figure(&text, name), Some(expected), "{name}\n{text}");
    }
    assert!(text.lines().all(|line| line.split_whitespace().count() == 2), "{text}");
}

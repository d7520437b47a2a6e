//! The metrics page: its values and format.

mod common;

use common::*;
use control::state::{Position, WeightsTarget};
use router::counters::{Counters, Event};
use router::disk::PersistedFleet;
use router::metrics::MetricsPage;
use router::protocol::PublishedState;
use routing::version_floor::AnnouncedVersion;
use std::collections::BTreeMap;

fn metric(text: &str, name: &str) -> Option<u64> {
    text.lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
}

#[test]
fn events_have_distinct_counters() {
    let counters = Counters::default();
    for (at, (event, _)) in Event::ALL.into_iter().enumerate() {
        assert_eq!(event as usize, at, "index of {event:?}");
        counters.count(event);
        assert_eq!(counters.get(event), 1, "{event:?}");
    }
}

#[tokio::test]
async fn page_shows_request_outcomes_and_weights() {
    let overloaded = answer("503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
    let backend = FakeBackend::start(vec![
        Action::Respond(success("ok")),
        Action::Respond(overloaded),
    ])
    .await;
    let router = Router::start(&[&backend]).await;
    let page = MetricsPage::new(router.fleet.clone(), router.table.clone(), None);
    assert_eq!(status(&router.response_to("/unsafe/", KEY).await), "200");
    assert_eq!(status(&router.response_to("/unsafe/", KEY).await), "503");
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
        assert_eq!(metric(&text, name), Some(expected), "{name}\n{text}");
    }
    assert!(
        text.lines()
            .all(|line| line.split_whitespace().count() == 2),
        "{text}"
    );
}

#[tokio::test]
async fn page_shows_incomplete_rollouts_with_reasons() {
    let backends = [
        FakeBackend::start(Vec::new()).await,
        FakeBackend::start(Vec::new()).await,
    ];
    let router = Router::start(&[&backends[0], &backends[1]]).await;
    let weights = BTreeMap::from([(
        "m".into(),
        WeightsTarget {
            version: 2,
            index: 2,
        },
    )]);
    let state = PublishedState {
        position: Position { index: 2, epoch: 1 },
        configuration: None,
        weights,
    };
    assert!(router.fleet.published.lock().unwrap().apply_update(state));
    router.fleet.restore(PersistedFleet {
        records: Vec::new(),
        announced_weights: vec![AnnouncedVersion {
            model: "m".into(),
            version: 2,
            age_ms: 700,
        }],
    });
    register_version(&router.fleet, 1, &backends[1], 2);
    let text = MetricsPage::new(router.fleet.clone(), router.table.clone(), None).text();
    for (name, expected) in [
        ("backends_lacking_weights{cause=\"due\"}", 1),
        ("backends_lacking_weights{cause=\"under_way\"}", 0),
        ("backends_lacking_weights{cause=\"silent\"}", 0),
        ("backends_lacking_weights{cause=\"draining\"}", 0),
        ("backends_lacking_weights{cause=\"contradicted\"}", 0),
    ] {
        assert_eq!(metric(&text, name), Some(expected), "{name}\n{text}");
    }
    let age = metric(&text, "weights_unfinished_ms{model=\"m\",version=\"2\"}");
    assert!(age.is_some_and(|age| age >= 700), "{text}");
    register_version(&router.fleet, 0, &backends[0], 2);
    let text = MetricsPage::new(router.fleet.clone(), router.table.clone(), None).text();
    assert!(
        !text.contains("weights_unfinished_ms"),
        "all backends have the version\n{text}"
    );
}

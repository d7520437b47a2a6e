//! Tests of health checks.

use super::*;

const MS: Time = 1_000_000;

fn config() -> Config {
    Config {
        period: 100 * MS,
        verdict_ttl: 200 * MS,
        max_suspects: 3,
        healthy_threshold: 2,
    }
}

fn token(revision: u64) -> Token {
    Token { era: 1, revision }
}

#[test]
fn checks_each_suspect_once_a_period() {
    let (mut scheduler, config) = (Scheduler::default(), config());
    let names = ["a", "b", "c", "d"];
    scheduler.set_suspects(names.into_iter(), &config, 0);
    assert_eq!(scheduler.len(), 3, "limited to max_suspects");
    let mut sent = Vec::new();
    while let Some(name) = scheduler.due(0).map(str::to_owned) {
        scheduler.start(&name);
        sent.push(name);
    }
    assert_eq!(sent, ["a", "b", "c"]);
    let finished = scheduler
        .finish("a", token(3), true, 7, &config, 10 * MS)
        .unwrap();
    assert_eq!(
        (
            finished.verdict.sequence,
            finished.verdict.healthy,
            finished.cleared
        ),
        (1, true, false)
    );
    assert_eq!(
        (scheduler.due(109 * MS), scheduler.due(110 * MS)),
        (None, Some("a"))
    );
    scheduler.start("a");
    assert!(
        scheduler
            .finish("a", token(3), true, 7, &config, 120 * MS)
            .unwrap()
            .cleared,
        "enough consecutive successes"
    );
    // A host that fails is checked again. For a host that is no longer suspected a pending result
    // is dropped.
    assert!(
        !scheduler
            .finish("b", token(3), false, 7, &config, 130 * MS)
            .unwrap()
            .cleared
    );
    scheduler.set_suspects(["b"].into_iter(), &config, 140 * MS);
    assert_eq!(
        scheduler.finish("c", token(3), true, 7, &config, 150 * MS),
        None
    );
    assert_eq!(scheduler.due_at(), Some(230 * MS));
}

#[test]
fn weighs_verdicts_by_age_and_rejects_stale_tokens() {
    let (mut cache, config) = (VerdictCache::default(), config());
    let verdict = Verdict {
        token: token(3),
        sequence: 1,
        healthy: false,
        latency: 9,
    };
    assert_eq!(
        Verdict::parse(&verdict.to_json().to_string()),
        Some(verdict)
    );
    assert!(cache.observe("a", verdict, 100 * MS));
    // A verdict that is received again keeps its age.
    assert!(cache.observe("a", verdict, 150 * MS));
    let weight =
        |cache: &VerdictCache, at| cache.weighted("a", &config, at).map(|(_, weight)| weight);
    assert_eq!(weight(&cache, 200 * MS), Some(0.5));
    assert_eq!(weight(&cache, 300 * MS), None);
    cache.observe_token(token(8));
    assert!(
        !cache.observe(
            "a",
            Verdict {
                sequence: 2,
                ..verdict
            },
            310 * MS
        ) && cache.rejected() == 1
    );
    assert_eq!(weight(&cache, 310 * MS), None);
    cache.retain(|name| name != "a");
    assert_eq!(weight(&cache, 100 * MS), None);
}

//! Pins the stored keys and JSON of this package. A difference here means that gatherers of an
//! older or newer version cannot read them.

use ownership::health_check::Verdict;
use ownership::job::{Job, Status, Step};
use ownership::lease::{Config, Grant, Lease, ReleaseReason, Response, View};
use ownership::role::Role;
use ownership::{Token, keys};
use std::collections::BTreeMap;

const TOKEN: Token = Token {
    era: 3,
    revision: 41,
};

#[test]
fn keys_are_unchanged() {
    let names: Vec<&str> = Role::ALL.into_iter().map(Role::name).collect();
    assert_eq!(names, ["hosts", "probes", "rollout", "keeping"]);
    assert_eq!(
        [
            keys::ENDPOINT_LIST,
            keys::SUSPECT,
            keys::VERDICT,
            keys::JOB,
            keys::RESTART_ORDER,
            keys::PRESENCE
        ],
        [
            "hosts/list",
            "suspect/",
            "verdict/",
            "job/",
            "order/",
            "here/"
        ]
    );
    assert_eq!(keys::owner(Role::Cleanup), "owner/keeping");
    assert_eq!(keys::renewal(Role::Hosts), "alive/hosts");
    assert_eq!(
        keys::exclusion(Role::HealthChecks, "g1"),
        "forbid/probes/g1"
    );
    assert_eq!(keys::transfer(Role::Rollout), "wish/rollout");
    assert_eq!(keys::fault_report(Role::Hosts, "g1"), "doubt/hosts/g1");
}

#[test]
fn tokens_and_verdicts_are_unchanged() {
    assert_eq!(TOKEN.to_json().to_string(), "[3,41]");
    assert_eq!(TOKEN.to_string(), "3.41");
    let verdict = Verdict {
        token: TOKEN,
        sequence: 5,
        healthy: true,
        latency: 1_200_000,
    };
    let text = r#"{"number":5,"sound":true,"token":[3,41],"took":1200000}"#;
    assert_eq!(verdict.to_json().to_string(), text);
    assert_eq!(Verdict::parse(text), Some(verdict));
}

#[test]
fn grants_are_unchanged() {
    let grant = Grant {
        owner: Some("g1".to_owned()),
        incarnation: Some(7),
        failures: 2,
        parked: None,
        reason: "taken: it was given up".to_owned(),
        previous_owner: Some("g2".to_owned()),
    };
    let text = r#"{"deaths":2,"from":"g2","life":7,"owner":"g1","parked":null,"why":"taken: it was given up"}"#;
    assert_eq!(grant.to_json().to_string(), text);
    assert_eq!(Grant::parse(text), grant);
    let unreadable = Grant::parse("{}");
    assert_eq!(
        unreadable.to_json().to_string(),
        r#"{"deaths":0,"from":null,"life":null,"owner":null,"parked":"its entry cannot be read","why":""}"#
    );
    let reasons = [
        ReleaseReason::Ineligible,
        ReleaseReason::Excluded,
        ReleaseReason::Transfer("g3".to_owned()),
        ReleaseReason::FaultReported,
    ];
    assert_eq!(
        reasons.map(|reason| reason.to_string()),
        [
            "given up: it drains, or does not stand well",
            "given up: an operator has forbidden it",
            "offered: an operator wants it so",
            "given up: others can do what it cannot",
        ]
    );
}

/// The changes in the request of a lease, as key and value.
fn requested(lease: &mut Lease, now: u64) -> Vec<(String, Option<String>)> {
    let request = lease.poll(now).expect("a request is due");
    request
        .changes
        .into_iter()
        .map(|change| (change.key, change.value))
        .collect()
}

#[test]
fn acquisition_renewal_and_release_are_unchanged() {
    let config = Config {
        duration: 4_000,
        drift_permille: 100,
        safety_margin: 100,
        stagger: 10,
    };
    let mut lease = Lease::new(Role::Hosts, config, "g1", 9, 0);
    let mut view = View {
        era: 3,
        ..View::default()
    };
    lease.observe(view.clone(), 0);
    lease.set_rank(Some(0), 2, 0);
    let grant = r#"{"deaths":0,"from":null,"life":9,"owner":"g1","parked":null,"why":"taken: nobody ever had it"}"#;
    assert_eq!(
        requested(&mut lease, 0),
        [("owner/hosts".to_owned(), Some(grant.to_owned()))]
    );
    view.grant = Some((41, Grant::parse(grant)));
    lease.observe(view.clone(), 1);
    lease.handle_response(Response::Committed(41), 1);
    assert_eq!(lease.valid_token(1), Some(TOKEN));
    lease.record_success();
    let renewal = r#"{"count":1,"good":1,"token":[3,41]}"#;
    assert_eq!(
        requested(&mut lease, 1_000),
        [("alive/hosts".to_owned(), Some(renewal.to_owned()))]
    );
    lease.handle_response(Response::Committed(42), 1_001);
    view.transfer = Some((43, "g2".to_owned()));
    lease.observe(view, 1_100);
    let offer = r#"{"deaths":0,"from":"g1","life":null,"owner":"g2","parked":null,"why":"offered: an operator wants it so"}"#;
    assert_eq!(
        requested(&mut lease, 1_300),
        [
            ("owner/hosts".to_owned(), Some(offer.to_owned())),
            ("wish/hosts".to_owned(), None),
        ]
    );
}

#[test]
fn jobs_are_unchanged() {
    let steps = vec![
        Step::Activate(7),
        Step::Restart(vec!["g1".to_owned(), "g2".to_owned()]),
    ];
    let job = Job {
        position: 1,
        attempts: 2,
        attempted_by: Some(TOKEN),
        restarted: BTreeMap::from([("g1".to_owned(), 9)]),
        ..Job::new(steps, 1)
    };
    let text = |status: &str| {
        format!(
            r#"{{"at":1,"by":[3,41],"ordered":{{"g1":9}},"out":1,"stands":{status},"steps":[{{"activate":7}},{{"restart":["g1","g2"]}}],"tries":2}}"#
        )
    };
    let reason = || "why".to_owned();
    for (status, stored, shown) in [
        (Status::Open, r#""open""#, "open"),
        (
            Status::Paused(reason()),
            r#"{"paused":"why"}"#,
            "paused: why",
        ),
        (
            Status::Parked(reason()),
            r#"{"parked":"why"}"#,
            "parked: why",
        ),
        (Status::Done, r#""done""#, "done"),
        (Status::Cancelled, r#""cancelled""#, "called off"),
    ] {
        assert_eq!(status.to_string(), shown);
        let job = Job {
            status,
            ..job.clone()
        };
        assert_eq!(job.to_json().to_string(), text(stored));
        assert_eq!(Job::parse(&text(stored)), Some(job));
    }
    let shown: Vec<String> = job.steps.iter().map(ToString::to_string).collect();
    assert_eq!(shown, ["activate proposal 7", "restart g1, g2"]);
}

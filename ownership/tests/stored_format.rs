//! Pins what this package stores: keys and JSON, as written by the program before its types were
//! renamed. A difference here means that an older or newer gatherer of the fleet cannot read it.

use ownership::job::{Job, Stands, Step};
use ownership::kind::Kind;
use ownership::lease::{Answer, Grant, Lease, Stop, Terms, View};
use ownership::probes::Verdict;
use ownership::{Token, keys};
use std::collections::BTreeMap;

const TOKEN: Token = Token {
    era: 3,
    revision: 41,
};

#[test]
fn keys_are_unchanged() {
    let names: Vec<&str> = Kind::ALL.into_iter().map(Kind::name).collect();
    assert_eq!(names, ["hosts", "probes", "rollout", "keeping"]);
    assert_eq!(
        [
            keys::LIST,
            keys::SUSPECT,
            keys::VERDICT,
            keys::JOB,
            keys::ORDER,
            keys::HERE
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
    assert_eq!(keys::owner(Kind::Keeping), "owner/keeping");
    assert_eq!(keys::alive(Kind::Hosts), "alive/hosts");
    assert_eq!(keys::forbid(Kind::Probes, "g1"), "forbid/probes/g1");
    assert_eq!(keys::wish(Kind::Rollout), "wish/rollout");
    assert_eq!(keys::doubt(Kind::Hosts, "g1"), "doubt/hosts/g1");
}

#[test]
fn tokens_and_verdicts_are_unchanged() {
    assert_eq!(TOKEN.json().to_string(), "[3,41]");
    assert_eq!(TOKEN.to_string(), "3.41");
    let verdict = Verdict {
        token: TOKEN,
        number: 5,
        sound: true,
        took: 1_200_000,
    };
    let text = r#"{"number":5,"sound":true,"token":[3,41],"took":1200000}"#;
    assert_eq!(verdict.json().to_string(), text);
    assert_eq!(Verdict::read(text), Some(verdict));
}

#[test]
fn grants_are_unchanged() {
    let grant = Grant {
        owner: Some("g1".to_owned()),
        life: Some(7),
        deaths: 2,
        parked: None,
        why: "taken: it was given up".to_owned(),
        from: Some("g2".to_owned()),
    };
    let text = r#"{"deaths":2,"from":"g2","life":7,"owner":"g1","parked":null,"why":"taken: it was given up"}"#;
    assert_eq!(grant.json().to_string(), text);
    assert_eq!(Grant::read(text), grant);
    let unreadable = Grant::read("{}");
    assert_eq!(
        unreadable.json().to_string(),
        r#"{"deaths":0,"from":null,"life":null,"owner":null,"parked":"its entry cannot be read","why":""}"#
    );
    let reasons = [
        Stop::Unfit,
        Stop::Forbidden,
        Stop::Wished("g3".to_owned()),
        Stop::Doubted,
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

/// The changes that a lease asks for, as key and value.
fn requested(lease: &mut Lease, now: u64) -> Vec<(String, Option<String>)> {
    let request = lease.next(now).expect("a request is due");
    request
        .sets
        .into_iter()
        .map(|change| (change.key, change.value))
        .collect()
}

#[test]
fn acquisition_renewal_and_release_are_unchanged() {
    let terms = Terms {
        lease: 4_000,
        drift: 100,
        margin: 100,
        step: 10,
    };
    let mut lease = Lease::new(Kind::Hosts, terms, "g1", 9, 0);
    let mut view = View {
        era: 3,
        ..View::default()
    };
    lease.sees(view.clone(), 0);
    lease.stands(Some(0), 2, 0);
    let grant = r#"{"deaths":0,"from":null,"life":9,"owner":"g1","parked":null,"why":"taken: nobody ever had it"}"#;
    assert_eq!(
        requested(&mut lease, 0),
        [("owner/hosts".to_owned(), Some(grant.to_owned()))]
    );
    view.grant = Some((41, Grant::read(grant)));
    lease.sees(view.clone(), 1);
    lease.answered(Answer::Applied(41), 1);
    assert_eq!(lease.holds(1), Some(TOKEN));
    lease.went_well();
    let renewal = r#"{"count":1,"good":1,"token":[3,41]}"#;
    assert_eq!(
        requested(&mut lease, 1_000),
        [("alive/hosts".to_owned(), Some(renewal.to_owned()))]
    );
    lease.answered(Answer::Applied(42), 1_001);
    view.wish = Some((43, "g2".to_owned()));
    lease.sees(view, 1_100);
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
        at: 1,
        tries: 2,
        by: Some(TOKEN),
        ordered: BTreeMap::from([("g1".to_owned(), 9)]),
        ..Job::new(steps, 1)
    };
    let text = |stands: &str| {
        format!(
            r#"{{"at":1,"by":[3,41],"ordered":{{"g1":9}},"out":1,"stands":{stands},"steps":[{{"activate":7}},{{"restart":["g1","g2"]}}],"tries":2}}"#
        )
    };
    let why = || "why".to_owned();
    for (stands, stored, shown) in [
        (Stands::Open, r#""open""#, "open"),
        (Stands::Paused(why()), r#"{"paused":"why"}"#, "paused: why"),
        (Stands::Parked(why()), r#"{"parked":"why"}"#, "parked: why"),
        (Stands::Done, r#""done""#, "done"),
        (Stands::Cancelled, r#""cancelled""#, "called off"),
    ] {
        assert_eq!(stands.to_string(), shown);
        let job = Job {
            stands,
            ..job.clone()
        };
        assert_eq!(job.json().to_string(), text(stored));
        assert_eq!(Job::read(&text(stored)), Some(job));
    }
    let shown: Vec<String> = job.steps.iter().map(ToString::to_string).collect();
    assert_eq!(shown, ["activate proposal 7", "restart g1, g2"]);
}

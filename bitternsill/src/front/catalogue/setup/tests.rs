//! Tests of `front::catalogue::setup`.

use super::*;
use serde_json::json;

fn sample() -> Json {
    let text = std::fs::read(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../deploy/catalogue.json"
    ))
    .unwrap();
    serde_json::from_slice(&text).unwrap()
}

/// Puts a wrong value in each setting, and checks that the error names its path, the value found
/// and the values allowed.
#[test]
fn every_wrong_value_is_named_with_its_place_and_what_is_allowed() {
    let cases = [
        ("name", json!(7)),
        ("seed", json!(-1)),
        ("sockets", json!(3)),
        ("listen.sru", json!("here")),
        ("listen.ftp", json!("127.0.0.1:1")),
        ("listen", json!({})),
        ("database", json!("")),
        ("title", json!(7)),
        ("class", json!("other")),
        ("page_class", json!("other")),
        ("scan_class", json!(7)),
        ("budget_ms", json!(0)),
        ("readers", json!({"ask": "later", "passwords": {}})),
        ("readers", json!({"ask": "init", "passwords": {"ann": ""}})),
        ("result_sets", json!({"idle_s": 0})),
        ("result_sets", json!({"count": "many"})),
        ("result_sets", json!({"size": 1})),
        ("index_hosts.speak", json!("ftp")),
        ("index_hosts.database", json!("comics")),
        ("index_hosts.discovery", json!("there")),
        ("index_hosts.sessions", json!(1000)),
        ("index_hosts.members", json!({"rev": 1})),
        ("index_hosts.members", json!(null)),
        ("settings", json!({})),
        (
            "store",
            json!({"member": 4, "file": "x", "members": {"1": "127.0.0.1:1"}}),
        ),
        (
            "store",
            json!({"member": 1, "file": "x", "members": {"1": "nowhere"}}),
        ),
        ("learning", json!({"folder": 7})),
        ("learning", json!({"folder": "x", "period_ms": 5})),
        ("learning", json!({"folder": "x", "often": true})),
        ("recovery", json!({})),
        ("recovery", json!({"ask_ms": "soon"})),
        ("recovery", json!({"ask": 1})),
        ("colour", json!("red")),
    ];
    let mut messages = Vec::new();
    for (path, value) in cases {
        let mut json = sample();
        let mut place = &mut json;
        for key in path.split('.') {
            place = place
                .as_object_mut()
                .unwrap()
                .entry(key)
                .or_insert(Json::Null);
        }
        *place = value.clone();
        let problem = read(&json)
            .err()
            .unwrap_or_else(|| panic!("{path} {value} was accepted"));
        messages.push(format!("{path} = {value}\n  {problem}"));
    }
    insta::assert_snapshot!(messages.join("\n"));
    assert!(read(&sample()).is_ok());
}

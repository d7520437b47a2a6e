//! Validation of configurations, route and key lookup, and configuration changes.

use assert_matches::assert_matches;
use control::changes::{Change, Outcome, Rejection};
use control::configuration::{Access, Configuration, ConfigurationError, Kind};
use control::delta;
use control::state::{ControlState, Position, Update};

const VALID: &str = r#"{"version":7,"routes":[
 {"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"streaming","timeoutMs":3000,"targetLatencyMs":300,
  "priority":0,"service":"models","attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":300},
 {"name":"r2","host":"a.example","pathPrefix":"/x/y/","kind":"unsafe","timeoutMs":1000,
  "trafficSplit":[{"service":"models","weight":90},{"service":"records","weight":10}],"attempts":1,"public":true}],
 "services":[{"name":"models","healthPath":"/health","connectionLimit":390,
   "engine":{"slots":64,"kvCapacity":308741,"kvTokenBytes":327680,"linkMbps":370000.0,"maxConcurrent":12,"models":[{"name":"m"}]}},
  {"name":"records","healthPath":"/health","connectionLimit":130},
  {"name":"store","kvStoreAddress":"172.20.0.2:8387","zone":"z","kvCapacity":1665825,"maxConcurrent":12}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1,"isolated":true},{"name":"t2","apiKeys":["k3"]}]}"#;

fn parse_error(from: &str, to: &str) -> ConfigurationError {
    let body = VALID.replacen(from, to, 1);
    assert_ne!(body, VALID, "{from} occurs in the configuration");
    Configuration::parse(body.as_bytes()).expect_err("the configuration is invalid")
}

#[test]
fn the_longest_prefix_of_a_host_is_its_route() {
    let parsed = Configuration::parse(VALID.as_bytes()).unwrap();
    let name =
        |host: &str, path: &str| parsed.route(host, path).map(|route| route.name.to_string());
    assert_eq!(name("a.example", "/x/y/z").as_deref(), Some("r2"));
    assert_eq!(name("a.example", "/x/z").as_deref(), Some("r1"));
    assert_eq!(name("a.example", "/q/"), None);
    assert_eq!(name("b.example", "/x/"), None);
    let route = parsed.route("a.example", "/x/").unwrap();
    assert_eq!((route.kind, route.is_idempotent()), (Kind::Streaming, true));
    assert_eq!(parsed.services["models"].engine.as_ref().unwrap().slots, 64);
    assert!(parsed.services["store"].kv_store.is_some());
}

#[test]
fn a_key_names_its_tenant_and_others_are_denied() {
    let parsed = Configuration::parse(VALID.as_bytes()).unwrap();
    let closed = parsed.route("a.example", "/x/").unwrap();
    let open = parsed.route("a.example", "/x/y/").unwrap();
    assert_matches!(parsed.access(closed, Some("k2")), Access::Tenant(tenant) if tenant.name == "t1" && tenant.isolated);
    assert_matches!(parsed.access(closed, Some("none")), Access::Denied);
    assert_matches!(parsed.access(closed, None), Access::Denied);
    assert_matches!(parsed.access(open, None), Access::Open);
}

#[test]
fn validation_errors_name_the_invalid_part() {
    assert_matches!(
        Configuration::parse(&VALID.as_bytes()[..300]),
        Err(ConfigurationError::InvalidJson(_))
    );
    assert_matches!(parse_error("\"service\":\"models\",\"attempts\"", "\"service\":\"none\",\"attempts\""),
        ConfigurationError::UnknownService { route, service } if route == "r1" && service == "none");
    assert_matches!(parse_error("\"/x/y/\"", "\"/x/\""), ConfigurationError::DuplicateRoute { first, second } if first == "r1" && second == "r2");
    assert_matches!(parse_error("\"weight\":90},{\"service\":\"records\",\"weight\":10", "\"weight\":0"),
        ConfigurationError::ZeroWeight { route } if route == "r2");
    assert_matches!(parse_error("\"timeoutMs\":3000", "\"timeoutMs\":0"), ConfigurationError::ZeroTimeout { route } if route == "r1");
    assert_matches!(parse_error("\"k3\"", "\"k1\""), ConfigurationError::SharedKey { first, second } if first == "t1" && second == "t2");
    let version = parse_error("\"version\":7", "\"version\":\"seven\"");
    assert_eq!(
        version.to_string(),
        "version is missing or not a whole number"
    );
}

fn put(state: &mut ControlState, base: u64, body: &str) -> Outcome {
    let change = Change::Configuration {
        base,
        body: body.as_bytes().into(),
    };
    match state.evaluate(&change) {
        Some(outcome) => outcome,
        None => {
            let position = Position {
                index: state.position.index + 1,
                epoch: 1,
            };
            state.apply(&Update { position, change });
            Outcome::Committed
        }
    }
}

/// Three changes, two of which replace the same version, are each sent twice in every order. At
/// most one of the two is committed, and a committed change is acknowledged again when it is
/// retried.
#[test]
fn one_of_two_changes_to_the_same_version_wins_in_every_order() {
    let first = (0, VALID.to_owned());
    let left = (7, VALID.replacen("\"version\":7", "\"version\":9", 1));
    let right = (7, VALID.replacen("\"version\":7", "\"version\":9 ", 1));
    let changes = [&first, &left, &right];
    for order in 0..3_usize.pow(6) {
        let mut state = ControlState::default();
        let mut is_committed = [false; 3];
        let mut rest = order;
        for _ in 0..6 {
            let at = rest % 3;
            rest /= 3;
            let (base, body) = changes[at];
            let outcome = put(&mut state, *base, body);
            if is_committed[at] {
                assert_eq!(
                    outcome,
                    Outcome::Committed,
                    "order {order}: a committed change was rejected"
                );
            }
            is_committed[at] |= outcome == Outcome::Committed;
        }
        assert!(
            !(is_committed[1] && is_committed[2]),
            "order {order}: both changes were committed"
        );
    }
}

#[test]
fn a_version_that_does_not_rise_is_refused() {
    let mut state = ControlState::default();
    assert_eq!(put(&mut state, 0, VALID), Outcome::Committed);
    let same = VALID.replacen("\"r1\"", "\"other\"", 1);
    assert_matches!(put(&mut state, 7, &same), Outcome::Rejected(Rejection::Invalid(text)) if text.contains("not above the current 7"));
    assert_matches!(
        put(&mut state, 3, &same),
        Outcome::Rejected(Rejection::VersionConflict { current: 7 })
    );
}

#[test]
fn delta_copies_from_the_base_and_restores_the_text() {
    let routes = |version: u64, changed: u64| {
        let route = |at: u64| {
            let timeout = if at == changed { 9 } else { 5 };
            format!(
                r#"{{"name":"r{at}","host":"h","pathPrefix":"/{at}/","timeoutMs":{timeout},"service":"s"}}"#
            )
        };
        let routes: Vec<String> = (0..200).map(route).collect();
        format!(
            r#"{{"version":{version},"routes":[{}],"services":[]}}"#,
            routes.join(",")
        )
        .into_bytes()
    };
    let (base, next) = (routes(1, 500), routes(2, 120));
    let chunks = delta::diff(&base, &next);
    assert_eq!(delta::patch(&base, &chunks).as_deref(), Some(&next[..]));
    let inserted: usize = chunks
        .iter()
        .map(|chunk| match chunk {
            delta::Chunk::Insert(bytes) => bytes.len(),
            _ => 0,
        })
        .sum();
    assert!(
        inserted < 200,
        "{inserted} of {} bytes are sent",
        next.len()
    );
    assert_eq!(
        delta::patch(&base[..10], &chunks),
        None,
        "a shorter base is detected"
    );
}

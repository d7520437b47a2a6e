//! Requests that a router handles by a configuration that may be older than the last acknowledged
//! one. The router can't know what a newer one forbids, so it relies on nothing that only the known
//! one allows.

mod common;

use common::*;
use router::counters::Event;

/// Routes that allow repeated executions, with short time limits.
const REPEATABLE: &str = r#"{"version":1,"routes":[
 {"name":"safe","host":"h","pathPrefix":"/safe/","kind":"safe","timeoutMs":500,"targetLatencyMs":40,"service":"s","attempts":3},
 {"name":"resumable","host":"h","pathPrefix":"/resumable/","kind":"streaming","timeoutMs":500,"targetLatencyMs":40,"service":"s","attempts":3,"resumable":true}],
 "services":[{"name":"s","healthPath":"/health","connectionLimit":100}],
 "tenants":[{"name":"t1","apiKeys":["key1"]},{"name":"t2","apiKeys":["key2"]}]}"#;

/// Two backends that handle requests alike.
async fn two_backends(action: Action) -> [FakeBackend; 2] {
    [
        FakeBackend::start(vec![action.clone()]).await,
        FakeBackend::start(vec![action]).await,
    ]
}

fn executions([first, second]: &[FakeBackend; 2]) -> usize {
    first.count() + second.count()
}

/// A router whose configuration nobody has confirmed, as after a restart.
async fn start_unconfirmed([first, second]: &[FakeBackend; 2]) -> Router {
    let fleet = Router::without_configuration();
    Router::start_unconfirmed(fleet, REPEATABLE, &[first, second]).await
}

/// Failures of backends after which a router retries or hedges: the path of the request, the action
/// of the backends, and the status for the client if the router does neither.
fn reasons_to_repeat() -> Vec<(&'static str, Action, &'static str)> {
    let failure = answer("500 Internal Server Error", "X-Response-Seal: s\r\n", "");
    let broken_stream = format!("{STREAM_HEAD}{}", event(1));
    vec![
        ("/safe/", Action::Hang, "504"),
        ("/safe/", Action::RespondAndClose(String::new()), "502"),
        ("/safe/", Action::Respond(failure), "500"),
        ("/resumable/", Action::RespondAndReset(broken_stream), "200"),
    ]
}

/// Guards against requests that run twice after a kill of all routers: the first one to return
/// serves by the configuration before the last acknowledged one, which allowed retries and hedges.
#[tokio::test]
async fn configuration_that_nobody_confirmed_permits_no_second_execution() {
    for (path, action, expected) in reasons_to_repeat() {
        let backends = two_backends(action.clone()).await;
        let router = start_unconfirmed(&backends).await;
        let response = router.response_to(path, KEY).await;
        assert_eq!(status(&response), expected, "{action:?}: {response}");
        assert_eq!(executions(&backends), 1, "{action:?}");
        let counters = &router.fleet.counters;
        let withheld = counters.get(Event::HedgeWithheld) + counters.get(Event::RetryWithheld);
        assert_eq!(withheld, 1, "{action:?}");
        assert_eq!(counters.get(Event::UnconfirmedConfiguration), 1);
    }
}

/// Guards against requests that run twice after the suspension of a router: it reads them from its
/// sockets before the response to its pull, which has the newer configuration.
#[tokio::test]
async fn configuration_that_was_confirmed_too_long_ago_permits_no_second_execution() {
    for (path, action, _) in reasons_to_repeat() {
        let backends = two_backends(action.clone()).await;
        let router = start_unconfirmed(&backends).await;
        let bound = router.fleet.settings.bounds.config_apply_ms;
        let suspended_at = router::clock::now() - bound - 1;
        router.fleet.record_confirmation(suspended_at);
        router.response_to(path, KEY).await;
        assert_eq!(executions(&backends), 1, "{action:?}");
    }
}

/// A configuration binds requests that are sent later than `configApplyMs` after its
/// acknowledgement, so the one before it binds all others.
#[tokio::test]
async fn configuration_binds_requests_for_its_bound_after_the_confirmation() {
    let fleet = Router::without_configuration();
    publish(&fleet, 1, CONFIGURATION);
    let bound = fleet.settings.bounds.config_apply_ms;
    let confirmed_as_of = 200_000;
    fleet.record_confirmation(confirmed_as_of);
    let is_confirmed = |received_at| {
        let in_use = fleet.configuration_for(received_at);
        in_use.expect("a configuration").is_confirmed
    };
    assert!(is_confirmed(confirmed_as_of));
    assert!(is_confirmed(confirmed_as_of + bound));
    assert!(!is_confirmed(confirmed_as_of + bound + 1));
}

/// Requests that a backend rejected without executing them are retried under every configuration.
#[tokio::test]
async fn unconfirmed_configuration_permits_retry_after_rejection() {
    let full = answer("503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
    let backends = two_backends(Action::Respond(full)).await;
    let router = start_unconfirmed(&backends).await;
    assert_eq!(status(&router.response_to("/safe/", KEY).await), "503");
    assert_eq!(executions(&backends), 2, "each backend was asked");
}

/// Guards against requests that compute cached segments again after a start of many routers, as each
/// serves some before the first confirmation arrives.
#[tokio::test]
async fn request_after_start_waits_for_first_confirmation() {
    let backends = two_backends(Action::Respond(success("ok"))).await;
    let router = start_unconfirmed(&backends).await;
    let response = router.send("/safe/", KEY).await;
    let counters = &router.fleet.counters;
    let received = async {
        while counters.get(Event::RequestReceived) == 0 {
            tokio::task::yield_now().await;
        }
    };
    let received = tokio::time::timeout(TEST_TIMEOUT, received).await;
    received.expect("the request is received");
    assert_eq!(executions(&backends), 0);
    router.fleet.record_confirmation(router::clock::now());
    wait_for_end(response).await;
    assert_eq!(executions(&backends), 1);
    assert_eq!(counters.get(Event::UnconfirmedConfiguration), 0);
}

/// A confirmation that comes while the request waits counts for it, if the same configuration is
/// in force.
#[tokio::test]
async fn hedges_request_once_its_configuration_is_confirmed() {
    let backends = two_backends(Action::Hang).await;
    let router = start_unconfirmed(&backends).await;
    let response = router.send("/safe/", KEY).await;
    wait_for_first_execution(&backends).await;
    router.fleet.record_confirmation(router::clock::now());
    wait_for_end(response).await;
    assert_eq!(executions(&backends), 2);
}

/// Guards against hedges by a configuration that was replaced while the request waited.
#[tokio::test]
async fn does_not_hedge_once_another_configuration_is_in_force() {
    let backends = two_backends(Action::Hang).await;
    let router = start_unconfirmed(&backends).await;
    let response = router.send("/safe/", KEY).await;
    wait_for_first_execution(&backends).await;
    let newer = REPEATABLE.replace("\"version\":1", "\"version\":2");
    publish(&router.fleet, 2, &newer);
    router.fleet.record_confirmation(router::clock::now());
    wait_for_end(response).await;
    assert_eq!(executions(&backends), 1);
}

/// Guards against clients that are told for good that a route or key does not exist which the last
/// acknowledged configuration has: they never retry a 401, 404 or 413.
#[tokio::test]
async fn unconfirmed_configuration_denies_nothing_for_good() {
    let configuration =
        REPEATABLE.replace("\"routes\"", "\"limits\":{\"maxBodyBytes\":3},\"routes\"");
    let denied = [
        ("/other/", KEY, "404"),
        ("/safe/", "", "401"),
        ("/safe/", "Authorization: Bearer unknown\r\n", "401"),
        ("/safe/", KEY, "413"),
    ];
    let router = Router::start_with(&configuration, &[]).await;
    for (path, headers, expected) in denied {
        let response = router.response_to(path, headers).await;
        assert_eq!(status(&response), expected, "{path} {headers}");
    }
    let fleet = Router::without_configuration();
    let router = Router::start_unconfirmed(fleet, &configuration, &[]).await;
    for (path, headers, _) in denied {
        let response = router.response_to(path, headers).await;
        assert_eq!(status(&response), "503", "{path} {headers}");
        assert!(header(&response, "retry-after").is_some(), "{response}");
    }
}

const PROMPT: &str =
    "X-Model-Name: m\r\nX-Token-Counts: 900,10\r\nX-Prompt-Prefix: a:300,b:500,own:100\r\n";

/// A public route, a route that requires a key, an isolated tenant and two others.
const TENANTS: &str = r#"{"version":1,"routes":[
 {"name":"keyed","host":"h","pathPrefix":"/keyed/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"service":"s"},
 {"name":"open","host":"h","pathPrefix":"/open/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"service":"s","public":true}],
 "services":[{"name":"s","healthPath":"/health","connectionLimit":100}],
 "tenants":[{"name":"t1","apiKeys":["key1"],"isolated":true},{"name":"t2","apiKeys":["key2"]},{"name":"t3","apiKeys":["key3"]}]}"#;

/// The cache salts of one request of each kind: of every tenant, and on the public route of a known
/// and an unknown key and of none.
async fn salts(fleet: std::sync::Arc<router::fleet::Fleet>) -> Vec<String> {
    let backend = FakeBackend::start(vec![Action::Respond(success("ok"))]).await;
    let router = Router::start_unconfirmed(fleet, TENANTS, &[&backend]).await;
    let requests = [
        ("/keyed/", "Authorization: Bearer key1\r\n"),
        ("/keyed/", "Authorization: Bearer key2\r\n"),
        ("/keyed/", "Authorization: Bearer key3\r\n"),
        ("/open/", "Authorization: Bearer key2\r\n"),
        ("/open/", "Authorization: Bearer unknown\r\n"),
        ("/open/", ""),
    ];
    let mut salts = Vec::new();
    for (path, key) in requests {
        let response = router.response_to(path, &format!("{key}{PROMPT}")).await;
        assert_eq!(status(&response), "200", "{path} {key}");
        let sent = backend.request(salts.len());
        salts.push(header(&sent, "cache-salt").expect("a salt"));
    }
    salts
}

/// Guards against prompt segments of other tenants that a tenant uses although the last
/// acknowledged configuration isolates it: the router shares them by an older one, which it restored
/// from its disk or had before a suspension.
#[tokio::test]
async fn tenants_share_no_segments_by_an_unconfirmed_configuration() {
    let confirmed = Router::without_configuration();
    confirmed.record_confirmation(router::clock::now() + 60_000);
    let shared = salts(confirmed).await;
    assert_eq!(shared[1], shared[2], "tenants that are not isolated share");
    assert_ne!(shared[0], shared[1]);

    let never_confirmed = Router::without_configuration();
    let outdated = Router::without_configuration();
    let bound = outdated.settings.bounds.config_apply_ms;
    outdated.record_confirmation(router::clock::now() - bound - 1);
    for fleet in [never_confirmed, outdated] {
        let mut separate = salts(fleet).await;
        assert_eq!(separate[0], shared[0], "an isolated tenant finds its own");
        assert!(!separate.contains(&shared[1]), "{separate:?}");
        assert_eq!(separate[3], separate[1], "the key names the tenant");
        separate.sort();
        separate.dedup();
        assert_eq!(separate.len(), 5, "{separate:?}");
    }
}

/// Guards against segments of newer weights that a backend computed under the salt of the older
/// ones: a router that does not know that newer ones are announced has them transferred.
#[tokio::test]
async fn unconfirmed_state_permits_no_transfer_of_segments() {
    for (is_confirmed, transfers) in [(true, 2), (false, 0)] {
        let fleet = Router::without_configuration();
        if is_confirmed {
            fleet.record_confirmation(router::clock::now() + 60_000);
        }
        let address = "127.0.0.1:9".parse().expect("an address");
        let store = control::configuration::KvStore {
            address,
            zone: "a".into(),
            kv_capacity: 100_000,
            max_concurrent: 4,
        };
        fleet.stores.reconfigure(&[(address, store)].into());
        fleet.stores.mark_available(address, 1);
        let backend = FakeBackend::start(vec![Action::Respond(success("ok"))]).await;
        let router = Router::start_unconfirmed(fleet, TENANTS, &[&backend]).await;
        router
            .response_to("/keyed/", &format!("{KEY}{PROMPT}"))
            .await;
        let sent = backend.request(0);
        let names = ["kv-fetch", "kv-save"];
        let found = names.iter().filter(|name| header(&sent, name).is_some());
        assert_eq!(found.count(), transfers, "{sent}");
    }
}

async fn wait_for_first_execution(backends: &[FakeBackend; 2]) {
    let executed = async {
        while executions(backends) == 0 {
            tokio::task::yield_now().await;
        }
    };
    let executed = tokio::time::timeout(TEST_TIMEOUT, executed).await;
    executed.expect("the request reaches a backend");
}

async fn wait_for_end(mut response: tokio::net::TcpStream) {
    let mut text = String::new();
    let read = tokio::io::AsyncReadExt::read_to_string(&mut response, &mut text);
    let ended = tokio::time::timeout(TEST_TIMEOUT, read).await;
    ended.expect("a response in time").expect("a response");
}

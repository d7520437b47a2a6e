//! Helpers for tests of configuration versions.

use super::fleet::*;
use super::*;
use simulation::link::Flow;
use std::collections::BTreeSet;

/// How long a confirmation is valid.
pub const VALIDITY: Duration = Duration::from_millis(2_000);

/// Options for gatherers with versions.
pub fn options_with_versions() -> FleetOptions {
    FleetOptions {
        known: true,
        versions: Some(
            json!({"validity_ms": VALIDITY.as_millis() as u64, "steady_ms": 500, "note_ms": 200}),
        ),
        ..FleetOptions::default()
    }
}

/// The settings with one more class of this name.
pub fn with_class(name: &str) -> Value {
    let mut settings = settings();
    let mut class = settings["request_classes"][1].clone();
    class["name"] = json!(name);
    settings["request_classes"]
        .as_array_mut()
        .unwrap()
        .push(class);
    for (key, value) in [
        ("class_fetch", json!(0)),
        ("class_need", json!(1.0)),
        ("floor_by_class", json!(1.0)),
        ("short_worth", json!(0.9)),
    ] {
        settings["extra"][key].as_array_mut().unwrap().push(value);
    }
    settings
}

/// Writes settings to a file.
pub fn write_settings(fleet: &Fleet, name: &str, settings: &Value) -> PathBuf {
    let path = std::env::temp_dir().join(format!(
        "bitternsill-{}-{}-{name}.json",
        fleet.name,
        std::process::id()
    ));
    std::fs::write(&path, settings.to_string()).unwrap();
    path
}

/// Proposes settings with a class of this name through some members; returns the proposal's number.
pub fn configure(fleet: &Fleet, class: &str, at: &[usize]) -> u64 {
    let path = write_settings(fleet, class, &with_class(class));
    let (text, done) = fleet.run_command(
        &[
            "configure",
            path.to_str().unwrap(),
            "--json",
            "--least",
            "0.34",
        ],
        at,
    );
    assert!(done, "{text}");
    let response: Value = serde_json::from_str(&text).unwrap_or_else(|_| panic!("{text}"));
    response["proposal"].as_u64().unwrap()
}

/// Activates the proposal; returns the version and the autonomous gatherers.
pub fn activate(fleet: &Fleet, at: &[usize]) -> Result<(u64, BTreeSet<String>), String> {
    let (text, done) = fleet.run_command(&["activate", "--json", "--wait", "3000"], at);
    let response: Value = serde_json::from_str(&text).map_err(|_| text.clone())?;
    assert!(done);
    let autonomous = response["keepers"]
        .as_array()
        .unwrap()
        .iter()
        .map(|one| one.as_str().unwrap().to_owned());
    Ok((response["version"].as_u64().unwrap(), autonomous.collect()))
}

/// The status code of a gatherer's response to a query of this class.
pub fn query_status(fleet: &Fleet, at: usize, class: &str) -> Option<String> {
    let mut socket = TcpStream::connect(fleet.client_addresses[at]).ok()?;
    socket
        .set_read_timeout(Some(Duration::from_secs(8)))
        .unwrap();
    let id = format!(
        "v{}-{at}",
        Instant::now().elapsed().as_nanos() as u64 ^ fastrand::u64(..)
    );
    socket
        .write_all(query(&id, class, &[0], "Connection: close\r\n").as_bytes())
        .ok()?;
    read_response(&mut socket).get(9..12).map(str::to_owned)
}

/// Whether a gatherer answers queries of this class.
pub fn serves(fleet: &Fleet, at: usize, class: &str) -> bool {
    query_status(fleet, at, class).as_deref() == Some("200")
}

/// The version section of a gatherer's status.
pub fn version_status(fleet: &Fleet, at: usize) -> Value {
    let (text, _) = fleet.run_command(&["phase", "--format", "json"], &[at]);
    let response: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    response[0]["answer"]["version"].clone()
}

pub fn has_status(fleet: &Fleet, at: usize, wanted: &str) -> bool {
    version_status(fleet, at)["standing"] == wanted
}

/// Audits all gatherers; returns the report and whether everything is known and free of violations.
pub fn audit(fleet: &Fleet) -> (String, bool) {
    let all: Vec<usize> = (0..fleet.stores.len()).collect();
    // The audit logs contain the last queries only after a flush.
    std::thread::sleep(Duration::from_millis(300));
    fleet.run_command(&["audit", "--patience", "4000"], &all)
}

/// Sets the flow of bytes from one gatherer to all others, and back.
pub fn partition(fleet: &Fleet, one: usize, flows: [Flow; 2]) {
    for other in (0..fleet.stores.len()).filter(|other| *other != one) {
        fleet.link(one, other).set(flows[0], flows[1]);
        fleet.link(other, one).set(flows[1], flows[0]);
    }
}

pub fn all_current(fleet: &Fleet) -> bool {
    (0..fleet.stores.len()).all(|at| has_status(fleet, at, "current"))
}

/// A fleet that runs its first version; returns its autonomous gatherers and one that is not
/// autonomous.
pub fn fleet_with_first_version(name: &str) -> (Fleet, BTreeSet<String>, usize) {
    let fleet = Fleet::with(name, 3, options_with_versions());
    wait_until("all are current", || all_current(&fleet));
    configure(&fleet, "first", &[0]);
    let (_, autonomous) = activate(&fleet, &[0]).unwrap();
    let other = (0..3)
        .find(|at| !autonomous.contains(&format!("g{at}")))
        .expect("no gatherer that is not autonomous");
    wait_until("all gatherers serve the first version", || {
        (0..3).all(|at| serves(&fleet, at, "first"))
    });
    (fleet, autonomous, other)
}

//! The command line.

use std::process::{Command, Stdio};

fn run(args: &[&str]) -> (Option<i32>, String, String) {
    let program = env!("CARGO_BIN_EXE_bitternsill");
    let output = Command::new(program)
        .args(args)
        .env_remove("ROUTER_CONFIG")
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

#[test]
fn bad_usage_exits_with_2_and_a_message() {
    for args in [
        &[][..],
        &["fly"],
        &["serve", "--bogus"],
        &["describe"],
        &["describe", "all"],
        &["check"],
    ] {
        let (code, out, err) = run(args);
        assert_eq!((code, out.as_str()), (Some(2), ""), "{args:?}");
        assert!(
            err.starts_with("bitternsill: ")
                && (err.contains("Usage:") || err.contains("possible values")),
            "{err}"
        );
    }
    assert_eq!(run(&["help"]).0, Some(0));
    assert_eq!(
        run(&["serve"]).0,
        Some(1),
        "no configuration is a failure, not bad usage"
    );
}

#[test]
fn check_accepts_valid_files_and_rejects_broken_ones() {
    let deploy = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/catalogue.json");
    assert_eq!(run(&["check", deploy]).0, Some(0));
    let directory = std::env::temp_dir().join(format!("bitternsill-check-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    for what in ["openapi", "asyncapi"] {
        let file = directory.join(what);
        std::fs::write(&file, run(&["describe", what]).1).unwrap();
        assert_eq!(run(&["check", file.to_str().unwrap()]).0, Some(0), "{what}");
    }
    let file = directory.join("broken");
    let setup = std::fs::read_to_string(deploy).unwrap();
    for (old, new) in [
        ("127.0.0.1:7090", "here"),
        ("\"speak\": \"z3950\"", "\"speak\": \"x\""),
        ("comics-{slice}", "comics"),
        ("\"class\": \"search\"", "\"class\": \"other\""),
        ("\"budget_ms\": 5000", "\"budget_ms\": 0"),
        ("\"target\": 2500000000", "\"target\": \"soon\""),
        ("\"state\": \"active\"", "\"state\": \"asleep\""),
    ] {
        assert!(setup.contains(old), "{old}");
        std::fs::write(&file, setup.replacen(old, new, 1)).unwrap();
        let (code, _, err) = run(&["check", file.to_str().unwrap()]);
        assert_eq!(code, Some(1), "{new}");
        assert!(
            err.lines().count() == 1 && err.contains(": `") || err.contains("settings"),
            "{err}"
        );
    }
    std::fs::remove_dir_all(&directory).unwrap();
}

/// Guards against a panic when standard output closes early, as in `describe asyncapi | head`.
#[test]
fn closed_stdout_is_no_failure() {
    let program = env!("CARGO_BIN_EXE_bitternsill");
    let mut child = Command::new(program)
        .args(["describe", "openapi"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
}

#[test]
fn check_reports_invalid_configuration_values() {
    let good = serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:7070", "discovery": "127.0.0.1:8500", "admin": "127.0.0.1:9901", "seed": "8c1f",
        "limits": {"sockets": 256, "memory_mb": 48},
        "settings": {
            "request_classes": [{"name": "page", "target": 1, "deadline": 2, "effect": "read_like"}],
            "limits": {"max_attempts": 4}
        }
    });
    let file =
        std::env::temp_dir().join(format!("bitternsill-configuration-{}", std::process::id()));
    let check = |config: &serde_json::Value| {
        std::fs::write(&file, config.to_string()).unwrap();
        let (status, out, errors) = run(&["check", file.to_str().unwrap()]);
        (status, out + &errors)
    };
    assert_eq!(check(&good).0, Some(0));
    for (path, value, expected) in [
        (
            "/admin",
            serde_json::json!("door"),
            "`admin` is missing or malformed; allowed is IP:PORT",
        ),
        (
            "/settings/request_classes/0/deadline",
            serde_json::json!(0),
            "`request_classes[0].deadline` is 0; allowed",
        ),
        (
            "/settings/limits/max_attempts",
            serde_json::json!(0),
            "`limits.max_attempts` is 0; allowed",
        ),
        (
            "/settings/request_classes/0/effect",
            serde_json::json!("odd"),
            "`request_classes[0].effect` is \"odd\"; allowed are `read_like`, `idempotency_key`, `non_idempotent`",
        ),
    ] {
        let mut bad = good.clone();
        *bad.pointer_mut(path).unwrap() = value;
        let (status, output) = check(&bad);
        assert!(
            status == Some(1) && output.contains(expected),
            "{path}: {output}"
        );
    }
    std::fs::remove_file(&file).unwrap();
}

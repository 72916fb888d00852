//! Settings of fronts and workers: the platform's template, and every bad field by name.

use foxwheel_core::settings;
use foxwheel_node::settings::{NodeSettings, Role};

const GOOD: &str = r#"{
    "host": "front-1", "role": "front", "availability_zone": "suwon-hall",
    "ip": "10.1.0.35", "peer_ports": [7660, 7675], "seeds": ["10.1.0.35:8146"],
    "caller_address": "10.1.0.35:8144", "readiness_address": "10.1.0.35:8140",
    "store_address": "10.200.1.7:8142", "store_value_bytes": 1048576,
    "stop_grace_ms": 8000, "results_readable_ms": 120000
}"#;

#[test]
fn good_settings_are_read() {
    let settings: NodeSettings = settings::parse("good", GOOD).expect("valid");
    assert_eq!(settings.role, Role::Front);
    assert_eq!(settings.peer_address().to_string(), "10.1.0.35:7660");
    assert_eq!(settings.stop_grace.as_millis(), 8_000);
}

#[test]
fn every_bad_field_is_named_at_once() {
    let bad = GOOD
        .replace("\"front-1\"", "\" \"")
        .replace("[7660, 7675]", "[7660, 7000]")
        .replace("1048576", "10")
        .replace("8000", "0")
        .replace("\"caller_address\": \"10.1.0.35:8144\",", "");
    let error = settings::parse::<NodeSettings>("bad", &bad).expect_err("refused");
    let message = error.to_string();
    let fields = [
        "host",
        "peer_ports",
        "store_value_bytes",
        "stop_grace_ms",
        "caller_address",
    ];
    for field in fields {
        assert!(
            message.contains(&format!("`{field}`")),
            "{field}: {message}"
        );
    }
}

#[test]
fn unreadable_settings_say_where() {
    let cases = [
        (
            "unknown field",
            GOOD.replace("\"seeds\"", "\"sneeds\""),
            "sneeds",
        ),
        (
            "not an address",
            GOOD.replace("10.200.1.7:8142", "store"),
            "line 5",
        ),
        (
            "missing field",
            GOOD.replace("\"ip\": \"10.1.0.35\", ", ""),
            "`ip`",
        ),
    ];
    for (name, text, named) in cases {
        let error = settings::parse::<NodeSettings>("bad", &text).expect_err(name);
        assert!(error.to_string().contains(named), "{name}: {error}");
    }
}

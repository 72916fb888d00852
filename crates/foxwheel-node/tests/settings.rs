//! Settings of fronts and workers: the platform's template, and every bad field by name.

use foxwheel_core::settings;
use foxwheel_node::settings::{NodeSettings, Role};

const GOOD: &str = r#"{
    "host": "front-1", "role": "front", "availability_zone": "suwon-hall",
    "ip": "10.1.0.35", "peer_ports": [7660, 7675], "seeds": ["10.1.0.35:8146"],
    "caller_address": "10.1.0.35:8144", "readiness_address": "10.1.0.35:8140",
    "store_address": "10.200.1.7:8142", "store_value_bytes": 1048576,
    "stop_grace_s": 8, "results_readable_s": 120.0
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
        .replace("\"stop_grace_s\": 8", "\"stop_grace_s\": 0")
        .replace("\"caller_address\": \"10.1.0.35:8144\",", "");
    let error = settings::parse::<NodeSettings>("bad", &bad).expect_err("refused");
    let message = error.to_string();
    let fields = [
        "host",
        "peer_ports",
        "store_value_bytes",
        "stop_grace_s",
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

const TEMPLATES: [&str; 2] = [
    include_str!("../../../platform/front.settings.json"),
    include_str!("../../../platform/worker.settings.json"),
];

/// Fills a template in as the platform does; `bounds` are those that it states.
fn filled(template: &str, bounds: &[(&str, &str)]) -> String {
    let mut text = template.to_owned();
    for name in ["bounds.grace_s", "bounds.status_s"] {
        let value = bounds.iter().find(|(bound, _)| *bound == name);
        let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        let start = text.find(&open).expect("a section");
        let end = text.find(&close).expect("its end");
        let inner = text[start + open.len()..end].to_owned();
        let inner = value.map(|(_, value)| inner.replace(&format!("{{{{{name}}}}}"), value));
        text.replace_range(start..end + close.len(), &inner.unwrap_or_default());
    }
    for (name, value) in [
        ("node", "host-1"),
        ("zone", "hall"),
        ("ip", "10.1.0.35"),
        ("port_range|json", "[7660,7675]"),
        ("seeds|json", "[\"10.1.0.35:8146\"]"),
        ("listen.front", "10.1.0.35:8144"),
        ("listen.ready", "10.1.0.35:8140"),
        ("platform.addr", "10.200.1.7:8142"),
        ("platform.value_bytes", "1048576"),
    ] {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// Bounds may be whole numbers, fractions, or not stated at all.
#[test]
fn the_platforms_templates_give_valid_settings() {
    let cases: [(&[(&str, &str)], u128); 3] = [
        (
            &[("bounds.grace_s", "8"), ("bounds.status_s", "120")],
            8_000,
        ),
        (
            &[("bounds.grace_s", "7.5"), ("bounds.status_s", "90.25")],
            7_500,
        ),
        (&[], 8_000),
    ];
    for template in TEMPLATES {
        for (bounds, grace_ms) in cases {
            let text = filled(template, bounds);
            let settings = settings::parse::<NodeSettings>("filled", &text);
            let settings = settings.unwrap_or_else(|e| panic!("{e}: {text}"));
            assert_eq!(settings.stop_grace.as_millis(), grace_ms);
        }
    }
}

//! Settings of fronts and workers: the platform's templates give valid settings, and every invalid
//! field is reported by name.

use foxwheel_core::settings;
use foxwheel_node::settings::{NodeSettings, Role};

const VALID: &str = r#"{
    "host": "front-1", "role": "front", "availability_zone": "suwon-hall",
    "ip": "10.1.0.35", "peer_ports": [7660, 7675], "seeds": ["10.1.0.35:8146"],
    "caller_address": "10.1.0.35:8144", "readiness_address": "10.1.0.35:8140",
    "store_address": "10.200.1.7:8142", "store_value_bytes": 1048576,
    "stop_grace_s": 8, "results_readable_s": 120.0
}"#;

#[test]
fn valid_settings_are_parsed() {
    let settings: NodeSettings = settings::parse("valid", VALID).expect("valid");
    assert_eq!(settings.role, Role::Front);
    assert_eq!(settings.peer_address().to_string(), "10.1.0.35:7660");
    assert_eq!(settings.stop_grace.as_millis(), 8_000);
}

#[test]
fn all_invalid_fields_are_reported_together() {
    let invalid = VALID
        .replace("\"front-1\"", "\" \"")
        .replace("[7660, 7675]", "[7660, 7000]")
        .replace("1048576", "10")
        .replace("\"stop_grace_s\": 8", "\"stop_grace_s\": 0")
        .replace("\"caller_address\": \"10.1.0.35:8144\",", "");
    let error = settings::parse::<NodeSettings>("invalid", &invalid).expect_err("refused");
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
fn syntax_and_type_errors_name_their_place() {
    let cases = [
        (
            "unknown field",
            VALID.replace("\"seeds\"", "\"sneeds\""),
            "sneeds",
        ),
        (
            "not an address",
            VALID.replace("10.200.1.7:8142", "store"),
            "line 5",
        ),
        (
            "missing field",
            VALID.replace("\"ip\": \"10.1.0.35\", ", ""),
            "`ip`",
        ),
    ];
    for (name, text, place) in cases {
        let error = settings::parse::<NodeSettings>("invalid", &text).expect_err(name);
        assert!(error.to_string().contains(place), "{name}: {error}");
    }
}

const TEMPLATES: [&str; 2] = [
    include_str!("../../../platform/front.settings.json"),
    include_str!("../../../platform/worker.settings.json"),
];

/// Fills in a template as the platform does. Of the optional values only `stated` ones are known to
/// the platform.
fn fill_template(template: &str, stated: &[(&str, &str)]) -> String {
    let mut text = template.to_owned();
    for name in [
        "bounds.grace_s",
        "bounds.status_s",
        "limits.memory_mb",
        "limits.max_fds",
    ] {
        let value = stated.iter().find(|(known, _)| *known == name);
        let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        let start = text.find(&open).expect("the start of a section");
        let end = text.find(&close).expect("the end of a section");
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

/// The platform may state a value as an integer or a fraction, or not at all.
#[test]
fn platform_templates_give_valid_settings() {
    struct Case {
        stated: &'static [(&'static str, &'static str)],
        grace_ms: u128,
        memory_bytes: u64,
        open_files: Option<u64>,
    }
    let cases = [
        Case {
            stated: &[
                ("bounds.grace_s", "8"),
                ("bounds.status_s", "120"),
                ("limits.memory_mb", "260"),
                ("limits.max_fds", "4100"),
            ],
            grace_ms: 8_000,
            memory_bytes: 260_000_000,
            open_files: Some(4_100),
        },
        Case {
            stated: &[
                ("bounds.grace_s", "7.5"),
                ("bounds.status_s", "90.25"),
                ("limits.memory_mb", "110.5"),
            ],
            grace_ms: 7_500,
            memory_bytes: 110_500_000,
            open_files: None,
        },
        Case {
            stated: &[],
            grace_ms: 8_000,
            memory_bytes: 88_000_000,
            open_files: None,
        },
    ];
    for template in TEMPLATES {
        for case in &cases {
            let text = fill_template(template, case.stated);
            let settings = settings::parse::<NodeSettings>("filled", &text);
            let settings = settings.unwrap_or_else(|e| panic!("{e}: {text}"));
            assert_eq!(settings.stop_grace.as_millis(), case.grace_ms);
            let limits = settings.host_limits();
            assert_eq!(limits.memory_bytes, case.memory_bytes);
            assert_eq!(limits.open_files, case.open_files);
        }
    }
}

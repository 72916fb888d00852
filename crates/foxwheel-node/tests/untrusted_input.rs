//! Untrusted input, generated at random: it is either parsed or refused, without a panic.

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use foxwheel_core::settings;
use foxwheel_node::peer_messages::PeerMessage;
use foxwheel_node::settings::NodeSettings;
use foxwheel_platform::{config, submission};
use foxwheel_soak::{front_client, store_entries};
use serde_json::{json, Value};

const SETTINGS: &str = r#"{
    "host": "front-1", "role": "front", "availability_zone": "hall",
    "ip": "10.1.0.35", "peer_ports": [7660, 7675], "seeds": ["10.1.0.35:8146"],
    "caller_address": "10.1.0.35:8144", "readiness_address": "10.1.0.35:8140",
    "metrics_port": 9464, "store_address": "10.200.1.7:8142", "store_value_bytes": 1048576,
    "stop_grace_s": 8, "results_readable_s": 120.0
}"#;

/// Replaces a randomly chosen part of `value` by an unusual value.
fn corrupt_part(source: &mut Unstructured<'_>, value: &mut Value) -> Drawn<()> {
    let children: Vec<&mut Value> = match value {
        Value::Array(list) => list.iter_mut().collect(),
        Value::Object(fields) => fields.values_mut().collect(),
        _ => Vec::new(),
    };
    let count = children.len();
    if count > 0 && source.ratio(4, 5)? {
        let index = source.choose_index(count)?;
        let chosen = children.into_iter().nth(index);
        return chosen.map_or(Ok(()), |chosen| corrupt_part(source, chosen));
    }
    let unusual = [
        Value::Null,
        json!(-1),
        json!(0.5),
        json!(1e300),
        json!(u64::MAX),
        json!(""),
        json!("\u{0}\u{feff}/../%00"),
        json!([[]]),
        json!({"": {}}),
    ];
    *value = source.choose(&unusual)?.clone();
    Ok(())
}

fn corrupted(source: &mut Unstructured<'_>, valid: &Value) -> Drawn<Value> {
    let mut value = valid.clone();
    for _ in 0..source.int_in_range(1..=3)? {
        corrupt_part(source, &mut value)?;
    }
    Ok(value)
}

#[test]
fn settings_are_parsed_or_refused() {
    let valid: Value = serde_json::from_str(SETTINGS).expect("JSON");
    arbtest::arbtest(|source| {
        let text = corrupted(source, &valid)?.to_string();
        if let Ok(parsed) = settings::parse::<NodeSettings>("generated", &text) {
            assert!(!parsed.host.trim().is_empty() && !parsed.stop_grace.is_zero());
        }
        let length = source.choose_index(SETTINGS.len())?;
        assert!(settings::parse::<NodeSettings>("truncated", &SETTINGS[..length]).is_err());
        Ok(())
    });
}

/// The route timeouts of any accepted configuration can be added to the current time without
/// overflow.
#[test]
fn configurations_are_parsed_or_refused() {
    let valid = store_entries::config(7);
    arbtest::arbtest(|source| {
        let Ok((config, _)) = config::decode(&corrupted(source, &valid)?) else {
            return Ok(());
        };
        let now = std::time::Instant::now();
        for route in &config.routes {
            assert!(now.checked_add(route.timeout).is_some());
        }
        let path: String = source.arbitrary()?;
        // Any result is accepted: only a panic fails the test.
        let _ = config.match_route(store_entries::HOST, &path);
        Ok(())
    });
}

#[test]
fn submissions_are_parsed_or_refused() {
    let text = front_client::job_body("job", 3);
    let valid: Value = serde_json::from_str(&text).expect("JSON");
    arbtest::arbtest(|source| {
        let text = corrupted(source, &valid)?.to_string();
        if let Ok(items) = submission::decode_items(text.as_bytes()) {
            assert!((1..=submission::MAX_ITEMS).contains(&items.len()));
        }
        let bytes: Vec<u8> = source.arbitrary()?;
        // Any result is accepted: only a panic fails the test.
        let _ = submission::decode_items(&bytes);
        Ok(())
    });
}

#[test]
fn datagrams_are_parsed_or_refused() {
    arbtest::arbtest(|source| {
        let bytes: Vec<u8> = source.arbitrary()?;
        // Any result is accepted: only a panic fails the test.
        let _ = postcard::from_bytes::<PeerMessage>(&bytes);
        Ok(())
    });
}

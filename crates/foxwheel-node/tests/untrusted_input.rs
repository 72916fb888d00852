//! Input that nobody vouches for, drawn at random: it is read or refused, never more.

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use foxwheel_core::settings;
use foxwheel_node::event_stream::{Event, EventSplitter};
use foxwheel_node::peer_messages::PeerMessage;
use foxwheel_node::settings::NodeSettings;
use foxwheel_platform::{batch_api, config};
use foxwheel_soak::{caller, declarations};
use serde_json::{json, Value};

const SETTINGS: &str = r#"{
    "host": "front-1", "role": "front", "availability_zone": "hall",
    "ip": "10.1.0.35", "peer_ports": [7660, 7675], "seeds": ["10.1.0.35:8146"],
    "caller_address": "10.1.0.35:8144", "readiness_address": "10.1.0.35:8140",
    "metrics_port": 9464, "store_address": "10.200.1.7:8142", "store_value_bytes": 1048576,
    "stop_grace_s": 8, "results_readable_s": 120.0
}"#;

/// Replaces, removes or adds something at one place of `value`.
fn spoil(draw: &mut Unstructured<'_>, value: &mut Value) -> Drawn<()> {
    let inner: Vec<&mut Value> = match value {
        Value::Array(list) => list.iter_mut().collect(),
        Value::Object(fields) => fields.values_mut().collect(),
        _ => Vec::new(),
    };
    let count = inner.len();
    if count > 0 && draw.ratio(4, 5)? {
        let at = draw.choose_index(count)?;
        let chosen = inner.into_iter().nth(at);
        return chosen.map_or(Ok(()), |chosen| spoil(draw, chosen));
    }
    let odd = [
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
    *value = draw.choose(&odd)?.clone();
    Ok(())
}

fn spoiled(draw: &mut Unstructured<'_>, good: &Value) -> Drawn<Value> {
    let mut value = good.clone();
    for _ in 0..draw.int_in_range(1..=3)? {
        spoil(draw, &mut value)?;
    }
    Ok(value)
}

#[test]
fn settings_are_read_or_refused() {
    let good: Value = serde_json::from_str(SETTINGS).expect("JSON");
    arbtest::arbtest(|draw| {
        let text = spoiled(draw, &good)?.to_string();
        if let Ok(read) = settings::parse::<NodeSettings>("drawn", &text) {
            assert!(!read.host.trim().is_empty() && !read.stop_grace.is_zero());
        }
        let cut = draw.choose_index(SETTINGS.len())?;
        assert!(settings::parse::<NodeSettings>("cut", &SETTINGS[..cut]).is_err());
        Ok(())
    });
}

/// Whatever a configuration says, waiting for its times does not overflow.
#[test]
fn configurations_are_read_or_refused() {
    let good = declarations::config(7);
    arbtest::arbtest(|draw| {
        let Ok((read, _)) = config::decode(&spoiled(draw, &good)?) else {
            return Ok(());
        };
        let now = std::time::Instant::now();
        for route in &read.routes {
            assert!(now.checked_add(route.timeout).is_some());
        }
        let path: String = draw.arbitrary()?;
        // Any answer will do.
        let _ = read.match_route(declarations::HOST, &path);
        Ok(())
    });
}

#[test]
fn submissions_are_read_or_refused() {
    let text = caller::job_body("job", 3);
    let good: Value = serde_json::from_str(&text).expect("JSON");
    arbtest::arbtest(|draw| {
        let drawn = spoiled(draw, &good)?.to_string();
        if let Ok(items) = batch_api::decode_items(drawn.as_bytes()) {
            assert!((1..=batch_api::MAX_ITEMS).contains(&items.len()));
        }
        let bytes: Vec<u8> = draw.arbitrary()?;
        // Any answer will do.
        let _ = batch_api::decode_items(&bytes);
        Ok(())
    });
}

#[test]
fn datagrams_are_read_or_refused() {
    arbtest::arbtest(|draw| {
        let bytes: Vec<u8> = draw.arbitrary()?;
        // Any answer will do.
        let _ = postcard::from_bytes::<PeerMessage>(&bytes);
        Ok(())
    });
}

fn events(splitter: &mut EventSplitter) -> Vec<Event> {
    std::iter::from_fn(|| splitter.next_event()).collect()
}

/// However a stream is cut into pieces, its events are the same, and no byte is lost.
#[test]
fn events_do_not_depend_on_how_they_arrive() {
    arbtest::arbtest(|draw| {
        let parts: [&[u8]; 8] = [
            b"id: 1\n",
            b"data: a\n",
            b"\n",
            b"\r\n",
            b"id: x\n",
            b"\n\n",
            b"data:",
            b"\xff\xfe",
        ];
        let mut stream = Vec::new();
        for _ in 0..draw.int_in_range(0..=20)? {
            stream.extend_from_slice(draw.choose(&parts)?);
        }
        let mut at_once = EventSplitter::default();
        at_once.push(&stream);
        let expected = events(&mut at_once);
        let mut in_pieces = EventSplitter::default();
        let mut got = Vec::new();
        let mut rest = stream.as_slice();
        while !rest.is_empty() {
            let (piece, behind) = rest.split_at(draw.int_in_range(1..=rest.len())?);
            in_pieces.push(piece);
            got.extend(events(&mut in_pieces));
            rest = behind;
        }
        assert_eq!(got, expected);
        assert_eq!(in_pieces.has_partial_event(), at_once.has_partial_event());
        let given_out: usize = got.iter().map(|event| event.bytes.len()).sum();
        assert!(stream.len() >= given_out);
        assert_eq!(stream.len() > given_out, at_once.has_partial_event());
        Ok(())
    });
}

//! From an id to its cause: lines of several hosts, with other requests and broken lines
//! among them, and clocks that differ.

use std::path::PathBuf;

use foxwheel_ctl::explain;
use foxwheel_ctl::CtlError;

fn line(unix_ms: i64, node: &str, level: &str, message: &str, fields: &str) -> String {
    format!(
        "{{\"level\":\"{level}\",\"unix_ms\":{unix_ms},\"node\":\"{node}\",\"message\":\"{message}\",\"fields\":{fields}}}\n"
    )
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("file written");
    path
}

fn position(story: &str, text: &str) -> usize {
    story
        .find(text)
        .unwrap_or_else(|| panic!("no '{text}' in\n{story}"))
}

#[test]
fn a_request_is_told_with_its_servers_and_without_others() {
    let front = [
        line(900, "front-1", "INFO", "platform store lost", "{}"),
        line(
            1_000,
            "front-1",
            "INFO",
            "attempt failed",
            r#"{"request_id":"r1","server":"s1","reason":"closed"}"#,
        ),
        line(
            1_010,
            "front-1",
            "INFO",
            "backend server suspected",
            r#"{"server":"s1"}"#,
        ),
        line(
            1_011,
            "front-1",
            "INFO",
            "backend server suspected",
            r#"{"server":"s9"}"#,
        ),
        line(
            1_020,
            "front-1",
            "WARN",
            "request failed",
            r#"{"request_id":"r2","reason":"other"}"#,
        ),
        "{\"level\":\"WARN\",\"unix_ms\":10".to_owned(),
        "\n  12.3 front-1 ".to_owned(),
        line(
            1_300,
            "front-1",
            "WARN",
            "request failed",
            r#"{"request_id":"r1","reason":"time is up"}"#,
        ),
    ];
    let path = file("front.log", &front.concat());
    let story = explain::explain("r1", &[path]).expect("told");
    assert!(position(&story, "attempt failed") < position(&story, "time is up"));
    position(&story, "server=s1");
    assert!(!story.contains("r2") && !story.contains("s9"), "{story}");
    let cause = story.lines().last().expect("a cause");
    assert!(
        cause.contains("time is up") && cause.contains("store was out of reach"),
        "{cause}"
    );
}

/// The worker's clock is 5 s behind: the lines still come in the order things happened.
#[test]
fn an_items_story_spans_hosts_whose_clocks_differ() {
    let front = line(
        10_000,
        "front-1",
        "INFO",
        "job accepted",
        r#"{"request_id":"j"}"#,
    );
    let worker = [
        line(5_002, "worker-1", "INFO", "job taken", r#"{"job":"j"}"#),
        line(
            5_100,
            "worker-1",
            "INFO",
            "item run ended",
            r#"{"request_id":"j-other","job":"j"}"#,
        ),
        line(
            5_200,
            "worker-1",
            "INFO",
            "item run ended",
            r#"{"request_id":"j-1","job":"j","end":"Failed"}"#,
        ),
        line(
            5_300,
            "worker-1",
            "WARN",
            "item given up",
            r#"{"request_id":"j-1","job":"j","reason":"Failed"}"#,
        ),
    ];
    let paths = [
        file("front-2.log", &front),
        file("worker-2.log", &worker.concat()),
    ];
    let story = explain::explain("j-1", &paths).expect("told");
    assert!(
        position(&story, "job accepted") < position(&story, "job taken"),
        "{story}"
    );
    assert!(
        position(&story, "job taken") < position(&story, "item given up"),
        "{story}"
    );
    assert!(!story.contains("j-other"), "{story}");
    assert!(story
        .lines()
        .last()
        .expect("a cause")
        .contains("item given up: Failed"));
}

#[test]
fn an_unknown_id_and_a_missing_file_are_said_so() {
    let path = file("empty.log", "");
    let unknown = explain::explain("nothing", &[path]);
    assert!(matches!(unknown, Err(CtlError::UnknownId(id)) if id == "nothing"));
    let missing = explain::explain("nothing", &[PathBuf::from("/nonexistent/log")]);
    assert!(matches!(missing, Err(CtlError::File { .. })));
}

#[test]
fn a_content_is_told_with_all_its_requests() {
    let broke = |request: &str, server: &str| {
        format!(
            r#"{{"request_id":"{request}","content":"c0ffee","server":"{server}","fate":"Ended"}}"#
        )
    };
    let front = [
        line(1_000, "front-1", "INFO", "answer broke", &broke("r1", "s1")),
        line(1_100, "front-1", "INFO", "answer broke", &broke("r2", "s2")),
        line(
            1_150,
            "front-1",
            "INFO",
            "answer broke",
            r#"{"request_id":"r3","content":"other","server":"s2","fate":"Ended"}"#,
        ),
        line(
            1_200,
            "front-1",
            "WARN",
            "request quarantined",
            r#"{"content":"c0ffee"}"#,
        ),
    ];
    let files = [file("explain-content.log", &front.concat())];
    let story = explain::explain("c0ffee", &files).expect("a story");
    assert!(position(&story, "r1") < position(&story, "r2"));
    assert!(!story.contains("r3"), "{story}");
    assert!(story.contains("cause: request quarantined"), "{story}");
}

//! The timeline and cause that `foxwheel-ctl explain` derives from the logs of several hosts. The
//! logs contain lines of other requests and lines that were cut off, and the hosts' clocks differ.

use std::path::PathBuf;

use foxwheel_ctl::explain;
use foxwheel_ctl::CtlError;

fn log_line(unix_ms: i64, node: &str, level: &str, message: &str, fields: &str) -> String {
    format!(
        "{{\"level\":\"{level}\",\"unix_ms\":{unix_ms},\"node\":\"{node}\",\"message\":\"{message}\",\"fields\":{fields}}}\n"
    )
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("file written");
    path
}

fn position_of(timeline: &str, text: &str) -> usize {
    timeline
        .find(text)
        .unwrap_or_else(|| panic!("no '{text}' in\n{timeline}"))
}

#[test]
fn timeline_of_a_request_shows_its_servers_and_leaves_out_other_requests() {
    let front = [
        log_line(900, "front-1", "INFO", "platform store lost", "{}"),
        log_line(
            1_000,
            "front-1",
            "INFO",
            "attempt failed",
            r#"{"request_id":"r1","server":"s1","reason":"closed"}"#,
        ),
        log_line(
            1_010,
            "front-1",
            "INFO",
            "backend server suspected",
            r#"{"server":"s1"}"#,
        ),
        log_line(
            1_011,
            "front-1",
            "INFO",
            "backend server suspected",
            r#"{"server":"s9"}"#,
        ),
        log_line(
            1_020,
            "front-1",
            "WARN",
            "request failed",
            r#"{"request_id":"r2","reason":"other"}"#,
        ),
        "{\"level\":\"WARN\",\"unix_ms\":10".to_owned(),
        "\n  12.3 front-1 ".to_owned(),
        log_line(
            1_300,
            "front-1",
            "WARN",
            "request failed",
            r#"{"request_id":"r1","reason":"time is up"}"#,
        ),
    ];
    let path = write_file("front.log", &front.concat());
    let timeline = explain::explain("r1", &[path]).expect("a timeline");
    assert!(position_of(&timeline, "attempt failed") < position_of(&timeline, "time is up"));
    position_of(&timeline, "server=s1");
    assert!(
        !timeline.contains("r2") && !timeline.contains("s9"),
        "{timeline}"
    );
    let cause = timeline.lines().last().expect("a cause");
    assert!(
        cause.contains("time is up") && cause.contains("store was out of reach"),
        "{cause}"
    );
}

/// The worker's clock is 5 s behind the front's. The events are still listed in the order in which
/// they happened.
#[test]
fn timeline_of_an_item_is_in_order_although_the_clocks_of_its_hosts_differ() {
    let front = log_line(
        10_000,
        "front-1",
        "INFO",
        "job accepted",
        r#"{"request_id":"j"}"#,
    );
    let worker = [
        log_line(5_002, "worker-1", "INFO", "job taken", r#"{"job":"j"}"#),
        log_line(
            5_100,
            "worker-1",
            "INFO",
            "item run ended",
            r#"{"request_id":"j-other","job":"j"}"#,
        ),
        log_line(
            5_200,
            "worker-1",
            "INFO",
            "item run ended",
            r#"{"request_id":"j-1","job":"j","end":"Failed"}"#,
        ),
        log_line(
            5_300,
            "worker-1",
            "WARN",
            "item given up",
            r#"{"request_id":"j-1","job":"j","reason":"Failed"}"#,
        ),
    ];
    let paths = [
        write_file("front-2.log", &front),
        write_file("worker-2.log", &worker.concat()),
    ];
    let timeline = explain::explain("j-1", &paths).expect("a timeline");
    assert!(
        position_of(&timeline, "job accepted") < position_of(&timeline, "job taken"),
        "{timeline}"
    );
    assert!(
        position_of(&timeline, "job taken") < position_of(&timeline, "item given up"),
        "{timeline}"
    );
    assert!(!timeline.contains("j-other"), "{timeline}");
    assert!(timeline
        .lines()
        .last()
        .expect("a cause")
        .contains("item given up: Failed"));
}

#[test]
fn unknown_id_and_missing_file_are_errors() {
    let path = write_file("empty.log", "");
    let unknown = explain::explain("nothing", &[path]);
    assert!(matches!(unknown, Err(CtlError::UnknownId(id)) if id == "nothing"));
    let missing = explain::explain("nothing", &[PathBuf::from("/nonexistent/log")]);
    assert!(matches!(missing, Err(CtlError::File { .. })));
}

#[test]
fn timeline_of_a_request_content_shows_all_requests_that_have_it() {
    let cut_off = |request: &str, server: &str| {
        format!(
            r#"{{"request_id":"{request}","content":"c0ffee","server":"{server}","fate":"Ended"}}"#
        )
    };
    let front = [
        log_line(
            1_000,
            "front-1",
            "INFO",
            "answer broke",
            &cut_off("r1", "s1"),
        ),
        log_line(
            1_100,
            "front-1",
            "INFO",
            "answer broke",
            &cut_off("r2", "s2"),
        ),
        log_line(
            1_150,
            "front-1",
            "INFO",
            "answer broke",
            r#"{"request_id":"r3","content":"other","server":"s2","fate":"Ended"}"#,
        ),
        log_line(
            1_200,
            "front-1",
            "WARN",
            "request quarantined",
            r#"{"content":"c0ffee"}"#,
        ),
    ];
    let files = [write_file("explain-content.log", &front.concat())];
    let timeline = explain::explain("c0ffee", &files).expect("a timeline");
    assert!(position_of(&timeline, "r1") < position_of(&timeline, "r2"));
    assert!(!timeline.contains("r3"), "{timeline}");
    assert!(
        timeline.contains("cause: request quarantined"),
        "{timeline}"
    );
}

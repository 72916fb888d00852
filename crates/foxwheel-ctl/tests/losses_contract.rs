//! The losses that `foxwheel-ctl losses` finds in the logs of several hosts: each kind with its
//! reason. What was served in time is no loss.

use std::path::PathBuf;

use foxwheel_ctl::args::{self, Command};
use foxwheel_ctl::losses;
use foxwheel_ctl::losses::collection::{CollectedLosses, LossKind};
use foxwheel_ctl::{log_lines, CtlError};

fn log_line(unix_ms: i64, node: &str, message: &str, fields: &str) -> String {
    format!(
        "{{\"level\":\"INFO\",\"unix_ms\":{unix_ms},\"node\":\"{node}\",\"message\":\"{message}\",\"fields\":{fields}}}\n"
    )
}

/// Message and fields of a log line, and the loss expected for it (kind, reason, count), if any.
type Case = (
    &'static str,
    &'static str,
    Option<(LossKind, &'static str, u64)>,
);

const CASES: [Case; 14] = [
    (
        "stream broken",
        r#"{"request_id":"m","server":"s2","reason":"cannot connect at step 'open connection' with peer 10.0.0.1:80: refused"}"#,
        Some((
            LossKind::Failed,
            "cannot connect at step 'open connection': refused",
            1,
        )),
    ),
    (
        "stream complete",
        r#"{"request_id":"a","server":"s1","in_flight":3,"slots":8,"on_time":true}"#,
        None,
    ),
    (
        "stream complete",
        r#"{"request_id":"b","server":"s1","in_flight":8,"slots":8,"on_time":false}"#,
        Some((LossKind::Late, "the server had no free slot", 1)),
    ),
    (
        "request served",
        r#"{"request_id":"c","server":"s1","in_flight":2,"slots":8,"on_time":false}"#,
        Some((LossKind::Late, "slow at the server or on the way", 1)),
    ),
    (
        "results stored",
        r#"{"job":"j","part":0,"results":4,"on_time":false}"#,
        Some((LossKind::Late, "results stored after they were due", 4)),
    ),
    (
        "results stored",
        r#"{"job":"j","part":0,"results":4,"on_time":true}"#,
        None,
    ),
    (
        "request failed",
        r#"{"request_id":"d","reason":"all servers full","may_have_run":false}"#,
        Some((LossKind::Refused, "all servers full", 1)),
    ),
    (
        "request failed",
        r#"{"request_id":"e","reason":"server answered 504","may_have_run":true}"#,
        Some((LossKind::Failed, "server answered 504", 1)),
    ),
    (
        "request refused",
        r#"{"request_id":"f","reason":"no configuration"}"#,
        Some((LossKind::Refused, "no configuration", 1)),
    ),
    (
        "stream broken",
        r#"{"request_id":"g","server":"s2","reason":"reset"}"#,
        Some((LossKind::Failed, "reset", 1)),
    ),
    (
        "item run ended",
        r#"{"request_id":"h","job":"j","server":"s1","end":"Preempted","reason":"slot needed"}"#,
        Some((LossKind::RunAgain, "slot needed", 1)),
    ),
    (
        "item run ended",
        r#"{"request_id":"i","job":"j","server":"s1","end":"Whole","reason":""}"#,
        None,
    ),
    (
        "item run ended",
        r#"{"request_id":"k","job":"j","server":"s1","end":"NotRun","reason":"rejected"}"#,
        None,
    ),
    (
        "item given up",
        r#"{"request_id":"l","job":"j","reason":"Failed"}"#,
        Some((LossKind::Failed, "Failed", 1)),
    ),
];

#[test]
fn each_log_line_gives_the_expected_loss() {
    for (message, fields, expected) in CASES {
        let text = log_line(1_000, "front-1", message, fields);
        let collected = CollectedLosses::from_lines(&log_lines::parse_all(&text));
        let found = collected.losses.first();
        let found = found.map(|loss| (loss.kind, loss.reason.as_str(), loss.count));
        assert_eq!(found, expected, "{text}");
    }
}

#[test]
fn late_response_after_a_failed_attempt_has_that_attempt_as_its_reason() {
    let text = [
        log_line(
            1_000,
            "front-1",
            "attempt failed",
            r#"{"request_id":"r1","server":"s1","reason":"connection refused"}"#,
        ),
        log_line(
            1_400,
            "front-1",
            "stream complete",
            r#"{"request_id":"r2","server":"s2","in_flight":8,"slots":8,"on_time":false}"#,
        ),
        log_line(
            1_500,
            "front-1",
            "stream complete",
            r#"{"request_id":"r1","server":"s2","in_flight":8,"slots":8,"on_time":false}"#,
        ),
    ]
    .concat();
    let collected = CollectedLosses::from_lines(&log_lines::parse_all(&text));
    let reasons: Vec<&str> = collected
        .losses
        .iter()
        .map(|loss| loss.reason.as_str())
        .collect();
    let expected = [
        "the server had no free slot",
        "after an attempt that failed: connection refused",
    ];
    assert_eq!(reasons, expected);
}

#[test]
fn summary_counts_by_reason_server_host_and_second_and_plots_the_kinds_that_occur() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let (log, plot) = (folder.join("losses.log"), folder.join("losses.svg"));
    let late = r#"{"request_id":"a","server":"s1","in_flight":8,"slots":8,"on_time":false}"#;
    let refused = r#"{"request_id":"b","reason":"all servers full","may_have_run":false}"#;
    let text = [
        log_line(500, "front-1", "process started", "{}"),
        log_line(1_700, "front-1", "stream complete", late),
        log_line(2_600, "front-1", "request failed", refused),
        log_line(2_700, "front-2", "request failed", refused),
        "{\"level\":\"WARN\",\"unix_ms\":27".to_owned(),
    ];
    std::fs::write(&log, text.concat()).expect("file written");
    let report = losses::report(&[log], Some(&plot)).expect("a report");
    let expected = "on time 0, lost or run again 3

late: 1
  by reason
          1  the server had no free slot
  by server
          1  s1
  by host
          1  front-1
  by second
          1  1 s

refused: 2
  by reason
          2  all servers full
  by server
          2  (none)
  by host
          1  front-1
          1  front-2
  by second
          2  2 s
";
    assert_eq!(report, expected);
    let svg = std::fs::read_to_string(&plot).expect("a plot");
    assert!(svg.contains("refused") && svg.contains("late"));
    assert!(!svg.contains("run again<"));
}

#[test]
fn invalid_command_lines_and_missing_files_are_errors() {
    let parse = |words: &[&str]| args::parse(words.iter().map(std::ffi::OsString::from));
    assert!(matches!(parse(&["losses"]), Err(CtlError::Usage(_))));
    let parsed = parse(&["losses", "--plot", "p.svg", "a.log"]).expect("a command");
    let expected = Command::Losses {
        plot: Some(PathBuf::from("p.svg")),
        logs: vec![PathBuf::from("a.log")],
    };
    assert_eq!(parsed.command, expected);
    let missing = losses::report(&[PathBuf::from("no-such.log")], None).expect_err("no file");
    assert!(missing.to_string().contains("no-such.log"), "{missing}");
}

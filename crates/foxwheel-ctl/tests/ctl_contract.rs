//! Contract of `foxwheel-ctl`: exit codes, messages and what it leaves in the store, with
//! its fault cases in tables.

use std::path::PathBuf;
use std::process::Output;

use foxwheel_core::declarations::RuleSet;
use foxwheel_core::keys;
use foxwheel_ctl::{apply, CtlError};
use foxwheel_platform_emu::{server, settings::PlatformSettings};
use foxwheel_store::api::Faults;
use foxwheel_store::client::StoreClient;
use tokio::process::Command;
use tokio_util::sync::CancellationToken;

const GOOD: &str = r#"{
  "deployments": [{"name": "draftsman", "backend": "model", "models": ["draftsman"], "zones": ["suwon-hall"], "replicas": 2}],
  "rules": [{"name": "all", "then": {"action": "route", "deployment": "draftsman", "class": "online"}}]
}"#;

struct Bench {
    store: StoreClient,
    cancel: CancellationToken,
    folder: PathBuf,
}

impl Bench {
    fn start(name: &str) -> Self {
        let cancel = CancellationToken::new();
        let (addr, server) =
            server::start(&PlatformSettings::for_test(), cancel.clone()).expect("store");
        actix_web::rt::spawn(server);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("folder");
        Self {
            store: StoreClient::new(format!("http://{addr}")),
            cancel,
            folder,
        }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("file");
        path.display().to_string()
    }

    async fn ctl(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_foxwheel-ctl"))
            .args(["--store", self.store.base_url()])
            .args(args)
            .output()
            .await
            .expect("foxwheel-ctl runs")
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[actix_web::test]
async fn apply_is_idempotent_and_shows_what_changed() {
    let bench = Bench::start("idempotent");
    let file = bench.file("fleet.json", GOOD);
    let diff = bench.ctl(&["diff", "-f", &file]).await;
    assert!(text(&diff.stdout).contains("config/deployments/draftsman"));
    let first = bench.ctl(&["apply", "-f", &file]).await;
    assert!(first.status.success(), "{}", text(&first.stderr));
    let again = bench.ctl(&["apply", "-f", &file]).await;
    assert!(again.status.success());
    assert_eq!(text(&again.stdout).trim(), "no changes");
    let got = bench.ctl(&["get", "rules"]).await;
    assert!(text(&got.stdout).contains("\"name\":\"all\""));
}

#[actix_web::test]
async fn bad_input_gets_a_clear_error_and_changes_nothing() {
    let bench = Bench::start("bad-input");
    let undeclared = GOOD.replace(
        "\"deployment\": \"draftsman\"",
        "\"deployment\": \"nobody\"",
    );
    let unknown_field = GOOD.replace("\"replicas\"", "\"replica_count\"");
    let twice = GOOD.replace(
        "\"rules\": [",
        "\"rules\": [{\"name\": \"all\", \"then\": {\"action\": \"reject\", \"status\": 404, \"message\": \"no\"}}, ",
    );
    // (case, file text, what the message names)
    let files = [
        ("not JSON", "{", "line 1"),
        ("unknown field", &unknown_field, "replica_count"),
        (
            "undeclared deployment",
            &undeclared,
            "rules[0].then.deployment",
        ),
        ("a rule name twice", &twice, "rules[1].name"),
    ];
    for (case, content, named) in files {
        let file = bench.file("bad.json", content);
        let out = bench.ctl(&["apply", "-f", &file]).await;
        assert_eq!(out.status.code(), Some(1), "case '{case}'");
        let message = text(&out.stderr);
        assert!(message.contains(named), "case '{case}': {message}");
    }
    // (case, arguments, exit code, what the message names)
    let commands: [(&str, &[&str], i32, &str); 5] = [
        ("no command", &[], 2, "no command"),
        ("unknown command", &["conjure"], 2, "conjure"),
        ("unknown kind", &["get", "ghosts"], 2, "ghosts"),
        ("apply without a file", &["apply"], 2, "-f FILE"),
        (
            "missing file",
            &["apply", "-f", "none.json"],
            1,
            "none.json",
        ),
    ];
    for (case, args, code, named) in commands {
        let out = bench.ctl(args).await;
        assert_eq!(out.status.code(), Some(code), "case '{case}'");
        let message = text(&out.stderr);
        assert!(message.contains(named), "case '{case}': {message}");
    }
    let stored = bench.store.stats().await.expect("stats").objects;
    assert_eq!(stored, 0, "nothing was written");
}

#[actix_web::test]
async fn store_faults_fail_or_are_seen_through() {
    // (case, faults, exit code, whether the declarations are in the store afterwards)
    let cases = [
        (
            "store down: nothing applied, said so",
            Faults {
                outage: true,
                ..Faults::default()
            },
            1,
            false,
        ),
        (
            "replies lost after the writes took effect: found to be applied",
            Faults {
                lose_reply_every: 1,
                ..Faults::default()
            },
            0,
            true,
        ),
    ];
    for (case, faults, code, applied) in cases {
        let bench = Bench::start("store-faults");
        let file = bench.file("fleet.json", GOOD);
        bench.store.set_faults(&faults).await.expect("faults");
        let out = bench.ctl(&["apply", "-f", &file]).await;
        assert_eq!(
            out.status.code(),
            Some(code),
            "case '{case}': {}",
            text(&out.stderr)
        );
        bench
            .store
            .set_faults(&Faults::default())
            .await
            .expect("faults cleared");
        let rules = bench
            .store
            .get_value::<RuleSet>(keys::RULES_KEY)
            .await
            .expect("get");
        assert_eq!(rules.is_some(), applied, "case '{case}'");
    }
}

#[actix_web::test]
async fn of_two_racing_operators_the_later_is_told() {
    let bench = Bench::start("race");
    let slow = apply::read_manifest(bench.file("slow.json", GOOD).as_ref()).expect("manifest");
    let fast_text = GOOD.replace("\"replicas\": 2", "\"replicas\": 5");
    let fast =
        apply::read_manifest(bench.file("fast.json", &fast_text).as_ref()).expect("manifest");
    let slow_changes = apply::diff(&bench.store, &slow).await.expect("diff");
    let fast_changes = apply::diff(&bench.store, &fast).await.expect("diff");
    apply::apply(&bench.store, &fast_changes)
        .await
        .expect("first to write wins");
    let raced = apply::apply(&bench.store, &slow_changes).await;
    assert!(matches!(raced, Err(CtlError::Raced { .. })), "{raced:?}");
    let stored = bench
        .store
        .get(&keys::deployment("draftsman"))
        .await
        .expect("get");
    assert_eq!(stored.value["replicas"], 5, "nothing was overwritten");
}

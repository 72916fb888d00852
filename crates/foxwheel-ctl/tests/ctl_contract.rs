//! Contract of the `foxwheel-ctl` binary: its exit codes, its messages and the objects it leaves in
//! the platform store, also when the input is invalid or the store fails.

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

const VALID_MANIFEST: &str = r#"{
  "deployments": [{"name": "draftsman", "backend": "model", "models": ["draftsman"], "zones": ["suwon-hall"], "replicas": 2}],
  "rules": [{"name": "all", "then": {"action": "route", "deployment": "draftsman", "class": "online"}}]
}"#;

/// A stand-in platform store, a client of it and a folder for files.
struct TestStore {
    client: StoreClient,
    cancel: CancellationToken,
    folder: PathBuf,
}

impl TestStore {
    fn start(name: &str) -> Self {
        let cancel = CancellationToken::new();
        let (addr, server) =
            server::start(&PlatformSettings::for_test(), cancel.clone()).expect("store");
        actix_web::rt::spawn(server);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("folder");
        Self {
            client: StoreClient::new(format!("http://{addr}")),
            cancel,
            folder,
        }
    }

    fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("file");
        path.display().to_string()
    }

    async fn run_ctl(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_foxwheel-ctl"))
            .args(["--store", self.client.base_url()])
            .args(args)
            .output()
            .await
            .expect("foxwheel-ctl runs")
    }
}

impl Drop for TestStore {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

fn to_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[actix_web::test]
async fn second_apply_of_the_same_file_changes_nothing() {
    let test_store = TestStore::start("idempotent");
    let file = test_store.write_file("fleet.json", VALID_MANIFEST);
    let diff = test_store.run_ctl(&["diff", "-f", &file]).await;
    assert!(to_text(&diff.stdout).contains("config/deployments/draftsman"));
    let first_apply = test_store.run_ctl(&["apply", "-f", &file]).await;
    assert!(
        first_apply.status.success(),
        "{}",
        to_text(&first_apply.stderr)
    );
    let second_apply = test_store.run_ctl(&["apply", "-f", &file]).await;
    assert!(second_apply.status.success());
    assert_eq!(to_text(&second_apply.stdout).trim(), "no changes");
    let rules = test_store.run_ctl(&["get", "rules"]).await;
    assert!(to_text(&rules.stdout).contains("\"name\":\"all\""));
}

#[actix_web::test]
async fn invalid_input_is_named_in_the_error_and_writes_nothing() {
    let test_store = TestStore::start("bad-input");
    let undeclared_deployment = VALID_MANIFEST.replace(
        "\"deployment\": \"draftsman\"",
        "\"deployment\": \"nobody\"",
    );
    let unknown_field = VALID_MANIFEST.replace("\"replicas\"", "\"replica_count\"");
    let duplicate_rule = VALID_MANIFEST.replace(
        "\"rules\": [",
        "\"rules\": [{\"name\": \"all\", \"then\": {\"action\": \"reject\", \"status\": 404, \"message\": \"no\"}}, ",
    );
    // (case, file content, text that the message must contain)
    let files = [
        ("not JSON", "{", "line 1"),
        ("unknown field", &unknown_field, "replica_count"),
        (
            "undeclared deployment",
            &undeclared_deployment,
            "rules[0].then.deployment",
        ),
        ("duplicate rule name", &duplicate_rule, "rules[1].name"),
    ];
    for (case, content, expected) in files {
        let file = test_store.write_file("bad.json", content);
        let out = test_store.run_ctl(&["apply", "-f", &file]).await;
        assert_eq!(out.status.code(), Some(1), "case '{case}'");
        let message = to_text(&out.stderr);
        assert!(message.contains(expected), "case '{case}': {message}");
    }
    // (case, arguments, exit code, text that the message must contain)
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
    for (case, args, code, expected) in commands {
        let out = test_store.run_ctl(args).await;
        assert_eq!(out.status.code(), Some(code), "case '{case}'");
        let message = to_text(&out.stderr);
        assert!(message.contains(expected), "case '{case}': {message}");
    }
    let stored = test_store.client.stats().await.expect("stats").objects;
    assert_eq!(stored, 0, "an object was written");
}

#[actix_web::test]
async fn apply_fails_during_a_store_outage_and_detects_writes_whose_replies_were_lost() {
    // (case, faults, exit code, whether the declarations are stored afterwards)
    let cases = [
        (
            "store outage: nothing is applied",
            Faults {
                outage: true,
                ..Faults::default()
            },
            1,
            false,
        ),
        (
            "replies lost after the writes took effect: the writes are detected",
            Faults {
                lose_reply_every: 1,
                ..Faults::default()
            },
            0,
            true,
        ),
    ];
    for (case, faults, code, applied) in cases {
        let test_store = TestStore::start("store-faults");
        let file = test_store.write_file("fleet.json", VALID_MANIFEST);
        test_store.client.set_faults(&faults).await.expect("faults");
        let out = test_store.run_ctl(&["apply", "-f", &file]).await;
        assert_eq!(
            out.status.code(),
            Some(code),
            "case '{case}': {}",
            to_text(&out.stderr)
        );
        test_store
            .client
            .set_faults(&Faults::default())
            .await
            .expect("faults cleared");
        let rules = test_store
            .client
            .get_value::<RuleSet>(keys::RULES_KEY)
            .await
            .expect("get");
        assert_eq!(rules.is_some(), applied, "case '{case}'");
    }
}

#[actix_web::test]
async fn second_of_two_concurrent_applies_fails_without_overwriting_the_first() {
    let test_store = TestStore::start("race");
    let second_manifest = apply::read_manifest(
        test_store
            .write_file("second.json", VALID_MANIFEST)
            .as_ref(),
    )
    .expect("manifest");
    let first_text = VALID_MANIFEST.replace("\"replicas\": 2", "\"replicas\": 5");
    let first_manifest =
        apply::read_manifest(test_store.write_file("first.json", &first_text).as_ref())
            .expect("manifest");
    let second_changes = apply::diff(&test_store.client, &second_manifest)
        .await
        .expect("diff");
    let first_changes = apply::diff(&test_store.client, &first_manifest)
        .await
        .expect("diff");
    apply::apply(&test_store.client, &first_changes)
        .await
        .expect("first apply succeeds");
    let second_apply = apply::apply(&test_store.client, &second_changes).await;
    assert!(
        matches!(second_apply, Err(CtlError::ConcurrentChange { .. })),
        "{second_apply:?}"
    );
    let stored = test_store
        .client
        .get(&keys::deployment("draftsman"))
        .await
        .expect("get");
    assert_eq!(
        stored.value["replicas"], 5,
        "the first apply was overwritten"
    );
}

//! The fault soak on this build's programs: three short seeds, at once. On each of them a
//! stopping front once closed connections that callers had just opened, without an answer.

use std::path::{Path, PathBuf};
use std::time::Duration;

use foxwheel_soak::args;
use foxwheel_soak::plan::{Plan, Size};
use foxwheel_soak::run::{self, Folders};

async fn soak(seed: u64) {
    let size = Size {
        callers: 4,
        faults_for: Duration::from_secs(8),
        ..args::small_size()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_foxwheel-front"));
    let folders = Folders {
        programs: program.parent().expect("a folder").to_owned(),
        run: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}")),
    };
    let outcome = run::run(&Plan::draw(seed, size), &folders).await;
    let outcome = outcome.expect("the run is carried out");
    assert!(outcome.breaches.is_empty(), "{:#?}", outcome.breaches);
    println!("{}", outcome.summary);
}

#[actix_web::test]
async fn every_promise_holds_on_seed_3() {
    soak(3).await;
}

#[actix_web::test]
async fn every_promise_holds_on_seed_7() {
    soak(7).await;
}

#[actix_web::test]
async fn every_promise_holds_on_seed_8() {
    soak(8).await;
}

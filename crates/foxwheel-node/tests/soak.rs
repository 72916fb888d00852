//! Runs the fault soak on the programs of this build with three short seeds. These seeds guard
//! against a stopping front that closes connections which callers have just opened, without a
//! response.

use std::path::{Path, PathBuf};
use std::time::Duration;

use foxwheel_soak::args;
use foxwheel_soak::plan::{FleetSize, Plan};
use foxwheel_soak::run::{self, Folders};

async fn run_soak(seed: u64) {
    let size = FleetSize {
        callers: 4,
        injection_duration: Duration::from_secs(8),
        ..args::default_size()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_foxwheel-front"));
    let folders = Folders {
        programs: program.parent().expect("a folder").to_owned(),
        run: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}")),
    };
    let outcome = run::run(&Plan::draw(seed, size), &folders).await;
    let outcome = outcome.expect("the soak run completes");
    assert!(outcome.breaches.is_empty(), "{:#?}", outcome.breaches);
    println!("{}", outcome.summary);
}

#[actix_web::test]
async fn all_checks_pass_on_seed_3() {
    run_soak(3).await;
}

#[actix_web::test]
async fn all_checks_pass_on_seed_7() {
    run_soak(7).await;
}

#[actix_web::test]
async fn all_checks_pass_on_seed_8() {
    run_soak(8).await;
}

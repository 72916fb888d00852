//! Runs real processes with a ledger writer that freezes, and resumes with what it received before.

mod common;

use std::path::{Path, PathBuf};
use std::time::Duration;

use common::{read_results, submit_job};
use foxwheel_node::ledger_writer;
use foxwheel_policy::batch::ownership;
use foxwheel_server_emu::faults::Fault;
use foxwheel_soak::args;
use foxwheel_soak::fleet::{Fleet, QUOTA_TOKENS};
use foxwheel_soak::front_client::{self, ITEM_TOKENS};
use foxwheel_soak::plan::{FleetSize, Plan};
use foxwheel_soak::process::Role;
use hyper::StatusCode;
use nix::sys::signal::Signal;

/// Time within which a process that resumes has handled all that it received before.
const RESUME_TIME: Duration = Duration::from_secs(3);

async fn start_fleet(name: &str) -> Fleet {
    let program = Path::new(env!("CARGO_BIN_EXE_foxwheel-front"));
    let programs = program.parent().expect("a folder");
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("a folder for settings and logs");
    let size = FleetSize {
        zones: 1,
        fronts: 2,
        workers: 2,
        servers: 1,
        ..args::default_size()
    };
    let plan = Plan {
        seed: 0,
        steps: Vec::new(),
        size,
    };
    let fleet = Fleet::start(&plan, programs, &folder).await;
    fleet.expect("the fleet starts")
}

/// Returns the index of the worker that writes the ledger.
fn ledger_writer(fleet: &Fleet) -> usize {
    let nodes = fleet.nodes.iter().enumerate();
    let workers = nodes.filter(|(_, node)| node.process.role == Role::Worker);
    let writer = workers.reduce(|first, second| {
        let hosts = (&first.1.process.host, &second.1.process.host);
        match ownership::outranks(ledger_writer::LEDGER_RANK_KEY, hosts.0, hosts.1) {
            true => first,
            false => second,
        }
    });
    writer.expect("a worker").0
}

async fn is_in_ledger(fleet: &Fleet, job: &str) -> bool {
    let stored = fleet.operator.store.get("foxwheel-ledger/jobs").await;
    let ledger = stored.expect("the ledger").value.to_string();
    ledger.contains(&format!("\"{job}\""))
}

/// Guards against a job that runs although its client was answered 429: the frozen ledger writer
/// admitted it when it resumed, as other jobs had ended by then.
#[actix_web::test]
async fn a_refused_job_is_not_admitted_when_the_ledger_writer_resumes() {
    let mut fleet = start_fleet("late-admission").await;
    let fronts = fleet.fronts();
    let server = fleet.servers[0].emulator.clone();
    server.fault_script.set_fallback(Some(Fault::Reject));
    let fitting = (QUOTA_TOKENS / ITEM_TOKENS) as usize;
    let filler = submit_job(fronts[0], "filler", fitting).await;
    assert_eq!(filler.expect("a response").status, StatusCode::ACCEPTED);

    let writer = ledger_writer(&fleet);
    let process = &mut fleet.nodes[writer].process;
    assert!(process.signal(Signal::SIGSTOP).expect("stopped"));
    let refused = submit_job(fronts[0], "refused", 2).await;
    let refused = refused.expect("a response");
    assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
    let ended = front_client::end_job(fronts[0], "filler").await;
    assert_eq!(ended.expect("a response").status, StatusCode::OK);
    let process = &mut fleet.nodes[writer].process;
    assert!(process.signal(Signal::SIGCONT).expect("resumed"));
    tokio::time::sleep(RESUME_TIME).await;
    assert!(!is_in_ledger(&fleet, "refused").await);

    // The client's next attempt is accepted, and its items run.
    server.fault_script.set_fallback(None);
    let accepted = submit_job(fronts[1], "refused", 2).await;
    assert_eq!(accepted.expect("a response").status, StatusCode::ACCEPTED);
    let results = common::wait_for_results(fronts[1], "refused", 2).await;
    assert_eq!(common::result_ids(&results), common::item_ids("refused", 2));
    assert!(read_results(fronts[0], "refused", 0).await.is_some());
    fleet.operator.cancel.cancel();
}

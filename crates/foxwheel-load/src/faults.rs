//! Causing an experiment's faults at their times.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use foxwheel_store::api::Faults as StoreFaults;
use foxwheel_store::client::StoreClient;
use nix::sys::signal::Signal;

use crate::experiment::{Fault, TimedFault};
use crate::fleet::Fleet;

/// Causes every fault of `faults` on `fleet`, each at its time, and waits until the last
/// has passed.
pub async fn run(fleet: Rc<RefCell<Fleet>>, faults: Vec<TimedFault>) {
    let started = Instant::now();
    let tasks: Vec<_> = faults
        .into_iter()
        .map(|timed| {
            let at = started + Duration::from_millis(timed.at_ms);
            let fleet = fleet.clone();
            actix_web::rt::spawn(async move {
                tokio::time::sleep_until(at.into()).await;
                log::info!("fault: {:?}", timed.fault);
                cause(&fleet, timed.fault).await;
            })
        })
        .collect();
    for task in tasks {
        let _ = task.await;
    }
}

async fn cause(fleet: &RefCell<Fleet>, fault: Fault) {
    match fault {
        Fault::StoreOutage { for_ms } => {
            let faults = StoreFaults {
                outage: true,
                ..StoreFaults::default()
            };
            store_fault(fleet, faults, for_ms).await;
        }
        Fault::StoreSlow { delay_ms, for_ms } => {
            let faults = StoreFaults {
                delay_ms,
                ..StoreFaults::default()
            };
            store_fault(fleet, faults, for_ms).await;
        }
        Fault::StoreLosesReplies { every, for_ms } => {
            let faults = StoreFaults {
                lose_reply_every: every,
                ..StoreFaults::default()
            };
            store_fault(fleet, faults, for_ms).await;
        }
        Fault::Kill {
            process,
            restart_after_ms,
        } => stop_process(fleet, &process, Signal::SIGKILL, restart_after_ms).await,
        Fault::Terminate {
            process,
            restart_after_ms,
        } => stop_process(fleet, &process, Signal::SIGTERM, restart_after_ms).await,
        Fault::Freeze { process, for_ms } => {
            signal(fleet, &process, Signal::SIGSTOP);
            tokio::time::sleep(Duration::from_millis(for_ms)).await;
            signal(fleet, &process, Signal::SIGCONT);
        }
    }
}

async fn store_fault(fleet: &RefCell<Fleet>, faults: StoreFaults, for_ms: u64) {
    let store = StoreClient::new(&fleet.borrow().store_url);
    for (faults, then) in [(faults, for_ms), (StoreFaults::default(), 0)] {
        if let Err(e) = store.set_faults(&faults).await {
            log::warn!("store faults not set: {e}");
        }
        tokio::time::sleep(Duration::from_millis(then)).await;
    }
}

fn signal(fleet: &RefCell<Fleet>, name: &str, signal: Signal) {
    match fleet.borrow_mut().process(name) {
        Some(process) => process.signal(signal),
        None => log::warn!("no process `{name}` to send {signal} to"),
    }
}

async fn stop_process(
    fleet: &RefCell<Fleet>,
    name: &str,
    how: Signal,
    restart_after_ms: Option<u64>,
) {
    signal(fleet, name, how);
    let Some(pause_ms) = restart_after_ms else {
        return;
    };
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    if let Some(process) = fleet.borrow_mut().process(name) {
        if let Err(e) = process.restart() {
            log::warn!("{name} not started again: {e}");
        }
    }
}

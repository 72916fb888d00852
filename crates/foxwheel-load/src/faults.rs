//! Causes the faults of an experiment at their times.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use foxwheel_store::api::Faults as StoreFaults;
use foxwheel_store::client::StoreClient;
use nix::sys::signal::Signal;

use crate::experiment::{Fault, TimedFault};
use crate::fleet::Fleet;

/// Causes every fault of `faults` on `fleet` at its time, and waits until the last one has ended.
pub async fn cause_faults(fleet: Rc<RefCell<Fleet>>, faults: Vec<TimedFault>) {
    let started_at = Instant::now();
    let tasks: Vec<_> = faults
        .into_iter()
        .map(|timed| {
            let fault_at = started_at + Duration::from_millis(timed.at_ms);
            let fleet = fleet.clone();
            actix_web::rt::spawn(async move {
                tokio::time::sleep_until(fault_at.into()).await;
                log::info!("fault: {:?}", timed.fault);
                cause_fault(&fleet, timed.fault).await;
            })
        })
        .collect();
    for task in tasks {
        let _ = task.await;
    }
}

async fn cause_fault(fleet: &RefCell<Fleet>, fault: Fault) {
    match fault {
        Fault::StoreOutage { for_ms } => {
            let faults = StoreFaults {
                outage: true,
                ..StoreFaults::default()
            };
            set_store_faults(fleet, faults, for_ms).await;
        }
        Fault::StoreSlow { delay_ms, for_ms } => {
            let faults = StoreFaults {
                delay_ms,
                ..StoreFaults::default()
            };
            set_store_faults(fleet, faults, for_ms).await;
        }
        Fault::StoreLosesReplies { every, for_ms } => {
            let faults = StoreFaults {
                lose_reply_every: every,
                ..StoreFaults::default()
            };
            set_store_faults(fleet, faults, for_ms).await;
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
            send_signal(fleet, &process, Signal::SIGSTOP);
            tokio::time::sleep(Duration::from_millis(for_ms)).await;
            send_signal(fleet, &process, Signal::SIGCONT);
        }
    }
}

/// Sets faults of the store emulator and clears them after `for_ms`.
async fn set_store_faults(fleet: &RefCell<Fleet>, faults: StoreFaults, for_ms: u64) {
    let store = StoreClient::new(&fleet.borrow().store_url);
    for (faults, wait_ms) in [(faults, for_ms), (StoreFaults::default(), 0)] {
        if let Err(e) = store.set_faults(&faults).await {
            log::warn!("could not set the faults of the store: {e}");
        }
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }
}

fn send_signal(fleet: &RefCell<Fleet>, name: &str, signal: Signal) {
    match fleet.borrow_mut().find_process(name) {
        Some(process) => process.send_signal(signal),
        None => log::warn!("cannot send {signal}: the fleet has no process `{name}`"),
    }
}

/// Stops a process with `stop_signal` and restarts it after the delay, if there is one.
async fn stop_process(
    fleet: &RefCell<Fleet>,
    name: &str,
    stop_signal: Signal,
    restart_after_ms: Option<u64>,
) {
    send_signal(fleet, name, stop_signal);
    let Some(delay_ms) = restart_after_ms else {
        return;
    };
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    if let Some(process) = fleet.borrow_mut().find_process(name) {
        if let Err(e) = process.restart() {
            log::warn!("could not restart {name}: {e}");
        }
    }
}

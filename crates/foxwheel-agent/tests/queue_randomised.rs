//! The agent's queue under long randomised runs: online work never waits behind batch
//! work. The queue asserts its own invariants after every change (debug builds); this
//! test drives it with seeded random arrivals, completions and preemptions and asserts
//! the promise as seen from outside.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use foxwheel_agent::queue::{Limits, Permit, Queue, QueueError};
use foxwheel_core::declarations::PriorityClass;

type Waiting = Pin<Box<dyn Future<Output = Result<Permit, QueueError>>>>;

/// Seeds run in CI: fixed, so every run gives the same verdict. The upper half of an
/// arbtest seed is the input size.
const SEEDS: u64 = 300;
const SIZE: u64 = 2_000;

fn poll_all(waiting: &mut Vec<(PriorityClass, Waiting)>, held: &mut Vec<Permit>) {
    let waker = futures::task::noop_waker();
    let mut cx = Context::from_waker(&waker);
    waiting.retain_mut(|(_, fut)| match fut.as_mut().poll(&mut cx) {
        Poll::Ready(Ok(permit)) => {
            held.push(permit);
            false
        }
        Poll::Ready(Err(e)) => panic!("queue refused while not draining: {e}"),
        Poll::Pending => true,
    });
}

fn property(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
    let max_running = u.int_in_range(1..=8)?;
    let max_batch_running = u.int_in_range(0..=max_running)?;
    let queue = Queue::new(Limits {
        max_running,
        max_batch_running,
        max_waiting_online: u32::MAX,
        max_waiting_batch: u32::MAX,
    });
    let mut waiting: Vec<(PriorityClass, Waiting)> = Vec::new();
    let mut held: Vec<Permit> = Vec::new();
    while !u.is_empty() {
        match u.int_in_range(0..=3)? {
            0 => {
                let q = queue.clone();
                waiting.push((
                    PriorityClass::Online,
                    Box::pin(async move { q.acquire(PriorityClass::Online, "").await }),
                ));
            }
            1 => {
                let q = queue.clone();
                waiting.push((
                    PriorityClass::Batch,
                    Box::pin(async move { q.acquire(PriorityClass::Batch, "").await }),
                ));
            }
            2 if !held.is_empty() => {
                let at = u.choose_index(held.len())?;
                drop(held.swap_remove(at));
            }
            3 if !waiting.is_empty() => {
                let at = u.choose_index(waiting.len())?;
                drop(waiting.swap_remove(at));
            }
            _ => {}
        }
        poll_all(&mut waiting, &mut held);
        // A preempted batch request stops at once, as the agent's proxy does.
        held.retain(|p| !(p.class() == PriorityClass::Batch && p.preempted().is_cancelled()));
        poll_all(&mut waiting, &mut held);
        let report = queue.report();
        let online_waiting = waiting.iter().any(|(c, _)| *c == PriorityClass::Online);
        assert!(
            !online_waiting || report.running_batch == 0,
            "online work waits while {} batch requests run: {report:?}",
            report.running_batch
        );
        assert!(report.running_batch <= max_batch_running);
        assert!(report.running_online + report.running_batch <= max_running);
        let batch_waiting = waiting.iter().any(|(c, _)| *c == PriorityClass::Batch);
        let room = report.running_online + report.running_batch < max_running
            && report.running_batch < max_batch_running;
        assert!(
            !(batch_waiting && !online_waiting && room),
            "batch work waits although there is spare capacity: {report:?}"
        );
    }
    drop(waiting);
    drop(held);
    let report = queue.report();
    assert_eq!(
        report.running_online + report.running_batch,
        0,
        "every slot is freed"
    );
    Ok(())
}

#[test]
fn online_never_waits_behind_batch_and_spare_capacity_is_used() {
    for i in 0..SEEDS {
        arbtest::arbtest(property).seed((SIZE << 32) | i).run();
    }
}

#[test]
fn a_draining_queue_takes_no_new_work() {
    let queue = Queue::new(Limits {
        max_running: 2,
        max_batch_running: 1,
        max_waiting_online: 8,
        max_waiting_batch: 8,
    });
    queue.drain();
    let refused = futures::executor::block_on(queue.acquire(PriorityClass::Online, ""));
    assert!(matches!(refused, Err(QueueError::Draining)));
}

//! Property tests of the agent's queue: online requests never wait behind batch requests.
//!
//! The test drives the queue with seeded random arrivals, completions and cancellations, and checks
//! its public state after each step. In debug builds the queue also asserts its own invariants
//! after every change.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use foxwheel_agent::queue::{Limits, Permit, Queue, QueueError};
use foxwheel_core::declarations::PriorityClass;

type PendingPermit = Pin<Box<dyn Future<Output = Result<Permit, QueueError>>>>;

/// Number of seeds. The seeds are fixed, so that every run of the test has the same result.
const SEED_COUNT: u64 = 300;
/// Size of the random input of each seed, in bytes. arbtest reads it from the upper 32 bits of the
/// seed.
const INPUT_SIZE_BYTES: u64 = 2_000;

fn poll_waiting_requests(
    waiting: &mut Vec<(PriorityClass, PendingPermit)>,
    held_permits: &mut Vec<Permit>,
) {
    let waker = futures::task::noop_waker();
    let mut cx = Context::from_waker(&waker);
    waiting.retain_mut(|(_, pending)| match pending.as_mut().poll(&mut cx) {
        Poll::Ready(Ok(permit)) => {
            held_permits.push(permit);
            false
        }
        Poll::Ready(Err(e)) => panic!("the queue refused a request while not draining: {e}"),
        Poll::Pending => true,
    });
}

fn check_random_operations(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
    let max_running = u.int_in_range(1..=8)?;
    let max_batch_running = u.int_in_range(0..=max_running)?;
    let queue = Queue::new(Limits {
        max_running,
        max_batch_running,
        max_waiting_online: u32::MAX,
        max_waiting_batch: u32::MAX,
    });
    let mut waiting: Vec<(PriorityClass, PendingPermit)> = Vec::new();
    let mut held_permits: Vec<Permit> = Vec::new();
    while !u.is_empty() {
        match u.int_in_range(0..=3)? {
            0 => {
                let queue = queue.clone();
                waiting.push((
                    PriorityClass::Online,
                    Box::pin(async move { queue.acquire(PriorityClass::Online, "").await }),
                ));
            }
            1 => {
                let queue = queue.clone();
                waiting.push((
                    PriorityClass::Batch,
                    Box::pin(async move { queue.acquire(PriorityClass::Batch, "").await }),
                ));
            }
            2 if !held_permits.is_empty() => {
                let index = u.choose_index(held_permits.len())?;
                drop(held_permits.swap_remove(index));
            }
            3 if !waiting.is_empty() => {
                let index = u.choose_index(waiting.len())?;
                drop(waiting.swap_remove(index));
            }
            _ => {}
        }
        poll_waiting_requests(&mut waiting, &mut held_permits);
        // Preempted batch requests release their permits immediately, as in the agent's proxy.
        held_permits.retain(|permit| {
            !(permit.class() == PriorityClass::Batch && permit.preempted().is_cancelled())
        });
        poll_waiting_requests(&mut waiting, &mut held_permits);
        let report = queue.load_report();
        let is_online_waiting = waiting
            .iter()
            .any(|(class, _)| *class == PriorityClass::Online);
        assert!(
            !is_online_waiting || report.running_batch == 0,
            "online requests wait while {} batch requests run: {report:?}",
            report.running_batch
        );
        assert!(report.running_batch <= max_batch_running);
        assert!(report.running_online + report.running_batch <= max_running);
        let is_batch_waiting = waiting
            .iter()
            .any(|(class, _)| *class == PriorityClass::Batch);
        let has_room_for_batch = report.running_online + report.running_batch < max_running
            && report.running_batch < max_batch_running;
        assert!(
            !(is_batch_waiting && !is_online_waiting && has_room_for_batch),
            "batch requests wait although there is spare capacity: {report:?}"
        );
    }
    drop(waiting);
    drop(held_permits);
    let report = queue.load_report();
    assert_eq!(
        report.running_online + report.running_batch,
        0,
        "every slot is freed"
    );
    Ok(())
}

#[test]
fn online_requests_never_wait_behind_batch_and_batch_uses_spare_capacity() {
    for seed in 0..SEED_COUNT {
        arbtest::arbtest(check_random_operations)
            .seed((INPUT_SIZE_BYTES << 32) | seed)
            .run();
    }
}

#[test]
fn a_draining_queue_refuses_new_requests() {
    let queue = Queue::new(Limits {
        max_running: 2,
        max_batch_running: 1,
        max_waiting_online: 8,
        max_waiting_batch: 8,
    });
    queue.start_draining();
    let refused = futures::executor::block_on(queue.acquire(PriorityClass::Online, ""));
    assert!(matches!(refused, Err(QueueError::Draining)));
}

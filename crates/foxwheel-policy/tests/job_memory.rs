//! Replays jobs with large bodies that wait for servers.

use foxwheel_policy::batch::item::ItemSpec;
use foxwheel_policy::batch::job_memory::JobMemory;

#[test]
fn jobs_beyond_the_memory_of_a_worker_stay_in_the_ledger() {
    const JOB_BYTES: usize = 3_000_000;
    let memory = JobMemory::of_host(130_000_000);
    let mut owned_bytes = 0;
    let mut taken = 0;
    for _ in 0..64 {
        if memory.has_room(owned_bytes, JOB_BYTES) {
            owned_bytes += JOB_BYTES;
            taken += 1;
        }
    }
    assert_eq!(taken, 10);
    assert!(owned_bytes <= 130_000_000 / 4);
    // One of them ends.
    assert!(memory.has_room(owned_bytes - JOB_BYTES, JOB_BYTES));
}

#[test]
fn worker_without_jobs_takes_any_job() {
    let memory = JobMemory::of_host(64_000_000);
    assert!(memory.has_room(0, 100_000_000));
    assert!(!memory.has_room(1, 100_000_000));
}

#[test]
fn size_of_an_item_covers_what_its_client_determines() {
    let item = ItemSpec {
        id: "ab".to_owned(),
        path: "/cde".to_owned(),
        headers: vec![("name".to_owned(), "value".to_owned())],
        body: vec![0; 100].into(),
        tokens: 7,
    };
    assert_eq!(item.size_bytes(), 2 + 4 + 9 + 100);
}

//! A server fails an item of a batch job with 500, and a second copy of that answer arrives late, where the
//! answer to the next request on the channel is expected.

use std::io::Result;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::cases::Verdict;
use crate::clients::{self, Item};
use crate::fleet::{Fleet, Setup};
use crate::replicas::{self, Action, Answer, Runs};

/// The item that fails at its first run.
const FAILING: &str = "item-51";

pub fn run(setup: &Setup) -> Result<Verdict> {
    let fleet = Fleet::start(setup, 1, 1)?;
    let runs = Runs::default();
    let trouble = setup.trouble;
    let failures = Arc::new(Mutex::new(0_u32));
    let counted = Arc::clone(&failures);
    let llm = Arc::new(move |request: &crate::http::Message, _| {
        let id = request.header("x-request-id").unwrap_or("");
        let mut failures = counted.lock().unwrap();
        if id == FAILING && *failures == 0 {
            *failures += 1;
            return Answer {
                action: Action::Fail,
                extra_later: trouble,
            };
        }
        Action::Stream(Duration::from_millis(20), 5).into()
    });
    let desk = Arc::new(|_: &crate::http::Message, _| {
        Action::Run(Duration::from_millis(5), "ok".to_owned()).into()
    });
    // One server of three spoils one of its 53 answers.
    replicas::start(&fleet, &setup.record, &runs, "i-llm-1", "llm", llm)?;
    replicas::start(
        &fleet,
        &setup.record,
        &runs,
        "i-order-1",
        "orderdesk",
        desk.clone(),
    )?;
    replicas::start(&fleet, &setup.record, &runs, "i-order-2", "orderdesk", desk)?;
    fleet.wait_until_served(clients::HOST, "/status/start")?;
    let front = fleet.fronts[0];
    let numbered = |numbers: std::ops::RangeInclusive<u32>| -> Vec<Item> {
        let ids = numbers.map(|number| format!("item-{number}"));
        ids.map(|id| Item {
            id,
            headers: "\"X-Model\":\"m\"".to_owned(),
        })
        .collect()
    };
    // Fifty answers that are not spoiled.
    clients::submit(setup, front, "/letters/", "job-1", &numbered(1..=50));
    clients::read_until_listed(setup, front, "job-1", 50, Duration::from_secs(18));
    // The idle connections to the server are closed meanwhile.
    std::thread::sleep(Duration::from_secs(4));
    let status = clients::submit(setup, front, "/letters/", "job-2", &numbered(51..=51));
    let text = clients::read_until_listed(setup, front, "job-2", 1, Duration::from_secs(18));
    let failed = *failures.lock().unwrap();
    let given_up = text.contains(&format!("{{\"id\":\"{FAILING}\",\"state\":\"dead_letter\""));
    let broken = given_up && failed < 2;
    let facts = vec![
        format!("job-2 answered {status}, its read {text}"),
        format!(
            "{FAILING}: {failed} answers of 500 where max_attempts is 2; runs: {:?}",
            runs.of(FAILING)
        ),
        format!("{FAILING} listed as dead_letter: {given_up}"),
    ];
    Ok(Verdict { broken, facts })
}

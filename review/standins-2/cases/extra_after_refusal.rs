//! A server that is full refuses a request that is not idempotent, and a second copy of that refusal arrives
//! late, where the answer to the next request on the channel is expected.

use std::io::Result;
use std::sync::Arc;
use std::time::Duration;

use crate::cases::Verdict;
use crate::clients;
use crate::fleet::{Fleet, Setup};
use crate::replicas::{self, Action, Answer, Runs};

/// Number of requests. Two of them are refused at first: 2 of 102 answers of the one server in three are spoiled.
const REQUESTS: u64 = 100;

/// Numbers of the requests that the server refuses as it is full.
const REFUSED: [&str; 2] = ["order-30", "order-60"];

pub fn run(setup: &Setup) -> Result<Verdict> {
    let fleet = Fleet::start(setup, 1, 1)?;
    let runs = Runs::default();
    let trouble = setup.trouble;
    let refused = std::sync::Mutex::new(Vec::new());
    let orderdesk = Arc::new(move |request: &crate::http::Message, _| {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let mut refused = refused.lock().unwrap();
        // Full at the first try of these requests; it has room 1 ms later.
        if REFUSED.contains(&id.as_str()) && !refused.contains(&id) {
            refused.push(id);
            return Answer {
                action: Action::NotRun(503),
                extra_later: trouble,
            };
        }
        Action::Run(Duration::from_millis(20), format!("order placed for {id}")).into()
    });
    let llm = Arc::new(|_: &crate::http::Message, _| {
        Action::Run(Duration::from_millis(5), "ok".to_owned()).into()
    });
    replicas::start(
        &fleet,
        &setup.record,
        &runs,
        "i-order-1",
        "orderdesk",
        orderdesk,
    )?;
    replicas::start(&fleet, &setup.record, &runs, "i-llm-1", "llm", llm.clone())?;
    replicas::start(&fleet, &setup.record, &runs, "i-llm-2", "llm", llm)?;
    fleet.wait_until_served(clients::HOST, "/orders/start")?;
    let mut facts = Vec::new();
    let mut broken = false;
    for number in 1..=REQUESTS {
        let id = format!("order-{number}");
        let (status, _) = clients::post(setup, fleet.fronts[0], "/orders/new", &id, &[], b"timber");
        // A run that begins after the answer counts as well.
        std::thread::sleep(Duration::from_millis(30));
        let ran = runs.of(&id).len();
        if ran > 1 {
            broken = true;
            facts.push(format!(
                "TWICE: {id} was sent once by its client, answered {status}, and ran {ran} times"
            ));
        }
        if ran > 0 && matches!(status, 408 | 421 | 429 | 503) {
            broken = true;
            facts.push(format!(
                "REFUSED: {id} was answered {status} and ran {ran} times"
            ));
        }
    }
    facts.push(format!("{REQUESTS} requests sent"));
    Ok(Verdict { broken, facts })
}

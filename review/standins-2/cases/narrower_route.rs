//! The operator adds an online route with a longer prefix than that of a batch route, while a batch job that was
//! accepted under that longer prefix is open.

use std::io::Result;
use std::sync::Arc;
use std::time::Duration;

use crate::cases::{self, Verdict};
use crate::clients::{self, Item};
use crate::fleet::{Fleet, Setup};
use crate::replicas::{self, Action, Runs};

/// Number of items of the batch job. Two servers run 8 of them at once, each for a second.
const ITEMS: usize = 120;

pub fn run(setup: &Setup) -> Result<Verdict> {
    let fleet = Fleet::start(setup, 1, 1)?;
    let runs = Runs::default();
    let llm = Arc::new(|request: &crate::http::Message, _| {
        match request.target().starts_with("/letters/") {
            true => Action::Stream(Duration::from_secs(1), 5).into(),
            false => Action::Run(Duration::from_millis(5), "a page of the desk".to_owned()).into(),
        }
    });
    replicas::start(&fleet, &setup.record, &runs, "i-llm-1", "llm", llm.clone())?;
    replicas::start(&fleet, &setup.record, &runs, "i-llm-2", "llm", llm.clone())?;
    replicas::start(&fleet, &setup.record, &runs, "i-desk-1", "orderdesk", llm)?;
    fleet.wait_until_served(clients::HOST, "/status/start")?;
    let front = fleet.fronts[0];
    let items: Vec<Item> = (1..=ITEMS)
        .map(|number| Item {
            id: format!("item-{number}"),
            headers: "\"X-Model\":\"m\"".to_owned(),
        })
        .collect();
    let accepted = clients::submit(setup, front, "/letters/night/", "job-1", &items);
    std::thread::sleep(Duration::from_secs(1));
    let prefix = match setup.trouble {
        true => "/letters/night/",
        false => "/desk/",
    };
    let added = format!(
        "{{\"name\":\"r-desk\",\"host\":\"{}\",\"path_prefix\":\"{prefix}\",\"kind\":\"idempotent\",\"timeout_ms\":4000,\
          \"target_latency_ms\":300,\"priority\":2,\"service\":\"orderdesk\",\"max_attempts\":2}},",
        clients::HOST
    );
    fleet.replace("config", "main", &cases::config(2, &added))?;
    setup.record.line(&format!(
        "operator: version 2 adds the online route r-desk for {prefix}; r-letters stays as it was"
    ));
    let text = clients::read_until_listed(setup, front, "job-1", ITEMS, Duration::from_secs(40));
    let completed = text.matches("\"state\":\"completed\"").count();
    let given_up = text.matches("\"state\":\"dead_letter\"").count();
    let facts = vec![
        format!("job-1 answered {accepted}; {completed} of {ITEMS} items completed, {given_up} listed as dead_letter"),
        "no server answered an item with 422 or 500, nobody ended the job, and retention_s is 60".to_owned(),
    ];
    Ok(Verdict {
        broken: accepted == 202 && given_up > 0,
        facts,
    })
}

//! The operator adds a route for all paths of a host that has a route for batch jobs.

use std::io::Result;
use std::sync::Arc;
use std::time::Duration;

use crate::cases::{self, Verdict};
use crate::clients::{self, Item};
use crate::fleet::{Fleet, Setup};
use crate::replicas::{self, Action, Runs};

pub fn run(setup: &Setup) -> Result<Verdict> {
    let fleet = Fleet::start(setup, 1, 1)?;
    let runs = Runs::default();
    let llm = Arc::new(|request: &crate::http::Message, _| {
        match request.target().starts_with("/letters/") {
            true => Action::Stream(Duration::from_millis(20), 5).into(),
            false => Action::Run(Duration::from_millis(5), "a page of the desk".to_owned()).into(),
        }
    });
    replicas::start(&fleet, &setup.record, &runs, "i-llm-1", "llm", llm.clone())?;
    replicas::start(&fleet, &setup.record, &runs, "i-desk-1", "orderdesk", llm)?;
    fleet.wait_until_served(clients::HOST, "/status/start")?;
    let front = fleet.fronts[0];
    let items: Vec<Item> = (1..=5)
        .map(|number| Item { id: format!("item-{number}"), headers: "\"X-Model\":\"m\"".to_owned() })
        .collect();
    let accepted = clients::submit(setup, front, "/letters/", "job-1", &items);
    let before = clients::read_until_listed(setup, front, "job-1", items.len(), Duration::from_secs(15));
    let prefix = match setup.trouble {
        true => "/",
        false => "/desk/",
    };
    let added = format!(
        "{{\"name\":\"r-desk\",\"host\":\"{}\",\"path_prefix\":\"{prefix}\",\"kind\":\"idempotent\",\"timeout_ms\":4000,\
          \"target_latency_ms\":300,\"priority\":2,\"service\":\"orderdesk\",\"max_attempts\":2}},",
        clients::HOST
    );
    fleet.replace("config", "main", &cases::config(2, &added))?;
    setup.record.line(&format!("operator: version 2 adds a route for {prefix}"));
    std::thread::sleep(Duration::from_secs(4));
    let (status, after) = clients::read(setup, front, "job-1");
    let is_readable = status == 200 && clients::listed(&after) == items.len();
    let broken = accepted == 202 && clients::listed(&before) == items.len() && !is_readable;
    let facts = vec![
        format!("job-1 answered {accepted}; before the change {} results were read", clients::listed(&before)),
        format!("after the change a read is answered {status}: {after}"),
    ];
    Ok(Verdict { broken, facts })
}

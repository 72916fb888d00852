//! A client asks for the body of an item whose id has a character that is percent-encoded in a query.

use std::io::Result;
use std::sync::Arc;
use std::time::Duration;

use crate::cases::Verdict;
use crate::clients::{self, Item};
use crate::fleet::{Fleet, Setup};
use crate::replicas::{self, Action, Runs};

pub fn run(setup: &Setup) -> Result<Verdict> {
    let fleet = Fleet::start(setup, 1, 1)?;
    let runs = Runs::default();
    let llm = Arc::new(|request: &crate::http::Message, _| match request.target().starts_with("/letters/") {
        // The items are still running when their bodies are asked for.
        true => Action::Stream(Duration::from_millis(3_500), 5).into(),
        false => Action::Run(Duration::from_millis(5), "ok".to_owned()).into(),
    });
    replicas::start(&fleet, &setup.record, &runs, "i-llm-1", "llm", llm)?;
    fleet.wait_until_served(clients::HOST, "/status/start")?;
    let front = fleet.fronts[0];
    let (id, encoded) = match setup.trouble {
        true => ("rua:17", "rua%3A17"),
        false => ("rua-17", "rua-17"),
    };
    let items = [Item { id: id.to_owned(), headers: "\"X-Model\":\"m\"".to_owned() }];
    let accepted = clients::submit(setup, front, "/letters/", "job-1", &items);
    std::thread::sleep(Duration::from_millis(1_500));
    let status = clients::read_body(setup, front, "job-1", encoded);
    let listed = clients::listed(&clients::read(setup, front, "job-1").1);
    let facts = vec![
        format!("job-1 answered {accepted}; 1.5 s later the body of its item '{id}' is answered {status}"),
        format!("{listed} items were listed then"),
    ];
    Ok(Verdict { broken: accepted == 202 && listed == 0 && matches!(status, 404 | 410), facts })
}

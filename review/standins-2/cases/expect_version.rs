//! A client pins its requests to weights of a version that the servers do not have.

use std::io::Result;
use std::sync::Arc;
use std::time::Duration;

use crate::cases::Verdict;
use crate::clients::{self, Item};
use crate::fleet::{Fleet, Setup};
use crate::replicas::{self, Action, Runs};

/// Version of the weights of all servers.
const VERSION: &str = "2";

/// Version that the pinned items expect in a run with the disruption.
const OLD_VERSION: &str = "1";

/// Time after which the items of an open job must be listed (`finish_s`), and a margin.
const FINISH_TIME: Duration = Duration::from_secs(22);

pub fn run(setup: &Setup) -> Result<Verdict> {
    let fleet = Fleet::start(setup, 1, 1)?;
    let runs = Runs::default();
    let llm = Arc::new(|request: &crate::http::Message, _| {
        if request
            .header("x-expect-version")
            .is_some_and(|version| version != VERSION)
        {
            return Action::NotRun(421).into();
        }
        match request.target().starts_with("/letters/") {
            true => Action::Stream(Duration::from_millis(20), 5).into(),
            false => Action::Run(Duration::from_millis(5), "ok".to_owned()).into(),
        }
    });
    for number in 1..=3 {
        let id = format!("i-llm-{number}");
        replicas::start(&fleet, &setup.record, &runs, &id, "llm", llm.clone())?;
    }
    fleet.wait_until_served(clients::HOST, "/status/start")?;
    let pinned_version = match setup.trouble {
        true => OLD_VERSION,
        false => VERSION,
    };
    let pinned: Vec<Item> = (1..=60)
        .map(|number| Item {
            id: format!("pinned-{number}"),
            headers: format!("\"X-Model\":\"m\",\"X-Expect-Version\":\"{pinned_version}\""),
        })
        .collect();
    let plain: Vec<Item> = (1..=10)
        .map(|number| Item {
            id: format!("plain-{number}"),
            headers: "\"X-Model\":\"m\"".to_owned(),
        })
        .collect();
    let front = fleet.fronts[0];
    let pinned_status = clients::submit(setup, front, "/letters/", "job-pinned", &pinned);
    std::thread::sleep(Duration::from_secs(2));
    let plain_status = clients::submit(setup, front, "/letters/", "job-plain", &plain);
    let mut online = Vec::new();
    for number in 1..=20 {
        let id = format!("status-{number}");
        online.push(clients::post(setup, front, "/status/x", &id, &[], b"").0);
        std::thread::sleep(Duration::from_millis(100));
    }
    let text = clients::read_until_listed(setup, front, "job-plain", plain.len(), FINISH_TIME);
    let listed = clients::listed(&text);
    let had = (1..=10)
        .filter(|number| !runs.of(&format!("plain-{number}")).is_empty())
        .count();
    let broken = plain_status == 202 && listed < plain.len();
    let facts = vec![
        format!("job-pinned answered {pinned_status}, job-plain answered {plain_status}"),
        format!("job-plain: {listed} of {} items listed, {had} of them ever ran, {FINISH_TIME:?} after its 202", plain.len()),
        format!("answers to 20 online requests of the same service: {online:?}"),
    ];
    Ok(Verdict { broken, facts })
}

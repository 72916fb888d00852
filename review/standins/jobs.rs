//! Batch jobs as a client submits and reads them.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::http::Response;
use crate::json;

/// How long a client waits for the answer to a submission; the sheet's time limit.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(4);

pub const PREFIX: &str = "/batch/";

/// A batch job.
pub struct Job {
    pub id: String,
    pub items: usize,
    pub tokens_per_item: u64,
    /// What the id of the first item ends with.
    pub first_suffix: &'static str,
}

impl Job {
    pub fn item_id(&self, number: usize) -> String {
        let suffix = if number == 0 { self.first_suffix } else { "" };
        format!("{}i{number}{suffix}", self.id)
    }

    fn body(&self) -> String {
        let items: Vec<String> = (0..self.items)
            .map(|number| {
                let (id, tokens) = (self.item_id(number), self.tokens_per_item);
                format!(
                    "{{\"id\":\"{id}\",\"path\":\"{PREFIX}3/{id}\",\"headers\":{{\"X-Model\":\"m\",\
                     \"X-Token-Usage\":\"{},{}\",\"X-Prompt-Prefix\":\"9c2e41:100,{number:x}aa:250\"}},\
                     \"body\":\"q83vEjRWeJA=\",\"tokens\":{tokens}}}",
                    tokens / 2,
                    tokens - tokens / 2
                )
            })
            .collect();
        format!("{{\"items\":[{}]}}", items.join(","))
    }

    /// Submits the job at a front. Returns `None` if there is no response.
    pub fn submit(&self, fleet: &Fleet, front: usize) -> Option<Response> {
        let headers = format!(
            "X-Request-Id: {}\r\nX-Deadline-Ms: 4000\r\nContent-Type: application/json\r\n\
             Connection: close\r\n",
            self.id
        );
        let target = format!("{PREFIX}{}", self.id);
        let called = fleet.call(
            front,
            "POST",
            &target,
            &headers,
            &self.body(),
            SUBMIT_TIMEOUT,
        );
        let name = &fleet.fronts[front].name;
        match called {
            Ok(response) => {
                fleet.record.note(format!(
                    "client: submits {} ({} items, {} tokens) at {name}: {} after {} ms, Retry-After {:?}",
                    self.id,
                    self.items,
                    self.tokens_per_item * self.items as u64,
                    response.status,
                    response.took.as_millis(),
                    response.header("retry-after"),
                ));
                Some(response)
            }
            Err(e) => {
                fleet
                    .record
                    .note(format!("client: submits {} at {name}: {e}", self.id));
                None
            }
        }
    }

    /// Reads the results from position `after` on. Returns the status and the body.
    pub fn read(&self, fleet: &Fleet, front: usize, after: usize) -> Option<Response> {
        let target = format!("/api/lots/{}?after={after}", self.id);
        let headers = "X-Wait-Ms: 0\r\nConnection: close\r\n";
        let called = fleet.call(
            front,
            "GET",
            &target,
            headers,
            "",
            Duration::from_millis(3_500),
        );
        let name = &fleet.fronts[front].name;
        match called {
            Ok(response) => {
                let body: String = response.body.chars().take(160).collect();
                fleet.record.note(format!(
                    "client: reads {} from {after} at {name}: {} {body}",
                    self.id, response.status
                ));
                Some(response)
            }
            Err(e) => {
                fleet
                    .record
                    .note(format!("client: reads {} at {name}: {e}", self.id));
                None
            }
        }
    }
}

/// A result as a client reads it.
#[derive(Debug, Clone, PartialEq)]
pub struct ItemResult {
    pub id: String,
    pub state: String,
    pub output: String,
}

/// Returns the results in the body of a read.
pub fn results(body: &str) -> Vec<ItemResult> {
    let listed = json::member(body, "results").unwrap_or("[]");
    let results = json::elements(listed).into_iter();
    results
        .map(|text| ItemResult {
            id: json::string(text, "id").unwrap_or_default(),
            state: json::string(text, "state").unwrap_or_default(),
            output: json::string(text, "output").unwrap_or_default(),
        })
        .collect()
}

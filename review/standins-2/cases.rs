//! The cases: each plays one disruption and judges one rule by what clients and servers saw.

use std::io::{Error, Result};

use crate::fleet::Setup;

pub mod expect_version;
pub mod extra_after_failure;
pub mod extra_after_refusal;
pub mod narrower_route;

/// The judgement of a case.
pub struct Verdict {
    /// Whether the rule was broken.
    pub broken: bool,
    /// What was counted.
    pub facts: Vec<String>,
}

/// Plays a case.
pub fn run(case: &str, setup: &Setup) -> Result<Verdict> {
    match case {
        "extra-after-refusal" => extra_after_refusal::run(setup),
        "extra-after-failure" => extra_after_failure::run(setup),
        "expect-version" => expect_version::run(setup),
        "narrower-route" => narrower_route::run(setup),
        other => Err(Error::other(format!("no case '{other}'"))),
    }
}

/// Returns the first configuration.
pub fn first_config() -> String {
    config(1, "")
}

/// Returns a configuration with the usual routes and `more` routes, each followed by a comma.
pub fn config(version: u64, more: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{more}\
         {{\"name\":\"r-orders\",\"host\":\"ficu95.example\",\"path_prefix\":\"/orders/\",\"kind\":\"non_idempotent\",\
           \"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":0,\"service\":\"orderdesk\",\"max_attempts\":1}},\
         {{\"name\":\"r-status\",\"host\":\"ficu95.example\",\"path_prefix\":\"/status/\",\"kind\":\"idempotent\",\
           \"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"llm\",\"max_attempts\":2}},\
         {{\"name\":\"r-letters\",\"host\":\"ficu95.example\",\"path_prefix\":\"/letters/\",\"kind\":\"batch\",\
           \"timeout_ms\":15000,\"target_latency_ms\":400,\"priority\":2,\"service\":\"llm\",\"max_attempts\":2,\
           \"completion_target_ms\":18000,\"retention_s\":60,\"cap\":0}}],\
         \"services\":[{{\"name\":\"orderdesk\",\"health_path\":\"/healthz\",\"max_conns\":110}},\
           {{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":180}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
           \"idle_timeout_ms\":15000}}}}"
    )
}

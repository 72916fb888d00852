//! The processes that foxwheel runs on the users' platform.
//!
//! A *front* serves callers; a *worker* runs batch jobs. Both watch the operator's configuration
//! and the list of backend servers in the platform's store, report their load to each other in
//! heartbeats, and call `foxwheel-policy` for every decision.

pub mod attempt;
pub mod batch_front;
pub mod caller_server;
pub mod chunked_objects;
pub mod cross_zone_clients;
pub mod datagram_sender;
pub mod discovery;
pub mod front;
pub mod heartbeat;
pub mod hedging;
pub mod item_run;
pub mod job_reads;
pub mod job_store;
pub mod ledger_poll;
pub mod ledger_writer;
pub mod load_sums;
pub mod load_table;
pub mod metrics;
pub mod node;
pub mod online;
pub mod online_request;
pub mod other_zones;
pub mod part_quarantine;
pub mod peer_calls;
pub mod peer_directory;
pub mod peer_messages;
pub mod peer_server;
pub mod peers;
pub mod process;
pub mod quarantine_store;
pub mod refusal;
pub mod relay;
pub mod reported_loads;
pub mod request_body;
pub mod request_content;
pub mod request_quarantine;
pub mod responses;
pub mod result_store;
pub mod retirement_watch;
pub mod server_probe;
pub mod service_hold_times;
pub mod settings;
pub mod state_sync;
pub mod status_server;
pub mod store_access;
pub mod store_relay;
pub mod store_watch;
pub mod stream_origins;
pub mod tracked_body;
pub mod unframed_body;
pub mod version_records;
pub mod watched_kind;
pub mod worker;
pub mod worker_jobs;
pub mod zone_representative;

/// The modules needed to run a process, for `use foxwheel_node::prelude::*`.
pub mod prelude {
    pub use crate::{caller_server, node, settings, worker};
}

//! State that the gateway's request handlers share.

use foxwheel_core::telemetry::Counters;
use foxwheel_http_client::client::HttpClient;
use foxwheel_store::client::StoreClient;
use foxwheel_store::reflector::Reflector;

use crate::config::ConfigHandle;
use crate::filters::Filter;
use crate::hosts::HostTable;
use crate::settings::GatewaySettings;

/// State shared by all worker threads.
pub struct GatewayState {
    /// Settings of this gateway.
    pub settings: GatewaySettings,
    /// Handle to the configuration in force.
    pub config: ConfigHandle,
    /// Routing table of the backend hosts.
    pub hosts: HostTable,
    /// Copies of parts of the store, which peers may request.
    pub reflectors: [Reflector; 2],
    /// Filters that each request passes, in this order.
    pub filter_chain: Vec<Box<dyn Filter>>,
    /// Counters of this process.
    pub counters: Counters,
}

/// State of one worker thread. Its clients cannot be shared, as their connections are driven by the
/// thread's runtime.
pub struct WorkerState {
    /// Client that forwards requests to agents.
    pub http: HttpClient,
    /// Client of the platform store.
    pub store: StoreClient,
}

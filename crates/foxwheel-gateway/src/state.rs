//! What the gateway's request handlers share.

use foxwheel_core::telemetry::Counters;
use foxwheel_store::client::StoreClient;
use foxwheel_store::reflector::Reflector;

use crate::config::ConfigHandle;
use crate::filters::Filter;
use crate::hosts::HostTable;
use crate::settings::GatewaySettings;

/// What every worker thread shares.
pub struct GatewayState {
    /// The settings.
    pub settings: GatewaySettings,
    /// The configuration in force.
    pub config: ConfigHandle,
    /// The routing table.
    pub hosts: HostTable,
    /// The copies of the store that peers may ask for.
    pub reflectors: [Reflector; 2],
    /// The filter chain, in order.
    pub chain: Vec<Box<dyn Filter>>,
    /// This process's counters.
    pub counters: Counters,
}

/// What each worker thread has of its own (awc clients live on one thread).
pub struct WorkerState {
    /// Client for forwarding to agents.
    pub http: awc::Client,
    /// Client of the platform store.
    pub store: StoreClient,
}

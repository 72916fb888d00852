//! Batch jobs: the caller API ([`api`]), taking jobs in ([`intake`]), the records in the
//! store ([`jobs`], [`progress`]), the controller that shares the work out among gateways
//! ([`dispatch`]), and the work on one chunk ([`chunk_work`]) and one item ([`items`]).

pub mod api;
pub mod chunk_work;
pub mod dispatch;
pub mod intake;
pub mod items;
pub mod jobs;
pub mod progress;

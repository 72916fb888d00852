//! Batch jobs: the caller API ([`api`]), the acceptance of jobs ([`intake`]), the records in the
//! store ([`jobs`], [`progress`]), the controller that distributes the work among gateways
//! ([`dispatch`]), and the processing of one chunk ([`chunk_work`]) and of one item ([`items`]).

pub mod api;
pub mod chunk_work;
pub mod dispatch;
pub mod intake;
pub mod items;
pub mod jobs;
pub mod progress;

//! Type aliases for the ids that cross process boundaries.
//!
//! Ids are plain strings on the wire (JSON) and in the platform store's keys; the aliases
//! say which kind of id a field holds.

/// A host name, e.g. `suwon-hall-draftsman-0`. Unique in the fleet.
pub type HostId = String;
/// An availability zone, e.g. `suwon-hall` or `hall-centro`.
pub type Zone = String;
/// A deployment's name, e.g. `draftsman` or `emite-cartao`.
pub type DeploymentName = String;
/// A model's name as callers send it in the `model` field.
pub type ModelName = String;
/// A batch job id, chosen by the gateway or derived from the client's job key.
pub type JobId = String;
/// A batch item's id, chosen by the client (`custom_id`), unique within its job.
pub type ItemId = String;
/// A request id carried end to end in the `x-request-id` header.
pub type RequestId = String;
/// A fingerprint of what a request asks for, whatever its id: see [`crate::fingerprint`].
pub type ContentFingerprint = String;
/// A version of an object in the platform store; a store-wide revision number.
pub type Version = u64;
/// A fencing number handed out with a lease; a holder with an older number is stale.
pub type FencingToken = u64;
/// The id under which a backend server lists itself; a restarted server may have the same.
pub type ServerId = String;
/// One start of a process or backend server under its id: when it started, in milliseconds
/// since the Unix epoch. 0 where that is not told.
pub type Incarnation = u64;
/// A service that routes send requests to, e.g. a model's deployment.
pub type ServiceName = String;
/// A process of the system, named after the host it runs on.
pub type NodeId = String;

//! Type aliases for ids that are exchanged between processes.
//!
//! Ids are plain strings in JSON and in the keys of the platform's store. The aliases state which
//! kind of id a field contains.

/// A host name, for example `suwon-hall-draftsman-0`; unique in the fleet.
pub type HostId = String;
/// An availability zone, for example `suwon-hall` or `hall-centro`.
pub type Zone = String;
/// The name of a deployment, for example `draftsman` or `emite-cartao`.
pub type DeploymentName = String;
/// The name of a model, as callers send it in the `model` field.
pub type ModelName = String;
/// The id of a batch job, chosen by the gateway or derived from the client's job key.
pub type JobId = String;
/// The id of a batch item, chosen by the client (`custom_id`); unique within its job.
pub type ItemId = String;
/// The id of a request, passed on from the caller to the backend in the `x-request-id` header.
pub type RequestId = String;
/// A fingerprint of the content of a request, which is the same when the request is sent again
/// under another id; see [`crate::fingerprint`].
pub type ContentFingerprint = String;
/// The id of a part of a prompt. Requests whose prompts share a part name it by the same id.
pub type PromptPartId = String;
/// The version of an object in the platform's store, a revision number of the whole store.
pub type Version = u64;
/// A fencing number issued with a lease. A holder with a smaller number than the newest has lost
/// the lease.
pub type FencingToken = u64;
/// The id under which a backend server registers itself. A server may keep its id when it
/// restarts.
pub type ServerId = String;
/// Distinguishes successive instances of a process or backend server with the same id: its start
/// time in milliseconds since the Unix epoch, or 0 if unknown.
pub type Incarnation = u64;
/// The version of a backend server's software, as the server reports it; opaque.
pub type SoftwareVersion = String;
/// The name of a service to which routes send requests, for example the deployment of a model.
pub type ServiceName = String;
/// The name of a front or worker process, which is the name of its host.
pub type NodeId = String;

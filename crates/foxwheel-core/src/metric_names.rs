//! Names of the counters and histograms that fronts and workers export.
//!
//! The names are defined here because fronts and workers write them and `foxwheel-ctl` reads
//! them.

use std::borrow::Cow;

/// Prefix of every metric name.
pub const PREFIX: &str = "foxwheel";

/// The kind of an online request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream,
}

/// How an online request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response was complete, and the response or the first event of a stream arrived within
    /// the target latency.
    OnTime,
    /// The response was complete but arrived later than the target latency.
    Late,
    /// The request was refused and did not run.
    Refused,
    /// The response was cut off, a server reported a failure, or the request timed out.
    Failed,
}

/// Why an online request was refused without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The front has no configuration yet.
    NoConfiguration,
    /// The front is shutting down.
    Stopping,
    /// The deadline passed before any server accepted the request.
    DeadlineExceeded,
    /// All slots and all allowed queue places of every server were in use.
    ServersFull,
    /// The front knows no server of the requested service.
    NoServer,
    /// Every server that was tried rejected the request.
    Rejected,
    /// The request content is quarantined because servers crashed while they ran it.
    Quarantined,
    /// The request resumes a stream that is not known, or whose service is not on the route.
    NotResumable,
    /// The process may not hold more for its callers.
    NoRoom,
}

/// The kind of a call to the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// Lists all objects of a kind.
    List,
    /// Watches the objects of a kind for changes.
    Watch,
    /// Reads one object.
    Get,
    /// Creates, replaces or deletes an object.
    Write,
    /// Checks whether the store responds, by a read that may return stale data.
    Probe,
}

/// A counter metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counter {
    /// Online requests that ended, by kind and outcome.
    Request(RequestKind, RequestOutcome),
    /// Online requests refused without being run, by reason.
    Refused(RefusalReason),
    /// Attempts at a server that did not succeed.
    AttemptFailed,
    /// Requests that were sent to a second server because the first one was silent.
    HedgeStarted,
    /// Requests that the second server went on with, and the first one was given up.
    HedgeWon,
    /// Streams that were resumed at another server after an interruption.
    StreamResumed,
    /// Requests whose callers resume a stream that an earlier request began.
    StreamResumedByCaller,
    /// Streams that were cut off and could not be resumed.
    StreamCutOff,
    /// Responses of backend servers whose end is marked only by the end of the connection.
    ResponseUntilClose,
    /// Responses of backend servers that belong to another request than the one that was sent last.
    ForeignResponse,
    /// Connections of callers that were closed because others needed their room.
    CallerClosedForRoom,
    /// Connections of callers that were closed because their callers sent or read nothing for too long.
    CallerTimedOut,
    /// Connections of callers that were closed at once because there was no room.
    CallerNotAccepted,
    /// Connections opened to backend servers.
    ServerConnection,
    /// Requests that were running when their backend server crashed. One crash is counted once
    /// for each request that ran there.
    CrashRecorded,
    /// Verdicts that servers crashed under a prompt part, counted again for each further crash.
    PartQuarantined,
    /// Runs of a quarantined request content or prompt part that show whether it still crashes its server.
    TrialStarted,
    /// Accepted jobs, including repeated submissions.
    JobAccepted,
    /// Jobs refused because they exceeded the quota.
    JobOverQuota,
    /// Runs of batch items that ended with a complete response.
    RunCompleted,
    /// Runs of batch items that were stopped to free their slots or because their job ended.
    RunPreempted,
    /// Runs of batch items that were not started because the request content is quarantined.
    RunQuarantined,
    /// Runs of batch items that ended in any other way.
    RunFailed,
    /// Calls to the platform's store that got a response, by kind.
    StoreCallSucceeded(StoreCall),
    /// Calls to the platform's store that failed, by kind.
    StoreCallFailed(StoreCall),
    /// Datagrams sent to peers, counted once for each recipient.
    PeerMessageSent,
    /// Bytes of the datagrams sent to peers.
    PeerBytesSent,
    /// Datagrams to peers that could not be sent.
    PeerMessageFailed,
    /// Datagrams received from peers.
    PeerMessageReceived,
    /// Bytes of the datagrams received from peers.
    PeerBytesReceived,
    /// Received heartbeats that could not be decoded.
    HeartbeatDecodeFailed,
    /// Heartbeats that could not be encoded and were not sent.
    HeartbeatEncodeFailed,
}

/// A latency histogram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timer {
    /// Time from an online request to its response, or to the first event of a stream.
    FirstResponse,
    /// Time from the submission of a job to its acceptance.
    JobAccept,
}

impl RequestKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Idempotent, Self::NonIdempotent, Self::Stream];

    /// Returns the part of the metric name that stands for this value.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Stream => "stream",
        }
    }
}

impl RequestOutcome {
    /// All outcomes.
    pub const ALL: [Self; 4] = [Self::OnTime, Self::Late, Self::Refused, Self::Failed];

    /// Returns the part of the metric name that stands for this value.
    pub fn name(self) -> &'static str {
        match self {
            Self::OnTime => "on_time",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Failed => "failed",
        }
    }
}

impl RefusalReason {
    /// Returns the part of the metric name that stands for this value.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "uninformed",
            Self::Stopping => "stopping",
            Self::DeadlineExceeded => "time_is_up",
            Self::ServersFull => "servers_full",
            Self::NoServer => "no_server",
            Self::Rejected => "rejected",
            Self::Quarantined => "quarantined",
            Self::NotResumable => "not_resumable",
            Self::NoRoom => "no_room",
        }
    }

    /// Returns the reason as log lines state it.
    pub fn text(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no configuration yet",
            Self::Stopping => "the front is stopping",
            Self::DeadlineExceeded => "time is up",
            Self::ServersFull => "all servers full",
            Self::NoServer => "no server",
            Self::Rejected => "all tried servers rejected it",
            Self::Quarantined => "servers crashed under it",
            Self::NotResumable => "the stream that it resumes is not known",
            Self::NoRoom => "no room for its body",
        }
    }
}

impl StoreCall {
    /// Returns the part of the metric name that stands for this value.
    pub fn name(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Watch => "watch",
            Self::Get => "get",
            Self::Write => "write",
            Self::Probe => "probe",
        }
    }
}

impl Counter {
    /// Returns the metric name without the prefix.
    pub fn name(self) -> Cow<'static, str> {
        let name = match self {
            Self::Request(kind, outcome) => {
                return format!("request.{}.{}", kind.name(), outcome.name()).into()
            }
            Self::Refused(reason) => return format!("refused.{}", reason.name()).into(),
            Self::StoreCallSucceeded(call) => return format!("store.{}.ok", call.name()).into(),
            Self::StoreCallFailed(call) => return format!("store.{}.failed", call.name()).into(),
            Self::AttemptFailed => "online.attempts_failed",
            Self::HedgeStarted => "online.second_servers",
            Self::HedgeWon => "online.second_servers_won",
            Self::StreamResumed => "stream.resumed",
            Self::StreamResumedByCaller => "stream.resumed_by_caller",
            Self::StreamCutOff => "stream.broken",
            Self::ResponseUntilClose => "server.responses_until_close",
            Self::ForeignResponse => "server.foreign_responses",
            Self::CallerClosedForRoom => "callers.closed_for_room",
            Self::CallerTimedOut => "callers.timed_out",
            Self::CallerNotAccepted => "callers.not_accepted",
            Self::ServerConnection => "server.connections",
            Self::CrashRecorded => "server.crashes_noted",
            Self::PartQuarantined => "server.parts_quarantined",
            Self::TrialStarted => "server.trials",
            Self::JobAccepted => "batch.accepted",
            Self::JobOverQuota => "batch.over_quota",
            Self::RunCompleted => "batch.runs_whole",
            Self::RunPreempted => "batch.runs_preempted",
            Self::RunQuarantined => "batch.runs_quarantined",
            Self::RunFailed => "batch.runs_failed",
            Self::PeerMessageSent => "peers.messages_sent",
            Self::PeerBytesSent => "peers.bytes_sent",
            Self::PeerMessageFailed => "peers.messages_unsent",
            Self::PeerMessageReceived => "peers.messages_heard",
            Self::PeerBytesReceived => "peers.bytes_heard",
            Self::HeartbeatDecodeFailed => "heartbeat.unreadable",
            Self::HeartbeatEncodeFailed => "heartbeat.unencodable",
        };
        name.into()
    }
}

impl Timer {
    /// Returns the metric name without the prefix.
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstResponse => "online.first_answer",
            Self::JobAccept => "batch.accept",
        }
    }
}

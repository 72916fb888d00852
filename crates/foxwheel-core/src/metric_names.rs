//! Names of the counters and histograms that fronts and workers serve.
//!
//! They stand in one place because the processes write them and `foxwheel-ctl` reads them.

use std::borrow::Cow;

/// What every name begins with.
pub const PREFIX: &str = "foxwheel";

/// A kind of online request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by events.
    Stream,
}

/// What became of an online request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered whole; the answer, or the first event of a stream, came within the target.
    OnTime,
    /// Answered whole, later than the target.
    Late,
    /// Refused as not run.
    Refused,
    /// Broken off, failed by a server, or out of time.
    Failed,
}

/// Why an online request was refused as not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The front is stopping.
    Stopping,
    /// Its time was up before any server took it.
    DeadlineExceeded,
    /// Every server was at its slots and queue allowance.
    ServersFull,
    /// No server of its service is known.
    NoServer,
    /// Every server that was tried turned it away.
    Rejected,
    /// Servers crashed under its content.
    Quarantined,
}

/// A call to the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// Every object of a kind.
    List,
    /// Changes of a kind.
    Watch,
    /// One object.
    Get,
    /// A creation or replacement.
    Write,
    /// Whether it answers, of data that may be old.
    Probe,
}

/// A counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counter {
    /// Online requests that ended.
    Request(RequestKind, RequestOutcome),
    /// Online requests refused as not run.
    Refused(RefusalReason),
    /// Attempts at a server that gave no success.
    AttemptFailed,
    /// Streams that went on at another server.
    StreamResumed,
    /// Streams that broke for good.
    StreamBroken,
    /// New connections to backend servers.
    ServerConnection,
    /// Requests at which a backend server crashed; one crash counts for each request there.
    CrashRecorded,
    /// Jobs accepted, repeats included.
    JobAccepted,
    /// Jobs refused for the quota.
    JobOverQuota,
    /// Runs of items that ended whole.
    RunCompleted,
    /// Runs of items stopped to free their slots, or because their job ended.
    RunPreempted,
    /// Items looked at that are not run, because servers crashed under them.
    RunQuarantined,
    /// Runs of items that ended otherwise.
    RunFailed,
    /// Calls to the platform's store that were answered.
    StoreCallSucceeded(StoreCall),
    /// Calls to the platform's store that failed.
    StoreCallFailed(StoreCall),
    /// Datagrams sent to peers, one for each recipient.
    PeerMessageSent,
    /// Bytes of those datagrams.
    PeerBytesSent,
    /// Datagrams received from peers.
    PeerMessageReceived,
    /// Bytes of those datagrams.
    PeerBytesReceived,
    /// Heartbeats that could not be read.
    HeartbeatDecodeFailed,
    /// Heartbeats that could not be written.
    HeartbeatEncodeFailed,
}

/// A latency histogram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timer {
    /// From an online request to its answer, of a stream to its first event.
    FirstResponse,
    /// From a submission to its acceptance.
    JobAccept,
}

impl RequestKind {
    /// Every kind.
    pub const ALL: [Self; 3] = [Self::Idempotent, Self::NonIdempotent, Self::Stream];

    /// Its part of a name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Stream => "stream",
        }
    }
}

impl RequestOutcome {
    /// Every outcome.
    pub const ALL: [Self; 4] = [Self::OnTime, Self::Late, Self::Refused, Self::Failed];

    /// Its part of a name.
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
    /// Its part of a name.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "uninformed",
            Self::Stopping => "stopping",
            Self::DeadlineExceeded => "time_is_up",
            Self::ServersFull => "servers_full",
            Self::NoServer => "no_server",
            Self::Rejected => "rejected",
            Self::Quarantined => "quarantined",
        }
    }

    /// The reason in a log line.
    pub fn text(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no configuration yet",
            Self::Stopping => "the front is stopping",
            Self::DeadlineExceeded => "time is up",
            Self::ServersFull => "all servers full",
            Self::NoServer => "no server",
            Self::Rejected => "all tried servers rejected it",
            Self::Quarantined => "servers crashed under it",
        }
    }
}

impl StoreCall {
    /// Its part of a name.
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
    /// Its name behind the prefix.
    pub fn name(self) -> Cow<'static, str> {
        let name = match self {
            Self::Request(kind, outcome) => {
                return format!("request.{}.{}", kind.name(), outcome.name()).into()
            }
            Self::Refused(reason) => return format!("refused.{}", reason.name()).into(),
            Self::StoreCallSucceeded(call) => return format!("store.{}.ok", call.name()).into(),
            Self::StoreCallFailed(call) => return format!("store.{}.failed", call.name()).into(),
            Self::AttemptFailed => "online.attempts_failed",
            Self::StreamResumed => "stream.resumed",
            Self::StreamBroken => "stream.broken",
            Self::ServerConnection => "server.connections",
            Self::CrashRecorded => "server.crashes_noted",
            Self::JobAccepted => "batch.accepted",
            Self::JobOverQuota => "batch.over_quota",
            Self::RunCompleted => "batch.runs_whole",
            Self::RunPreempted => "batch.runs_preempted",
            Self::RunQuarantined => "batch.runs_quarantined",
            Self::RunFailed => "batch.runs_failed",
            Self::PeerMessageSent => "peers.messages_sent",
            Self::PeerBytesSent => "peers.bytes_sent",
            Self::PeerMessageReceived => "peers.messages_heard",
            Self::PeerBytesReceived => "peers.bytes_heard",
            Self::HeartbeatDecodeFailed => "heartbeat.unreadable",
            Self::HeartbeatEncodeFailed => "heartbeat.unencodable",
        };
        name.into()
    }
}

impl Timer {
    /// Its name behind the prefix.
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstResponse => "online.first_answer",
            Self::JobAccept => "batch.accept",
        }
    }
}

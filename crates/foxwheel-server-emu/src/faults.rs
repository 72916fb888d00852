//! Faults that the emulated server can show, and the script that assigns them to requests.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use hyper::StatusCode;

use crate::unframed::UnframedResponse;

/// The fault of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault: the request is served.
    None,
    /// The request is rejected as not run, as by a full server.
    Reject,
    /// The request runs and the response has status 500.
    Fail,
    /// The request runs and the response has status 422: it can never succeed.
    Impossible,
    /// The request runs and the connection closes without a response.
    LoseResponse,
    /// The request runs and no response is ever sent, while the connection stays open.
    Stall,
    /// The request runs and the connection closes after this number of events.
    CutAfter(u64),
    /// The request runs and the connection closes in the middle of the event that follows this
    /// number of events.
    CutWithin(u64),
    /// The request runs and the stream sends nothing after this number of events, while the
    /// connection stays open.
    StallAfter(u64),
    /// The request runs and the stream sends nothing for a while after this number of events. Then it
    /// goes on.
    PauseAfter(u64, Duration),
    /// The request runs and the stream sends nothing for a while in the middle of the event that follows
    /// this number of events. Then it goes on.
    PauseWithin(u64, Duration),
    /// The request runs and the server crashes after it sent this number of events.
    CrashAfter(u64),
    /// The response carries the id of another request.
    ForeignId,
    /// The response has no signature.
    Unsigned,
    /// The body of the response is shorter than its `content-length`.
    Truncate,
    /// The response has this status, and a copy of it is sent on the same connection right before the
    /// next response. With a status that rejects it, the request does not run.
    Repeat(StatusCode),
    /// The request runs and the response has neither a length nor chunks.
    Unframed(UnframedResponse),
}

impl Fault {
    /// Returns the status with which a request is rejected as not run; `None` if it runs.
    pub(crate) fn rejection(self) -> Option<StatusCode> {
        let rejections = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ];
        match self {
            Self::Reject => Some(StatusCode::SERVICE_UNAVAILABLE),
            Self::Repeat(status) => rejections.contains(&status).then_some(status),
            _ => None,
        }
    }
}

/// The faults of the next requests, one each in the order of arrival. Once the script is empty,
/// requests have its fallback, and are served without fault if it has none.
#[derive(Debug, Default)]
pub struct FaultScript {
    faults: Mutex<VecDeque<Fault>>,
    fallback: Mutex<Option<Fault>>,
}

impl FaultScript {
    /// Appends faults to the script.
    pub fn extend(&self, faults: impl IntoIterator<Item = Fault>) {
        self.faults.lock().expect("script lock").extend(faults);
    }

    /// Removes all faults that no request has used yet.
    pub fn clear(&self) {
        self.faults.lock().expect("script lock").clear();
    }

    /// Sets or removes the fault of all requests for which the script has none.
    pub fn set_fallback(&self, fallback: Option<Fault>) {
        *self.fallback.lock().expect("fallback lock") = fallback;
    }

    /// Removes and returns the next fault. Returns the fallback if the script is empty, or
    /// [`Fault::None`].
    pub fn next_fault(&self) -> Fault {
        let next = self.faults.lock().expect("script lock").pop_front();
        let fault = next.or_else(|| *self.fallback.lock().expect("fallback lock"));
        fault.unwrap_or(Fault::None)
    }
}

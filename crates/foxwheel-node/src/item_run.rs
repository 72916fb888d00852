//! One run of a batch item at a backend server.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_core::ids::JobId;
use foxwheel_core::metric_names::Counter;
use foxwheel_platform::online::{self, Attempt};
use foxwheel_policy::batch::item::{ItemSpec, PartialOutput, RunEnd};
use foxwheel_policy::retry::AttemptOutcome;
use hyper::{Method, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::attempt::{self, BodyFrame, OpenResponse, Target};
use crate::event_stream::EventSplitter;
use crate::load_table::InFlight;
use crate::node::Node;
use crate::request_content::RequestContent;

/// Longest wait for the first event: an engine that does not begin within it is full.
const FIRST_EVENT_PATIENCE: Duration = Duration::from_millis(4_000);

/// How long an item may wait behind online requests that came in the same step before its
/// server counts as silent.
const EXPECTED_WAIT: Duration = Duration::from_millis(1_000);

/// Longest pause between events before the run goes on elsewhere.
const EVENT_PATIENCE: Duration = Duration::from_millis(1_500);

/// An item's output, shared between its run and the checkpoints of its worker.
pub type SharedOutput = Arc<Mutex<PartialOutput>>;

/// What to run and where.
#[derive(Debug)]
pub struct ItemRun {
    /// The item's job, for the log.
    pub job: JobId,
    /// Host header of the job's route.
    pub host: String,
    /// The item.
    pub item: ItemSpec,
    /// Output of earlier runs; the run appends to it.
    pub output: SharedOutput,
    /// The slot taken at the server.
    pub slot: InFlight,
    /// Cancelled to free the slot or when the job ends.
    pub cancel: CancellationToken,
}

/// Runs the item; answers how the run ended.
pub async fn run_item(node: Arc<Node>, run: ItemRun) -> RunEnd {
    let server = run.slot.server().clone();
    let ItemRun {
        job,
        host,
        item,
        output,
        slot,
        cancel,
    } = run;
    let started = Instant::now();
    let resumed_after = last_event_id(&output);
    let running = run_to_end(&node, &host, &item, slot, &output);
    let (end, reason) = tokio::select! {
        biased;
        ended = running => ended,
        () = cancel.cancelled() => (RunEnd::Preempted, "slot needed or job ended".to_owned()),
    };
    let took_ms = started.elapsed().as_millis() as u64;
    log::info!(request_id = item.id, job, server = server.id, end:? = end, reason, resumed_after, last_event = last_event_id(&output), took_ms; "item run ended");
    node.metrics.incr(match end {
        RunEnd::Whole => Counter::RunWhole,
        RunEnd::Preempted => Counter::RunPreempted,
        RunEnd::Quarantined => Counter::RunQuarantined,
        _ => Counter::RunFailed,
    });
    end
}

fn last_event_id(output: &SharedOutput) -> Option<u64> {
    output.lock().expect("output lock").last_event_id
}

async fn run_to_end(
    node: &Arc<Node>,
    host: &str,
    item: &ItemSpec,
    slot: InFlight,
    output: &SharedOutput,
) -> (RunEnd, String) {
    let attempt = Attempt {
        server: &slot.server().id,
        time_left: None,
        last_event_id: last_event_id(output),
    };
    let request = match online::item_request(item, host, attempt) {
        Ok(request) => request,
        Err(e) => return (RunEnd::Impossible, format!("not a valid request: {e}")),
    };
    let body = Bytes::from(item.body.clone());
    let content = RequestContent::new(Method::POST.as_str(), host, &item.path, body);
    if !node.can_run_item(&content, Instant::now()) {
        // It waits for a trial, or until its route lets it be given up.
        return (RunEnd::Quarantined, "servers crashed under it".to_owned());
    }
    let target = Target {
        slot,
        request_id: item.id.clone(),
        content: Arc::new(content),
        expected_wait: EXPECTED_WAIT,
        deadline: Instant::now() + FIRST_EVENT_PATIENCE,
        head_deadline: None,
    };
    match attempt::send(node, target, request).await {
        Ok(answer) => read_answer(answer, output).await,
        Err(failure) => match failure.outcome {
            AttemptOutcome::NotSent | AttemptOutcome::Gone | AttemptOutcome::Rejected => {
                (RunEnd::NotRun, failure.reason)
            }
            AttemptOutcome::Failed | AttemptOutcome::Unknown => (RunEnd::Broken, failure.reason),
        },
    }
}

async fn read_answer(mut answer: OpenResponse, output: &SharedOutput) -> (RunEnd, String) {
    let status = answer.decoded_head.status;
    if status.is_success() && !answer.decoded_head.not_run {
        return read_events(answer, output).await;
    }
    let end = match status {
        _ if answer.decoded_head.not_run => RunEnd::NotRun,
        StatusCode::UNPROCESSABLE_ENTITY => RunEnd::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed,
        _ => RunEnd::Broken,
    };
    let whole = answer.read_full_body(Instant::now() + EVENT_PATIENCE).await;
    if whole.is_ok() {
        answer.finish();
    }
    (end, format!("server answered {}", status.as_u16()))
}

async fn read_events(mut answer: OpenResponse, output: &SharedOutput) -> (RunEnd, String) {
    let mut splitter = EventSplitter::default();
    let mut patience = FIRST_EVENT_PATIENCE;
    loop {
        match answer.next_frame(Instant::now() + patience).await {
            BodyFrame::Data(data) => splitter.push(&data),
            BodyFrame::End if splitter.has_partial_event() => {
                return (RunEnd::Broken, "ended within an event".to_owned())
            }
            BodyFrame::End if last_event_id(output).is_none() => {
                return (RunEnd::Broken, "ended without an event".to_owned())
            }
            BodyFrame::End => {
                answer.finish();
                return (RunEnd::Whole, String::new());
            }
            BodyFrame::CutOff(reason) => return (RunEnd::Broken, reason),
        }
        patience = EVENT_PATIENCE;
        while let Some(event) = splitter.next_event() {
            let Some(id) = event.id else { continue };
            let mut output = output.lock().expect("output lock");
            if !output.push(id, &event.data()) {
                let last = output.last_event_id;
                return (RunEnd::Broken, format!("event {id} follows event {last:?}"));
            }
        }
    }
}

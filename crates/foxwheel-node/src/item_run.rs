//! Runs a batch item once at a backend server and collects its output.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_core::ids::{JobId, SoftwareVersion};
use foxwheel_core::metric_names::Counter;
use foxwheel_event_stream::splitter::EventSplitter;
use foxwheel_http1::body::ExpectedEvents;
use foxwheel_platform::online::{self, Attempt};
use foxwheel_policy::batch::item::{ItemSpec, PartialOutput, RunEnd};
use foxwheel_policy::retry::AttemptOutcome;
use hyper::{Method, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::attempt::{self, AttemptParams, BodyFrame, OpenResponse};
use crate::load_table::InFlight;
use crate::node::Node;
use crate::part_quarantine::RunRefusal;
use crate::request_content::RequestContent;

/// Time limit for the first event of a run. An engine that does not start within it has no
/// free slot.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(4_000);

/// How long an item may wait behind online requests that arrived in the same engine step
/// before its server counts as silent.
const EXPECTED_WAIT: Duration = Duration::from_millis(1_000);

/// Maximum time between two complete events, however many bytes arrive meanwhile. When it passes, the
/// run ends and the item continues at another server.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest output of an item. No model writes as much; a server that does sends no response.
const MAX_OUTPUT_BYTES: usize = 4 * 1024 * 1024;

/// The output of an item, shared between its run and the checkpoints of its worker.
pub type SharedOutput = Arc<Mutex<PartialOutput>>;

/// A batch item and the slot at a backend server where it runs.
#[derive(Debug)]
pub struct ItemRun {
    /// The item's job; only written to the log.
    pub job: JobId,
    /// Value of the `host` header: the host of the job's route.
    pub host: String,
    /// The item to run.
    pub item: ItemSpec,
    /// Output of earlier runs. This run resumes behind its last event and appends to it.
    pub output: SharedOutput,
    /// The slot that the run occupies at its server.
    pub slot: InFlight,
    /// Cancelled to stop the run when its slot is needed or its job ends.
    pub cancel: CancellationToken,
}

/// Runs the item once and returns how the run ended.
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
    let started_at = Instant::now();
    let resumed_after = last_event_id(&output);
    let version = node.listed_server(&server).map(|server| server.version);
    let list_age = node.server_list_age(started_at);
    let list_age_ms = list_age.map(|age| age.as_millis() as u64);
    let running = send_and_read(&node, &host, &item, slot, &output);
    let (end, reason) = tokio::select! {
        biased;
        ended = running => ended,
        () = cancel.cancelled() => (RunEnd::Preempted, "its slot was needed or its job ended".to_owned()),
    };
    let took_ms = started_at.elapsed().as_millis() as u64;
    log::info!(request_id = item.id, job, server = server.id, version, list_age_ms, end:? = end, reason, resumed_after, last_event = last_event_id(&output), took_ms; "item run ended");
    node.metrics.incr(match end {
        RunEnd::Whole => Counter::RunCompleted,
        RunEnd::Preempted => Counter::RunPreempted,
        RunEnd::Quarantined(_) => Counter::RunQuarantined,
        _ => Counter::RunFailed,
    });
    end
}

fn last_event_id(output: &SharedOutput) -> Option<u64> {
    output.lock().expect("output lock").last_event_id
}

/// Returns the version of the servers that may resume after the last event.
fn resumed_version(output: &SharedOutput) -> Option<SoftwareVersion> {
    let output = output.lock().expect("output lock");
    let origin = output.resumable_origin();
    origin.map(|origin| origin.version.clone())
}

async fn send_and_read(
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
    let body = item.body.clone();
    let shared_parts = online::shared_prompt_parts(request.headers());
    let content = Arc::new(RequestContent::new(
        Method::POST.as_str(),
        host,
        &item.path,
        body,
        shared_parts,
    ));
    let listed = node.listed_server(slot.server());
    let service = listed.map(|server| server.service).unwrap_or_default();
    let (_parts_run, mut trial) = match node.begin_item_run(&content, &service, Instant::now()) {
        Ok(started) => started,
        Err(refusal) => return refused_run(refusal),
    };
    if trial.is_some() {
        log::info!(request_id = item.id, content = content.fingerprint(), server = slot.server().id; "trial of a quarantined request");
        node.metrics.incr(Counter::TrialStarted);
    }
    let params = AttemptParams {
        slot,
        required_version: resumed_version(output),
        request_id: item.id.clone(),
        content,
        expected_events: Some(ExpectedEvents::after(last_event_id(output))),
        expected_wait: EXPECTED_WAIT,
        deadline: Instant::now() + FIRST_EVENT_TIMEOUT,
    };
    match attempt::send(node, params, request).await {
        Ok(response) => read_response(response, output).await,
        Err(failure) => {
            if let Some(trial) = &mut trial {
                trial.record_failure(failure.outcome);
            }
            match failure.outcome {
                AttemptOutcome::NotSent | AttemptOutcome::Gone | AttemptOutcome::Rejected => {
                    (RunEnd::NotRun, failure.reason)
                }
                AttemptOutcome::Failed | AttemptOutcome::Unknown => {
                    (RunEnd::Broken, failure.reason)
                }
            }
        }
    }
}

/// Returns how a run ends that was not permitted. The item waits until it may be tried again.
fn refused_run(refusal: RunRefusal) -> (RunEnd, String) {
    let end = match refusal.time_left {
        Some(time_left) => RunEnd::Quarantined(time_left),
        None => RunEnd::NotRun,
    };
    let reason = match refusal.part {
        Some(part) => format!("servers crashed under prompt part {part}"),
        None => "servers crashed under it".to_owned(),
    };
    (end, reason)
}

async fn read_response(response: OpenResponse, output: &SharedOutput) -> (RunEnd, String) {
    let status = response.decoded_head.status;
    if status.is_success() && !response.decoded_head.not_run {
        output.lock().expect("output lock").begin(&response.origin);
        return read_events(response, output).await;
    }
    let end = match status {
        _ if response.decoded_head.not_run => RunEnd::NotRun,
        StatusCode::UNPROCESSABLE_ENTITY => RunEnd::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed,
        _ => RunEnd::Broken,
    };
    response.discard_body(Instant::now() + EVENT_TIMEOUT).await;
    (end, format!("server answered {}", status.as_u16()))
}

async fn read_events(mut response: OpenResponse, output: &SharedOutput) -> (RunEnd, String) {
    if !response.body().is_event_stream() {
        response.record_failure();
        return (RunEnd::Broken, "response is no stream of events".to_owned());
    }
    let mut splitter = EventSplitter::default();
    let mut event_deadline = Instant::now() + FIRST_EVENT_TIMEOUT;
    loop {
        match response.next_frame(event_deadline).await {
            BodyFrame::Data(data) => splitter.push(&data),
            BodyFrame::End if last_event_id(output).is_none() => {
                return (RunEnd::Broken, "stream ended without an event".to_owned())
            }
            BodyFrame::End => {
                response.finish();
                return (RunEnd::Whole, String::new());
            }
            BodyFrame::CutOff(reason) => return (RunEnd::Broken, reason),
            BodyFrame::TimedOut => return (RunEnd::Broken, attempt::DEADLINE_PASSED.to_owned()),
        }
        while let Some(event) = splitter.next_event() {
            let Some(id) = event.id else { continue };
            event_deadline = Instant::now() + EVENT_TIMEOUT;
            let mut output = output.lock().expect("output lock");
            if !output.push_event(id, &event.data()) {
                let last = output.last_event_id;
                return (RunEnd::Broken, format!("event {id} follows event {last:?}"));
            }
            if output.text.len() > MAX_OUTPUT_BYTES {
                *output = PartialOutput::default();
                response.record_failure();
                let reason = format!("output of more than {MAX_OUTPUT_BYTES} bytes");
                return (RunEnd::Broken, reason);
            }
        }
    }
}

//! Replays submissions of jobs beside a ledger writer that freezes. Load pattern: fronts relay
//! submissions to one of two workers, give up waiting at any moment and decide by themselves. What
//! they relayed reaches the worker, and what is written reaches the store, at any later moment.

mod common;

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use foxwheel_policy::batch::ledger::{
    Admission, JobStatus, Ledger, LedgerChange, LedgerResponse, LedgerTerm, RelayedChange,
    RelayedResponse,
};

const NOW: Duration = Duration::from_secs(1_000);
const QUOTA_TOKENS: u64 = 100;
const WORKERS: [&str; 2] = ["worker-1", "worker-2"];
const FRONTS: usize = 3;

fn admit(job: &str) -> LedgerChange {
    LedgerChange::Admit {
        id: job.to_owned(),
        route: "route".to_owned(),
        tokens: 40,
        quota_tokens: QUOTA_TOKENS,
        now_unix: NOW,
        is_stored: false,
        max_ledger_bytes: 1_000_000,
    }
}

fn close(job: &str) -> LedgerChange {
    LedgerChange::Close {
        id: job.to_owned(),
        now_unix: NOW,
    }
}

fn relayed(change: LedgerChange, term: LedgerTerm) -> RelayedChange {
    RelayedChange { change, term }
}

const REFUSED: LedgerResponse = LedgerResponse::Admission(Admission::OverQuota);
const ACCEPTED: LedgerResponse = LedgerResponse::Admission(Admission::Accepted);

/// Returns a ledger in a term of the first worker in which two jobs fill the quota.
fn full_ledger() -> Ledger {
    let mut ledger = Ledger::default();
    ledger.begin_term(WORKERS[0]);
    for job in ["a", "b"] {
        assert_eq!(ledger.apply(&admit(job)), ACCEPTED);
    }
    ledger
}

/// Guards against a job that runs although its client was refused: the frozen writer admitted it
/// when it resumed and other jobs had finished.
#[test]
fn submission_refused_without_the_writer_is_not_admitted_later() {
    let mut ledger = full_ledger();
    let late = relayed(admit("c"), ledger.term);
    assert_eq!(
        ledger.apply_directly(&late.change, Some(late.term)),
        REFUSED
    );
    ledger.apply_directly(&close("a"), None);
    assert_eq!(
        ledger.apply_relayed(&late, WORKERS[0]),
        RelayedResponse::Outdated(ledger.term)
    );
    ledger.begin_term(WORKERS[0]);
    assert_eq!(
        ledger.apply_relayed(&late, WORKERS[0]),
        RelayedResponse::Outdated(ledger.term)
    );
    assert_eq!(ledger.job_status("c"), JobStatus::Unknown);
    // The client's next attempt is accepted, and only that one holds.
    let retry = relayed(admit("c"), ledger.term);
    assert_eq!(
        ledger.apply_relayed(&retry, WORKERS[0]),
        RelayedResponse::Applied(ACCEPTED)
    );
}

/// The front that relayed the first attempt died, so that only the second one is answered.
#[test]
fn submission_refused_at_another_front_or_worker_is_not_admitted_later() {
    let mut by_front = full_ledger();
    let late = relayed(admit("c"), by_front.term);
    let mut by_worker = by_front.clone();
    assert_eq!(by_front.apply_directly(&late.change, None), REFUSED);
    by_worker.begin_term(WORKERS[1]);
    let retry = relayed(admit("c"), by_worker.term);
    let refused = by_worker.apply_relayed(&retry, WORKERS[1]);
    assert_eq!(refused, RelayedResponse::Applied(REFUSED));
    for mut ledger in [by_front, by_worker] {
        ledger.apply_directly(&close("a"), None);
        let applied = ledger.apply_relayed(&late, WORKERS[0]);
        assert_eq!(applied, RelayedResponse::Outdated(ledger.term));
    }
}

/// What the process may still have relayed ends with its decision also if that is another one.
#[test]
fn change_made_without_the_writer_ends_the_term_in_which_it_was_relayed() {
    let mut ledger = full_ledger();
    let term = ledger.term;
    ledger.apply_directly(&close("a"), None);
    assert_eq!(ledger.term, term, "nothing was relayed");
    ledger.apply_directly(&close("b"), Some(term));
    assert_eq!((ledger.term, ledger.writer.as_ref()), (term + 1, None));
    ledger.apply_directly(&close("b"), Some(term));
    assert_eq!(ledger.term, term + 1, "the term is over already");
}

#[test]
fn ledger_without_terms_is_readable() {
    let stored = r#"{"open":[],"closed":[]}"#;
    let mut ledger: Ledger = serde_json::from_str(stored).expect("it decodes");
    assert_eq!((ledger.term, ledger.writer.as_ref()), (0, None));
    let outdated = RelayedResponse::Outdated(0);
    let change = relayed(admit("a"), 0);
    assert_eq!(ledger.apply_relayed(&change, WORKERS[0]), outdated);
}

/// What a front told the client of one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Waiting,
    Accepted,
    Refused,
    /// The front failed or could not tell.
    Unknown,
}

struct Submission {
    job: String,
    answer: Answer,
    /// The term in which the change was relayed last.
    relayed_in: Option<LedgerTerm>,
}

/// A relayed change on its way to a worker or in its memory.
struct Message {
    worker: usize,
    submission: usize,
    change: RelayedChange,
}

#[derive(Default)]
struct StoredLedger {
    revision: u64,
    ledger: Ledger,
}

#[derive(Default)]
struct Replay {
    stored: StoredLedger,
    /// Writes that reach the store later, if the revision is still the same.
    late_writes: Vec<(u64, Ledger)>,
    /// The ledger that each worker knows, with its revision.
    cached: [(u64, Ledger); WORKERS.len()],
    known_terms: [LedgerTerm; FRONTS],
    submissions: Vec<Submission>,
    messages: Vec<Message>,
    job_count: usize,
}

impl Replay {
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=9)? {
            0 | 1 => self.submit(u),
            2..=4 => self.write_batch(u),
            5 | 6 => self.decide_without_writer(u),
            7 => {
                if !self.late_writes.is_empty() {
                    let at = u.choose_index(self.late_writes.len())?;
                    let (revision, ledger) = self.late_writes.swap_remove(at);
                    self.replace(revision, ledger);
                }
                Ok(())
            }
            8 => self.close_job(u),
            _ => self.lose_client(u),
        }
    }

    fn replace(&mut self, revision: u64, ledger: Ledger) -> bool {
        let is_current = revision == self.stored.revision;
        if is_current {
            self.stored.revision += 1;
            self.stored.ledger = ledger;
        }
        is_current
    }

    /// Submits a new job, or one again that was refused or not answered.
    fn submit(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let is_retry = |submission: &&Submission| {
            matches!(submission.answer, Answer::Refused | Answer::Unknown)
        };
        let retries: Vec<String> = self
            .submissions
            .iter()
            .filter(is_retry)
            .map(|submission| submission.job.clone())
            .collect();
        let job = match retries.is_empty() || u.ratio(1, 2)? {
            true => {
                self.job_count += 1;
                format!("job-{}", self.job_count)
            }
            false => u.choose(&retries)?.clone(),
        };
        self.submissions.push(Submission {
            job,
            answer: Answer::Waiting,
            relayed_in: None,
        });
        let front = u.choose_index(FRONTS)?;
        let worker = u.choose_index(WORKERS.len())?;
        self.relay(self.submissions.len() - 1, worker, self.known_terms[front]);
        Ok(())
    }

    fn relay(&mut self, submission: usize, worker: usize, term: LedgerTerm) {
        let change = relayed(admit(&self.submissions[submission].job), term);
        self.submissions[submission].relayed_in = Some(term);
        self.messages.push(Message {
            worker,
            submission,
            change,
        });
    }

    /// A worker writes some of the changes that reached it, based on the ledger that it knows. The
    /// write may be late, and responses may be lost.
    fn write_batch(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let worker = u.choose_index(WORKERS.len())?;
        let mut batch = Vec::new();
        for at in (0..self.messages.len()).rev() {
            if self.messages[at].worker == worker && u.ratio(1, 2)? {
                batch.push(self.messages.swap_remove(at));
            }
        }
        if batch.is_empty() {
            return Ok(());
        }
        let is_cached = u.ratio(1, 2)?;
        let mut base = match is_cached {
            true => self.cached[worker].clone(),
            false => (self.stored.revision, self.stored.ledger.clone()),
        };
        let responses = loop {
            let mut ledger = base.1.clone();
            if ledger.writer.as_deref() != Some(WORKERS[worker]) {
                ledger.begin_term(WORKERS[worker]);
            }
            let responses: Vec<RelayedResponse> = batch
                .iter()
                .map(|message| ledger.apply_relayed(&message.change, WORKERS[worker]))
                .collect();
            let current = (self.stored.revision, self.stored.ledger.clone());
            if ledger == base.1 && base.0 == current.0 {
                break responses;
            }
            if ledger != base.1 && u.ratio(1, 4)? {
                self.late_writes.push((base.0, ledger));
                return Ok(());
            }
            if ledger != base.1 && self.replace(base.0, ledger) {
                break responses;
            }
            base = current;
        };
        self.cached[worker] = (self.stored.revision, self.stored.ledger.clone());
        for (message, response) in batch.into_iter().zip(responses) {
            if u.ratio(3, 4)? {
                self.receive(message, response);
            }
        }
        Ok(())
    }

    fn receive(&mut self, message: Message, response: RelayedResponse) {
        let submission = &mut self.submissions[message.submission];
        if submission.answer != Answer::Waiting
            || submission.relayed_in != Some(message.change.term)
        {
            return;
        }
        match response {
            RelayedResponse::Applied(REFUSED) => submission.answer = Answer::Refused,
            RelayedResponse::Applied(_) => submission.answer = Answer::Accepted,
            RelayedResponse::Outdated(term) => {
                for known in &mut self.known_terms {
                    *known = (*known).max(term);
                }
                self.relay(message.submission, message.worker, term);
            }
        }
    }

    /// A front stops waiting for the ledger writer.
    fn decide_without_writer(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let waiting: Vec<usize> = (0..self.submissions.len())
            .filter(|at| self.submissions[*at].answer == Answer::Waiting)
            .collect();
        if waiting.is_empty() {
            return Ok(());
        }
        let at = *u.choose(&waiting)?;
        let change = admit(&self.submissions[at].job);
        let relayed_in = self.submissions[at].relayed_in;
        let mut ledger = self.stored.ledger.clone();
        let response = ledger.apply_directly(&change, relayed_in);
        if ledger != self.stored.ledger {
            if u.ratio(1, 5)? {
                self.late_writes.push((self.stored.revision, ledger));
                self.submissions[at].answer = Answer::Unknown;
                return Ok(());
            }
            self.replace(self.stored.revision, ledger);
        }
        self.submissions[at].answer = match response == REFUSED {
            true => Answer::Refused,
            false => Answer::Accepted,
        };
        Ok(())
    }

    fn close_job(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let open = &self.stored.ledger.open;
        if !open.is_empty() {
            let job = open[u.choose_index(open.len())?].id.clone();
            let mut ledger = self.stored.ledger.clone();
            ledger.apply_directly(&close(&job), None);
            self.replace(self.stored.revision, ledger);
        }
        Ok(())
    }

    /// A front dies, so that a submission is never answered.
    fn lose_client(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.submissions.is_empty() {
            let at = u.choose_index(self.submissions.len())?;
            let submission = &mut self.submissions[at];
            if submission.answer == Answer::Waiting {
                submission.answer = Answer::Unknown;
            }
        }
        Ok(())
    }

    fn check(&self) {
        let ledger = &self.stored.ledger;
        assert!(ledger.unfinished_tokens("route") <= QUOTA_TOKENS);
        for open in &ledger.open {
            let mut attempts = self.submissions.iter().filter(|it| it.job == open.id);
            assert!(
                attempts.any(|attempt| attempt.answer != Answer::Refused),
                "{} was refused at every attempt and is admitted",
                open.id
            );
        }
        for submission in &self.submissions {
            assert!(
                submission.answer != Answer::Accepted
                    || ledger.job_status(&submission.job) != JobStatus::Unknown,
                "{} was accepted and is not in the ledger",
                submission.job
            );
        }
    }
}

/// Whatever is late or lost, a job that was refused at every attempt is not admitted, and an
/// accepted one stays in the ledger.
#[test]
fn refused_submissions_are_never_admitted_by_late_changes() {
    let (mut accepted, mut refused) = (0, 0);
    common::run_seeded_cases(120, 3_000, |u| {
        let mut replay = Replay::default();
        while !u.is_empty() {
            replay.step(u)?;
            replay.check();
        }
        let answered = |answer| {
            let mut submissions = replay.submissions.iter();
            submissions
                .by_ref()
                .filter(|it| it.answer == answer)
                .count()
        };
        accepted += answered(Answer::Accepted);
        refused += answered(Answer::Refused);
        Ok(())
    });
    assert!(accepted > 1_000 && refused > 1_000, "{accepted}, {refused}");
}

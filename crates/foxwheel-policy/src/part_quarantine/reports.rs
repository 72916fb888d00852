//! What processes report to each other of crashes and the parts of prompts.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use foxwheel_core::ids::{NodeId, PromptPartId, ServiceName};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::part_quarantine::crashes::CrashedServer;
use crate::part_quarantine::trials::PartTrial;
use crate::part_quarantine::CutOffRequestKey;
use crate::quarantine::{QuarantineDigest, RunKind};
use crate::zone_loads::ServerFingerprint;

/// A run that was cut off by the crash of its server.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The request.
    pub request: CutOffRequestKey,
    /// Time between sending the request to the server and the crash.
    #[serde(rename = "ran_for_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ran_for: Duration,
    /// The shared parts of its prompt.
    pub parts: Vec<PromptPartId>,
    /// The kind of the run.
    #[serde(default)]
    pub kind: RunKind,
}

/// The crash of a server.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrashReport {
    /// The server instance.
    pub server: ServerFingerprint,
    /// Its service.
    pub service: ServiceName,
    /// Time since the crash.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// The runs that were cut off.
    pub runs: Vec<RunReport>,
    /// Parts of the runs that a server responded to after the crash.
    pub cleared: Vec<PromptPartId>,
}

/// The trial of a blamed part.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartTrialReport {
    /// The service.
    pub service: ServiceName,
    /// The part.
    pub part: PromptPartId,
    /// Increases with each trial of the part.
    pub sequence: u32,
    /// The process that has the trial.
    pub process: NodeId,
    /// Time since the trial began.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// All that a process knows of crashes and the parts of prompts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEvidence {
    /// The crashes.
    pub crashes: Vec<PartCrashReport>,
    /// Parts in `crashes` that a server of the service responded to before.
    pub succeeded_before: Vec<(ServiceName, PromptPartId)>,
    /// The trials that began last.
    pub trials: Vec<PartTrialReport>,
}

/// Returns the digest of what a process knows, which does not depend on its clock; 0 if there is
/// nothing.
pub fn digest_of<'a>(
    crashes: &[CrashedServer],
    succeeded_before: &[(ServiceName, PromptPartId)],
    trials: impl Iterator<Item = &'a PartTrial>,
) -> QuarantineDigest {
    if crashes.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    for crash in crashes {
        crash.server.hash(&mut hasher);
        crash.cleared.hash(&mut hasher);
        for run in &crash.runs {
            run.request.hash(&mut hasher);
        }
    }
    succeeded_before.hash(&mut hasher);
    for trial in trials {
        (&trial.service, &trial.part, trial.sequence, &trial.process).hash(&mut hasher);
    }
    hasher.finish()
}

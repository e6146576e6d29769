//! Everything about one object, in lines.

use pistachiostair::{Account, Condition, Guarantee, Job, Member, Metadata, Worker};

use crate::output::clean;
use crate::table::{dash, optional, word};

const INDENT: usize = 16;

/// Names and values in the order in which they are shown.
pub(crate) type Details = Vec<(&'static str, String)>;

/// An object that can be shown in full.
pub(crate) trait Describe {
    /// Its details.
    fn details(&self) -> Details;
}

/// The lines of the details.
pub(crate) fn lines(details: &Details) -> Vec<String> {
    details
        .iter()
        .map(|(name, value)| format!("{:INDENT$}{}", format!("{name}:"), clean(value)))
        .collect()
}

impl Describe for Job {
    fn details(&self) -> Details {
        let spec = &self.spec;
        let status = &self.status;
        let workers: Vec<&str> = status.workers.iter().map(|worker| worker.as_str()).collect();
        let mut details = metadata(&self.metadata);
        details.extend([
            ("Account", spec.account.to_string()),
            ("Region", optional(spec.region.as_ref())),
            ("Shape", spec.shape.to_string()),
            ("Urgency", word(&spec.urgency)),
            (
                "Size",
                format!("{} millicores, {} MiB", spec.size.millicores, spec.size.memory),
            ),
            ("Run time", optional(spec.runtime)),
            ("Deadline", optional(spec.deadline)),
            ("Idempotent", yes(spec.idempotent)),
            ("Checkpointable", yes(spec.checkpointable)),
            ("Payload", optional(spec.payload.as_ref())),
            ("Id", status.id.to_string()),
            ("Phase", word(&status.phase)),
            ("Attempt", status.attempt.to_string()),
            ("Workers", dash(workers.join(", "))),
            ("Ran", word(&status.ran)),
            ("Answer", optional(status.answer.as_ref())),
            ("Reason", dash(status.reason.clone())),
        ]);
        details.extend(conditions(&status.conditions));
        details
    }
}

impl Describe for Account {
    fn details(&self) -> Details {
        let mut details = metadata(&self.metadata);
        details.extend([
            ("Weight", self.spec.weight.to_string()),
            ("Quota", optional(self.spec.quota)),
            ("Outstanding", optional(self.spec.outstanding)),
            ("Rate", optional(self.spec.rate)),
        ]);
        details
    }
}

impl Describe for Guarantee {
    fn details(&self) -> Details {
        let mut details = metadata(&self.metadata);
        details.extend([
            ("Account", self.spec.account.to_string()),
            ("Region", optional(self.spec.region.as_ref())),
            ("Shape", self.spec.shape.to_string()),
            ("Count", self.spec.count.to_string()),
            ("Grace", self.spec.grace.to_string()),
        ]);
        details.extend(conditions(&self.conditions));
        details
    }
}

impl Describe for Worker {
    fn details(&self) -> Details {
        let info = &self.info;
        let mut details = metadata(&self.metadata);
        details.extend([
            ("Region", info.region.to_string()),
            ("Domain", info.domain.to_string()),
            ("Rack", info.rack.to_string()),
            ("State", word(&self.state)),
            ("Quarantined", yes(self.quarantined)),
            ("Ejected", yes(self.ejected)),
            ("Tasks", format!("{} of {} slots", self.tasks, info.slots)),
            ("Accelerators", format!("{} of {} in use", self.used, info.accelerators)),
            ("Millicores", info.millicores.to_string()),
            ("Memory", format!("{} MiB", info.memory)),
        ]);
        details
    }
}

impl Describe for Member {
    fn details(&self) -> Details {
        vec![
            ("Name", self.name.to_string()),
            ("Incarnation", self.incarnation.to_string()),
            ("Address", self.address.clone()),
            ("Region", self.region.to_string()),
            ("Domain", self.domain.to_string()),
            ("State", word(&self.state)),
            ("Configuration", self.policy.to_string()),
        ]
    }
}

fn metadata(metadata: &Metadata) -> Details {
    let labels: Vec<String> = metadata
        .labels
        .iter()
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    vec![
        ("Name", metadata.name.clone()),
        ("Revision", metadata.revision.to_string()),
        ("Labels", dash(labels.join(", "))),
    ]
}

fn conditions(conditions: &[Condition]) -> impl Iterator<Item = (&'static str, String)> {
    conditions.iter().map(|condition| {
        let text = format!("{}: {} {}", condition.kind, yes(condition.status), condition.reason);
        ("Condition", text.trim_end().to_owned())
    })
}

fn yes(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

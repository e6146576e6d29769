//! Documents that `apply` takes.

use pistachiostair::{
    AccountSpec, Finding, GuaranteeSpec, JobSpec, Metadata, Policy, Revision, check_account, check_guarantee,
    check_job, check_job_metadata, check_metadata, check_policy, locate_fault,
};
use serde::Deserialize;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde_norway::{Deserializer, Value};

#[cfg(test)]
mod tests;

/// One document.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Document {
    /// A job to submit.
    Job(Metadata, Box<JobSpec>),
    /// A client account.
    Account(Metadata, AccountSpec),
    /// A guarantee of a client account.
    Guarantee(Metadata, GuaranteeSpec),
    /// The configuration.
    Configuration(Metadata, Policy),
}

impl Document {
    /// Kind and name, for messages.
    pub(crate) fn title(&self) -> String {
        match self {
            Self::Job(metadata, spec) if metadata.name.is_empty() => format!("unnamed job of {}", spec.account),
            Self::Job(metadata, spec) => format!("job {}/{}", spec.account, metadata.name),
            Self::Account(metadata, _) => format!("account {}", metadata.name),
            Self::Guarantee(metadata, _) => format!("guarantee {}", metadata.name),
            Self::Configuration(..) => "configuration".to_owned(),
        }
    }
}

/// A document in full. What the server reports is accepted and ignored, so that the output of `get`
/// can be applied.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Full<T> {
    #[serde(rename = "kind")]
    _kind: String,
    #[serde(default)]
    metadata: MetadataInput,
    spec: T,
    #[serde(rename = "status", default)]
    _status: Option<IgnoredAny>,
    #[serde(rename = "conditions", default)]
    _conditions: Option<IgnoredAny>,
    #[serde(rename = "author", default)]
    _author: Option<IgnoredAny>,
}

/// Metadata in which a mistyped key is an error: a job without a name would be a new job each time.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct MetadataInput {
    name: String,
    revision: Revision,
    labels: std::collections::BTreeMap<String, String>,
}

impl From<MetadataInput> for Metadata {
    fn from(input: MetadataInput) -> Self {
        Self {
            name: input.name,
            revision: input.revision,
            labels: input.labels,
        }
    }
}

/// Reads all documents of a YAML text and checks them.
///
/// # Errors
///
/// The findings of all documents. Paths start with the number of the document, counted from 1, if
/// there are several.
pub(crate) fn parse_documents(text: &str) -> Result<Vec<Document>, Vec<Finding>> {
    let mut documents = Vec::new();
    let mut findings = Vec::new();
    let mut numbers = Vec::new();
    let values = parse_values(text)?;
    // The documents are parsed a second time from the text, since the parser names the path of a
    // fault only then.
    for (at, (value, body)) in values.iter().zip(Deserializer::from_str(text)).enumerate() {
        if value.is_null() {
            continue;
        }
        numbers.push(at + 1);
        match parse_kind(value).and_then(|kind| parse_one(kind, body)) {
            Ok(document) => documents.push(document),
            Err(found) => findings.extend(found.into_iter().map(|finding| (at + 1, finding))),
        }
    }
    if numbers.is_empty() {
        return Err(vec![Finding::new("", "there is no document")]);
    }
    if findings.is_empty() {
        return Ok(documents);
    }
    let several = numbers.len() > 1;
    let located = |(number, finding): (usize, Finding)| match (several, finding.path.as_str()) {
        (false, _) => finding,
        (true, "") => Finding::new(format!("document {number}"), finding.reason),
        (true, path) => Finding::new(format!("document {number}: {path}"), finding.reason),
    };
    Err(findings.into_iter().map(located).collect())
}

/// Parses without types. Stops at the first fault of syntax: the deserializer repeats it for ever.
fn parse_values(text: &str) -> Result<Vec<Value>, Vec<Finding>> {
    Deserializer::from_str(text)
        .map(|document| Value::deserialize(document).map_err(|e| vec![locate_fault(&e.to_string())]))
        .collect()
}

fn parse_kind(value: &Value) -> Result<&str, Vec<Finding>> {
    let kind = value.get("kind").and_then(Value::as_str);
    kind.ok_or_else(|| vec![Finding::new("kind", "is missing or not text")])
}

fn parse_one(kind: &str, body: Deserializer<'_>) -> Result<Document, Vec<Finding>> {
    let (document, findings) = match kind {
        "Job" => {
            let (metadata, spec) = parse_full::<JobSpec>(body)?;
            let findings = [check_job_metadata(&metadata), check_job(&spec)].concat();
            (Document::Job(metadata, Box::new(spec)), findings)
        }
        "Account" => {
            let (metadata, spec) = parse_full::<AccountSpec>(body)?;
            let findings = [check_metadata(&metadata), check_account(&spec)].concat();
            (Document::Account(metadata, spec), findings)
        }
        "Guarantee" => {
            let (metadata, spec) = parse_full::<GuaranteeSpec>(body)?;
            let findings = [check_metadata(&metadata), check_guarantee(&spec)].concat();
            (Document::Guarantee(metadata, spec), findings)
        }
        "Configuration" => {
            let (metadata, spec) = parse_full::<Policy>(body)?;
            let findings = check_policy(&spec).into_iter().map(below_spec).collect();
            (Document::Configuration(metadata, spec), findings)
        }
        kind => {
            let reason = format!("{kind:?} is not one of Job, Account, Guarantee, Configuration");
            return Err(vec![Finding::new("kind", reason)]);
        }
    };
    if findings.is_empty() {
        Ok(document)
    } else {
        Err(findings)
    }
}

fn parse_full<T: DeserializeOwned>(body: Deserializer<'_>) -> Result<(Metadata, T), Vec<Finding>> {
    let full = Full::<T>::deserialize(body).map_err(|e| vec![locate_fault(&e.to_string())])?;
    Ok((full.metadata.into(), full.spec))
}

fn below_spec(finding: Finding) -> Finding {
    Finding::new(format!("spec.{}", finding.path), finding.reason)
}

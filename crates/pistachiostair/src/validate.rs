//! Validation of resource documents. Each finding names the field and the reason.

use std::fmt;

use serde::de::DeserializeOwned;

use crate::clock::Millis;
use crate::record;
use crate::resource::{AccountSpec, GuaranteeSpec, JobSpec, Metadata, Policy, Shape};

#[cfg(test)]
mod tests;

/// Longest name, in bytes. Names become parts of row keys and of host names.
pub(crate) const MAX_NAME: usize = 63;
/// Longest idempotency key, in bytes.
pub(crate) const MAX_KEY: usize = 128;
/// Highest weight of a client account.
pub(crate) const MAX_WEIGHT: u32 = 10_000;

/// Deepest nesting of brackets in a YAML document. The parser's time grows with the square of the depth:
/// 16 KB of `{a: ` took 342 ms in a debug build.
const MAX_NESTING: usize = 128;
const MAX_LABELS: usize = 32;
const MAX_LABEL: usize = 256;
const MAX_COUNT: u32 = 1_000;
const MAX_MILLICORES: u64 = 1_000_000;
const MAX_MEMORY: u64 = 16 * 1024 * 1024;
const MAX_GRACE: Millis = Millis::from_secs(600);
const MAX_SPAN: Millis = Millis::from_secs(400 * 24 * 3600);
const MAX_ATTEMPTS: u32 = 100;
const BODY_RANGE: (u32, u32) = (1_024, 1_048_576);

record! {
    /// One fault of a document.
    pub struct Finding {
        /// Path of the field in the document, such as `spec.shape`; empty for the document itself.
        pub path: String,
        /// What is wrong with it.
        pub reason: String,
    }
}

impl Finding {
    /// A finding at `path`.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "document" } else { &self.path };
        write!(f, "{path}: {}", self.reason)
    }
}

/// Findings as one line of text.
pub fn join_findings(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
    lines.join("; ")
}

/// Parses JSON into a resource.
///
/// # Errors
///
/// A finding with the path of the field where the parser names it.
pub fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Finding> {
    serde_json::from_slice(bytes).map_err(|error| {
        let plain = Finding::new("", error.to_string());
        if !error.is_data() {
            return plain;
        }
        // serde_json does not report the path of a field; the YAML parser does, and reads JSON too.
        let again: Result<T, Finding> = parse_yaml(bytes);
        again.err().filter(|finding| !finding.path.is_empty()).unwrap_or(plain)
    })
}

/// Parses YAML into a resource.
///
/// # Errors
///
/// A finding with the path of the field where the parser names it.
pub fn parse_yaml<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Finding> {
    if nesting(bytes) > MAX_NESTING {
        let reason = format!("has more than {MAX_NESTING} open brackets at one place");
        return Err(Finding::new("", reason));
    }
    serde_norway::from_slice(bytes).map_err(|error| locate_fault(&error.to_string()))
}

/// Parses and checks a configuration document in YAML.
///
/// # Errors
///
/// All findings.
pub fn parse_policy(document: &str) -> Result<Policy, Vec<Finding>> {
    let policy: Policy = parse_yaml(document.as_bytes()).map_err(|finding| vec![finding])?;
    let findings = check_policy(&policy);
    if findings.is_empty() { Ok(policy) } else { Err(findings) }
}

/// The most brackets that are open at one place. Brackets in strings count too: a scan that skips strings
/// could be misled by an apostrophe in plain text.
fn nesting(bytes: &[u8]) -> usize {
    let mut open = 0_usize;
    let mut most = 0;
    for byte in bytes {
        match byte {
            b'[' | b'{' => open += 1,
            b']' | b'}' => open = open.saturating_sub(1),
            _ => {}
        }
        most = most.max(open);
    }
    most
}

/// Splits a YAML parser's error text such as `spec.shape: reason` into path and reason.
pub fn locate_fault(text: &str) -> Finding {
    let path_char = |c: char| c.is_ascii_alphanumeric() || "_-.[]".contains(c);
    let (prefix, reason) = match text.split_once(": ") {
        Some((path, reason)) if !path.is_empty() && path.chars().all(path_char) => (path, reason),
        _ => ("", text),
    };
    let path = match (named_field(reason), prefix) {
        (None, prefix) => prefix.to_owned(),
        (Some(field), "") => field.to_owned(),
        (Some(field), prefix) if prefix == field || prefix.ends_with(&format!(".{field}")) => prefix.to_owned(),
        (Some(field), prefix) => format!("{prefix}.{field}"),
    };
    Finding::new(path, reason)
}

/// The field that a text such as "missing field `shape`" names.
fn named_field(reason: &str) -> Option<&str> {
    let rest = ["missing field `", "unknown field `", "duplicate field `"]
        .iter()
        .find_map(|start| reason.strip_prefix(start))?;
    rest.split_once('`').map(|(field, _)| field)
}

/// Why `name` can't name an object: 1 to 63 lower-case letters, digits, `-` and `.`, with a letter
/// or digit at each end.
pub fn name_fault(name: &str) -> Option<String> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    if name.is_empty() {
        return Some("must not be empty".to_owned());
    }
    if name.len() > MAX_NAME {
        return Some(format!("is {} bytes long; at most {MAX_NAME} are allowed", name.len()));
    }
    if let Some(bad) = name.chars().find(|&c| !allowed(c) && c != '-' && c != '.') {
        return Some(format!(
            "contains {bad:?}; only lower-case letters, digits, '-' and '.' are allowed"
        ));
    }
    (!name.starts_with(allowed) || !name.ends_with(allowed))
        .then(|| "must start and end with a letter or a digit".to_owned())
}

/// Why `key` can't be an idempotency key: 1 to 128 printable ASCII characters.
pub fn key_fault(key: &str) -> Option<String> {
    if key.is_empty() || key.len() > MAX_KEY {
        return Some(format!("must be 1 to {MAX_KEY} bytes long"));
    }
    (!key.bytes().all(|b| b.is_ascii_graphic())).then(|| "must be printable ASCII without spaces".to_owned())
}

/// Checks the metadata of an object.
pub fn check_metadata(metadata: &Metadata) -> Vec<Finding> {
    let mut checks = Checks::default();
    checks.name("metadata.name", &metadata.name);
    checks.labels(metadata);
    checks.findings
}

/// Checks the metadata of a job, whose name may be empty: it is then generated.
pub fn check_job_metadata(metadata: &Metadata) -> Vec<Finding> {
    let mut checks = Checks::default();
    if !metadata.name.is_empty() {
        checks.name("metadata.name", &metadata.name);
    }
    checks.labels(metadata);
    checks.findings
}

/// Checks the specification of a job.
pub fn check_job(spec: &JobSpec) -> Vec<Finding> {
    let mut checks = Checks::default();
    checks.name("spec.account", spec.account.as_str());
    checks.shape("spec.shape", spec.shape, 0);
    checks.range("spec.size.millicores", spec.size.millicores, 0, MAX_MILLICORES);
    checks.range("spec.size.memory", spec.size.memory, 0, MAX_MEMORY);
    for (path, span) in [("spec.runtime", spec.runtime), ("spec.deadline", spec.deadline)] {
        if let Some(span) = span {
            checks.range(path, span.0, 1, MAX_SPAN.0);
        }
    }
    if let Some(region) = &spec.region {
        checks.name("spec.region", region.as_str());
    }
    checks.findings
}

/// Checks the specification of a client account.
pub fn check_account(spec: &AccountSpec) -> Vec<Finding> {
    let mut checks = Checks::default();
    checks.range("spec.weight", spec.weight, 1, MAX_WEIGHT);
    for (path, limit) in [("spec.outstanding", spec.outstanding), ("spec.rate", spec.rate)] {
        if let Some(limit) = limit {
            checks.range(path, limit, 1, u32::MAX);
        }
    }
    checks.findings
}

/// Checks the specification of a guarantee.
pub fn check_guarantee(spec: &GuaranteeSpec) -> Vec<Finding> {
    let mut checks = Checks::default();
    checks.name("spec.account", spec.account.as_str());
    checks.shape("spec.shape", spec.shape, 1);
    checks.range("spec.count", spec.count, 1, MAX_COUNT);
    checks.range("spec.grace", spec.grace.0, 0, MAX_GRACE.0);
    if let Some(region) = &spec.region {
        checks.name("spec.region", region.as_str());
    }
    checks.findings
}

/// Checks a configuration.
pub fn check_policy(policy: &Policy) -> Vec<Finding> {
    let mut checks = Checks::default();
    let limits = &policy.limits;
    checks.range("limits.rate", limits.rate, 1, u32::MAX);
    checks.range("limits.outstanding", limits.outstanding, 1, u32::MAX);
    checks.range("limits.requests", limits.requests, 1, u32::MAX);
    checks.range("limits.body", limits.body, BODY_RANGE.0, BODY_RANGE.1);
    let scheduling = &policy.scheduling;
    checks.range("scheduling.reserve", scheduling.reserve, 0, 1_000);
    checks.range("scheduling.short", scheduling.short.0, 0, MAX_SPAN.0);
    checks.range("scheduling.patience", scheduling.patience.0, 0, MAX_SPAN.0);
    checks.range("scheduling.attempts", scheduling.attempts, 1, MAX_ATTEMPTS);
    for (account, &weight) in &policy.weights {
        let path = format!("weights.{account}");
        checks.name(&path, account.as_str());
        checks.range(&path, weight, 1, MAX_WEIGHT);
    }
    checks.findings
}

#[derive(Default)]
struct Checks {
    findings: Vec<Finding>,
}

impl Checks {
    fn name(&mut self, path: &str, name: &str) {
        self.findings
            .extend(name_fault(name).map(|reason| Finding::new(path, reason)));
    }

    fn labels(&mut self, metadata: &Metadata) {
        self.range("metadata.labels", metadata.labels.len(), 0, MAX_LABELS);
        for (label, value) in &metadata.labels {
            if label.len() > MAX_LABEL || value.len() > MAX_LABEL {
                let reason = format!("label and value may have {MAX_LABEL} bytes each");
                self.findings
                    .push(Finding::new(format!("metadata.labels.{label}"), reason));
            }
        }
    }

    fn shape(&mut self, path: &str, shape: Shape, least: u32) {
        if !(1..=Shape::MAX_WORKERS).contains(&shape.workers) {
            let reason = format!("has {} parts; 1 to {} are allowed", shape.workers, Shape::MAX_WORKERS);
            self.findings.push(Finding::new(path, reason));
        }
        if !(least..=Shape::MAX_ACCELERATORS).contains(&shape.accelerators) {
            let reason = format!(
                "has {} accelerators in each part; {least} to {} are allowed",
                shape.accelerators,
                Shape::MAX_ACCELERATORS
            );
            self.findings.push(Finding::new(path, reason));
        }
    }

    fn range<T: PartialOrd + fmt::Display>(&mut self, path: &str, value: T, least: T, most: T) {
        if value < least || value > most {
            let reason = format!("is {value}; {least} to {most} are allowed");
            self.findings.push(Finding::new(path, reason));
        }
    }
}

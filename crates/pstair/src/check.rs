//! The command `config check`: checks documents before they are sent.

use std::collections::BTreeMap;
use std::io::IsTerminal;
use std::path::Path;

use pistachiostair::{
    Account, AccountName, ConfigFinding, ConfigObjects, Configuration, Finding, Guarantee, Job, JobPhase, Result,
    Severity, Worker, check_objects, describe_changes,
};
use serde_json::{Value, json};

use crate::apply::read_text;
use crate::cli::Format;
use crate::client::Client;
use crate::document::{Document, parse_documents};
use crate::exit::Exit;
use crate::output::{Printer, clean};

#[cfg(test)]
mod tests;

/// What a check found.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Report {
    /// Each finding, with the number of its line in the file, counted from 1; none if it is about objects on the server.
    pub(crate) findings: Vec<(Option<usize>, ConfigFinding)>,
    /// What differs from the objects on the server.
    pub(crate) changes: Vec<String>,
}

impl Report {
    /// 0 without findings, 1 with warnings only, 2 with errors.
    pub(crate) fn exit(&self) -> Exit {
        match self.findings.iter().map(|(_, finding)| finding.severity).max() {
            None => Exit::Done,
            Some(Severity::Warning) => Exit::Failure,
            Some(Severity::Error) => Exit::Invalid,
        }
    }
}

/// Checks the documents of a file, and compares them with the objects on a server if a client is given.
pub(crate) async fn check(client: Option<&Client>, printer: &mut Printer<'_>, file: &Path) -> Result<Exit> {
    let text = read_text(file)?;
    let mut report = Report::default();
    match parse_documents(&text) {
        Err(faults) => report.findings.extend(faults.iter().map(|fault| invalid(&text, fault))),
        Ok(documents) => {
            let (newer, repeated) = collect(&documents);
            report
                .findings
                .extend(repeated.into_iter().map(|finding| (None, finding)));
            let (current, waiting) = match client {
                Some(client) => read_server(client).await?,
                None => Default::default(),
            };
            let found = check_objects(&current.merged(&newer)).into_iter();
            report
                .findings
                .extend(found.map(|finding| (find_line(&text, &finding.subject, &finding.path), finding)));
            if client.is_some() {
                report.changes = describe_changes(&current, &newer, &waiting);
            }
        }
    }
    print(printer, file, &report)?;
    Ok(report.exit())
}

/// A fault of a document's own text as a finding.
fn invalid(text: &str, fault: &Finding) -> (Option<usize>, ConfigFinding) {
    let (subject, path) = match fault.path.split_once(": ") {
        Some((subject, path)) => (subject.to_owned(), path.to_owned()),
        None if fault.path.starts_with("document ") => (fault.path.clone(), String::new()),
        None => ("document".to_owned(), fault.path.clone()),
    };
    let line = parser_line(&fault.reason).or_else(|| find_line(text, &subject, &path));
    let finding = ConfigFinding {
        severity: Severity::Error,
        subject,
        path,
        reason: fault.reason.clone(),
    };
    (line, finding)
}

/// The line that the parser names in the text of an error, such as "... at line 3 column 5".
fn parser_line(reason: &str) -> Option<usize> {
    let (_, rest) = reason.rsplit_once("at line ")?;
    rest.split_whitespace().next()?.parse().ok()
}

/// The line of a field: within the document that names the subject, the last of the path's keys that is found, each searched
/// for from the line of the one before it. None if no document names the subject.
fn find_line(text: &str, subject: &str, path: &str) -> Option<usize> {
    let (kind, name) = subject.split_once(' ').unwrap_or((subject, ""));
    let starts = text.lines().enumerate().filter(|(_, line)| line.trim_end() == "---");
    let mut starts: Vec<usize> = starts.map(|(at, _)| at + 1).collect();
    starts.insert(0, 0);
    let count = text.lines().count();
    let ends = starts.iter().skip(1).copied().chain([count]);
    let lines: Vec<&str> = text.lines().collect();
    let documents = starts.iter().copied().zip(ends);
    let named = |(start, end): (usize, usize)| {
        let has = |key: &str, value: &str| {
            let mut body = lines[start..end].iter();
            body.any(|line| key_value(line, key).is_some_and(|found| found.eq_ignore_ascii_case(value)))
        };
        match kind {
            "document" => name
                .parse()
                .map_or(true, |number: usize| starts.get(number.wrapping_sub(1)) == Some(&start)),
            kind => has("kind", kind) && (name.is_empty() || has("name", name)),
        }
    };
    let (start, end) = documents.into_iter().find(|range| named(*range))?;
    let mut at = start;
    for key in path.split('.').filter(|key| !key.is_empty()) {
        let found = (at..end).find(|line| key_value(lines[*line], key).is_some());
        at = found.unwrap_or(at);
    }
    Some(at + 1)
}

/// The value of a key on a line, in block or in flow style; empty if it follows on later lines.
fn key_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut rest = line;
    while let Some(at) = rest.find(key) {
        let (before, found) = rest.split_at(at);
        let after = &found[key.len()..];
        let starts = before.chars().next_back().is_none_or(|c| " {,-\"'".contains(c));
        if let Some(value) = after
            .trim_start_matches(['"', '\''])
            .strip_prefix(':')
            .filter(|_| starts)
        {
            let value = value.split([',', '}', '#']).next().unwrap_or_default();
            return Some(value.trim().trim_matches(['"', '\'']));
        }
        rest = after;
    }
    None
}

/// The objects of documents, and a finding for each that a later one replaces.
fn collect(documents: &[Document]) -> (ConfigObjects, Vec<ConfigFinding>) {
    let mut objects = ConfigObjects::default();
    let mut findings = Vec::new();
    for document in documents {
        let replaced = match document {
            Document::Account(metadata, spec) => {
                let name = AccountName::from(metadata.name.as_str());
                objects.accounts.insert(name, spec.clone()).is_some()
            }
            Document::Guarantee(metadata, spec) => {
                objects.guarantees.insert(metadata.name.clone(), spec.clone()).is_some()
            }
            Document::Configuration(_, policy) => objects.policy.replace(policy.clone()).is_some(),
            Document::Job(..) => false,
        };
        if replaced {
            findings.push(ConfigFinding {
                severity: Severity::Warning,
                subject: document.title(),
                path: String::new(),
                reason: "the file has it twice, and only the last document counts".to_owned(),
            });
        }
    }
    (objects, findings)
}

/// Reads the objects in force, the workers, and the number of waiting jobs of each account.
async fn read_server(client: &Client) -> Result<(ConfigObjects, BTreeMap<AccountName, u64>)> {
    let accounts = client.list::<Account>(None).await?.items.into_iter();
    let guarantees = client.list::<Guarantee>(None).await?.items.into_iter();
    let objects = ConfigObjects {
        policy: Some(client.get::<Configuration>("").await?.spec),
        accounts: accounts
            .map(|account| (AccountName::from(account.metadata.name.as_str()), account.spec))
            .collect(),
        guarantees: guarantees
            .map(|guarantee| (guarantee.metadata.name, guarantee.spec))
            .collect(),
        complete: true,
        workers: client.list::<Worker>(None).await?.items,
    };
    let mut waiting = BTreeMap::new();
    for job in client.list::<Job>(None).await?.items {
        if job.status.phase == JobPhase::Queued {
            *waiting.entry(job.spec.account).or_default() += 1;
        }
    }
    Ok((objects, waiting))
}

fn print(printer: &mut Printer<'_>, file: &Path, report: &Report) -> Result<()> {
    if printer.format() != Format::Table {
        return printer.value(&to_json(report));
    }
    let color = std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none();
    for (line, finding) in &report.findings {
        let (word, code) = match finding.severity {
            Severity::Error => ("error", 31),
            Severity::Warning => ("warning", 33),
        };
        let word = if color {
            format!("\x1b[{code}m{word}\x1b[0m")
        } else {
            word.to_owned()
        };
        let line = line.map_or_else(String::new, |line| format!("{line}:"));
        let place = clean(&file.display().to_string());
        printer.line(&format!("{place}:{line} {word}: {}", clean(&finding.to_string())))?;
    }
    for change in &report.changes {
        printer.line(&format!("change: {}", clean(change)))?;
    }
    if report.findings.is_empty() && report.changes.is_empty() {
        printer.line("no findings")?;
    }
    Ok(())
}

fn to_json(report: &Report) -> Value {
    let findings = report.findings.iter().map(|(line, finding)| {
        json!({ "severity": finding.severity, "line": line, "subject": finding.subject, "path": finding.path,
            "reason": finding.reason })
    });
    json!({ "findings": findings.collect::<Vec<Value>>(), "changes": report.changes })
}

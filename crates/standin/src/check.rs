//! Verdicts from what callers were told and from what the workers' logs show.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use anyhow::{Context, Result};
use pistachiostair::{Attempt, JobId, JobPhase, Ran, Shape, TaskState};

use crate::caller::Settled;
use crate::inventory::{LogEntry, LogKind};

/// What the logs show of one attempt of a gang.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gang {
    /// Parts that were started.
    pub started: BTreeSet<u32>,
    /// Parts that ran, in order of their begin.
    pub ran: Vec<u32>,
    /// Parts that succeeded.
    pub succeeded: BTreeSet<u32>,
    /// Parts started after the first one ran.
    pub late: BTreeSet<u32>,
}

/// Reads a worker's log file; one that does not exist yet is empty.
///
/// # Errors
///
/// If the file can't be read, or a line that is not the last has another form.
pub fn read_log(path: &Path) -> Result<Vec<LogEntry>> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(error).with_context(|| path.display().to_string()),
    };
    // The last line may be incomplete, if the worker was killed or still writes.
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    whole
        .lines()
        .map(|line| serde_json::from_str(line).with_context(|| format!("{}: {line}", path.display())))
        .collect()
}

/// The entries of all runs of the order called `name`, whichever job carried it.
pub fn runs_of<'a>(log: &'a [LogEntry], name: &str) -> Vec<&'a LogEntry> {
    log.iter()
        .filter(|entry| entry.kind == LogKind::Begin)
        .filter(|entry| entry.payload.as_deref().is_some_and(|payload| echo(payload) == name))
        .collect()
}

fn echo(payload: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(payload).unwrap_or_default();
    value["echo"].as_str().unwrap_or(payload).to_owned()
}

/// What the logs show of every attempt, in order of time on the machine's clock.
pub fn gang_parts(log: &[LogEntry]) -> BTreeMap<(JobId, Attempt), Gang> {
    let mut ordered: Vec<&LogEntry> = log.iter().collect();
    ordered.sort_by_key(|entry| entry.wall);
    let mut gangs: BTreeMap<(JobId, Attempt), Gang> = BTreeMap::new();
    for entry in ordered {
        let gang = gangs.entry((entry.task.job, entry.task.attempt)).or_default();
        let part = entry.task.part;
        match entry.kind {
            LogKind::Start => {
                gang.started.insert(part);
                if !gang.ran.is_empty() {
                    gang.late.insert(part);
                }
            }
            LogKind::Begin => gang.ran.push(part),
            LogKind::End if entry.state == TaskState::Succeeded => {
                gang.succeeded.insert(part);
            }
            LogKind::Release | LogKind::End => {}
        }
    }
    gangs
}

/// Checks that no part of a gang ran before all of its parts were started and held.
///
/// # Errors
///
/// All gangs for which this does not hold.
pub fn check_gangs(log: &[LogEntry], settled: &[Settled]) -> Result<()> {
    let gangs = gang_parts(log);
    let mut faults = Vec::new();
    for (job, shape) in settled.iter().filter_map(shape_of) {
        for ((_, attempt), gang) in gangs.range((job, Attempt(0))..=(job, Attempt(u32::MAX))) {
            let whole = gang.started.len() == shape.workers as usize && gang.late.is_empty();
            if !gang.ran.is_empty() && !whole {
                faults.push(format!("job {job} of shape {shape}, attempt {attempt}: {gang:?}"));
            }
        }
    }
    anyhow::ensure!(faults.is_empty(), "parts ran without their gang: {}", faults.join("; "));
    Ok(())
}

fn shape_of(settled: &Settled) -> Option<(JobId, Shape)> {
    let job = settled.job.as_ref()?;
    Some((job.status.id, job.spec.shape))
}

/// Checks what callers were told against the logs: each answer is the caller's own, a success ran
/// whole, work that is not idempotent ran at most once, refused work did not run, and no caller is
/// left without the end of its job.
///
/// # Errors
///
/// All orders for which this does not hold.
pub fn check_settled(log: &[LogEntry], settled: &[Settled]) -> Result<()> {
    // Indexed once: a search of the whole log for each order takes minutes for 10,000 orders.
    let mut runs: BTreeMap<String, Vec<&LogEntry>> = BTreeMap::new();
    for entry in log.iter().filter(|entry| entry.kind == LogKind::Begin) {
        let name = entry.payload.as_deref().map(echo).unwrap_or_default();
        runs.entry(name).or_default().push(entry);
    }
    let gangs = gang_parts(log);
    let faults: Vec<String> = settled
        .iter()
        .filter_map(|settled| {
            let runs = runs.get(&settled.order.name).map_or(&[][..], Vec::as_slice);
            let reason = fault_of(runs, &gangs, settled)?;
            Some(format!("{}: {reason}; told: {settled:?}", settled.order.name))
        })
        .collect();
    anyhow::ensure!(faults.is_empty(), "{} orders: {}", faults.len(), faults.join("\n"));
    Ok(())
}

fn fault_of(runs: &[&LogEntry], gangs: &BTreeMap<(JobId, Attempt), Gang>, settled: &Settled) -> Option<String> {
    if !settled.order.is_idempotent() {
        let parts: BTreeSet<u32> = runs.iter().map(|entry| entry.task.part).collect();
        if parts.len() != runs.len() {
            return Some(format!("ran more than once: {runs:?}"));
        }
    }
    if settled.was_refused() {
        return (!runs.is_empty()).then(|| format!("refused with ran: no, but ran: {runs:?}"));
    }
    let Some(job) = settled.job.as_ref().filter(|_| settled.is_final()) else {
        return Some("its caller never learnt its end".to_owned());
    };
    let status = &job.status;
    if status.ran == Ran::No && !runs.is_empty() {
        return Some(format!("ended with ran: no, but ran: {runs:?}"));
    }
    if status.phase != JobPhase::Succeeded {
        return None;
    }
    if status.answer.as_deref() != Some(settled.order.name.as_str()) {
        return Some("the answer is not its own".to_owned());
    }
    let gang = gangs.get(&(status.id, status.attempt)).cloned().unwrap_or_default();
    (gang.succeeded.len() != job.spec.shape.workers as usize)
        .then(|| format!("told as a success, but the logs show {gang:?}"))
}

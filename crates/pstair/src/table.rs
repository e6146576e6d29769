//! Aligned columns.

use pistachiostair::{Account, Condition, Configuration, Guarantee, Job, Member, Worker};
use serde::Serialize;

const GAP: &str = "  ";

/// An object that has a row in a table.
pub(crate) trait Row {
    /// Names of the columns.
    const HEAD: &'static [&'static str];
    /// Values of the columns.
    fn cells(&self) -> Vec<String>;
}

impl Row for Job {
    const HEAD: &'static [&'static str] = &[
        "ACCOUNT", "NAME", "PHASE", "SHAPE", "URGENCY", "ATTEMPT", "RAN", "WORKERS", "REASON",
    ];

    fn cells(&self) -> Vec<String> {
        let workers: Vec<&str> = self.status.workers.iter().map(|worker| worker.as_str()).collect();
        vec![
            self.spec.account.to_string(),
            self.metadata.name.clone(),
            word(&self.status.phase),
            self.spec.shape.to_string(),
            word(&self.spec.urgency),
            self.status.attempt.to_string(),
            word(&self.status.ran),
            dash(workers.join(",")),
            dash(self.status.reason.clone()),
        ]
    }
}

impl Row for Account {
    const HEAD: &'static [&'static str] = &["NAME", "WEIGHT", "QUOTA", "OUTSTANDING", "RATE", "REVISION"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.metadata.name.clone(),
            self.spec.weight.to_string(),
            optional(self.spec.quota),
            optional(self.spec.outstanding),
            optional(self.spec.rate),
            self.metadata.revision.to_string(),
        ]
    }
}

impl Row for Guarantee {
    const HEAD: &'static [&'static str] = &["NAME", "ACCOUNT", "SHAPE", "COUNT", "REGION", "HONOURED", "REVISION"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.metadata.name.clone(),
            self.spec.account.to_string(),
            self.spec.shape.to_string(),
            self.spec.count.to_string(),
            optional(self.spec.region.as_ref()),
            condition(&self.conditions, "Honoured"),
            self.metadata.revision.to_string(),
        ]
    }
}

impl Row for Worker {
    const HEAD: &'static [&'static str] = &[
        "NAME",
        "DOMAIN",
        "RACK",
        "STATE",
        "QUARANTINED",
        "TASKS",
        "USED",
        "ACCELERATORS",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.info.name.to_string(),
            self.info.domain.to_string(),
            self.info.rack.to_string(),
            word(&self.state),
            if self.quarantined { "yes" } else { "no" }.to_owned(),
            format!("{}/{}", self.tasks, self.info.slots),
            self.used.to_string(),
            self.info.accelerators.to_string(),
        ]
    }
}

impl Row for Member {
    const HEAD: &'static [&'static str] = &["NAME", "REGION", "DOMAIN", "ADDRESS", "STATE", "CONFIGURATION"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.name.to_string(),
            self.region.to_string(),
            self.domain.to_string(),
            self.address.clone(),
            word(&self.state),
            self.policy.to_string(),
        ]
    }
}

impl Row for Configuration {
    const HEAD: &'static [&'static str] = &["REVISION", "AUTHOR"];

    fn cells(&self) -> Vec<String> {
        vec![self.metadata.revision.to_string(), dash(self.author.clone())]
    }
}

/// Widths of the columns of a table that is written row by row.
#[derive(Debug)]
pub(crate) struct Table {
    widths: Vec<usize>,
}

impl Table {
    /// A table wide enough for `rows`, and its head line.
    pub(crate) fn start(head: &[&str], rows: &[Vec<String>]) -> (Self, String) {
        let mut table = Self {
            widths: head.iter().map(|name| name.len()).collect(),
        };
        table.widen(rows);
        let head: Vec<String> = head.iter().map(|&name| name.to_owned()).collect();
        let line = table.line(&head);
        (table, line)
    }

    /// Lines of further rows; the columns grow but never shrink.
    pub(crate) fn rows(&mut self, rows: &[Vec<String>]) -> String {
        self.widen(rows);
        rows.iter().map(|row| self.line(row)).collect()
    }

    fn widen(&mut self, rows: &[Vec<String>]) {
        for row in rows {
            for (width, cell) in self.widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
    }

    fn line(&self, cells: &[String]) -> String {
        let padded: Vec<String> = cells
            .iter()
            .zip(&self.widths)
            .map(|(cell, &width)| format!("{cell:width$}"))
            .collect();
        format!("{}\n", padded.join(GAP).trim_end())
    }
}

/// The word by which the interface calls a value of a closed set.
pub(crate) fn word<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(word)) => word,
        other => format!("{other:?}"),
    }
}

/// Text, or a dash if it is empty.
pub(crate) fn dash(text: String) -> String {
    if text.is_empty() { "-".to_owned() } else { text }
}

/// A value, or a dash if it is absent.
pub(crate) fn optional<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn condition(conditions: &[Condition], kind: &str) -> String {
    match conditions.iter().find(|condition| condition.kind == kind) {
        Some(condition) if condition.status => "yes".to_owned(),
        Some(_) => "no".to_owned(),
        None => "-".to_owned(),
    }
}

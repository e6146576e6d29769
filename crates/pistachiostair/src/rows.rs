//! Rows of the table service that hold JSON: parsing, paged scans, and commits that resolve lost answers.

use async_io::Timer;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::clock::Millis;
use crate::edge::{Commit, Row, Table, Transaction};
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::store::Store;

/// Rows per page of a scan.
const SCAN_LIMIT: usize = 500;

/// Tries of a commit, each followed by a read-back if its answer was lost.
const READ_BACK_TRIES: u32 = 5;

/// Pause between a commit and its read-back.
const READ_BACK_PAUSE: Millis = Millis(200);

/// Whether another writer may overwrite a row between a commit and its read-back.
#[derive(Clone, Copy)]
pub(crate) enum Overwritten {
    Never,
    Possibly,
}

/// Commits a transaction and returns the version of the written rows. If an answer is lost, reads back the row of the
/// first check, and compares it with the first write, which must have the same key.
///
/// # Errors
///
/// `Conflict` if a precondition did not hold; `Unavailable` with [`Ran::Unknown`] if the outcome could not be found
/// out; `Internal` if the transaction has no check or no write.
pub(crate) async fn commit_with_read_back(
    store: &Store,
    step: &'static str,
    transaction: &Transaction,
    overwritten: Overwritten,
) -> Result<u64> {
    let (Some(check), Some(write)) = (transaction.checks.first(), transaction.writes.first()) else {
        return Err(Error::msg(
            ErrorKind::Internal,
            step,
            "a transaction needs a check and a write",
        ));
    };
    let conflict = || Error::msg(ErrorKind::Conflict, step, "someone else changed it").at(check.key.as_str());
    let unknown = |source: anyhow::Error| {
        Error::new(ErrorKind::Unavailable, step, source)
            .at(check.key.as_str())
            .ran(Ran::Unknown)
            .retry_after(1_000)
    };
    let mut lost = None;
    for _ in 0..READ_BACK_TRIES {
        match store.commit(transaction).await {
            Ok(Commit::Done { version }) => return Ok(version),
            Ok(Commit::Conflict { .. }) if lost.is_none() => return Err(conflict()),
            Ok(Commit::Conflict { .. }) => {}
            Err(error) => lost = Some(error.source),
        }
        Timer::after(READ_BACK_PAUSE.duration()).await;
        let Ok(row) = store.get(&check.key).await else {
            continue;
        };
        let version = row.as_ref().map_or(0, |row| row.version);
        if version == check.version {
            continue;
        }
        if row.map(|row| row.value) == write.value {
            return Ok(version);
        }
        return Err(match overwritten {
            Overwritten::Never => conflict(),
            Overwritten::Possibly => unknown(anyhow::anyhow!("the answer was lost and another change followed")),
        });
    }
    Err(unknown(lost.unwrap_or_else(|| anyhow::anyhow!("no answer"))))
}

/// Encodes a value as JSON text. `step` names the operation in an error.
pub(crate) fn encode<T: Serialize>(step: &'static str, value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|e| Error::new(ErrorKind::Internal, step, e))
}

/// Parses the value of a row as JSON. `step` names the operation in an error.
pub(crate) fn parse_row<T: DeserializeOwned>(step: &'static str, row: &Row) -> Result<T> {
    serde_json::from_str(&row.value).map_err(|e| Error::new(ErrorKind::Internal, step, e).at(row.key.as_str()))
}

/// Reads all rows whose key starts with `prefix`, in order of keys, page by page.
pub(crate) async fn scan_all(store: &Store, prefix: &str) -> Result<Vec<Row>> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map_or(String::new(), |row| row.key.clone());
        let page = store.scan(prefix, &after, SCAN_LIMIT).await?;
        let full = page.len() == SCAN_LIMIT;
        rows.extend(page);
        if !full {
            return Ok(rows);
        }
    }
}

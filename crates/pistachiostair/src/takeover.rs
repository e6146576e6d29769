//! Storage side of the journal: loads snapshot and journal when a daemon becomes the scheduler, and carries out the
//! [`AppendAction`]s of the scheduler's journal writer.

use crate::appender::{AppendAction, AppendEvent};
use crate::clock::Clock;
use crate::edge::Commit;
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{RegionName, Seq};
use crate::journal::journal_key;
use crate::snapshot::{SnapshotRow, snapshot_key};
use crate::storage::Storage;

/// Rows per page when the journal is scanned.
const SCAN_LIMIT: usize = 500;

/// Carries out an action and returns its outcome; `None` for an action whose outcome is not reported.
pub(crate) async fn perform(store: &Storage, action: AppendAction) -> Option<AppendEvent> {
    Some(match action {
        AppendAction::Commit { seq, transaction } => match store.table.commit(&transaction).await {
            Ok(Commit::Done { .. }) => AppendEvent::Committed(seq),
            Ok(Commit::Conflict { .. }) => AppendEvent::Conflict(seq),
            Err(_) => AppendEvent::Unknown(seq),
        },
        AppendAction::ReadBack { seq, key } => match store.table.get(&key).await {
            Ok(row) => AppendEvent::ReadBack(seq, row.map(|row| row.value)),
            Err(_) => AppendEvent::ReadBackFailed(seq),
        },
        AppendAction::ReadSnapshotRow { key } => match store.table.get(&key).await {
            Ok(row) => AppendEvent::SnapshotRow { answered: true, row },
            Err(_) => AppendEvent::SnapshotRow {
                answered: false,
                row: None,
            },
        },
        AppendAction::DeleteObject { key } => {
            // An object that could not be deleted only takes up space.
            let _ = store.objects.delete(&key).await;
            return None;
        }
        AppendAction::WriteObject { key, body } => {
            let done = store.objects.write(&key, &body).await.is_ok();
            AppendEvent::ObjectWritten { key, done }
        }
        AppendAction::ReadObject { key } => {
            let body = store.objects.read(&key).await.ok().flatten();
            AppendEvent::ObjectRead { key, body }
        }
        AppendAction::Maintain { transaction } => AppendEvent::Maintained(matches!(
            store.table.commit(&transaction).await,
            Ok(Commit::Done { .. })
        )),
    })
}

/// Body of the newest intact snapshot, if one is needed, and the journal rows after it, in order.
type Loaded = (Option<Vec<u8>>, Vec<(Seq, String)>);

/// Reads the newest intact snapshot of a region and the journal rows after it. Logs the size and duration of each part.
///
/// # Errors
///
/// `Internal` if the snapshot row or the key of a journal row can't be parsed, or if the journal was truncated and none
/// of its snapshots is intact; otherwise the error of the table service or object store.
pub(crate) async fn load(store: &Storage, region: &RegionName, (log, clock): (&slog::Logger, Clock)) -> Result<Loaded> {
    let begun = clock.now();
    let row = store.table.get(&snapshot_key(region)).await?;
    let named = clock.now();
    let (snapshot, after) = match row {
        Some(row) => load_snapshot(store, &row.value).await?,
        None => (None, Seq(0)),
    };
    slog::info!(log, "takeover: snapshot read"; "bytes" => snapshot.as_ref().map(Vec::len), "covers" => after.0,
        "row_took" => named.since(begun).0, "took" => clock.now().since(named).0);
    let prefix = format!("journal/{region}/");
    let mut from = journal_key(region, after);
    let mut rows = Vec::new();
    loop {
        let asked = clock.now();
        let page = store.table.scan(&prefix, &from, SCAN_LIMIT).await?;
        slog::info!(log, "takeover: journal page read"; "rows" => page.len(),
            "bytes" => page.iter().map(|row| row.value.len()).sum::<usize>(), "took" => clock.now().since(asked).0);
        let Some(last) = page.last() else {
            return Ok((snapshot, rows));
        };
        from.clone_from(&last.key);
        let full = page.len() == SCAN_LIMIT;
        for row in page {
            let seq = row
                .key
                .strip_prefix(&prefix)
                .and_then(|text| text.parse().ok())
                .ok_or_else(|| {
                    Error::msg(
                        ErrorKind::Internal,
                        "scan journal",
                        "the key does not end in a journal position",
                    )
                    .at(row.key.as_str())
                })?;
            rows.push((Seq(seq), row.value));
        }
        if !full {
            return Ok((snapshot, rows));
        }
    }
}

/// Reads the newest snapshot whose content matches its checksum, and returns it with the newest journal row that it
/// covers; `None` and 0 if none is intact but the journal still has all rows.
async fn load_snapshot(store: &Storage, value: &str) -> Result<(Option<Vec<u8>>, Seq)> {
    let step = "read snapshot";
    let row = SnapshotRow::parse(value)
        .ok_or_else(|| Error::msg(ErrorKind::Internal, step, "the snapshot row can't be parsed"))?;
    for snapshot in row.refs() {
        if let Some(body) = store
            .objects
            .read(&snapshot.key)
            .await?
            .filter(|body| snapshot.matches(body))
        {
            return Ok((Some(body), snapshot.seq));
        }
    }
    if row.has_full_journal() {
        return Ok((None, Seq(0)));
    }
    Err(Error::msg(
        ErrorKind::Internal,
        step,
        "the journal was truncated and none of its snapshots is intact",
    ))
}

//! The scheduler's journal in the platform's store: reading it at a takeover, carrying out its actions.

use crate::appender::{AppendAction, AppendEvent};
use crate::edge::Commit;
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{RegionName, Seq};
use crate::journal::journal_key;
use crate::snapshot::{SnapshotRow, snapshot_key};
use crate::storage::Storage;

/// Rows read at once.
const SCAN_LIMIT: usize = 500;

/// Carries out an action; nothing if its outcome is of no interest.
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
            // An object that stays costs space only.
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

type Loaded = (Option<Vec<u8>>, Vec<(Seq, String)>);

/// Reads the newest snapshot and the journal rows behind it.
pub(crate) async fn load(store: &Storage, region: &RegionName) -> Result<Loaded> {
    let (snapshot, after) = match store.table.get(&snapshot_key(region)).await? {
        Some(row) => load_snapshot(store, &row.value).await?,
        None => (None, Seq(0)),
    };
    let prefix = format!("journal/{region}/");
    let mut from = journal_key(region, after);
    let mut rows = Vec::new();
    loop {
        let page = store.table.scan(&prefix, &from, SCAN_LIMIT).await?;
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
                    Error::msg(ErrorKind::Internal, "scan journal", "the key has no number").at(row.key.as_str())
                })?;
            rows.push((Seq(seq), row.value));
        }
        if !full {
            return Ok((snapshot, rows));
        }
    }
}

/// Reads the newest snapshot whose content agrees with its checksum, and its journal position; none if
/// the journal alone is enough.
async fn load_snapshot(store: &Storage, value: &str) -> Result<(Option<Vec<u8>>, Seq)> {
    let step = "read snapshot";
    let row = SnapshotRow::parse(value).ok_or_else(|| Error::msg(ErrorKind::Internal, step, "bad row"))?;
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
    Err(Error::msg(ErrorKind::Internal, step, "no named snapshot is whole"))
}

//! Storage side of the journal: loads snapshot and journal when a daemon becomes the scheduler, and carries out the
//! [`AppendAction`]s of the scheduler's journal writer.

use std::collections::{BTreeMap, BTreeSet};

use futures_lite::future;

use crate::appender::{AppendAction, AppendEvent};
use crate::clock::Clock;
use crate::edge::{Commit, Row};
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::ids::{RegionName, Seq};
use crate::journal::journal_key;
use crate::snapshot::{SnapshotRef, SnapshotRow, snapshot_key};
use crate::storage::Storage;

#[cfg(test)]
mod tests;

/// Most and fewest rows per page when the journal is read. A page whose read fails is read again, so that the next one
/// is smaller.
const PAGE_ROWS: (usize, usize) = (32, 64);

/// Step that errors about snapshots name.
const READ_SNAPSHOT: &str = "read snapshot";

/// Carries out an action and returns its outcome; `None` for an action whose outcome is not reported.
pub(crate) async fn perform(store: &Storage, action: AppendAction, log: &slog::Logger) -> Option<AppendEvent> {
    let failed = |what: &'static str, error: &Error| slog::info!(log, "journal: {}", what; "error" => %error);
    Some(match action {
        AppendAction::Commit { seq, transaction } => match store.table.commit(&transaction).await {
            Ok(Commit::Done { .. }) => AppendEvent::Committed(seq),
            Ok(Commit::Conflict { .. }) => AppendEvent::Conflict(seq),
            Err(error) if error.kind == ErrorKind::Invalid && error.ran == Ran::No => {
                let bytes = transaction.writes.iter().filter_map(|write| write.value.as_ref());
                slog::error!(log, "journal: row refused by the store"; "row" => seq.0, "error" => %error,
                    "bytes" => bytes.map(String::len).sum::<usize>());
                AppendEvent::Refused(seq)
            }
            Err(error) => {
                failed("commit not answered; its row is read back", &error);
                AppendEvent::Unknown(seq)
            }
        },
        AppendAction::ReadBack { seq, key } => match store.table.get(&key).await {
            Ok(row) => AppendEvent::ReadBack(seq, row.map(|row| row.value)),
            Err(error) => {
                failed("row not read back; trying again", &error);
                AppendEvent::ReadBackFailed(seq)
            }
        },
        AppendAction::ReadSnapshotRow { key } => match store.table.get(&key).await {
            Ok(row) => AppendEvent::SnapshotRow { answered: true, row },
            Err(error) => {
                failed("row of the snapshots not read; the snapshot is put off", &error);
                AppendEvent::SnapshotRow {
                    answered: false,
                    row: None,
                }
            }
        },
        AppendAction::DeleteObject { key } => {
            if let Err(error) = store.objects.delete(&key).await {
                failed("old object not deleted; it only takes up space", &error);
            }
            return None;
        }
        AppendAction::WriteObject { key, body } => {
            let written = store.objects.write(&key, &body).await;
            if let Err(error) = &written {
                failed("object not written", error);
            }
            let done = written.is_ok();
            AppendEvent::ObjectWritten { key, done }
        }
        AppendAction::ReadObject { key } => {
            let body = store.objects.read(&key).await.unwrap_or_else(|error| {
                failed("object not read", &error);
                None
            });
            AppendEvent::ObjectRead { key, body }
        }
        AppendAction::Maintain { transaction } => {
            AppendEvent::Maintained(match store.table.commit(&transaction).await {
                Ok(Commit::Done { .. }) => true,
                Ok(Commit::Conflict { .. }) => false,
                Err(error) => {
                    failed("rows not maintained", &error);
                    false
                }
            })
        }
    })
}

/// Body of the newest intact snapshot, if one is needed, and the journal rows after it, in order.
pub(crate) type Loaded = (Option<Vec<u8>>, Vec<(Seq, String)>);

/// Reads the newest intact snapshot of a region and the journal rows after it.
///
/// What was read stays over failed tries, so that each try goes on where the last one stopped. It can't be outdated:
/// the term of the reader fences off all earlier writers.
pub(crate) struct Loader {
    region: RegionName,
    log: slog::Logger,
    clock: Clock,
    /// The row that names the snapshots; the outer `None` until it was read, the inner one if there is no row.
    named: Option<Option<SnapshotRow>>,
    /// Keys of snapshots that are missing or damaged.
    damaged: BTreeSet<String>,
    snapshot: Option<Vec<u8>>,
    rows: BTreeMap<Seq, String>,
    /// Rows of the next page.
    page_rows: usize,
    /// Whether the end of the journal was read.
    complete: bool,
}

impl Loader {
    /// A loader that has read nothing yet and logs the size and duration of what it reads.
    pub(crate) fn new(region: RegionName, log: slog::Logger, clock: Clock) -> Self {
        Self {
            region,
            log,
            clock,
            named: None,
            damaged: BTreeSet::new(),
            snapshot: None,
            rows: BTreeMap::new(),
            page_rows: PAGE_ROWS.1,
            complete: false,
        }
    }

    /// Bytes read so far.
    pub(crate) fn bytes(&self) -> usize {
        let rows: usize = self.rows.values().map(String::len).sum();
        rows + self.snapshot.as_ref().map_or(0, Vec::len)
    }

    /// Reads what is missing: snapshot and rows at the same time. Sends no request while `held` says that the lease is not
    /// valid, since renewals of the lease share the link.
    ///
    /// # Errors
    ///
    /// `Refused` while the lease is not valid; `Internal` if the snapshot row or the key of a journal row can't be parsed, or if the journal was truncated and
    /// none of its snapshots is intact; otherwise the error of the table service or object store. The next call goes on
    /// from there.
    pub(crate) async fn load(&mut self, store: &Storage, held: &(dyn Fn() -> bool + Send + Sync)) -> Result<Loaded> {
        if self.named.is_none() {
            self.named = Some(read_snapshot_row(store, &self.region).await?);
        }
        loop {
            if !held() {
                return Err(Error::msg(ErrorKind::Refused, "read journal", "the lease is not valid"));
            }
            let source = self.source()?;
            let after = source.as_ref().map_or(Seq(0), |source| source.seq);
            let snapshot = source.filter(|_| self.snapshot.is_none());
            let (body, pages) = future::zip(
                read_snapshot(store, snapshot.as_ref(), (&self.log, self.clock)),
                self.read_pages(store, after),
            )
            .await;
            let added = self.add_pages(pages);
            let intact = self.add_snapshot(snapshot, body)?;
            added?;
            if intact && self.complete {
                let rows = std::mem::take(&mut self.rows);
                return Ok((self.snapshot.take(), rows.into_iter().collect()));
            }
        }
    }

    /// The newest snapshot that is not known to be damaged; `None` if the journal has all its rows and needs none.
    fn source(&self) -> Result<Option<SnapshotRef>> {
        let Some(row) = self.named.as_ref().and_then(Option::as_ref) else {
            return Ok(None);
        };
        let usable = row.refs().find(|named| !self.damaged.contains(&named.key));
        if usable.is_none() && !row.has_full_journal() {
            let reason = "the journal was truncated and none of its snapshots is intact";
            return Err(Error::msg(ErrorKind::Internal, READ_SNAPSHOT, reason));
        }
        Ok(usable.cloned())
    }

    /// Keeps a snapshot that was read, or notes it as damaged; the rows from the one before it are then needed too.
    /// Returns whether the snapshot, if any was needed, is intact.
    fn add_snapshot(&mut self, named: Option<SnapshotRef>, body: Result<Option<Vec<u8>>>) -> Result<bool> {
        let Some(named) = named else { return Ok(true) };
        match body?.filter(|body| named.matches(body)) {
            Some(body) => self.snapshot = Some(body),
            None => {
                slog::warn!(self.log, "takeover: snapshot is missing or damaged"; "key" => &named.key);
                self.damaged.insert(named.key);
                self.rows.clear();
                self.complete = false;
            }
        }
        Ok(self.snapshot.is_some())
    }

    /// Reads the next pages of rows, several at a time: rows are numbered without gaps, so that it is known where each
    /// page begins. Reads nothing once the end of the journal was read.
    async fn read_pages(&self, store: &Storage, after: Seq) -> Vec<Result<Vec<Row>>> {
        if self.complete {
            return Vec::new();
        }
        let last = self.rows.last_key_value().map_or(after, |(seq, _)| *seq);
        let next = Seq(last.0 + self.page_rows as u64);
        let (first, second) = future::zip(self.read_page(store, last), self.read_page(store, next)).await;
        vec![first, second]
    }

    async fn read_page(&self, store: &Storage, after: Seq) -> Result<Vec<Row>> {
        let begun = self.clock.now();
        let prefix = journal_prefix(&self.region);
        let page = store
            .table
            .scan(&prefix, &journal_key(&self.region, after), self.page_rows)
            .await?;
        slog::info!(self.log, "takeover: journal page read"; "after" => after.0, "rows" => page.len(),
            "bytes" => page.iter().map(|row| row.value.len()).sum::<usize>(),
            "took" => self.clock.now().since(begun).0);
        Ok(page)
    }

    /// Keeps the rows of the pages up to the first that was not read, since the next try begins after the last row.
    fn add_pages(&mut self, pages: Vec<Result<Vec<Row>>>) -> Result<()> {
        let asked = self.page_rows;
        for page in pages {
            if !self.complete {
                let (fewest, most) = PAGE_ROWS;
                self.page_rows = match page.is_ok() {
                    true => (self.page_rows * 2).min(most),
                    false => (self.page_rows / 2).max(fewest),
                };
                self.add_page(asked, page?)?;
            }
        }
        Ok(())
    }

    /// Keeps the rows of a page. One with fewer rows than were asked for is the last one.
    fn add_page(&mut self, asked: usize, page: Vec<Row>) -> Result<()> {
        self.complete |= page.len() < asked;
        let prefix = journal_prefix(&self.region);
        for row in page {
            let seq = row.key.strip_prefix(&prefix).and_then(|text| text.parse().ok());
            let seq = seq.ok_or_else(|| {
                let reason = "the key does not end in a journal position";
                Error::msg(ErrorKind::Internal, "scan journal", reason).at(row.key.as_str())
            })?;
            self.rows.insert(Seq(seq), row.value);
        }
        Ok(())
    }
}

/// Prefix of the keys of a region's journal rows.
fn journal_prefix(region: &RegionName) -> String {
    format!("journal/{region}/")
}

/// Reads the row that names the snapshots; `None` if there is none yet.
async fn read_snapshot_row(store: &Storage, region: &RegionName) -> Result<Option<SnapshotRow>> {
    let Some(row) = store.table.get(&snapshot_key(region)).await? else {
        return Ok(None);
    };
    let reason = "the snapshot row can't be parsed";
    let parsed = SnapshotRow::parse(&row.value);
    Ok(Some(parsed.ok_or_else(|| {
        Error::msg(ErrorKind::Internal, READ_SNAPSHOT, reason)
    })?))
}

/// Reads a snapshot; `None` if none is needed or it does not exist.
async fn read_snapshot(
    store: &Storage,
    named: Option<&SnapshotRef>,
    (log, clock): (&slog::Logger, Clock),
) -> Result<Option<Vec<u8>>> {
    let Some(named) = named else { return Ok(None) };
    let begun = clock.now();
    let body = store.objects.read(&named.key).await?;
    slog::info!(log, "takeover: snapshot read"; "covers" => named.seq.0, "bytes" => body.as_ref().map(Vec::len),
        "took" => clock.now().since(begun).0);
    Ok(body)
}

//! The journal's writer against a store that loses answers, loses requests and carries out some of
//! them late. Guards against lost, doubled and reordered records, and against a takeover that can't
//! read the state.

use std::collections::BTreeMap;

use pistachiostair::{
    AppendAction, AppendEvent, Appender, Batch, Commit, Millis, Record, RegionState, Seq, SnapshotRow, Term,
    Transaction, WorkerName, snapshot_key, term_key,
};
use proptest::prelude::*;
use standin::Tables;

struct Store {
    tables: Tables,
    objects: BTreeMap<String, Vec<u8>>,
    /// Transactions that were given up and take effect later.
    late: Vec<Transaction>,
    fate: Vec<u8>,
    step: usize,
    /// Keeps the first naming of a snapshot back, to carry it out at the end.
    keep: bool,
    kept: Option<Transaction>,
}

impl Store {
    fn new(fate: Vec<u8>) -> (Self, u64) {
        let mut tables = Tables::default();
        let write = pistachiostair::Write {
            key: term_key(&"fi".into()),
            value: Some("1".to_owned()),
        };
        let Commit::Done { version } = tables.commit(&Transaction {
            checks: Vec::new(),
            writes: vec![write],
        }) else {
            unreachable!("no precondition")
        };
        let store = Self {
            tables,
            objects: BTreeMap::new(),
            late: Vec::new(),
            fate,
            step: 0,
            keep: false,
            kept: None,
        };
        (store, version)
    }

    /// The outcome of a transaction; nothing if no answer came.
    fn commit(&mut self, transaction: Transaction) -> Option<bool> {
        self.step += 1;
        let fate = self.fate[self.step % self.fate.len()];
        if fate.is_multiple_of(5) && !self.late.is_empty() {
            let late = self.late.remove(0);
            self.tables.commit(&late);
        }
        match fate {
            0..40 => Some(matches!(self.tables.commit(&transaction), Commit::Done { .. })),
            40..44 => {
                self.tables.commit(&transaction);
                None
            }
            44..47 => None,
            _ => {
                self.late.push(transaction);
                None
            }
        }
    }

    fn act(&mut self, action: AppendAction) -> Option<AppendEvent> {
        Some(match action {
            AppendAction::Commit { seq, transaction } => match self.commit(transaction) {
                Some(true) => AppendEvent::Committed(seq),
                Some(false) => AppendEvent::Conflict(seq),
                None => AppendEvent::Unknown(seq),
            },
            AppendAction::ReadBack { seq, key } => {
                AppendEvent::ReadBack(seq, self.tables.get(&key).map(|row| row.value))
            }
            AppendAction::WriteObject { key, body } => {
                self.objects.insert(key.clone(), body);
                AppendEvent::ObjectWritten { key, done: true }
            }
            AppendAction::ReadObject { key } => {
                let body = self.objects.get(&key).cloned();
                AppendEvent::ObjectRead { key, body }
            }
            AppendAction::ReadSnapshotRow { key } => AppendEvent::SnapshotRow {
                answered: true,
                row: self.tables.get(&key),
            },
            AppendAction::DeleteObject { key } => {
                self.objects.remove(&key);
                return None;
            }
            AppendAction::Maintain { transaction } if self.keep && self.kept.is_none() => {
                self.kept = Some(transaction);
                AppendEvent::Maintained(false)
            }
            AppendAction::Maintain { transaction } => AppendEvent::Maintained(self.commit(transaction) == Some(true)),
        })
    }

    /// The state as a takeover reads it, from the newest snapshot or from the one before.
    fn recover(&self, newest: bool) -> Result<RegionState, String> {
        let row = self.tables.get(&snapshot_key(&"fi".into()));
        let named = row.and_then(|row| SnapshotRow::parse(&row.value));
        let chosen = named.and_then(|named| if newest { Some(named.current) } else { named.previous });
        let mut state = match chosen {
            Some(chosen) => {
                let body = self.objects.get(&chosen.key).ok_or("the snapshot is missing")?;
                RegionState::decode(body).map_err(|e| e.to_string())?
            }
            None => RegionState::default(),
        };
        for row in self.tables.scan("journal/fi/", "", usize::MAX) {
            let seq = Seq(row
                .key
                .rsplit('/')
                .next()
                .and_then(|text| text.parse().ok())
                .unwrap_or(0));
            if seq <= state.seq {
                continue;
            }
            if seq != state.seq.next() {
                return Err(format!("row {} is missing", state.seq.next()));
            }
            state.fold_batch(seq, &Batch::parse(&row.value).map_err(|e| e.to_string())?);
        }
        Ok(state)
    }
}

/// Writes `rows` rows; returns how many rows and snapshots are left.
fn write(rows: u64, fate: Vec<u8>, keep: bool) -> Result<(usize, usize), String> {
    let (mut store, fence) = Store::new(fate);
    store.keep = keep;
    let mut appender = Appender::new("fi".into(), Term(1), fence, Seq(0), Seq(0));
    let mut state = RegionState::default();
    let mut now = Millis(0);
    let mut order = Vec::new();
    let (mut pushed, mut rounds) = (0, 0);
    while (state.seq.0 < rows || appender.backlog() > 0) && rounds < rows * 20 {
        rounds += 1;
        now += Millis(100);
        if appender.backlog() < 2 && state.seq.0 < rows {
            pushed += 1;
            let worker = WorkerName::from(format!("w{pushed}"));
            appender.push([Record::Drained { worker, drain: true }]);
        }
        let mut actions = appender.poll(now, now);
        actions.extend(appender.maintain(now, &state));
        while let Some(action) = actions.pop() {
            if let Some(event) = store.act(action) {
                actions.extend(appender.on(now, event));
            }
        }
        while let Some((seq, batch)) = appender.next_committed() {
            state.fold_batch(seq, &batch);
            order.extend(batch.records.into_iter().filter_map(|record| match record {
                Record::Drained { worker, .. } => Some(worker.to_string()),
                _ => None,
            }));
        }
        if appender.superseded() {
            return Err("the writer gave up under its own term".to_owned());
        }
        if rounds % 97 == 0 {
            let read = store.recover(true)?;
            let seen = state.drained.is_subset(&read.drained);
            if !seen {
                return Err("a takeover would miss what was committed".to_owned());
            }
            store.recover(false)?;
        }
    }
    let expected: Vec<String> = (1..=pushed).map(|number| format!("w{number}")).collect();
    if order != expected {
        return Err(format!(
            "{} of {pushed} records came back, or in another order",
            order.len()
        ));
    }
    if let Some(kept) = store.kept.take() {
        store.tables.commit(&kept);
    }
    let read = store.recover(true)?;
    match read == state {
        true => Ok((
            store.tables.scan("journal/fi/", "", usize::MAX).len(),
            store.objects.len(),
        )),
        false => Err("the state read back differs".to_owned()),
    }
}

/// Rows behind both snapshots are removed, and what is left gives the state back.
#[test]
fn snapshot_and_remove() {
    let (rows, snapshots) = write(2_300, vec![1], false).expect("a journal");
    assert!(rows < 1_100, "{rows} rows were left of 2,300");
    assert_eq!(snapshots, 2);
}

/// A write that names an old snapshot, carried out after later ones removed the rows behind it,
/// must not take effect.
#[test]
fn name_late() {
    write(2_800, vec![1], true).expect("a journal that a takeover can read");
}

/// A second writer in one term, with the same write ids, must not take a late row of the first for its own.
#[test]
fn compare_same_term() {
    let (mut store, fence) = Store::new(vec![1]);
    let mut writer = |name: &str| {
        let mut writer = Appender::new("fi".into(), Term(1), fence, Seq(0), Seq(0));
        let worker = WorkerName::from(name);
        writer.push([Record::Drained { worker, drain: true }]);
        let actions = writer.poll(Millis(0), Millis(0));
        let events: Vec<AppendEvent> = actions.into_iter().filter_map(|action| store.act(action)).collect();
        (writer, events)
    };
    let (_, first) = writer("w1");
    let (mut second, events) = writer("w2");
    assert_eq!(first, [AppendEvent::Committed(Seq(1))]);
    assert_eq!(events, [AppendEvent::Conflict(Seq(1))]);
    for action in second.on(Millis(10), AppendEvent::Conflict(Seq(1))) {
        let row = store.act(action).expect("a row");
        second.on(Millis(20), row);
    }
    assert_eq!((second.next_committed(), second.superseded()), (None, true));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 50, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn append_unreliable(fate in prop::collection::vec(0_u8..50, 3..60), rows in 1_200_u64..2_000) {
        prop_assume!(fate.iter().filter(|fate| **fate < 40).count() * 2 > fate.len());
        let outcome = write(rows, fate, false);
        prop_assert!(outcome.is_ok(), "{outcome:?}");
    }
}

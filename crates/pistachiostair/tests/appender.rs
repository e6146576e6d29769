//! The journal's writer with a store that loses requests and answers and carries out some transactions late. Guards
//! against lost, duplicated and reordered records, and against a journal from which a takeover can't restore the state.

use std::collections::BTreeMap;

use pistachiostair::{
    AppendAction, AppendEvent, Appender, Batch, Commit, Millis, Record, RegionState, Seq, SnapshotLimits, SnapshotRow,
    Term, Transaction, WorkerName, journal_key, snapshot_key, term_key,
};
use proptest::prelude::*;
use rstest::rstest;
use standin::Tables;

struct Store {
    tables: Tables,
    objects: BTreeMap<String, Vec<u8>>,
    /// Transactions that got no answer and take effect later.
    late: Vec<Transaction>,
    /// Numbers below 50, used in turn, that decide what happens to each transaction.
    choices: Vec<u8>,
    step: usize,
    /// Whether the first transaction that names a snapshot is held back until the end.
    hold_back: bool,
    held_back: Option<Transaction>,
}

impl Store {
    fn new(choices: Vec<u8>) -> (Self, u64) {
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
            choices,
            step: 0,
            hold_back: false,
            held_back: None,
        };
        (store, version)
    }

    /// Commits a transaction, loses it, loses its answer or defers it. Returns whether it took effect; `None` if it got
    /// no answer.
    fn commit(&mut self, transaction: Transaction) -> Option<bool> {
        self.step += 1;
        let choice = self.choices[self.step % self.choices.len()];
        if choice.is_multiple_of(5) && !self.late.is_empty() {
            let late = self.late.remove(0);
            self.tables.commit(&late);
        }
        match choice {
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

    /// Carries out an action and returns its outcome; `None` if it is not reported.
    fn perform(&mut self, action: AppendAction) -> Option<AppendEvent> {
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
            AppendAction::Maintain { transaction } if self.hold_back && self.held_back.is_none() => {
                self.held_back = Some(transaction);
                AppendEvent::Maintained(false)
            }
            AppendAction::Maintain { transaction } => AppendEvent::Maintained(self.commit(transaction) == Some(true)),
        })
    }

    /// Restores the state as a takeover does, from the newest snapshot or from the one before.
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

/// Writes `rows` journal rows, and checks the order of the records and the state that a takeover restores, also from
/// time to time in between. Returns how many journal rows and snapshots are left in the store.
fn write_journal(rows: u64, choices: Vec<u8>, hold_back: bool) -> Result<(usize, usize), String> {
    let (mut store, fence) = Store::new(choices);
    store.hold_back = hold_back;
    let mut appender = Appender::new("fi".into(), Term(1), fence, Seq(0), Seq(0));
    let mut state = RegionState::default();
    let mut now = Millis(0);
    let mut committed = Vec::new();
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
            if let Some(event) = store.perform(action) {
                actions.extend(appender.on(now, event));
            }
        }
        while let Some((seq, batch)) = appender.next_committed() {
            state.fold_batch(seq, &batch);
            committed.extend(batch.records.into_iter().filter_map(|record| match record {
                Record::Drained { worker, .. } => Some(worker.to_string()),
                _ => None,
            }));
        }
        if appender.superseded() {
            return Err("the writer reported a takeover in its own term".to_owned());
        }
        if rounds % 97 == 0 {
            let read = store.recover(true)?;
            let seen = state.drained.is_subset(&read.drained);
            if !seen {
                return Err("a takeover misses committed records".to_owned());
            }
            store.recover(false)?;
        }
    }
    let expected: Vec<String> = (1..=pushed).map(|number| format!("w{number}")).collect();
    if committed != expected {
        return Err(format!(
            "{} of {pushed} records were committed, or in another order",
            committed.len()
        ));
    }
    if let Some(late) = store.held_back.take() {
        store.tables.commit(&late);
    }
    let read = store.recover(true)?;
    match read == state {
        true => Ok((
            store.tables.scan("journal/fi/", "", usize::MAX).len(),
            store.objects.len(),
        )),
        false => Err("the restored state differs from the committed one".to_owned()),
    }
}

/// Guards against a journal that grows without bound: rows that both snapshots cover are deleted. What is left restores
/// the state.
#[test]
fn snapshot_and_remove() {
    let (rows, snapshots) = write_journal(2_300, vec![1], false).expect("a journal");
    assert!(rows < 1_100, "{rows} rows were left of 2,300");
    assert_eq!(snapshots, 2);
}

/// Bytes that a takeover reads: the newest snapshot and the journal rows after it.
fn takeover_bytes(store: &Store) -> usize {
    let row = store.tables.get(&snapshot_key(&"fi".into()));
    let named = row
        .and_then(|row| SnapshotRow::parse(&row.value))
        .map(|row| row.current);
    let after = named.as_ref().map_or(Seq(0), |named| named.seq);
    let rows = store
        .tables
        .scan("journal/fi/", &journal_key(&"fi".into(), after), usize::MAX);
    let snapshot = named.map_or(0, |named| store.objects[&named.key].len());
    snapshot + rows.iter().map(|row| row.value.len()).sum::<usize>()
}

/// Guards against a takeover that reads megabytes because few, large rows don't make a snapshot due, under the first
/// writer or under one that found such rows.
#[test]
fn snapshot_by_bytes() {
    let limit = SnapshotLimits::default().min_bytes;
    let (mut store, fence) = Store::new(vec![1]);
    let mut state = RegionState::default();
    let mut now = Millis(0);
    let mut read = 0;
    for term in 1..4 {
        let mut appender = Appender::new("fi".into(), Term(term), fence, state.seq, Seq(0)).with_read(0, read);
        for round in 0..200 {
            now += Millis(100);
            // Drains a worker and puts it back, so that the state stays small while the journal grows.
            let worker = WorkerName::from("w".repeat(8_000));
            let drain = round % 2 == 0;
            appender.push([Record::Drained { worker, drain }]);
            let mut actions = appender.poll(now, now);
            // The last rows of a term get no snapshot: its scheduler ends.
            if round < 180 {
                actions.extend(appender.maintain(now, &state));
            }
            while let Some(action) = actions.pop() {
                actions.extend(
                    store
                        .perform(action)
                        .map_or_else(Vec::new, |event| appender.on(now, event)),
                );
            }
            while let Some((seq, batch)) = appender.next_committed() {
                state.fold_batch(seq, &batch);
            }
            let bytes = takeover_bytes(&store);
            assert!(bytes < 2 * limit, "term {term}, round {round}: {bytes} bytes");
        }
        read = takeover_bytes(&store);
    }
}

/// Guards against a late transaction that names an old snapshot after the journal rows that follow it were deleted. It
/// must not take effect.
#[test]
fn name_late() {
    write_journal(2_800, vec![1], true).expect("a journal that a takeover can read");
}

/// Guards against a second writer in one term, with the same write ids, that takes a late row of the first for its own.
#[test]
fn compare_same_term() {
    let (mut store, fence) = Store::new(vec![1]);
    let mut writer = |name: &str| {
        let mut writer = Appender::new("fi".into(), Term(1), fence, Seq(0), Seq(0));
        let worker = WorkerName::from(name);
        writer.push([Record::Drained { worker, drain: true }]);
        let actions = writer.poll(Millis(0), Millis(0));
        let events: Vec<AppendEvent> = actions.into_iter().filter_map(|action| store.perform(action)).collect();
        (writer, events)
    };
    let (_, first) = writer("w1");
    let (mut second, events) = writer("w2");
    assert_eq!(first, [AppendEvent::Committed(Seq(1))]);
    assert_eq!(events, [AppendEvent::Conflict(Seq(1))]);
    for action in second.on(Millis(10), AppendEvent::Conflict(Seq(1))) {
        let row = store.perform(action).expect("a row");
        second.on(Millis(20), row);
    }
    assert_eq!((second.next_committed(), second.superseded()), (None, true));
}

/// Guards against records that are stored twice, or in another order, if the store refuses a row of which an earlier try
/// is still on its way.
#[rstest]
#[case::never_arrives(false)]
#[case::arrives_late(true)]
fn refuse_after_lost_answer(#[case] late: bool) {
    let (mut store, fence) = Store::new(vec![1]);
    let mut writer = Appender::new("fi".into(), Term(1), fence, Seq(0), Seq(0));
    writer.push((1..=5).map(|number| Record::Drained {
        worker: WorkerName::from(format!("w{number}")),
        drain: true,
    }));
    let mut first = writer.poll(Millis(0), Millis(0));
    let Some(AppendAction::Commit { transaction, .. }) = first.pop() else {
        panic!("no commit");
    };
    writer.on(Millis(10), AppendEvent::Unknown(Seq(1)));
    writer.on(Millis(20), AppendEvent::ReadBack(Seq(1), None));
    assert_eq!(writer.poll(Millis(500), Millis(0)).len(), 1);
    writer.on(Millis(510), AppendEvent::Refused(Seq(1)));
    if late {
        store.tables.commit(&transaction);
    }
    for round in 6..60 {
        let now = Millis(round * 100);
        let mut actions = writer.poll(now, now);
        while let Some(action) = actions.pop() {
            let event = store.perform(action);
            actions.extend(event.map_or_else(Vec::new, |event| writer.on(now, event)));
        }
    }
    let rows = store.tables.scan("journal/fi/", "", usize::MAX);
    let records = rows
        .iter()
        .flat_map(|row| Batch::parse(&row.value).expect("a row").records);
    let names = records.map(|record| match record {
        Record::Drained { worker, .. } => worker.to_string(),
        other => panic!("{other:?}"),
    });
    assert_eq!(names.collect::<Vec<_>>(), ["w1", "w2", "w3", "w4", "w5"]);
    assert_eq!(
        (rows.len(), writer.superseded()),
        if late { (1, true) } else { (2, false) }
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 50, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against lost, duplicated and reordered records with random losses and delays.
    #[test]
    fn append_unreliable(choices in prop::collection::vec(0_u8..50, 3..60), rows in 1_200_u64..2_000) {
        prop_assume!(choices.iter().filter(|choice| **choice < 40).count() * 2 > choices.len());
        let outcome = write_journal(rows, choices, false);
        prop_assert!(outcome.is_ok(), "{outcome:?}");
    }
}

use std::io;
use std::sync::{Arc, Mutex};

use super::*;
use crate::ids::{AccountName, JobId, JobName, Term, WorkerName};

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn capture(level: LogLevel, write: impl FnOnce(&Logger)) -> Vec<serde_json::Value> {
    let buffer = Buffer::default();
    let log = background(slog_json::Json::default(buffer.clone()).fuse(), level);
    write(&log);
    // The writer thread ends, and with it the queue is written, when the last logger is dropped.
    drop(log);
    let bytes = buffer.0.lock().unwrap().clone();
    let text = String::from_utf8(bytes).unwrap();
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

// Operators trace a placement by these fields; none may be lost on the way through prefix and queue.
#[test]
fn log_decision_fields() {
    let line = LogLine {
        what: "placed",
        job: JobId(7),
        name: JobName::from("hearing"),
        account: AccountName::from("court"),
        workers: vec![WorkerName::from("w1"), WorkerName::from("w2")],
        term: Term(3),
        reason: "best fit".to_owned(),
    };
    let lines = capture(LogLevel::Info, |log| {
        log_decision(&component_logger(log, Component::Scheduler), &line);
    });
    assert_eq!(lines.len(), 1);
    let found = &lines[0];
    assert_eq!(found["msg"], "sched: placed");
    assert_eq!(found["job"], 7);
    assert_eq!(found["name"], "hearing");
    assert_eq!(found["account"], "court");
    assert_eq!(found["workers"], "w1,w2");
    assert_eq!(found["term"], 3);
    assert_eq!(found["reason"], "best fit");
}

#[test]
fn component_logger_level() {
    let lines = capture(LogLevel::Warn, |log| {
        let log = component_logger(log, Component::Store);
        slog::info!(log, "not written");
        slog::warn!(log, "read failed"; "key" => "lease/fi");
    });
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["msg"], "store: read failed");
    assert_eq!(lines[0]["key"], "lease/fi");
}

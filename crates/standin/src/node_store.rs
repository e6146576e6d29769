//! A simulated store of the platform in memory: versioned rows, conditional transactions, a feed of changes, and faults
//! that tests switch on. It has no objects.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::{Method, StatusCode};
use pistachiostair::{HttpReply, HttpRequest};
use serde_json::{Value, json};

/// How the store behaves, until the mode is changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers all requests.
    #[default]
    Healthy,
    /// It answers status 503, and requests have no effect.
    Refuses,
    /// It never answers, and requests have no effect.
    Silent,
    /// Every third transaction takes effect and is never answered.
    LosesReplies,
    /// Each answer is delayed by this many milliseconds.
    Slow(u64),
    /// Every third transaction is carried out after this many milliseconds, and never answered.
    Late(u64),
}

/// Table, part and key of a row.
type RowId = (String, String, String);

#[derive(Default)]
struct Rows {
    mode: StoreMode,
    /// Version of the last change; each has a higher one.
    version: u64,
    /// Values in base64, with the versions of the rows.
    rows: BTreeMap<RowId, (String, u64)>,
    /// Changes with their versions, oldest first; a deletion has no value.
    history: Vec<(u64, RowId, Option<String>)>,
    /// Version up to which changes were dropped from the history; feeds from before it are answered status 410.
    dropped: u64,
    /// Number of transactions that took effect.
    commits: u64,
    /// Number of transactions that arrived in [`StoreMode::Late`].
    late: u64,
    /// Texts that are replaced in the values of a table, by table.
    replaced: BTreeMap<String, Vec<(String, String)>>,
}

/// The simulated store; clones share their state.
#[derive(Clone, Default)]
pub struct FakeStore(Arc<Mutex<Rows>>);

impl FakeStore {
    /// Sets the mode for the requests that follow.
    pub fn set_mode(&self, mode: StoreMode) {
        self.0.lock().expect("store lock").mode = mode;
    }

    /// Replaces a text in all values that daemons write to a table from now on, so that an address leads to a relay.
    pub fn replace(&self, table: &str, from: &str, to: &str) {
        let mut rows = self.0.lock().expect("store lock");
        let texts = rows.replaced.entry(table.to_owned()).or_default();
        texts.push((from.to_owned(), to.to_owned()));
    }

    /// Writes a JSON row in the empty part of a table, where operators and workers write.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row of arbitrary bytes in the empty part of a table.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let mut rows = self.0.lock().expect("store lock");
        rows.version += 1;
        let id = (table.to_owned(), String::new(), key.to_owned());
        rows.set(id, Some(STANDARD.encode(value)));
    }

    /// Removes a row of the empty part of a table.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.0.lock().expect("store lock");
        rows.version += 1;
        rows.set((table.to_owned(), String::new(), key.to_owned()), None);
    }

    /// Drops all changes from the history, so that clients must read the tables again before they follow the feed.
    pub fn drop_history(&self) {
        let mut rows = self.0.lock().expect("store lock");
        rows.version += 1;
        rows.dropped = rows.version;
        rows.history.clear();
    }

    /// JSON value of a row; none if there is no such row or it is not JSON.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<Value> {
        let rows = self.0.lock().expect("store lock");
        let (value, _) = rows.rows.get(&(table.to_owned(), part.to_owned(), key.to_owned()))?;
        serde_json::from_slice(&STANDARD.decode(value).ok()?).ok()
    }

    /// Answers a request, or never returns if the mode says so.
    pub async fn answer(&self, request: HttpRequest) -> HttpReply {
        let mode = self.0.lock().expect("store lock").mode;
        match mode {
            StoreMode::Refuses => return HttpReply::text(StatusCode::SERVICE_UNAVAILABLE, ""),
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Slow(delay) => drop(Timer::after(Duration::from_millis(delay)).await),
            StoreMode::Healthy | StoreMode::LosesReplies | StoreMode::Late(_) => {}
        }
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/-/rows-tx") => {
                if let StoreMode::Late(delay) = mode
                    && self.count_late()
                {
                    let store = self.clone();
                    // In a thread of its own: the request's future ends with its connection.
                    std::thread::spawn(move || {
                        std::thread::sleep(Duration::from_millis(delay));
                        store.transact(&request.body, StoreMode::Healthy);
                    });
                    return std::future::pending().await;
                }
                let (reply, lost) = self.transact(&request.body, mode);
                if lost {
                    std::future::pending().await
                }
                reply
            }
            (&Method::GET, "/-/rows-get") => self.read(&request),
            (&Method::GET, "/-/rows-feed") => self.feed(&request).await,
            _ => HttpReply::text(StatusCode::NOT_FOUND, ""),
        }
    }

    /// Counts a transaction. Returns whether it is to be carried out late.
    fn count_late(&self) -> bool {
        let mut rows = self.0.lock().expect("store lock");
        rows.late += 1;
        rows.late.is_multiple_of(3)
    }

    /// Carries out a transaction. Returns the reply, and whether it is to be lost.
    fn transact(&self, body: &[u8], mode: StoreMode) -> (HttpReply, bool) {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return (HttpReply::text(StatusCode::BAD_REQUEST, ""), false);
        };
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mut rows = self.0.lock().expect("store lock");
        let checks = entries("expected_rev");
        let checks_hold = checks.iter().all(|check| {
            let version = rows.rows.get(&row_id(check)).map_or(0, |(_, version)| *version);
            Some(version) == check["row_version"].as_u64()
        });
        if !checks_hold {
            let current: Vec<Value> = checks.iter().filter_map(|check| rows.encode(&row_id(check))).collect();
            let body = json!({"rows": current, "row_version": rows.version, "now_ms": 1});
            return (
                HttpReply::json(StatusCode::PRECONDITION_FAILED, body.to_string()),
                false,
            );
        }
        rows.version += 1;
        for write in entries("writes") {
            let value = write["value"].as_str().unwrap_or_default();
            let id = row_id(&write);
            let value = rows.replace(&id.0, value);
            rows.set(id, Some(value));
        }
        for removed in entries("remove") {
            rows.set(row_id(&removed), None);
        }
        rows.commits += 1;
        let lost = mode == StoreMode::LosesReplies && rows.commits.is_multiple_of(3);
        let body = json!({"row_version": rows.version, "now_ms": 1});
        (HttpReply::json(StatusCode::OK, body.to_string()), lost)
    }

    /// Answers a read of the rows of a part from a key on.
    fn read(&self, request: &HttpRequest) -> HttpReply {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (field("table"), field("part"), field("from"));
        let limit = field("limit").parse().unwrap_or(500_usize);
        let rows = self.0.lock().expect("store lock");
        let within = rows
            .rows
            .range((table.clone(), part.clone(), from)..)
            .take_while(|((t, p, _), _)| (t, p) == (&table, &part));
        let mut found: Vec<Value> = within.take(limit + 1).filter_map(|(id, _)| rows.encode(id)).collect();
        let more = found.len() > limit;
        found.truncate(limit);
        let body = json!({"rows": found, "has_more": more, "row_version": rows.version, "now_ms": 1});
        HttpReply::json(StatusCode::OK, body.to_string())
    }

    /// Answers a read of the feed of a table once there is a change, or after the wait that the request allows.
    async fn feed(&self, request: &HttpRequest) -> HttpReply {
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (after, wait) = (number("after"), number("wait_ms"));
        let table = request.query.get("table").cloned().unwrap_or_default();
        for passed in (0..=wait).step_by(20) {
            {
                let rows = self.0.lock().expect("store lock");
                if after < rows.dropped {
                    return HttpReply::text(StatusCode::GONE, "");
                }
                let changes = rows
                    .history
                    .iter()
                    .filter(|(version, id, _)| *version > after && id.0 == table);
                let changed: Vec<Value> = changes
                    .map(|(version, id, value)| encode_row(id, value.as_deref(), *version))
                    .collect();
                if !changed.is_empty() || passed + 20 > wait {
                    let body = json!({"rows": changed, "row_version": rows.version, "now_ms": 1});
                    return HttpReply::json(StatusCode::OK, body.to_string());
                }
            }
            Timer::after(Duration::from_millis(20)).await;
        }
        HttpReply::text(StatusCode::INTERNAL_SERVER_ERROR, "")
    }
}

impl Rows {
    /// Writes a row, or deletes it if there is no value, and adds the change to the history under the current version.
    fn set(&mut self, id: RowId, value: Option<String>) {
        match &value {
            Some(value) => self.rows.insert(id.clone(), (value.clone(), self.version)),
            None => self.rows.remove(&id),
        };
        self.history.push((self.version, id, value));
    }

    /// A value with the texts replaced that are replaced in its table.
    fn replace(&self, table: &str, value: &str) -> String {
        let texts = self.replaced.get(table).map_or(&[][..], Vec::as_slice);
        let decoded = STANDARD
            .decode(value)
            .ok()
            .and_then(|bytes| String::from_utf8(bytes).ok());
        match decoded.filter(|_| !texts.is_empty()) {
            Some(text) => STANDARD.encode(texts.iter().fold(text, |text, (from, to)| text.replace(from, to))),
            None => value.to_owned(),
        }
    }

    /// The row as it is in a reply; none if there is no such row.
    fn encode(&self, id: &RowId) -> Option<Value> {
        let (value, version) = self.rows.get(id)?;
        Some(encode_row(id, Some(value), *version))
    }
}

/// The row that an entry of a transaction names.
fn row_id(entry: &Value) -> RowId {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

/// A row as it is in a reply; one without a value is a deletion.
fn encode_row((table, part, key): &RowId, value: Option<&str>, version: u64) -> Value {
    match value {
        Some(value) => json!({"table": table, "part": part, "key": key, "value": value, "row_version": version}),
        None => json!({"table": table, "part": part, "key": key, "row_version": version, "deleted": true}),
    }
}

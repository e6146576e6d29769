//! A simulated store of the platform in memory: versioned rows, conditional transactions, a feed of changes, objects,
//! and faults that tests switch on.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use pistachiostair::{HttpBody, HttpReply, HttpRequest, decode_percent};
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

/// Largest number of rows in one reply.
const MAX_PAGE_ROWS: usize = 500;

/// Largest size of the rows in one reply, in bytes.
const MAX_PAGE_BYTES: usize = 1_000_000;

/// Path prefixes of the calls about one object.
const PUT_OBJECT: &str = "/-/blob-put/";
const GET_OBJECT: &str = "/-/blob-get/";
const DROP_OBJECT: &str = "/-/blob-drop/";

/// Table, part and key of a row.
type RowId = (String, String, String);

#[derive(Clone, Default)]
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
    objects: BTreeMap<String, Bytes>,
    /// Number of reads of the journal, its snapshots and the row that names them, by the caller's number.
    takeover_reads: BTreeMap<usize, u64>,
    /// Daemon whose reads for a takeover are refused.
    refused: Option<usize>,
    /// Daemon that gets journal rows which it can't parse.
    garbled: Option<usize>,
}

/// The simulated store; clones share their state.
#[derive(Clone, Default)]
pub struct FakeStore(Arc<Mutex<Rows>>);

impl FakeStore {
    /// A store of its own with the rows and objects that this one has now.
    pub fn fork(&self) -> Self {
        Self(Arc::new(Mutex::new(self.0.lock().expect("store lock").clone())))
    }

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

    /// Number of reads by a daemon that serve a takeover: of the journal, its snapshots and the row that names them.
    pub fn takeover_reads(&self, daemon: usize) -> u64 {
        let rows = self.0.lock().expect("store lock");
        rows.takeover_reads.get(&daemon).copied().unwrap_or(0)
    }

    /// Refuses all reads of a daemon that serve a takeover, and none of any other.
    pub fn refuse_takeover(&self, daemon: usize) {
        self.0.lock().expect("store lock").refused = Some(daemon);
    }

    /// Returns journal rows that can't be parsed to a daemon, and intact ones to all others.
    pub fn garble_journal(&self, daemon: usize) {
        self.0.lock().expect("store lock").garbled = Some(daemon);
    }

    /// Bytes that a takeover of a region reads: the newest snapshot and the journal rows after it, as they are in
    /// replies.
    pub fn takeover_bytes(&self, region: &str) -> (usize, usize) {
        let snapshot = self.value("snapshot", region, "current");
        let rows = self.0.lock().expect("store lock");
        let current = snapshot.as_ref().map(|row| &row["current"]);
        let object = current.and_then(|current| rows.objects.get(current["key"].as_str()?));
        let covered = current.and_then(|current| current["seq"].as_u64()).unwrap_or(0);
        let journal = (
            String::from("journal"),
            region.to_owned(),
            format!("{:016}", covered + 1),
        );
        let tail = rows
            .rows
            .range(journal.clone()..)
            .take_while(|((t, p, _), _)| (t, p) == (&journal.0, &journal.1));
        let tail = tail
            .filter_map(|(id, _)| Some(rows.encode(id)?.to_string().len()))
            .sum();
        (object.map_or(0, Bytes::len), tail)
    }

    /// Answers a request of a caller, or never returns if the mode says so.
    pub async fn answer(&self, caller: usize, request: HttpRequest) -> HttpReply {
        if self.count_read(caller, &request) {
            return HttpReply::text(StatusCode::SERVICE_UNAVAILABLE, "");
        }
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
            (&Method::GET, "/-/rows-get") => self.read(caller, &request),
            (&Method::GET, "/-/rows-feed") => self.feed(&request).await,
            (&Method::GET, "/-/blob-list") => self.list_objects(&request),
            (_, path) if path.starts_with("/-/blob-") => self.handle_object(&request),
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

    /// Counts a read that serves a takeover. Returns whether it is to be refused.
    fn count_read(&self, caller: usize, request: &HttpRequest) -> bool {
        let table = request.query.get("table").map(String::as_str);
        let counts = request.path.starts_with(GET_OBJECT)
            || (request.path == "/-/rows-get" && matches!(table, Some("journal" | "snapshot")));
        let mut rows = self.0.lock().expect("store lock");
        if counts {
            *rows.takeover_reads.entry(caller).or_default() += 1;
        }
        counts && rows.refused == Some(caller)
    }

    /// Writes, reads or deletes an object.
    fn handle_object(&self, request: &HttpRequest) -> HttpReply {
        let mut rows = self.0.lock().expect("store lock");
        let name = |prefix| request.path.strip_prefix(prefix).map(decode_percent);
        let not_found = || HttpReply::text(StatusCode::NOT_FOUND, "");
        if let (&Method::PUT, Some(name)) = (&request.method, name(PUT_OBJECT)) {
            let exclusive = request.headers.contains_key("if-none-match");
            if exclusive && rows.objects.contains_key(&name) {
                return HttpReply::text(StatusCode::PRECONDITION_FAILED, "");
            }
            rows.objects.insert(name, request.body.clone());
            return HttpReply::text(StatusCode::OK, "");
        }
        if let (&Method::GET, Some(name)) = (&request.method, name(GET_OBJECT)) {
            return rows.objects.get(&name).map_or_else(not_found, |body| HttpReply {
                status: StatusCode::OK,
                headers: Vec::new(),
                body: HttpBody::Full(body.clone()),
            });
        }
        if let (&Method::DELETE, Some(name)) = (&request.method, name(DROP_OBJECT)) {
            let dropped = rows.objects.remove(&name);
            return dropped.map_or_else(not_found, |_| HttpReply::text(StatusCode::OK, ""));
        }
        not_found()
    }

    /// Answers a list of the objects whose names have a prefix.
    fn list_objects(&self, request: &HttpRequest) -> HttpReply {
        const MAX_NAMES: usize = 1_000;
        let field = |name: &str| request.query.get(name).map_or("", String::as_str);
        let (prefix, after) = (field("path_prefix"), field("after"));
        let rows = self.0.lock().expect("store lock");
        let mut names: Vec<&String> = rows
            .objects
            .keys()
            .filter(|name| name.starts_with(prefix) && name.as_str() > after)
            .take(MAX_NAMES + 1)
            .collect();
        let more = names.len() > MAX_NAMES;
        names.truncate(MAX_NAMES);
        HttpReply::json(StatusCode::OK, json!({"names": names, "has_more": more}).to_string())
    }

    /// Answers a read of the rows of a part from a key on.
    fn read(&self, caller: usize, request: &HttpRequest) -> HttpReply {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (field("table"), field("part"), field("from"));
        let limit = field("limit").parse().unwrap_or(MAX_PAGE_ROWS).min(MAX_PAGE_ROWS);
        let rows = self.0.lock().expect("store lock");
        let within = rows
            .rows
            .range((table.clone(), part.clone(), from)..)
            .take_while(|((t, p, _), _)| (t, p) == (&table, &part));
        let (mut found, mut bytes, mut more) = (Vec::new(), 0, false);
        for row in within.filter_map(|(id, _)| rows.encode(id)) {
            bytes += row.to_string().len();
            more = found.len() == limit || (bytes > MAX_PAGE_BYTES && !found.is_empty());
            if more {
                break;
            }
            found.push(row);
        }
        if table == "journal" && rows.garbled == Some(caller) {
            for row in &mut found {
                row["value"] = json!(STANDARD.encode("garbled"));
            }
        }
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

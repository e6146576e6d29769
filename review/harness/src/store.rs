//! The platform's store: versioned rows with conditional transactions, a feed of changes, and objects.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{self, Reply, Request};

type RowId = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowId, (String, u64)>,
    history: Vec<(u64, RowId, Option<String>)>,
    objects: BTreeMap<String, Vec<u8>>,
    /// While set, every call is answered 503 and nothing is done.
    down: bool,
    /// Transactions turned away because a value is longer than `row_bytes`, with that length.
    too_long: Vec<usize>,
}

/// The store; clones share their state.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

/// Most bytes in the value of a row, as `platform.row_bytes` in the settings says.
pub const ROW_BYTES: usize = 65_536;

impl Store {
    pub fn new() -> Self {
        Self {
            rows: Arc::default(),
            started: Instant::now(),
        }
    }

    pub fn set_down(&self, down: bool) {
        self.rows.0.lock().unwrap().down = down;
    }

    /// Lengths of the values that were turned away.
    pub fn too_long(&self) -> Vec<usize> {
        self.rows.0.lock().unwrap().too_long.clone()
    }

    /// Writes a row where operators and workers write.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let id = (table.to_owned(), String::new(), key.to_owned());
        rows.set(id, Some(STANDARD.encode(value.to_string())));
        self.rows.1.notify_all();
    }

    pub fn answer(&self, request: &Request) -> Reply {
        if self.rows.0.lock().unwrap().down {
            return json_error(503);
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/rows-tx") => self.transact(&request.json()),
            ("GET", "/-/rows-get") => self.read(request),
            ("GET", "/-/rows-feed") => self.feed(request),
            (method, path) if path.starts_with("/-/blob-") => self.object(method, path, request),
            _ => json_error(404),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn transact(&self, body: &Value) -> Reply {
        std::thread::sleep(Duration::from_millis(4));
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mut rows = self.rows.0.lock().unwrap();
        let held = |check: &Value| rows.rows.get(&row_id(check)).map_or(0, |(_, version)| *version);
        let checks = list("expected_rev");
        if checks
            .iter()
            .any(|check| Some(held(check)) != check["row_version"].as_u64())
        {
            let current: Vec<Value> = checks
                .iter()
                .filter_map(|check| {
                    let id = row_id(check);
                    let (value, version) = rows.rows.get(&id)?;
                    Some(encode(&id, Some(value), *version))
                })
                .collect();
            return http::json(
                412,
                &json!({"rows": current, "row_version": rows.version, "now_ms": self.now_ms()}),
            );
        }
        for write in list("writes") {
            let length = STANDARD
                .decode(write["value"].as_str().unwrap_or_default())
                .map_or(0, |value| value.len());
            if length > ROW_BYTES {
                rows.too_long.push(length);
                return json_error(400);
            }
        }
        rows.version += 1;
        for write in list("writes") {
            rows.set(row_id(&write), write["value"].as_str().map(str::to_owned));
        }
        for removed in list("remove") {
            rows.set(row_id(&removed), None);
        }
        self.rows.1.notify_all();
        http::json(200, &json!({"row_version": rows.version, "now_ms": self.now_ms()}))
    }

    fn read(&self, request: &Request) -> Reply {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, target) = (field("table"), field("part"), field("target"));
        let limit = field("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.0.lock().unwrap();
        let (mut found, mut bytes, mut more) = (Vec::new(), 0, false);
        for (id, (value, version)) in rows.rows.range((table.clone(), part.clone(), field("from"))..) {
            if (&id.0, &id.1) != (&table, &part) || (!target.is_empty() && id.2 >= target) {
                break;
            }
            bytes += value.len() + 200;
            if found.len() == limit || (bytes > 1_000_000 && !found.is_empty()) {
                more = true;
                break;
            }
            found.push(encode(id, Some(value), *version));
        }
        let body = json!({"rows": found, "has_more": more, "row_version": rows.version, "now_ms": self.now_ms()});
        http::json(200, &body)
    }

    fn feed(&self, request: &Request) -> Reply {
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let table = request.query.get("table").cloned().unwrap_or_default();
        let (after, end) = (
            number("after"),
            Instant::now() + Duration::from_millis(number("wait_ms").min(30_000)),
        );
        let mut rows = self.rows.0.lock().unwrap();
        loop {
            if rows.down {
                return json_error(503);
            }
            let changes = rows
                .history
                .iter()
                .filter(|(version, id, _)| *version > after && id.0 == table);
            let changed: Vec<Value> = changes
                .map(|(version, id, value)| encode(id, value.as_deref(), *version))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let body = json!({"rows": changed, "row_version": rows.version, "now_ms": self.now_ms()});
                return http::json(200, &body);
            }
            rows = self
                .rows
                .1
                .wait_timeout(rows, left.min(Duration::from_millis(50)))
                .unwrap()
                .0;
        }
    }

    fn object(&self, method: &str, path: &str, request: &Request) -> Reply {
        let mut rows = self.rows.0.lock().unwrap();
        let name = path.splitn(4, '/').nth(3).unwrap_or_default().to_owned();
        match method {
            "PUT" => {
                if request.headers.contains_key("if-none-match") && rows.objects.contains_key(&name) {
                    return json_error(412);
                }
                rows.objects.insert(name, request.body.clone());
                json_error(200)
            }
            "GET" => rows
                .objects
                .get(&name)
                .map_or_else(|| json_error(404), |body| Some((200, body.clone()))),
            "DELETE" => json_error(if rows.objects.remove(&name).is_some() { 200 } else { 404 }),
            _ => json_error(404),
        }
    }
}

impl Rows {
    fn set(&mut self, id: RowId, value: Option<String>) {
        match &value {
            Some(value) => self.rows.insert(id.clone(), (value.clone(), self.version)),
            None => self.rows.remove(&id),
        };
        self.history.push((self.version, id, value));
    }
}

fn json_error(status: u16) -> Reply {
    http::json(status, &json!({}))
}

fn row_id(entry: &Value) -> RowId {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn encode((table, part, key): &RowId, value: Option<&str>, version: u64) -> Value {
    match value {
        Some(value) => json!({"table": table, "part": part, "key": key, "value": value, "row_version": version}),
        None => json!({"table": table, "part": part, "key": key, "row_version": version, "deleted": true}),
    }
}

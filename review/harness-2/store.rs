//! The platform's store: versioned rows, conditional transactions, a feed and objects, in memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::wire::{Answer, Json, Request, Server, base64, quote};

type RowId = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowId, (String, u64)>,
    history: Vec<(u64, RowId, Option<String>)>,
    objects: BTreeMap<String, Vec<u8>>,
}

impl Rows {
    fn set(&mut self, id: RowId, value: Option<String>) {
        match &value {
            Some(value) => _ = self.rows.insert(id.clone(), (value.clone(), self.version)),
            None => _ = self.rows.remove(&id),
        }
        self.history.push((self.version, id, value));
    }
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

fn id_of(row: &Json) -> RowId {
    let field = |name| row.get(name).text().to_owned();
    (field("table"), field("part"), field("key"))
}

fn row_text(id: &RowId, value: &str, version: u64) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":\"{value}\",\"row_version\":{version}}}",
        quote(&id.0),
        quote(&id.1),
        quote(&id.2)
    )
}

impl Store {
    pub fn new() -> Store {
        Store { rows: Arc::default(), started: Instant::now() }
    }

    pub fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start(address, Arc::new(move |request| store.handle(&request)))
    }

    /// Writes a row of the empty part of a table, as operators and workers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.set(table, key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.set(table, key, None);
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        rows.set((table.to_owned(), String::new(), key.to_owned()), value);
        self.rows.1.notify_all();
    }

    fn tail(&self, version: u64) -> String {
        format!("\"row_version\":{version},\"now_ms\":{}", self.started.elapsed().as_millis())
    }

    fn handle(&self, request: &Request) -> Answer {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let ok = |text: String| Some((200, text.into_bytes()));
        match request.path.as_str() {
            "/-/rows-tx" => {
                std::thread::sleep(Duration::from_millis(5));
                let body = request.json();
                let mut rows = self.rows.0.lock().unwrap();
                let version = |rows: &Rows, id: &RowId| rows.rows.get(id).map_or(0, |(_, version)| *version);
                let expected = body.get("expected_rev").list();
                if expected.iter().any(|row| version(&rows, &id_of(row)) != row.get("row_version").number()) {
                    let current = expected.iter().filter_map(|row| {
                        let id = id_of(row);
                        rows.rows.get(&id).map(|(value, version)| row_text(&id, value, *version))
                    });
                    let current: Vec<String> = current.collect();
                    let text = format!("{{\"rows\":[{}],{}}}", current.join(","), self.tail(rows.version));
                    return Some((412, text.into_bytes()));
                }
                rows.version += 1;
                for row in body.get("writes").list() {
                    rows.set(id_of(row), Some(row.get("value").text().to_owned()));
                }
                for row in body.get("remove").list() {
                    rows.set(id_of(row), None);
                }
                self.rows.1.notify_all();
                ok(format!("{{{}}}", self.tail(rows.version)))
            }
            "/-/rows-get" => {
                std::thread::sleep(Duration::from_millis(4));
                let rows = self.rows.0.lock().unwrap();
                let limit = query("limit").parse().unwrap_or(500).min(500);
                let from = (query("table"), query("part"), query("from"));
                let end = query("target");
                let matching = rows.rows.range(from.clone()..);
                let matching = matching.take_while(|(id, _)| id.0 == from.0 && id.1 == from.1);
                let matching: Vec<_> = matching.filter(|(id, _)| end.is_empty() || id.2 < end).collect();
                let page = matching.iter().take(limit);
                let page: Vec<String> = page.map(|(id, (value, version))| row_text(id, value, *version)).collect();
                let more = matching.len() > limit;
                ok(format!("{{\"rows\":[{}],\"has_more\":{more},{}}}", page.join(","), self.tail(rows.version)))
            }
            "/-/rows-feed" => {
                let table = query("table");
                let after: u64 = query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let mut rows = self.rows.0.lock().unwrap();
                loop {
                    let changed = rows.history.iter().rev().take_while(|(version, _, _)| *version > after);
                    let changed: Vec<String> = changed
                        .filter(|(_, id, _)| id.0 == table)
                        .map(|(version, id, value)| match value {
                            Some(value) => row_text(id, value, *version),
                            None => row_text(id, "", *version).replace("\"row_version\"", "\"deleted\":true,\"row_version\""),
                        })
                        .collect();
                    let now = Instant::now();
                    if !changed.is_empty() || now >= until {
                        let changed: Vec<String> = changed.into_iter().rev().collect();
                        return ok(format!("{{\"rows\":[{}],{}}}", changed.join(","), self.tail(rows.version)));
                    }
                    rows = self.rows.1.wait_timeout(rows, until - now).unwrap().0;
                }
            }
            path => {
                std::thread::sleep(Duration::from_millis(25));
                let mut rows = self.rows.0.lock().unwrap();
                if let Some(key) = path.strip_prefix("/-/blob-put/") {
                    rows.objects.insert(key.to_owned(), request.body.clone());
                    return ok("{}".to_owned());
                }
                if let Some(key) = path.strip_prefix("/-/blob-get/") {
                    let found = rows.objects.get(key).cloned();
                    return found.map_or(Some((404, b"{}".to_vec())), |body| Some((200, body)));
                }
                if let Some(key) = path.strip_prefix("/-/blob-drop/") {
                    rows.objects.remove(key);
                    return ok("{}".to_owned());
                }
                Some((404, b"{}".to_vec()))
            }
        }
    }
}

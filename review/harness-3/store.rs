//! A stand-in of the platform's store: rows, transactions, the feed and objects.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server, decode};
use crate::json::{Json, decode_base64, encode_base64, quote};
use crate::record::Record;

type RowId = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<RowId, (String, u64)>,
    /// Changes with their versions; a deletion has no value.
    history: Vec<(u64, RowId, Option<String>)>,
    objects: BTreeMap<String, Vec<u8>>,
    /// Daemons that get no answers.
    cut: BTreeSet<usize>,
    /// A daemon that gets no more answers once it has written a journal row with this text.
    cut_at: Option<(usize, String)>,
    /// Texts that are replaced in what a daemon reads: the address of a worker, which differs by the path to it.
    addresses: Vec<(usize, String, String)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    record: Arc<Record>,
}

impl Store {
    pub fn create(record: Arc<Record>) -> Arc<Store> {
        Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            record,
        })
    }

    /// Serves an address for a daemon, with which the store knows its requests.
    pub fn serve(self: &Arc<Self>, daemon: usize, address: SocketAddr) -> std::io::Result<Arc<Server>> {
        let store = self.clone();
        Server::start(address, Arc::new(move |request| store.answer(daemon, &request)))
    }

    /// Replaces a text in what a daemon reads.
    pub fn replace(&self, daemon: usize, from: &str, to: &str) {
        self.state.lock().unwrap().addresses.push((daemon, from.to_owned(), to.to_owned()));
    }

    /// Cuts a daemon off once it has written a journal row with `text`, before that is answered.
    pub fn cut_at(&self, daemon: usize, text: &str) {
        self.state.lock().unwrap().cut_at = Some((daemon, text.to_owned()));
    }

    pub fn is_cut(&self, daemon: usize) -> bool {
        self.state.lock().unwrap().cut.contains(&daemon)
    }

    /// Ends the cut of a daemon.
    pub fn heal(&self, daemon: usize) {
        self.record.line(format!("the path of daemon {daemon} to the store is open again"));
        self.state.lock().unwrap().cut.remove(&daemon);
        self.changed.notify_all();
    }

    /// Value of a row.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<Json> {
        let state = self.state.lock().unwrap();
        let (value, _) = state.rows.get(&(table.to_owned(), part.to_owned(), key.to_owned()))?;
        Json::parse(&String::from_utf8(decode_base64(value)).ok()?)
    }

    /// Writes a row in the empty part of a table, where operators and workers write.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let id = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.set(id, Some(encode_base64(value.as_bytes())));
        self.changed.notify_all();
    }

    /// Removes such a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.set((table.to_owned(), String::new(), key.to_owned()), None);
        self.changed.notify_all();
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn answer(&self, daemon: usize, request: &Request) -> Answer {
        // What a partition holds up arrives when it ends.
        let mut state = self.state.lock().unwrap();
        while state.cut.contains(&daemon) {
            state = self.changed.wait(state).unwrap();
        }
        drop(state);
        let path = request.path.as_str();
        let (status, body) = match (request.method.as_str(), path) {
            ("POST", "/-/rows-tx") => {
                std::thread::sleep(Duration::from_millis(4));
                let answer = self.transact(&request.body);
                self.cut_after(daemon, &request.body, answer.0);
                answer
            }
            ("GET", "/-/rows-get") => self.read(daemon, request),
            ("GET", "/-/rows-feed") => self.feed(daemon, request),
            _ => return self.object(request),
        };
        match self.is_cut(daemon) {
            true => Answer::Silence,
            false => Answer::Reply(status, body.into_bytes()),
        }
    }

    /// Begins the cut of a daemon if the transaction is the one that it waits for and took effect.
    fn cut_after(&self, daemon: usize, body: &[u8], status: u16) {
        let mut state = self.state.lock().unwrap();
        let Some((cut, text)) = state.cut_at.clone() else { return };
        let Some(body) = std::str::from_utf8(body).ok().and_then(Json::parse) else { return };
        let writes = body.field("writes").list().iter();
        let mut rows = writes.filter(|write| write.field("table").text() == "journal");
        let found = rows.any(|row| String::from_utf8_lossy(&decode_base64(row.field("value").text())).contains(&text));
        if cut == daemon && status == 200 && found {
            state.cut_at = None;
            state.cut.insert(daemon);
            self.record.line(format!("the path of daemon {daemon} to the store is cut, as the answer to its journal row is on its way"));
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = std::str::from_utf8(body).ok().and_then(Json::parse) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        let checks = body.field("expected_rev").list();
        let version = |state: &State, id: &RowId| state.rows.get(id).map_or(0, |(_, version)| *version);
        let hold = checks.iter().all(|check| version(&state, &row_id(check)) == check.field("row_version").number());
        if !hold {
            let rows: Vec<String> = checks.iter().filter_map(|check| state.encode(&row_id(check))).collect();
            let (rows, version, now) = (rows.join(","), state.version, self.now());
            return (412, format!("{{\"rows\":[{rows}],\"row_version\":{version},\"now_ms\":{now}}}"));
        }
        state.version += 1;
        for write in body.field("writes").list() {
            state.set(row_id(write), Some(write.field("value").text().to_owned()));
        }
        for removed in body.field("remove").list() {
            state.set(row_id(removed), None);
        }
        self.changed.notify_all();
        (200, format!("{{\"row_version\":{},\"now_ms\":{}}}", state.version, self.now()))
    }

    fn read(&self, daemon: usize, request: &Request) -> (u16, String) {
        let (table, part, from, target) =
            (request.param("table"), request.param("part"), request.param("from"), request.param("target"));
        let limit = request.param("limit").parse().unwrap_or(500_usize).min(500);
        let state = self.state.lock().unwrap();
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (id, _) in state.rows.range((table.clone(), part.clone(), from)..) {
            if id.0 != table || id.1 != part || (!target.is_empty() && id.2 >= target) {
                break;
            }
            let row = state.encode_for(daemon, id).unwrap_or_default();
            bytes += row.len();
            more = rows.len() == limit || (bytes > 1_000_000 && !rows.is_empty());
            if more {
                break;
            }
            rows.push(row);
        }
        let (rows, version, now) = (rows.join(","), state.version, self.now());
        (200, format!("{{\"rows\":[{rows}],\"has_more\":{more},\"row_version\":{version},\"now_ms\":{now}}}"))
    }

    fn feed(&self, daemon: usize, request: &Request) -> (u16, String) {
        let table = request.param("table");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait: u64 = request.param("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.history.iter().filter(|(version, id, _)| *version > after && id.0 == table);
            let rows: Vec<String> = changes.map(|(version, id, value)| state.encode_change(daemon, id, value.as_deref(), *version)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (rows, version, now) = (rows.join(","), state.version, self.now());
                return (200, format!("{{\"rows\":[{rows}],\"row_version\":{version},\"now_ms\":{now}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn object(&self, request: &Request) -> Answer {
        let name = |prefix| request.path.strip_prefix(prefix).map(decode);
        let mut state = self.state.lock().unwrap();
        let (status, body) = if let Some(name) = name("/-/blob-put/") {
            match state.objects.contains_key(&name) && !request.header("if-none-match").is_empty() {
                true => (412, Vec::new()),
                false => {
                    state.objects.insert(name, request.body.clone());
                    (200, Vec::new())
                }
            }
        } else if let Some(name) = name("/-/blob-get/") {
            state.objects.get(&name).map_or((404, Vec::new()), |body| (200, body.clone()))
        } else if let Some(name) = name("/-/blob-drop/") {
            state.objects.remove(&name).map_or((404, Vec::new()), |_| (200, Vec::new()))
        } else {
            (404, Vec::new())
        };
        Answer::Reply(status, body)
    }
}

impl State {
    fn set(&mut self, id: RowId, value: Option<String>) {
        match &value {
            Some(text) => _ = self.rows.insert(id.clone(), (text.clone(), self.version)),
            None => _ = self.rows.remove(&id),
        }
        self.history.push((self.version, id, value));
    }

    fn encode_for(&self, daemon: usize, id: &RowId) -> Option<String> {
        let (value, version) = self.rows.get(id)?;
        Some(self.encode_change(daemon, id, Some(value), *version))
    }

    fn encode_change(&self, daemon: usize, id: &RowId, value: Option<&str>, version: u64) -> String {
        let texts = self.addresses.iter().filter(|(reader, ..)| *reader == daemon && id.0 == "servers");
        let value = value.map(|value| {
            let text = String::from_utf8_lossy(&decode_base64(value)).into_owned();
            let replaced = texts.fold(text.clone(), |text, (_, from, to)| text.replace(from, to));
            if replaced == text { value.to_owned() } else { encode_base64(replaced.as_bytes()) }
        });
        encode_row(id, value.as_deref(), version)
    }

    fn encode(&self, id: &RowId) -> Option<String> {
        let (value, version) = self.rows.get(id)?;
        Some(encode_row(id, Some(value), *version))
    }
}

fn row_id(entry: &Json) -> RowId {
    let text = |name: &str| entry.field(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn encode_row((table, part, key): &RowId, value: Option<&str>, version: u64) -> String {
    let id = format!("\"table\":{},\"part\":{},\"key\":{}", quote(table), quote(part), quote(key));
    match value {
        Some(value) => format!("{{{id},\"value\":{},\"row_version\":{version}}}", quote(value)),
        None => format!("{{{id},\"row_version\":{version},\"deleted\":true}}"),
    }
}

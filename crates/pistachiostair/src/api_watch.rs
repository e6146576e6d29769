//! Watches: JSON lines from a revision on.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use hyper::StatusCode;
use serde::Serialize;
use serde_json::Value;

use crate::api::Api;
use crate::clock::{Millis, within};
use crate::error::{Error, ErrorKind, Result};
use crate::http_server::{HttpBody, HttpReply, HttpRequest};
use crate::ids::Revision;
use crate::interface::WatchLine;
use crate::message::{Call, Failure, Response};
use crate::route::Route;

/// Lines that may wait for a slow reader before the watch is ended.
const BACKLOG: usize = 64;

/// Longest wait for a first change at the scheduler, and the time between two bookmarks.
const POLL: Millis = Millis(5_000);

/// Time between two looks at objects that this daemon holds itself.
const LOOK: Millis = Millis(250);

/// Longest time for one look.
const LOOK_TIMEOUT: Millis = Millis(3_000);

/// Time that a slow reader has to take a line.
const SEND_TIMEOUT: Millis = Millis(10_000);

/// Most jobs in one page.
const PAGE: u32 = 500;

/// Counts an open watch until it is dropped.
struct OpenWatch(Arc<AtomicUsize>);

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Api {
    /// Starts a watch.
    pub(crate) fn watch(self: &Arc<Self>, route: &Route, request: &HttpRequest) -> Result<HttpReply> {
        let text = request.query.get("watch").map_or("", String::as_str);
        let from = if text.is_empty() { Some(0) } else { text.parse().ok() };
        let Some(from) = from.map(Revision) else {
            return Err(Error::msg(
                ErrorKind::Invalid,
                "watch",
                format!("watch: {text:?} is not a revision"),
            ));
        };
        if self.watches.fetch_add(1, Ordering::Relaxed) >= self.watch_limit {
            self.watches.fetch_sub(1, Ordering::Relaxed);
            let message = format!("{} watches are open, the most allowed", self.watch_limit);
            return Err(Error::msg(ErrorKind::Limited, "watch", message).retry_after(5_000));
        }
        let open = OpenWatch(self.watches.clone());
        let (sender, receiver) = async_channel::bounded(BACKLOG);
        let feed = Feed {
            api: self.clone(),
            request: request.clone(),
            sender,
            _open: open,
        };
        match route {
            Route::ListJobs => self.kernel.spawn(feed.jobs(from)),
            Route::ListAccounts | Route::ListGuarantees | Route::GetConfiguration => {
                let current = self.catalog_revision(route);
                if from != Revision(0) && from != current {
                    // Deletions between the two revisions are not kept.
                    let message = format!("revision {from} is too old, list again; the newest is {current}");
                    return Err(Error::msg(ErrorKind::Expired, "watch", message));
                }
                self.kernel.spawn(feed.objects(route.clone(), from));
            }
            Route::ListWorkers | Route::ListMembers => self.kernel.spawn(feed.objects(route.clone(), Revision(0))),
            _ => return Err(Error::msg(ErrorKind::Invalid, "watch", "only lists can be watched")),
        }
        Ok(HttpReply {
            status: StatusCode::OK,
            headers: vec![("content-type", "application/jsonl".to_owned())],
            body: HttpBody::Chunks(receiver),
        })
    }

    fn catalog_revision(&self, route: &Route) -> Revision {
        match route {
            Route::GetConfiguration => self.config.revision(),
            _ => self.config.catalog_revision(),
        }
    }

    /// The objects of a list by name, and the revision that a watch can resume from.
    async fn objects(&self, route: &Route, request: &HttpRequest) -> Result<(BTreeMap<String, Value>, Revision)> {
        let deadline = self.kernel.clock.now() + LOOK_TIMEOUT;
        let catalog = self.config.catalog();
        Ok(match route {
            Route::ListAccounts => {
                let objects = catalog
                    .accounts
                    .iter()
                    .map(|(name, account)| named(name.as_str(), account));
                (objects.collect(), Revision(catalog.revision))
            }
            Route::ListGuarantees => {
                let objects = catalog
                    .guarantees
                    .iter()
                    .map(|(name, guarantee)| named(name.as_str(), guarantee));
                (objects.collect(), Revision(catalog.revision))
            }
            Route::GetConfiguration => {
                let configuration = self.configuration();
                let revision = configuration.metadata.revision;
                (BTreeMap::from([named("configuration", &configuration)]), revision)
            }
            Route::ListWorkers => {
                let workers = self.workers(request, deadline).await?;
                (
                    workers
                        .iter()
                        .map(|worker| named(worker.info.name.as_str(), worker))
                        .collect(),
                    Revision(0),
                )
            }
            _ => {
                let members = self.members.view().daemons;
                (
                    members
                        .iter()
                        .map(|member| named(member.name.as_str(), member))
                        .collect(),
                    Revision(0),
                )
            }
        })
    }
}

fn named<T: Serialize>(name: &str, object: &T) -> (String, Value) {
    (name.to_owned(), serde_json::to_value(object).unwrap_or_default())
}

struct Feed {
    api: Arc<Api>,
    request: HttpRequest,
    sender: Sender<Bytes>,
    _open: OpenWatch,
}

impl Feed {
    /// Sends changes of jobs.
    async fn jobs(self, mut from: Revision) {
        let account = self.request.query.get("account").cloned();
        loop {
            if self.api.stopping.is_raised() {
                self.end(from).await;
                return;
            }
            let call = Call::List {
                account: account.clone(),
                after: from,
                limit: PAGE,
                wait: POLL,
            };
            let deadline = self.api.kernel.clock.now() + POLL + LOOK_TIMEOUT;
            let stopping = self.api.stopping.clone();
            let look = async { Some(self.api.call(&self.request, &call, deadline).await) };
            let answer = futures_lite::future::or(look, async {
                stopping.wait().await;
                None
            })
            .await;
            let sent = match answer {
                None => true,
                Some(Ok(Response::Jobs { jobs, revision, .. })) => {
                    from = from.max(revision);
                    self.changes(&jobs, from).await
                }
                Some(Err(error)) if error.kind == ErrorKind::Expired => {
                    self.line(&WatchLine::<Value> {
                        error: Some(Failure::from(&error)),
                        ..blank(from)
                    })
                    .await;
                    return;
                }
                // The region has no scheduler at present; the watch goes on when it has one.
                _ => {
                    Timer::after(LOOK.duration()).await;
                    self.line(&blank(from)).await
                }
            };
            if !sent {
                return;
            }
        }
    }

    async fn changes(&self, jobs: &[crate::resource::Job], revision: Revision) -> bool {
        for job in jobs {
            let revision = job.metadata.revision;
            let line = WatchLine {
                revision,
                object: Some(job),
                deleted: None,
                error: None,
            };
            if !self.line(&line).await {
                return false;
            }
        }
        self.line(&blank(revision)).await
    }

    /// Sends changes of objects that are compared as a whole.
    async fn objects(self, route: Route, from: Revision) {
        let mut known: Option<BTreeMap<String, u64>> = None;
        let mut revision = from;
        let mut quiet = Millis::ZERO;
        while !self.api.stopping.is_raised() {
            if let Ok((objects, newest)) = self.api.objects(&route, &self.request).await {
                revision = newest;
                let resumed = known.is_none() && from != Revision(0);
                let old = known.unwrap_or_default();
                let changed = if resumed {
                    Vec::new()
                } else {
                    changed_lines(&old, &objects, revision)
                };
                known = Some(digests(&objects));
                quiet = if changed.is_empty() { quiet + LOOK } else { Millis::ZERO };
                for line in changed {
                    if !self.line(&line).await {
                        return;
                    }
                }
            }
            if quiet >= POLL || self.sender.is_closed() {
                quiet = Millis::ZERO;
                if !self.line(&blank(revision)).await {
                    return;
                }
            }
            Timer::after(LOOK.duration()).await;
        }
        self.end(revision).await;
    }

    /// Ends the watch of a stopping daemon with the revision to resume from.
    async fn end(&self, revision: Revision) {
        self.line(&blank(revision)).await;
    }

    async fn line<T: Serialize>(&self, line: &WatchLine<T>) -> bool {
        let Ok(mut text) = serde_json::to_vec(line) else {
            return false;
        };
        text.push(b'\n');
        matches!(within(SEND_TIMEOUT, self.sender.send(text.into())).await, Some(Ok(())))
    }
}

/// A line that carries only a revision: it shows that the connection is alive.
fn blank(revision: Revision) -> WatchLine<Value> {
    WatchLine {
        revision,
        object: None,
        deleted: None,
        error: None,
    }
}

/// What a watch remembers of the objects that it has sent: with the objects themselves, each watch of 350 workers would
/// hold about half a megabyte.
fn digests(objects: &BTreeMap<String, Value>) -> BTreeMap<String, u64> {
    objects
        .iter()
        .map(|(name, object)| (name.clone(), digest(object)))
        .collect()
}

fn digest(object: &Value) -> u64 {
    let mut hasher = DefaultHasher::new();
    object.hash(&mut hasher);
    hasher.finish()
}

fn changed_lines(
    old: &BTreeMap<String, u64>,
    new: &BTreeMap<String, Value>,
    revision: Revision,
) -> Vec<WatchLine<Value>> {
    let mut lines = Vec::new();
    for (name, object) in new {
        if old.get(name) != Some(&digest(object)) {
            lines.push(WatchLine {
                object: Some(object.clone()),
                ..blank(revision)
            });
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        lines.push(WatchLine {
            deleted: Some(name.clone()),
            ..blank(revision)
        });
    }
    lines
}

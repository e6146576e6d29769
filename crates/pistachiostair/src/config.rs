//! Service for the configuration in force and for the catalog of accounts and guarantees.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use async_io::Timer;
use futures_lite::future;
use serde::{Deserialize, Serialize};

use crate::accounts::{ACCOUNT_PREFIX, parse_account};
use crate::clock::Millis;
use crate::edge::{Check, Table, Transaction, Write};
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::ids::{AccountName, DaemonName, GuaranteeName, Revision};
use crate::kernel::{Kernel, Service};
use crate::links::Links;
use crate::members::Members;
use crate::message::{Request, Response};
use crate::metrics::Metrics;
use crate::policy::PolicyState;
use crate::record;
use crate::resource::{Account, Guarantee, Metadata, Policy};
use crate::rows::{Overwritten, commit_with_read_back, encode, parse_row, scan_all};
use crate::store::Store;
use crate::validate;

/// Row that is written with each change of an account or a guarantee, so that one read tells whether there is news.
pub(crate) const CATALOG_KEY: &str = "catalog";

const HEAD_KEY: &str = "config/head";
/// Prefix of the rows of guarantees.
pub(crate) const GUARANTEE_PREFIX: &str = "guarantee/";

/// Time between two looks at the table service. A change must be in force everywhere within 4 s.
const POLL_INTERVAL: Millis = Millis(1_000);

/// Longest time for a peer to take a pushed revision.
const PUSH_TIMEOUT: Millis = Millis(1_500);

record! {
    /// Row of the newest configuration, and of each one in the history.
    pub(crate) struct ConfigRow {
        /// Revision.
        pub(crate) revision: Revision,
        /// Document, as YAML.
        pub(crate) document: String,
        /// Who changed it.
        pub(crate) author: String,
        /// Unique id of the write, to find out whether it took effect.
        pub(crate) write: String,
    }
}

/// Accounts and guarantees at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Catalog {
    /// Version of the catalog row.
    pub(crate) revision: u64,
    pub(crate) accounts: BTreeMap<AccountName, Account>,
    pub(crate) guarantees: BTreeMap<GuaranteeName, Guarantee>,
}

#[derive(Default)]
struct Shared {
    policy: PolicyState,
    /// Who committed it, as far as the table service told.
    author: String,
    catalog: Catalog,
    /// Whether the newest revision that can be learnt is in force.
    ready: bool,
    /// Whether the last look at the table service succeeded.
    reached: bool,
}

/// The configuration's service.
pub(crate) struct Config {
    kernel: Arc<Kernel>,
    pub(crate) store: Arc<Store>,
    me: DaemonName,
    log: slog::Logger,
    shared: Mutex<Shared>,
    wake: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Service for Config {
    const NAME: &'static str = "policy";
}

impl Config {
    /// Registers the service and starts to poll.
    pub(crate) fn start(kernel: &Arc<Kernel>, me: DaemonName, log: slog::Logger) -> Result<Arc<Self>> {
        let config = Arc::new(Self {
            kernel: kernel.clone(),
            store: kernel.find()?,
            me,
            log,
            shared: Mutex::default(),
            wake: async_channel::bounded(1),
        });
        kernel.register(config.clone())?;
        kernel.spawn_until_stop(config.clone().poll());
        Ok(config)
    }

    /// The configuration in force and its revision.
    pub(crate) fn policy(&self) -> (Revision, Policy) {
        let shared = self.shared.lock().expect("config lock");
        (shared.policy.revision(), shared.policy.policy().clone())
    }

    /// Revision of the configuration in force.
    pub(crate) fn revision(&self) -> Revision {
        self.shared.lock().expect("config lock").policy.revision()
    }

    /// Who committed the configuration in force; empty if that is not known.
    pub(crate) fn author(&self) -> String {
        self.shared.lock().expect("config lock").author.clone()
    }

    /// The document in force and its revision.
    pub(crate) fn document(&self) -> (Revision, String) {
        let shared = self.shared.lock().expect("config lock");
        (shared.policy.revision(), shared.policy.document().to_owned())
    }

    /// Whether the newest configuration that can be learnt is in force here.
    pub(crate) fn is_ready(&self) -> bool {
        self.shared.lock().expect("config lock").ready
    }

    /// Whether a newer configuration exists than the one in force here.
    pub(crate) fn is_behind(&self) -> bool {
        self.shared.lock().expect("config lock").policy.is_behind()
    }

    /// Whether the last look at the table service succeeded.
    pub(crate) fn store_reached(&self) -> bool {
        self.shared.lock().expect("config lock").reached
    }

    /// The catalog, if it is newer than `revision`.
    pub(crate) fn catalog_if_newer(&self, revision: u64) -> Option<Catalog> {
        let shared = self.shared.lock().expect("config lock");
        (shared.catalog.revision > revision).then(|| shared.catalog.clone())
    }

    /// Revision of the catalog.
    pub(crate) fn catalog_revision(&self) -> Revision {
        Revision(self.shared.lock().expect("config lock").catalog.revision)
    }

    /// The catalog.
    pub(crate) fn catalog(&self) -> Catalog {
        self.shared.lock().expect("config lock").catalog.clone()
    }

    /// A client account of the catalog.
    pub(crate) fn cached_account(&self, name: &AccountName) -> Option<Account> {
        let shared = self.shared.lock().expect("config lock");
        shared.catalog.accounts.get(name).cloned()
    }

    /// Looks at the table service without waiting for the next interval.
    pub(crate) fn reload_soon(&self) {
        // A full channel means that a look is due already.
        let _ = self.wake.0.try_send(());
    }

    /// Applies a revision that a peer pushed or told.
    pub(crate) fn apply(&self, revision: Revision, document: &str, source: &str) {
        let mut shared = self.shared.lock().expect("config lock");
        match shared.policy.apply(revision, document) {
            Ok(true) => {
                if let Ok(metrics) = self.kernel.find::<Metrics>() {
                    metrics.policy.set(revision.0 as i64);
                }
                slog::info!(self.log, "applied"; "revision" => revision.0, "source" => source);
            }
            Ok(false) => {}
            Err(findings) => {
                let reason = validate::join_findings(&findings);
                slog::error!(self.log, "not applied"; "revision" => revision.0, "error" => reason);
            }
        }
    }

    async fn poll(self: Arc<Self>) {
        loop {
            match self.refresh().await {
                Ok(()) => {
                    let mut shared = self.shared.lock().expect("config lock");
                    shared.ready = true;
                    shared.reached = true;
                }
                Err(error) => self.unreached(&error).await,
            }
            let timer = async {
                Timer::after(POLL_INTERVAL.duration()).await;
            };
            let woken = async {
                let _ = self.wake.1.recv().await;
            };
            future::or(timer, woken).await;
        }
    }

    async fn unreached(&self, error: &Error) {
        let first = std::mem::take(&mut self.shared.lock().expect("config lock").reached);
        if first {
            slog::warn!(self.log, "table service not reached"; "error" => %error);
        }
        let Ok(members) = self.kernel.find::<Members>() else {
            return;
        };
        if !self.is_ready() {
            let heard = self.ask_peers(members.other_daemons()).await;
            self.shared.lock().expect("config lock").ready |= heard;
        } else {
            // A push may have been lost; the heartbeats tell who has a newer revision.
            self.ask_peers(members.daemons_ahead(self.revision())).await;
        }
    }

    async fn refresh(&self) -> Result<()> {
        let head = self.store.get(HEAD_KEY).await?;
        let catalog = self.store.get(CATALOG_KEY).await?;
        if let Some(row) = head {
            let parsed = parse_row::<ConfigRow>("read configuration", &row)?;
            self.apply(parsed.revision, &parsed.document, "table service");
            let mut shared = self.shared.lock().expect("config lock");
            if shared.policy.revision() == parsed.revision {
                shared.author = parsed.author;
            }
        }
        let version = catalog.map_or(0, |row| row.version);
        if Revision(version) != self.catalog_revision() {
            let catalog = self.load_catalog(version).await?;
            self.shared.lock().expect("config lock").catalog = catalog;
        }
        Ok(())
    }

    /// Reads accounts and guarantees. They may be newer than `version`; the next look reads them again then.
    async fn load_catalog(&self, version: u64) -> Result<Catalog> {
        let mut catalog = Catalog {
            revision: version,
            ..Catalog::default()
        };
        for row in scan_all(&self.store, ACCOUNT_PREFIX).await? {
            let account = parse_account(&row)?;
            catalog
                .accounts
                .insert(AccountName::from(account.metadata.name.as_str()), account);
        }
        for row in scan_all(&self.store, GUARANTEE_PREFIX).await? {
            let guarantee: Guarantee = parse_row("read guarantee", &row)?;
            let metadata = Metadata {
                revision: Revision(row.version),
                ..guarantee.metadata.clone()
            };
            catalog
                .guarantees
                .insert(guarantee.name(), Guarantee { metadata, ..guarantee });
        }
        Ok(catalog)
    }

    /// Asks daemons for the configuration in force there; whether one has any.
    async fn ask_peers(&self, daemons: Vec<DaemonName>) -> bool {
        let Ok(links) = self.kernel.find::<Links>() else {
            return false;
        };
        let mut heard = false;
        for daemon in daemons {
            let answer = links.to_daemon(&daemon, Request::GetPolicy, PUSH_TIMEOUT).await;
            if let Ok(Response::Policy { revision, document }) = answer
                && revision > Revision(0)
            {
                self.apply(revision, &document, daemon.as_str());
                heard = true;
            }
        }
        heard
    }

    /// Commits a new configuration and pushes it to the other daemons.
    ///
    /// # Errors
    ///
    /// `Invalid` for a document that can't be parsed, `Conflict` if the revision is not `expected`
    /// or another operator was first, `Unavailable` with `ran: unknown` if the outcome can't be learnt.
    pub(crate) async fn set_policy(
        &self,
        document: &str,
        author: &str,
        expected: Option<Revision>,
    ) -> Result<Revision> {
        parse_document(document)?;
        let head = self
            .store
            .get(HEAD_KEY)
            .await
            .map_err(|e| e.ran(Ran::No).retry_after(1_000))?;
        let version = head.as_ref().map_or(0, |row| row.version);
        let current = match &head {
            Some(row) => parse_row::<ConfigRow>("read configuration", row)?.revision,
            None => Revision(0),
        };
        if expected.is_some_and(|expected| expected != current) {
            let message = format!("the configuration is at revision {current}");
            return Err(Error::msg(ErrorKind::Conflict, "set configuration", message));
        }
        let row = ConfigRow {
            revision: current.next(),
            document: document.to_owned(),
            author: author.to_owned(),
            write: format!("{}-{:016x}", self.me, fastrand::u64(..)),
        };
        let value = encode("set configuration", &row)?;
        let history = format!("config/{:016}", row.revision.0);
        // The history row comes first: it is never overwritten, so that reading it back tells for
        // certain whether this write took effect, even if another change followed.
        let transaction = Transaction {
            checks: vec![
                Check {
                    key: history.clone(),
                    version: 0,
                },
                Check {
                    key: HEAD_KEY.to_owned(),
                    version,
                },
            ],
            writes: vec![
                Write {
                    key: history,
                    value: Some(value.clone()),
                },
                Write {
                    key: HEAD_KEY.to_owned(),
                    value: Some(value),
                },
            ],
        };
        commit_with_read_back(&self.store, "set configuration", &transaction, Overwritten::Never).await?;
        self.apply(row.revision, document, "operator");
        self.push(row.revision, document);
        Ok(row.revision)
    }

    fn push(&self, revision: Revision, document: &str) {
        let (Ok(links), Ok(members)) = (self.kernel.find::<Links>(), self.kernel.find::<Members>()) else {
            return;
        };
        for daemon in members.other_daemons() {
            let links = links.clone();
            let request = Request::Policy {
                revision,
                document: document.to_owned(),
            };
            self.kernel.spawn_until_stop(async move {
                // A daemon that missed the push finds the revision when it polls.
                let _ = links.to_daemon(&daemon, request, PUSH_TIMEOUT).await;
            });
        }
    }

    /// Newest revisions of the configuration, newest first.
    pub(crate) async fn history(&self, limit: usize) -> Result<Vec<ConfigRow>> {
        let first = self.revision().0.saturating_sub(limit as u64);
        let rows = self
            .store
            .scan("config/0", &format!("config/{first:016}"), limit)
            .await?;
        let mut parsed = Vec::with_capacity(rows.len());
        for row in rows.iter().rev() {
            parsed.push(parse_row("read history", row)?);
        }
        Ok(parsed)
    }
}

/// Parses and checks a configuration.
///
/// # Errors
///
/// `Invalid` with all findings.
pub(crate) fn parse_document(document: &str) -> Result<Policy> {
    validate::parse_policy(document).map_err(|findings| {
        Error::msg(
            ErrorKind::Invalid,
            "parse configuration",
            validate::join_findings(&findings),
        )
    })
}

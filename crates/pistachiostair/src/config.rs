//! Service of each daemon that keeps the policy configuration in force and a cached catalog of the accounts and
//! guarantees, and commits changes of the configuration.
//!
//! It polls the table service, and applies revisions that other daemons push. While the table service can't be reached,
//! it asks other daemons for their configuration.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use async_io::Timer;
use futures_lite::future;
use serde::{Deserialize, Serialize};

use crate::accounts::{ACCOUNT_PREFIX, parse_account};
use crate::clock::Millis;
use crate::config_check::{ConfigFinding, ConfigObjects, check_objects};
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

/// Row that is written with each change of an account or a guarantee, so that one read shows whether the catalog
/// changed.
pub(crate) const CATALOG_KEY: &str = "catalog";

/// Row of the newest configuration.
const HEAD_KEY: &str = "config/head";
/// Prefix of the keys of guarantees' rows.
pub(crate) const GUARANTEE_PREFIX: &str = "guarantee/";

/// Time between two polls of the table service. A change must be in force on every daemon within 4 s.
const POLL_INTERVAL: Millis = Millis(1_000);

/// Most findings about one state of the configuration that are logged.
const MAX_LOGGED_FINDINGS: usize = 10;

/// Time limit of a request that pushes a revision to another daemon or asks for its configuration.
const PUSH_TIMEOUT: Millis = Millis(1_500);

record! {
    /// Value of the rows of the configuration: the row of the newest revision, and one row for each revision in the
    /// history.
    pub(crate) struct ConfigRow {
        /// Revision of the configuration.
        pub(crate) revision: Revision,
        /// The configuration as a YAML document.
        pub(crate) document: String,
        /// Operator who committed this revision.
        pub(crate) author: String,
        /// Unique id of the write, so that reading the row back shows whether this write took effect.
        pub(crate) write: String,
    }
}

/// The accounts and guarantees in the table service. They may be newer than `revision`, never older.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Catalog {
    /// Version of the catalog row; 0 if it does not exist.
    pub(crate) revision: u64,
    pub(crate) accounts: BTreeMap<AccountName, Account>,
    pub(crate) guarantees: BTreeMap<GuaranteeName, Guarantee>,
}

/// The configuration and the catalog as [`check_objects`] takes them. Workers are left out: they change on their own.
fn config_objects(policy: &Policy, catalog: &Catalog) -> ConfigObjects {
    let accounts = catalog.accounts.iter();
    let guarantees = catalog.guarantees.iter();
    ConfigObjects {
        policy: Some(policy.clone()),
        accounts: accounts
            .map(|(name, account)| (name.clone(), account.spec.clone()))
            .collect(),
        guarantees: guarantees
            .map(|(name, guarantee)| (name.as_str().to_owned(), guarantee.spec.clone()))
            .collect(),
        complete: true,
        workers: Vec::new(),
    }
}

#[derive(Default)]
struct Shared {
    policy: PolicyState,
    /// Operator who committed the configuration in force; empty if its row was not read.
    author: String,
    catalog: Catalog,
    /// See [`Config::is_ready`].
    ready: bool,
    /// Whether the last poll of the table service succeeded.
    store_reached: bool,
}

/// Service for the configuration in force and the catalog. It polls the table service until the kernel stops.
pub(crate) struct Config {
    kernel: Arc<Kernel>,
    pub(crate) store: Arc<Store>,
    me: DaemonName,
    log: slog::Logger,
    shared: Mutex<Shared>,
    /// Ends the wait for the next poll.
    wake: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Service for Config {
    const NAME: &'static str = "policy";
}

impl Config {
    /// Registers the service and starts to poll the table service.
    ///
    /// # Errors
    ///
    /// If the store is not registered, or the service can't be.
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

    /// The configuration in force and its revision; the default at revision 0 until one is known.
    pub(crate) fn policy(&self) -> (Revision, Policy) {
        let shared = self.shared.lock().expect("config lock");
        (shared.policy.revision(), shared.policy.policy().clone())
    }

    /// Revision of the configuration in force.
    pub(crate) fn revision(&self) -> Revision {
        self.shared.lock().expect("config lock").policy.revision()
    }

    /// Operator who committed the configuration in force; empty if that is not known.
    pub(crate) fn author(&self) -> String {
        self.shared.lock().expect("config lock").author.clone()
    }

    /// The YAML document of the configuration in force and its revision; empty at revision 0.
    pub(crate) fn document(&self) -> (Revision, String) {
        let shared = self.shared.lock().expect("config lock");
        (shared.policy.revision(), shared.policy.document().to_owned())
    }

    /// Whether the newest configuration that this daemon can find out is in force here: the table service was read, or,
    /// while it could not be reached, another daemon answered with its configuration. Stays true once it is.
    pub(crate) fn is_ready(&self) -> bool {
        self.shared.lock().expect("config lock").ready
    }

    /// Whether a newer configuration exists than the one in force here.
    pub(crate) fn is_behind(&self) -> bool {
        self.shared.lock().expect("config lock").policy.is_behind()
    }

    /// Whether the last poll of the table service succeeded.
    pub(crate) fn store_reached(&self) -> bool {
        self.shared.lock().expect("config lock").store_reached
    }

    /// The cached catalog if its revision is higher than `revision`.
    pub(crate) fn catalog_if_newer(&self, revision: u64) -> Option<Catalog> {
        let shared = self.shared.lock().expect("config lock");
        (shared.catalog.revision > revision).then(|| shared.catalog.clone())
    }

    /// Revision of the cached catalog; 0 if it was not read yet.
    pub(crate) fn catalog_revision(&self) -> Revision {
        Revision(self.shared.lock().expect("config lock").catalog.revision)
    }

    /// The cached catalog; empty if it was not read yet.
    pub(crate) fn catalog(&self) -> Catalog {
        self.shared.lock().expect("config lock").catalog.clone()
    }

    /// The client account in the cached catalog; `None` if the catalog does not contain it.
    pub(crate) fn cached_account(&self, name: &AccountName) -> Option<Account> {
        let shared = self.shared.lock().expect("config lock");
        shared.catalog.accounts.get(name).cloned()
    }

    /// Polls the table service at once instead of after the poll interval.
    pub(crate) fn reload_soon(&self) {
        // A full channel means that a poll is already requested.
        let _ = self.wake.0.try_send(());
    }

    /// Applies a revision that was read or received from another daemon, if it is higher than the one in force. An
    /// invalid document is logged and the configuration in force stays. `source` names the origin for the log.
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

    fn log_findings(&self, findings: &[ConfigFinding]) {
        for finding in findings.iter().take(MAX_LOGGED_FINDINGS) {
            slog::warn!(self.log, "questionable configuration"; "finding" => %finding);
        }
    }

    async fn poll(self: Arc<Self>) {
        loop {
            match self.refresh().await {
                Ok(()) => {
                    let mut shared = self.shared.lock().expect("config lock");
                    shared.ready = true;
                    shared.store_reached = true;
                }
                Err(error) => self.handle_poll_failure(&error).await,
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

    /// Notes that the table service could not be polled, and asks other daemons for their configuration.
    async fn handle_poll_failure(&self, error: &Error) {
        let was_reached = std::mem::take(&mut self.shared.lock().expect("config lock").store_reached);
        if was_reached {
            slog::warn!(self.log, "table service not reached"; "error" => %error);
        }
        let Ok(members) = self.kernel.find::<Members>() else {
            return;
        };
        if !self.is_ready() {
            let found = self.ask_peers(members.other_daemons()).await;
            self.shared.lock().expect("config lock").ready |= found;
        } else {
            // A push may have been lost; the heartbeats show which daemons have a newer revision.
            self.ask_peers(members.daemons_ahead(self.revision())).await;
        }
    }

    /// Reads the newest configuration, and the catalog if it changed, from the table service.
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
            let mut shared = self.shared.lock().expect("config lock");
            let objects = config_objects(shared.policy.policy(), &catalog);
            shared.catalog = catalog;
            drop(shared);
            self.log_findings(&check_objects(&objects));
        }
        Ok(())
    }

    /// Reads all accounts and guarantees. They may be newer than `version`, the version of the catalog row; in that
    /// case the next poll reads them again.
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

    /// Asks each of `daemons` for its configuration and applies it. Returns whether one of them has a configuration
    /// above revision 0.
    async fn ask_peers(&self, daemons: Vec<DaemonName>) -> bool {
        let Ok(links) = self.kernel.find::<Links>() else {
            return false;
        };
        let mut found = false;
        for daemon in daemons {
            let answer = links.to_daemon(&daemon, Request::GetPolicy, PUSH_TIMEOUT).await;
            if let Ok(Response::Policy { revision, document }) = answer
                && revision > Revision(0)
            {
                self.apply(revision, &document, daemon.as_str());
                found = true;
            }
        }
        found
    }

    /// Commits a new configuration, applies it here and pushes it to the other daemons. Returns its revision.
    /// `expected` is the revision that it must replace; `None` replaces any.
    ///
    /// # Errors
    ///
    /// `Invalid` for a document that can't be parsed; `Conflict` if the current revision is not `expected` or another
    /// operator committed in the meantime; `Unavailable` with [`Ran::Unknown`] if the outcome could not be found out.
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
        // The history row comes first, since the first row is the one that is read back: it is never overwritten, so
        // that it shows whether this write took effect even if another change followed.
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

    /// Sends a revision to the other daemons without waiting for their answers.
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
                // A daemon that missed the push reads the revision from the table service when it polls.
                let _ = links.to_daemon(&daemon, request, PUSH_TIMEOUT).await;
            });
        }
    }

    /// Up to `limit` of the newest revisions of the configuration, newest first, from the table service.
    ///
    /// # Errors
    ///
    /// If the table service can't be reached or a row can't be parsed.
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

/// Parses and checks a configuration in YAML.
///
/// # Errors
///
/// `Invalid`, with all faults of the document in its message.
pub(crate) fn parse_document(document: &str) -> Result<Policy> {
    validate::parse_policy(document).map_err(|findings| {
        Error::msg(
            ErrorKind::Invalid,
            "parse configuration",
            validate::join_findings(&findings),
        )
    })
}

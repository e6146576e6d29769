//! Client accounts. Each is one row in the table service, which is written only if its version is the one that was read
//! before.

use crate::config::{CATALOG_KEY, Config};
use crate::edge::{Check, Row, Table, Transaction, Write};
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::ids::{AccountName, Revision};
use crate::resource::Account;
use crate::rows::{Overwritten, commit_with_read_back, encode, parse_row};

/// Prefix of the keys of accounts' rows.
pub(crate) const ACCOUNT_PREFIX: &str = "account/";

impl Config {
    /// Looks up a client account in the cached catalog, then in the table service. `None` if it does not exist. The
    /// cached one may be older than the row.
    ///
    /// # Errors
    ///
    /// `Unavailable` if it is not in the catalog and the table service can't be reached.
    pub(crate) async fn find_account(&self, name: &AccountName) -> Result<Option<Account>> {
        let cached = self.cached_account(name);
        if cached.is_some() {
            return Ok(cached);
        }
        let row = self.store.get(&account_key(name)).await?;
        row.map(|row| parse_account(&row)).transpose()
    }

    /// Creates or replaces a client account, and returns it with its new revision. `expected` is the revision that it
    /// must replace, 0 for an account that must not exist yet; `None` replaces any.
    ///
    /// # Errors
    ///
    /// `Conflict` if the current revision is not `expected` or another operator changed the account in the meantime;
    /// `Unavailable` if the table service can't be reached, with [`Ran::Unknown`] if the outcome could not be found
    /// out.
    pub(crate) async fn put_account(&self, mut account: Account, expected: Option<Revision>) -> Result<Account> {
        let step = "put account";
        let name = AccountName::from(account.metadata.name.as_str());
        let version = self.check_revision(step, &name, expected).await?;
        let write = Write {
            key: account_key(&name),
            value: Some(encode(step, &account)?),
        };
        let version = self.write_account(step, &name, version, write).await?;
        account.metadata.revision = Revision(version);
        Ok(account)
    }

    /// Deletes a client account. Its queued jobs stay. `expected` is as in [`Config::put_account`].
    ///
    /// # Errors
    ///
    /// `NotFound` if the account does not exist; otherwise as [`Config::put_account`].
    pub(crate) async fn delete_account(&self, name: &AccountName, expected: Option<Revision>) -> Result<()> {
        let step = "delete account";
        let version = self.check_revision(step, name, expected).await?;
        if version == 0 {
            return Err(Error::msg(
                ErrorKind::NotFound,
                step,
                format!("account {name:?} does not exist"),
            ));
        }
        let write = Write {
            key: account_key(name),
            value: None,
        };
        self.write_account(step, name, version, write).await.map(drop)
    }

    /// Reads the version of an account's row, 0 if there is none, and checks it against `expected`.
    async fn check_revision(&self, step: &'static str, name: &AccountName, expected: Option<Revision>) -> Result<u64> {
        let row = self
            .store
            .get(&account_key(name))
            .await
            .map_err(|e| e.ran(Ran::No).retry_after(1_000))?;
        let version = row.map_or(0, |row| row.version);
        if expected.is_some_and(|expected| expected.0 != version) {
            let message = format!("account {name:?} is at revision {version}");
            return Err(Error::msg(ErrorKind::Conflict, step, message));
        }
        Ok(version)
    }

    /// Writes or deletes an account's row if its version still is `version`. Returns the version of the written row.
    async fn write_account(&self, step: &'static str, name: &AccountName, version: u64, write: Write) -> Result<u64> {
        let transaction = Transaction {
            checks: vec![Check {
                key: account_key(name),
                version,
            }],
            writes: vec![
                write,
                Write {
                    key: CATALOG_KEY.to_owned(),
                    value: Some(String::new()),
                },
            ],
        };
        let version = commit_with_read_back(&self.store, step, &transaction, Overwritten::Possibly).await?;
        self.reload_soon();
        Ok(version)
    }
}

fn account_key(name: &AccountName) -> String {
    format!("{ACCOUNT_PREFIX}{name}")
}

/// Parses an account's row. The account's revision is the version of the row.
///
/// # Errors
///
/// If the row's value can't be parsed.
pub(crate) fn parse_account(row: &Row) -> Result<Account> {
    let mut account: Account = parse_row("read account", row)?;
    account.metadata.revision = Revision(row.version);
    Ok(account)
}

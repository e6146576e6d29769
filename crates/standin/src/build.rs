//! The builds whose programs run side by side in a test of an upgrade.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result};

/// Environment variable with the directory of the second build's programs. Without it, all processes are of this build.
const SECOND_BIN: &str = "STANDIN_SECOND_BIN";
/// Environment variable that says which processes are of the second build: those with `odd` or `even` numbers.
const SECOND_NUMBERS: &str = "STANDIN_SECOND_NUMBERS";

/// A build of the workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// That of the running process.
    Own,
    /// That in the directory `STANDIN_SECOND_BIN`.
    Second,
}

impl Build {
    /// Build of the daemon or worker `number`, unless a test chooses one. `STANDIN_SECOND_NUMBERS` is `odd` by default.
    ///
    /// # Panics
    ///
    /// If `STANDIN_SECOND_NUMBERS` has another value.
    pub fn of(number: usize) -> Self {
        if std::env::var_os(SECOND_BIN).is_none() {
            return Self::Own;
        }
        let remainder = match std::env::var(SECOND_NUMBERS).as_deref() {
            Ok("odd") | Err(_) => 1,
            Ok("even") => 0,
            Ok(other) => panic!("{SECOND_NUMBERS} is {other:?}, expected odd or even"),
        };
        if number % 2 == remainder {
            Self::Second
        } else {
            Self::Own
        }
    }

    /// Path of a program of this build.
    ///
    /// # Errors
    ///
    /// If the program is not built, or the second build is not given.
    pub fn program(self, name: &str) -> Result<PathBuf> {
        match self {
            Self::Own => {
                let own = std::env::current_exe()?;
                // A test runs in a subdirectory of that of the binaries.
                let dirs = own.ancestors().skip(1).take(2);
                dirs.map(|dir| dir.join(name))
                    .find(|path| path.is_file())
                    .with_context(|| format!("{name} is not built next to {}", own.display()))
            }
            Self::Second => {
                let dir = std::env::var_os(SECOND_BIN).with_context(|| format!("{SECOND_BIN} is not set"))?;
                let path = Path::new(&dir).join(name);
                anyhow::ensure!(path.is_file(), "{} is not built", path.display());
                Ok(path)
            }
        }
    }
}

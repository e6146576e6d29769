//! Daemon of the pistachiostair scheduler.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use async_executor::Executor;
use async_signal::{Signal, Signals};
use clap::Parser;
use futures_lite::StreamExt;
use pistachiostair::{Daemon, Settings, logger};

/// Exit code for settings that are not valid.
const EXIT_SETTINGS: u8 = 2;

/// Threads of the executor.
const THREADS: usize = 2;

/// Daemon of the pistachiostair scheduler.
#[derive(Parser)]
#[command(version)]
struct Options {
    /// Settings file, YAML.
    settings: PathBuf,
    /// Checks the settings and exits.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let settings = match read_settings(&options.settings) {
        Ok(settings) => settings,
        Err(reasons) => {
            for reason in reasons {
                eprintln!("{}: {reason}", options.settings.display());
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check {
        println!("{}: valid", options.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pistachiostaird: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(path: &Path) -> Result<Settings, Vec<String>> {
    let text = std::fs::read_to_string(path).map_err(|e| vec![e.to_string()])?;
    let base = path.parent().unwrap_or(Path::new("."));
    Settings::check(&text, base).map_err(|findings| findings.iter().map(ToString::to_string).collect())
}

fn run(settings: Settings) -> anyhow::Result<()> {
    let log = logger(settings.logging.format, settings.logging.level);
    let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
    for index in 1..THREADS {
        let executor = executor.clone();
        std::thread::Builder::new()
            .name(format!("executor-{index}"))
            .spawn(move || futures_lite::future::block_on(executor.run(std::future::pending::<()>())))
            .context("start executor thread")?;
    }
    futures_lite::future::block_on(executor.run(async {
        let mut signals = Signals::new([Signal::Term, Signal::Int]).context("listen for signals")?;
        let daemon = Daemon::start(settings, executor.clone(), log).await?;
        let addresses = daemon.addresses();
        println!(
            "listening api={} admin={} peers={}",
            addresses.api, addresses.admin, addresses.peers
        );
        std::io::stdout().flush().context("flush standard output")?;
        signals.next().await;
        daemon.stop().await;
        Ok(())
    }))
}

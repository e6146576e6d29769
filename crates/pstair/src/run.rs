//! Runs one command and turns its outcome into an exit code.

use std::io::Write;
use std::sync::Arc;

use async_executor::Executor;
use clap::CommandFactory;
use futures_lite::future;
use pistachiostair::{Account, Error, ErrorKind, Guarantee, Member, Ran, Result, Revision};

use crate::api::Stored;
use crate::cli::{Cli, Command, ConfigCommand, Kind};
use crate::client::Client;
use crate::exit::Exit;
use crate::output::Printer;
use crate::{apply, configuration, jobs, query, watch};

/// Runs the command; errors go to standard error.
pub(crate) fn run(cli: Cli) -> Exit {
    if let Command::Completions { shell } = cli.command {
        let mut script = Vec::new();
        clap_complete::generate(shell, &mut Cli::command(), "pstair", &mut script);
        return finish(
            std::io::stdout()
                .write_all(&script)
                .map_err(output_error)
                .map(|()| Exit::Done),
        );
    }
    if cli.common.server.is_empty() && !works_offline(&cli.command) {
        let message = "no server is given; use --server or set PSTAIR_SERVER";
        return finish(Err(Error::msg(ErrorKind::Invalid, "read arguments", message)));
    }
    let executor = Arc::new(Executor::new());
    let client = Client::new(
        executor.clone(),
        cli.common.server,
        cli.common.timeout,
        cli.common.region,
    );
    let mut out = std::io::BufWriter::new(std::io::stdout());
    let mut printer = Printer::new(cli.common.output, &mut out);
    let command = async {
        let exit = execute(&client, &mut printer, cli.command).await;
        // What was printed before an error must reach the reader too.
        let flushed = printer.flush();
        exit.and_then(|exit| flushed.map(|()| exit))
    };
    finish(future::block_on(executor.run(command)))
}

/// Whether a command asks no server.
fn works_offline(command: &Command) -> bool {
    let Command::Config { command } = command else {
        return false;
    };
    matches!(
        command,
        ConfigCommand::Check {
            against_server: false,
            ..
        }
    )
}

async fn execute(client: &Client, printer: &mut Printer<'_>, command: Command) -> Result<Exit> {
    match command {
        Command::Apply { file, author } => apply::apply(client, printer, &file, &author).await?,
        Command::Get { kind, name, account } => {
            query::get(client, printer, kind, name.as_deref(), account.as_deref()).await?;
        }
        Command::Watch(args) => watch::watch(client, printer, &args).await?,
        Command::Describe { kind, name } => query::describe(client, printer, kind, &name).await?,
        Command::Delete { kind, name, revision } => delete(client, printer, kind, &name, revision).await?,
        Command::Explain { job } => jobs::explain(client, printer, &job).await?,
        Command::Cancel { job, revision } => jobs::cancel(client, printer, &job, revision).await?,
        Command::Drain { worker } => drain(client, printer, &worker, true).await?,
        Command::Undrain { worker } => drain(client, printer, &worker, false).await?,
        Command::Config { command } => return configuration::config(client, printer, &command).await,
        Command::Members => printer.list(&client.list::<Member>(None).await?.items)?,
        Command::Submit(args) => return jobs::submit(client, printer, &args).await,
        Command::Completions { .. } => {}
    }
    Ok(Exit::Done)
}

async fn drain(client: &Client, printer: &mut Printer<'_>, worker: &str, drain: bool) -> Result<()> {
    match client.drain(worker, drain).await? {
        Some(worker) => printer.object(&worker),
        None => printer.line(&format!("{worker} {}", if drain { "drained" } else { "undrained" })),
    }
}

async fn delete(
    client: &Client,
    printer: &mut Printer<'_>,
    kind: Kind,
    name: &str,
    revision: Option<u64>,
) -> Result<()> {
    match kind {
        Kind::Accounts => delete_object::<Account>(client, name, revision).await?,
        Kind::Guarantees => delete_object::<Guarantee>(client, name, revision).await?,
        Kind::Jobs | Kind::Workers | Kind::Members => {
            let message = "only accounts and guarantees can be deleted; a job is cancelled, a worker drained";
            return Err(Error::msg(ErrorKind::Invalid, "read arguments", message));
        }
    }
    printer.line(&format!("{name} deleted"))
}

async fn delete_object<T: Stored>(client: &Client, name: &str, revision: Option<u64>) -> Result<()> {
    let revision = match revision {
        Some(revision) => Revision(revision),
        None => client.get::<T>(name).await?.metadata().revision,
    };
    client.delete::<T>(name, revision).await
}

fn finish(result: Result<Exit>) -> Exit {
    match result {
        Ok(exit) => exit,
        // The reader of a pipe such as `pstair watch jobs | head` has seen enough.
        Err(error) if is_broken_pipe(&error) => Exit::Done,
        Err(error) => {
            eprintln!("pstair: {error}");
            match error.ran {
                Ran::No => {}
                Ran::Yes => eprintln!("pstair: the request took effect"),
                Ran::Unknown => eprintln!("pstair: the request may have taken effect"),
            }
            if let Some(retry) = error.retry {
                eprintln!("pstair: try again after {retry} ms");
            }
            Exit::from(&error)
        }
    }
}

fn output_error(error: std::io::Error) -> Error {
    Error::new(ErrorKind::Internal, "write output", error)
}

fn is_broken_pipe(error: &Error) -> bool {
    let cause = error.source.downcast_ref::<std::io::Error>();
    error.step == "write output" && cause.is_some_and(|cause| cause.kind() == std::io::ErrorKind::BrokenPipe)
}

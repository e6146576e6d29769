//! Command-line client for operators of the pistachiostair scheduler.

mod api;
mod apply;
mod check;
mod cli;
mod client;
mod configuration;
mod describe;
mod document;
mod exit;
mod jobs;
mod output;
mod query;
mod run;
mod span;
mod table;
mod watch;

use clap::Parser;

fn main() -> std::process::ExitCode {
    run::run(cli::Cli::parse()).into()
}

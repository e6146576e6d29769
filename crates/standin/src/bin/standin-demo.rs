//! Runs a gang and an order on a platform, workers and daemons that it starts.

use std::process::ExitCode;

use clap::Parser;

/// Starts stand-ins and daemons on loopback, runs a gang and an order, and checks what ran.
#[derive(Parser)]
struct Args {
    /// Leaves the processes running and prints their addresses.
    #[arg(long)]
    keep: bool,
}

fn main() -> ExitCode {
    match standin::run_demo(Args::parse().keep) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

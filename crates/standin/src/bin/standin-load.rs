//! Applies a bounded open-loop load to daemons that it starts, and checks what ran.

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use standin::{Load, Setup, run_load};

/// Starts a platform, workers and daemons, and sends orders at a fixed rate.
#[derive(Parser)]
struct Args {
    /// Orders per second.
    #[arg(long, default_value_t = 50.0)]
    rate: f64,
    /// Length of the load in seconds.
    #[arg(long, default_value_t = 10)]
    duration: u64,
    /// Client accounts.
    #[arg(long, default_value_t = 4)]
    accounts: usize,
    /// Run time of short orders in milliseconds.
    #[arg(long, default_value_t = 100)]
    short: u64,
    /// Run time of long jobs in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    long: u64,
    /// Share of long jobs, from 0 to 1.
    #[arg(long, default_value_t = 0.05)]
    long_share: f64,
    /// Shape of long jobs.
    #[arg(long, default_value = "2x2")]
    long_shape: String,
    /// Seconds after the load within which every accepted job must have ended.
    #[arg(long, default_value_t = 60)]
    tail: u64,
    /// Daemons.
    #[arg(long, default_value_t = 3)]
    daemons: usize,
    /// Worker processes.
    #[arg(long, default_value_t = 8)]
    workers: usize,
    /// Workers in each of these processes.
    #[arg(long, default_value_t = 1)]
    identities: usize,
    /// Slots of each worker.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Accelerators of each worker.
    #[arg(long, default_value_t = 8)]
    accelerators: u32,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let setup = Setup {
        daemons: args.daemons,
        workers: args.workers,
        identities: args.identities,
        slots: args.slots,
        accelerators: args.accelerators,
        ..Setup::default()
    };
    let load = Load {
        rate: args.rate,
        duration: Duration::from_secs(args.duration),
        accounts: args.accounts,
        short: args.short,
        long: args.long,
        long_share: args.long_share,
        long_shape: args.long_shape,
        tail: Duration::from_secs(args.tail),
    };
    match run_load(setup, &load) {
        Ok(report) => {
            print!("{report}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

//! Prints what a daemon spends on control at several sizes.

use std::time::Duration;

use clap::Parser;
use standin::{CAPACITY_HEADER, measure_capacity};

/// Measures processor time, memory and bytes of daemons with stand-ins for workers.
#[derive(Parser)]
struct Args {
    /// Numbers of workers, one run each.
    #[arg(long, value_delimiter = ',', default_value = "100,300,1000")]
    workers: Vec<usize>,
    /// Daemons.
    #[arg(long, default_value_t = 9)]
    daemons: usize,
    /// Length of each measurement in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    println!("{CAPACITY_HEADER}");
    for workers in args.workers {
        print!(
            "{}",
            measure_capacity(args.daemons, workers, Duration::from_secs(args.seconds))?
        );
    }
    Ok(())
}

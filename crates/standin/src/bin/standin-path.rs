//! Prints what the request path costs at idle, and how long it takes to recover from silent connections.

use clap::Parser;
use standin::measure_path;

/// Measures the request path with stand-ins for platform and worker.
#[derive(Parser)]
struct Args {
    /// Requests of each kind.
    #[arg(long, default_value_t = 300)]
    samples: usize,
    /// Silences of each connection.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    print!("{}", measure_path(args.samples, args.rounds)?);
    Ok(())
}

//! Serves the platform's table service, object store and list of VMs from memory.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use pistachiostair::Millis;
use standin::{Platform, run};

/// Stand-in for the platform.
#[derive(Parser)]
struct Args {
    /// Address to serve on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// File that the address is written to once it serves.
    #[arg(long)]
    ready_file: Option<PathBuf>,
    /// Lag of the list of VMs in milliseconds.
    #[arg(long, default_value_t = 500)]
    lag: u64,
    /// Threads.
    #[arg(long, default_value_t = 2)]
    threads: usize,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    run(args.threads, |executor| async move {
        let platform = Platform::new(Millis(args.lag));
        let address = platform.serve(&executor, args.listen).await?;
        println!("listening {address}");
        if let Some(path) = args.ready_file {
            std::fs::write(path, address.to_string())?;
        }
        std::future::pending().await
    })
}

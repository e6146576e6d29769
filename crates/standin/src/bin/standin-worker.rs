//! Serves one or more worker identities that pretend to run tasks.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use clap::Parser;
use pistachiostair::{MemberState, WorkerInfo};
use standin::{Listed, StandinWorker, new_client, run};

/// Stand-in for a worker.
#[derive(Parser)]
struct Args {
    /// Name; a number is appended if there are several.
    #[arg(long)]
    name: String,
    /// Region.
    #[arg(long)]
    region: String,
    /// Failure domain.
    #[arg(long)]
    domain: String,
    /// Rack; a number is appended if there are several.
    #[arg(long)]
    rack: String,
    /// Tasks at once.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Accelerators.
    #[arg(long, default_value_t = 8)]
    accelerators: u32,
    /// Cores, in thousandths.
    #[arg(long, default_value_t = 30_000)]
    millicores: u64,
    /// Memory, in mebibytes.
    #[arg(long, default_value_t = 65_536)]
    memory: u64,
    /// Address of the platform.
    #[arg(long)]
    platform: Option<String>,
    /// Address to serve on; with several identities, its port must be 0.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Number of identities, each on a port of its own.
    #[arg(long, default_value_t = 1)]
    count: usize,
    /// Workers in a rack, if there are several identities.
    #[arg(long, default_value_t = 8)]
    per_rack: usize,
    /// File that the log of all identities is appended to, as JSON lines.
    #[arg(long)]
    log: Option<PathBuf>,
    /// Threads.
    #[arg(long, default_value_t = 1)]
    threads: usize,
}

impl Args {
    fn info(&self, index: usize) -> WorkerInfo {
        let numbered = |name: &str, number: usize| match self.count {
            1 => name.to_owned(),
            _ => format!("{name}-{number}"),
        };
        WorkerInfo {
            name: numbered(&self.name, index).into(),
            region: self.region.as_str().into(),
            domain: self.domain.as_str().into(),
            rack: numbered(&self.rack, index / self.per_rack.max(1)).into(),
            slots: self.slots,
            accelerators: self.accelerators,
            millicores: self.millicores,
            memory: self.memory,
        }
    }
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    run(args.threads, |executor| async move {
        let open = |path: &PathBuf| File::options().create(true).append(true).open(path);
        let log = args.log.as_ref().map(open).transpose()?;
        let client = Arc::new(new_client(&executor));
        let listed = args.platform.clone().map(|platform| Listed { client, platform });
        let mut workers = Vec::new();
        for index in 0..args.count {
            let log = log.as_ref().map(File::try_clone).transpose()?;
            let worker = StandinWorker::new(args.info(index), listed.clone(), log);
            let address = worker.serve(&executor, args.listen).await?;
            println!("listening {address}");
            workers.push(worker);
        }
        // One after the other, so that the platform gets one connection and not one for each.
        for worker in &workers {
            worker.enter_list(MemberState::Live).await;
        }
        std::future::pending().await
    })
}

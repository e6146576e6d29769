//! Runs soaks of node daemons with random faults, one seed after the other.

use std::ops::RangeInclusive;
use std::process::ExitCode;

use clap::Parser;
use pistachiostair::Millis;
use standin::{SoakSetup, run_soak, soak_schedule};

/// Injects faults into real daemons from outside, and checks the promises from what callers and workers see.
#[derive(Parser)]
struct Args {
    /// Seeds of the schedules, one or `FIRST..LAST`, both included.
    #[arg(long, value_parser = parse_seeds, default_value = "1..10")]
    seeds: RangeInclusive<u64>,
    /// Time during which faults are injected.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Number of daemons.
    #[arg(long, default_value_t = 5)]
    daemons: usize,
    /// Number of workers.
    #[arg(long, default_value_t = 8)]
    workers: usize,
    /// Number of jobs in each run.
    #[arg(long, default_value_t = 120)]
    jobs: usize,
    /// Number of daemons with links of 10 Mbit/s.
    #[arg(long, default_value_t = 0)]
    slow_links: usize,
    /// Largest memory that a daemon may use, in megabytes.
    #[arg(long, default_value_t = 256)]
    memory_mb: u64,
    /// Neither stop nor end daemons, so that faults of connections and of the store last.
    #[arg(long)]
    steady: bool,
    /// Evacuate failure domains and take them back.
    #[arg(long)]
    evacuations: bool,
    /// Keep logs although no promise was broken.
    #[arg(long)]
    keep: bool,
    /// Print the faults with their times and durations in milliseconds, and inject none.
    #[arg(long)]
    dry_run: bool,
}

fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, std::num::ParseIntError> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    Ok(first.parse()?..=last.parse()?)
}

fn main() -> ExitCode {
    let args = Args::parse();
    let setup = SoakSetup {
        daemons: args.daemons,
        workers: args.workers,
        span: Millis(args.seconds * 1_000),
        jobs: args.jobs,
        slow_links: args.slow_links,
        memory_mb: args.memory_mb,
        steady: args.steady,
        evacuations: args.evacuations,
        logs_kept: args.keep,
    };
    let mut failed = false;
    for seed in args.seeds {
        if args.dry_run {
            print!("seed {seed}\n{}", soak_schedule(seed, &setup));
            continue;
        }
        let report = run_soak(seed, &setup);
        println!("{report}");
        failed |= !report.broken.is_empty();
    }
    ExitCode::from(u8::from(failed))
}

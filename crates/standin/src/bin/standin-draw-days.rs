//! Draws days for the users' bench and writes a file for each.

use std::fs;
use std::path::PathBuf;

use anyhow::Context;
use clap::Parser;
use standin::{Kinds, draw_days};

/// Draws days of mixed disruptions for the users' bench; the same seed draws the same days.
#[derive(Parser)]
struct Args {
    /// Saved output of `fleetbench kinds SITE`.
    #[arg(long)]
    kinds: PathBuf,
    /// Seed of the draws.
    #[arg(long)]
    seed: u64,
    /// Number of days.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    days: u32,
    /// Directory for the files, made if it is missing.
    #[arg(long)]
    to: PathBuf,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let from = args.kinds.display();
    let text = fs::read_to_string(&args.kinds).with_context(|| format!("can't read {from}"))?;
    let kinds = Kinds::parse(&text).with_context(|| from.to_string())?;
    for (number, line) in &kinds.skipped {
        let start: String = line.chars().take(50).collect();
        eprintln!("{from}:{number}: skipped, lists no kind: {start}");
    }
    fs::create_dir_all(&args.to).with_context(|| format!("can't make {}", args.to.display()))?;
    for (name, text) in draw_days(&kinds, args.seed, args.days) {
        let path = args.to.join(format!("{name}.toml"));
        fs::write(&path, text).with_context(|| format!("can't write {}", path.display()))?;
    }
    Ok(())
}

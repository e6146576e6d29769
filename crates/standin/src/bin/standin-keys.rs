//! Writes throw-away keys and certificates.

use std::path::PathBuf;

use clap::Parser;

/// Writes ca.pem, node.pem and node.key to a directory, and a foreign set to its subdirectory `foreign`.
#[derive(Parser)]
struct Args {
    /// The directory.
    dir: PathBuf,
}

fn main() -> anyhow::Result<()> {
    standin::write_keys(&Args::parse().dir)
}

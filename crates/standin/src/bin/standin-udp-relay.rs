//! Relays UDP datagrams, which can be lost, delayed and duplicated, or cut off through a control address.

use std::net::SocketAddr;

use clap::Parser;
use standin::{Impairment, UdpRelay, run};

/// UDP relay with faults.
#[derive(Parser)]
struct Args {
    /// Address to relay from.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address of the control server: POST /control/target/IP:PORT, /control/cut, /control/block/IP, /control/open.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: SocketAddr,
    /// Share of lost datagrams.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Share of datagrams that arrive twice.
    #[arg(long, default_value_t = 0.0)]
    duplicates: f64,
    /// Least delay in milliseconds.
    #[arg(long, default_value_t = 0)]
    least: u64,
    /// Largest delay in milliseconds.
    #[arg(long, default_value_t = 0)]
    largest: u64,
    /// Seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    anyhow::ensure!(args.least <= args.largest, "--least is above --largest");
    let impairment = Impairment {
        loss: args.loss,
        duplicates: args.duplicates,
        delay: (args.least, args.largest),
        seed: args.seed,
    };
    run(1, |executor| async move {
        let (address, control) = UdpRelay::serve(impairment, &executor, args.listen, args.control).await?;
        println!("listening {address}");
        println!("control {control}");
        std::future::pending().await
    })
}

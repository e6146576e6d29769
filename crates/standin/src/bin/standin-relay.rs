//! Relays TCP connections, which can be made silent or cut off through a control address.

use std::net::SocketAddr;

use clap::Parser;
use standin::{Relay, run};

/// TCP relay with faults.
#[derive(Parser)]
struct Args {
    /// Address to relay from.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address of the control server: POST /control/silence, /control/cut, /control/open.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: SocketAddr,
    /// Address to relay to.
    #[arg(long)]
    target: String,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    run(1, |executor| async move {
        let relay = Relay::new(args.target);
        let (address, control) = relay.serve(&executor, args.listen, args.control).await?;
        println!("listening {address}");
        println!("control {control}");
        std::future::pending().await
    })
}

//! Faults of the relay, which the tests of silent connections rest on.

use std::net::SocketAddr;

use async_io::Timer;
use hyper::Method;
use pistachiostair::{HttpCall, HttpClient, Millis};
use standin::{Platform, Relay, ask, run};

fn local() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address")
}

async fn get(client: &HttpClient, peer: &str) -> Result<(), pistachiostair::ErrorKind> {
    let call = HttpCall {
        method: Method::GET,
        path: "/v1/vms",
        headers: &[],
        body: Default::default(),
        timeout: Millis(300),
    };
    client.send(peer, call).await.map(drop).map_err(|error| error.kind)
}

/// Guards against a relay that keeps forwarding on silent connections, or that closes them.
#[test]
fn forward_silenced() {
    run(1, |executor| async move {
        let platform = Platform::new(Millis(0))
            .serve(&executor, local())
            .await
            .expect("platform");
        let relay = Relay::new(platform.to_string());
        let (address, control) = relay.serve(&executor, local(), local()).await.expect("relay");
        let (address, control) = (address.to_string(), control.to_string());
        let client = HttpClient::new(executor.clone(), 8, 1_000);
        let order = async |path| {
            let () = ask(&client, &control, Method::POST, path, &()).await.expect("control");
        };
        assert_eq!(get(&client, &address).await, Ok(()));
        order("/control/silence").await;
        assert_eq!(client.open(&address), 1);
        assert_eq!(get(&client, &address).await, Err(pistachiostair::ErrorKind::Timeout));
        assert_eq!(get(&client, &address).await, Ok(()));
        order("/control/cut").await;
        assert_eq!(
            get(&client, &address).await,
            Err(pistachiostair::ErrorKind::Unavailable)
        );
        order("/control/open").await;
        assert_eq!(get(&client, &address).await, Ok(()));
    });
}

/// Guards against a platform whose list shows a change before the lag has passed, or never.
#[test]
fn list_lags() {
    run(1, |executor| async move {
        let platform = Platform::new(Millis(200))
            .serve(&executor, local())
            .await
            .expect("platform");
        let platform = platform.to_string();
        let client = HttpClient::new(executor.clone(), 8, 1_000);
        let vm = serde_json::json!({"name": "w", "role": "worker", "address": "127.0.0.1:1", "state": "live"});
        let () = ask(&client, &platform, Method::POST, "/v1/vms", &vm)
            .await
            .expect("add");
        let read = async || -> Vec<pistachiostair::Vm> {
            ask(&client, &platform, Method::GET, "/v1/vms", &())
                .await
                .expect("list")
        };
        assert_eq!(read().await.len(), 0);
        Timer::after(Millis(250).duration()).await;
        assert_eq!(read().await.len(), 1);
    });
}

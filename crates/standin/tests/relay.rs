//! Faults of the relay, which the tests of silent connections and slow links rest on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future;
use hyper::{Method, StatusCode};
use pistachiostair::{HttpCall, HttpClient, HttpHandler, HttpReply, Millis};
use standin::{Platform, Relay, ask, run, serve};

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

/// Guards against a relay that accepts connections while its target counts as ended, or does not listen again.
#[test]
fn shut_refuses() {
    run(1, |executor| async move {
        let platform = Platform::new(Millis(0))
            .serve(&executor, local())
            .await
            .expect("platform");
        let relay = Relay::new(platform.to_string());
        let address = relay.listen(&executor, local()).await.expect("relay");
        let client = HttpClient::new(executor.clone(), 8, 1_000);
        for _ in 0..2 {
            assert_eq!(get(&client, &address.to_string()).await, Ok(()));
            relay.shut();
            Timer::after(Duration::from_millis(50)).await;
            let refused = async_net::TcpStream::connect(address)
                .await
                .map_err(|error| error.kind());
            assert_eq!(refused.err(), Some(std::io::ErrorKind::ConnectionRefused));
            relay.open();
            Timer::after(Duration::from_millis(50)).await;
        }
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

/// Guards against a relay that exceeds the limit of its bandwidth, counts it for each connection alone, or keeps a limit that was removed.
#[test]
fn limit_bandwidth() {
    const BANDWIDTH: u64 = 200_000;
    const SIZE: usize = 100_000;
    run(1, |executor| async move {
        let target = serve_bytes(&executor, SIZE).await;
        let relay = Relay::new(target.to_string());
        let (address, _) = relay.serve(&executor, local(), local()).await.expect("relay");
        relay.limit(Some(BANDWIDTH));
        let client = HttpClient::new(executor.clone(), 8, 1 << 20);
        let begun = Instant::now();
        let read = async || read_bytes(&client, &address.to_string(), Millis(10_000)).await;
        // Two responses share the bandwidth: 200 KB take 1 s.
        let (first, second) = future::zip(read(), read()).await;
        assert_eq!((first, second), (Ok(SIZE), Ok(SIZE)));
        let took = begun.elapsed();
        assert!(took >= Duration::from_millis(950), "{took:?}");
        relay.limit(None);
        assert_eq!(read_bytes(&client, &address.to_string(), Millis(500)).await, Ok(SIZE));
    });
}

/// Guards against a relay that stalls no connection, more than one, or before the number of bytes that it was told.
#[test]
fn stall_once() {
    const SIZE: usize = 100_000;
    run(1, |executor| async move {
        let target = serve_bytes(&executor, SIZE).await;
        let relay = Relay::new(target.to_string());
        let (address, _) = relay.serve(&executor, local(), local()).await.expect("relay");
        let client = HttpClient::new(executor.clone(), 8, 1 << 20);
        let read = async || read_bytes(&client, &address.to_string(), Millis(500)).await;
        relay.stall_after(2 * SIZE);
        // Bytes count from the last request on, so that two responses on one connection don't add up.
        for _ in 0..3 {
            assert_eq!(read().await, Ok(SIZE));
        }
        assert!(!relay.has_stalled());
        relay.stall_after(SIZE / 2);
        assert_eq!(read().await, Err(pistachiostair::ErrorKind::Timeout));
        assert!(relay.has_stalled());
        assert_eq!(read().await, Ok(SIZE));
    });
}

/// Serves responses of `size` bytes.
async fn serve_bytes(executor: &Arc<Executor<'static>>, size: usize) -> SocketAddr {
    let handler: HttpHandler =
        Arc::new(move |_| Box::pin(async move { HttpReply::text(StatusCode::OK, vec![b'x'; size]) }));
    serve(executor, local(), 16, handler).await.expect("server")
}

/// Number of bytes of a response.
async fn read_bytes(client: &HttpClient, peer: &str, timeout: Millis) -> Result<usize, pistachiostair::ErrorKind> {
    let call = HttpCall {
        method: Method::GET,
        path: "/",
        headers: &[],
        body: Default::default(),
        timeout,
    };
    let answer = client.send(peer, call).await;
    answer.map(|answer| answer.body.len()).map_err(|error| error.kind)
}

//! Faults of the UDP relay, which the tests of links under loss rest on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use async_net::UdpSocket;
use futures_lite::future;
use hyper::Method;
use pistachiostair::Millis;
use standin::{Impairment, UdpRelay, ask, new_client, run};

fn local() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address")
}

/// Receives numbered datagrams until none came for 300 ms; returns how often each did, and how many were overtaken.
async fn collect(socket: &UdpSocket) -> (BTreeMap<u32, u32>, u32) {
    let (mut seen, mut newest, mut overtaken) = (BTreeMap::new(), 0, 0);
    let mut block = [0; 4];
    let ended = || async {
        Timer::after(Duration::from_millis(300)).await;
        None
    };
    while let Some((4, _)) = future::or(async { socket.recv_from(&mut block).await.ok() }, ended()).await {
        let number = u32::from_be_bytes(block);
        *seen.entry(number).or_insert(0) += 1;
        overtaken += u32::from(number < newest);
        newest = newest.max(number);
    }
    (seen, overtaken)
}

/// Guards against a relay that loses, doubles and reorders nothing, loses far more than asked, or forwards what is cut.
#[test]
fn pass_datagrams() {
    run(1, |executor| async move {
        let impairment = Impairment {
            loss: 0.05,
            duplicates: 0.02,
            delay: (3, 8),
            seed: 7,
        };
        let (address, control) = UdpRelay::serve(impairment, &executor, local(), local())
            .await
            .expect("relay");
        let (near, far) = (
            UdpSocket::bind(local()).await.expect("near"),
            UdpSocket::bind(local()).await.expect("far"),
        );
        let client = new_client(&executor);
        let order = async |path: String| {
            let path = format!("/control/{path}");
            let () = ask(&client, &control.to_string(), Method::POST, &path, &())
                .await
                .expect("control");
        };
        let send = async || {
            for number in 0_u32..2_000 {
                near.send_to(&number.to_be_bytes(), address).await.expect("send");
                if number % 10 == 0 {
                    Timer::after(Millis(1).duration()).await;
                }
            }
        };
        order(format!("target/{}", far.local_addr().expect("address"))).await;
        let ((seen, overtaken), ()) = future::zip(collect(&far), send()).await;
        let lost = 2_000 - seen.len();
        let doubled = seen.values().filter(|count| **count == 2).count();
        assert!((60..=140).contains(&lost), "{lost} of 2000 lost");
        assert!((15..=70).contains(&doubled), "{doubled} of 2000 doubled");
        assert!(overtaken > 100, "{overtaken} of 2000 overtaken");
        for cut in ["cut".to_owned(), "block/127.0.0.1".to_owned()] {
            order(cut.clone()).await;
            let ((seen, _), ()) = future::zip(collect(&far), send()).await;
            assert_eq!(seen.len(), 0, "forwarded after {cut}");
            order("open".to_owned()).await;
        }
        let ((seen, _), ()) = future::zip(collect(&far), send()).await;
        assert!(seen.len() > 1_800, "{} of 2000 after the cut", seen.len());
    });
}

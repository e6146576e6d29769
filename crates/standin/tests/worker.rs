//! Polls of a worker, which the supervisor's reports rest on.

use std::net::SocketAddr;

use hyper::{Method, StatusCode};
use pistachiostair::{CLOCK_HEADER, Changes, HttpAnswer, HttpCall, HttpClient, Incarnation, Millis, WorkerInfo};
use serde_json::json;
use standin::{StandinWorker, ask, run};

async fn poll(client: &HttpClient, peer: &str, after: u64, incarnation: Incarnation) -> HttpAnswer {
    let path = format!("/v1/changes?after={after}&wait=0&incarnation={incarnation}");
    let call = HttpCall {
        method: Method::GET,
        path: &path,
        headers: &[],
        body: Default::default(),
        timeout: Millis(1_000),
    };
    client.send(peer, call).await.expect("answer")
}

/// Guards against an answer without a body that hides a restart, a change or the whole inventory.
#[test]
fn poll_unchanged() {
    run(1, |executor| async move {
        let info: WorkerInfo = serde_json::from_value(json!({
            "name": "w", "region": "fi", "domain": "espoo", "rack": "r", "slots": 1, "accelerators": 1,
            "millicores": 1, "memory": 1,
        }))
        .expect("info");
        let local: SocketAddr = "127.0.0.1:0".parse().expect("address");
        let worker = StandinWorker::new(info, None, None);
        let peer = worker.serve(&executor, local).await.expect("serve").to_string();
        let client = HttpClient::new(executor.clone(), 2, 100_000);
        let leave = json!({"mode": "leave"});
        let () = ask(&client, &peer, Method::POST, "/control/fault", &leave)
            .await
            .expect("leave");

        let first = poll(&client, &peer, 0, Incarnation(0)).await;
        let all: Changes = serde_json::from_slice(&first.body).expect("changes");
        assert!(all.full && all.leaving && all.change > 0, "{all:?}");

        let same = poll(&client, &peer, all.change, all.incarnation).await;
        assert_eq!((same.status, same.body.len()), (StatusCode::NO_CONTENT, 0));
        let clock = same.headers.get(CLOCK_HEADER).expect("clock").to_str().expect("text");
        let clock: u64 = clock.parse().expect("number");
        assert!(clock >= all.clock.expect("clock").0, "{clock}");

        let former = Incarnation(all.incarnation.0 - 1);
        for (after, incarnation) in [(0, all.incarnation), (all.change, former)] {
            let other = poll(&client, &peer, after, incarnation).await;
            assert_eq!(other.status, StatusCode::OK, "after {after} of {incarnation}");
        }
    });
}

//! Exit codes, documents and output of the commands.

use crate::support::{Server, closed_address, code, json, pstair, stderr, stdout};
use rstest::rstest;

const JOBS: &str = r#"{"items":[{"metadata":{"name":"x","revision":7},"spec":{"account":"court","shape":"2x4"},
    "status":{"id":1,"phase":"running","ran":"yes","workers":["w1","w2"],"attempt":1}}],"revision":7}"#;

#[rstest]
#[case::invalid(400, "invalid", "no", 2)]
#[case::not_found(404, "notFound", "no", 3)]
#[case::conflict(409, "conflict", "no", 4)]
#[case::limited(429, "limited", "no", 5)]
#[case::unavailable(503, "unavailable", "no", 5)]
#[case::unknown(504, "timeout", "unknown", 6)]
#[case::impossible(422, "impossible", "no", 1)]
#[case::internal(500, "internal", "no", 1)]
fn exit_code(#[case] status: u16, #[case] kind: &str, #[case] ran: &str, #[case] exit: i32) {
    let body = format!(r#"{{"kind":"{kind}","message":"because","ran":"{ran}","retry":70}}"#);
    let server = Server::start(move |_| json(status, &body));
    let args = ["submit", "--account", "court", "--shape", "1x1"];
    let output = pstair(&[server.address], &args, "");
    assert_eq!(code(&output), exit, "{}", stderr(&output));
    let expected = format!("create job at {}: because", server.address);
    assert!(stderr(&output).contains(&expected), "{}", stderr(&output));
    assert!(stderr(&output).contains("70 ms"), "{}", stderr(&output));
}

#[rstest]
#[case::succeeded("succeeded", 0)]
#[case::failed("failed", 7)]
#[case::unknown("unknown", 6)]
#[case::running("running", 8)]
fn submit_wait(#[case] phase: &str, #[case] exit: i32) {
    let job = JOBS.replace("running", phase);
    let job: serde_json::Value = serde_json::from_str(&job).unwrap();
    let job = job["items"][0].to_string();
    let server = Server::start(move |_| json(200, &job));
    let args = ["submit", "--account", "court", "--shape", "1x1", "--wait=50ms"];
    assert_eq!(code(&pstair(&[server.address], &args, "")), exit);
}

// Something else may listen at the address; a write there has an unknown outcome.
#[rstest]
#[case::read_text(&["get", "jobs"], 200, "<html>", 1)]
#[case::read_other_json(&["get", "jobs"], 200, r#"{"a":1}"#, 1)]
#[case::read_error_text(&["get", "jobs"], 500, "<html>", 1)]
#[case::write_text(&["cancel", "court/x"], 200, "<html>", 6)]
#[case::write_error_text(&["cancel", "court/x"], 500, "oops", 6)]
#[case::watch_text(&["watch", "jobs", "--from", "1"], 200, "<html>\n", 1)]
fn garbage(#[case] args: &[&str], #[case] status: u16, #[case] body: &'static str, #[case] exit: i32) {
    let server = Server::start(move |_| json(status, body));
    let output = pstair(&[server.address], args, "");
    assert_eq!(code(&output), exit, "{}", stderr(&output));
    assert!(
        stderr(&output).contains(&server.address.to_string()),
        "{}",
        stderr(&output)
    );
}

#[test]
fn get_formats() {
    let server = Server::start(|_| json(200, JOBS));
    let get = |format| stdout(&pstair(&[server.address], &["get", "jobs", "-o", format], ""));
    let table = get("table");
    let row: Vec<&str> = table.lines().nth(1).unwrap().split_whitespace().collect();
    assert_eq!(
        row,
        ["court", "x", "running", "2x4", "normal", "1", "yes", "w1,w2", "-"]
    );
    let list: serde_json::Value = serde_json::from_str(&get("json")).unwrap();
    assert_eq!(list[0]["status"]["phase"], "running");
    let document: serde_norway::Value = serde_norway::from_str(&get("yaml")).unwrap();
    assert_eq!(document["kind"].as_str(), Some("Job"));
}

// A list in pages must come whole: a missing job looks like a lost one.
#[test]
fn get_pages() {
    let server = Server::start(|request| {
        let after: u64 = request.query.get("after").map_or(0, |after| after.parse().unwrap());
        let count = if after == 0 { 500 } else { 20 };
        let items: Vec<serde_json::Value> = (after + 1..=after + count)
            .map(|id| {
                serde_json::json!({"metadata": {"name": format!("j{id}"), "revision": id},
                    "spec": {"account": "court", "shape": "1x0"},
                    "status": {"id": id, "phase": "queued", "ran": "no"}})
            })
            .collect();
        json(
            200,
            &serde_json::json!({"items": items, "revision": after + count}).to_string(),
        )
    });
    let output = pstair(&[server.address], &["get", "jobs", "-o", "json"], "");
    let list: Vec<serde_json::Value> = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(list.len(), 520);
}

const DOCUMENTS: &str = "\
kind: Account
metadata: {name: court}
spec: {weight: 2}
---
kind: Job
metadata: {name: x}
spec: {account: court, shape: 2x4}
---
kind: Account
metadata: {name: last}
spec: {}
";

// One failure must not hide what was applied before it and what was not sent after it.
#[test]
fn apply_stops_at_failure() {
    let server = Server::start(|request| match (request.method.as_str(), request.path.as_str()) {
        ("GET", _) => json(404, r#"{"kind":"notFound","message":"none","ran":"no"}"#),
        ("PUT", _) => json(200, r#"{"metadata":{"name":"court","revision":1},"spec":{"weight":2}}"#),
        _ => json(429, r#"{"kind":"limited","message":"quota","ran":"no"}"#),
    });
    let output = pstair(&[server.address], &["apply", "-f", "-"], DOCUMENTS);
    assert_eq!(code(&output), 5);
    assert_eq!(stdout(&output), "account court created\n");
    assert!(
        stderr(&output).contains("job court/x was not applied"),
        "{}",
        stderr(&output)
    );
    assert!(
        stderr(&output).contains("account last was not sent"),
        "{}",
        stderr(&output)
    );
    let requests = server.requests();
    assert_eq!(requests[1].headers["if-match"], "0");
    assert_eq!(requests[2].headers["idempotency-key"], "x");
    assert_eq!(requests.len(), 3);
}

#[test]
fn apply_invalid_sends_nothing() {
    let server = Server::start(|_| json(200, "{}"));
    let text = DOCUMENTS.replace("spec: {}", "spec: {weight: 0}");
    let output = pstair(&[server.address], &["apply", "-f", "-"], &text);
    assert_eq!(code(&output), 2);
    assert!(
        stderr(&output).contains("document 3: spec.weight"),
        "{}",
        stderr(&output)
    );
    assert!(server.requests().is_empty());
}

// A configuration that another operator changed meanwhile must not be overwritten.
#[test]
fn config_set_revision() {
    let server = Server::start(|_| json(412, r#"{"kind":"conflict","message":"revision 5","ran":"no"}"#));
    let text = "kind: Configuration\nmetadata: {revision: 4}\nspec: {limits: {rate: 9}}\n";
    let output = pstair(&[server.address], &["config", "set", "-f", "-"], text);
    assert_eq!(code(&output), 4);
    let request = &server.requests()[0];
    assert_eq!(request.headers["if-match"], "4");
    assert_eq!(request.headers["author"], "tester");
}

#[rstest]
#[case::no_server(&["--server", "host", "get", "jobs"])]
#[case::kind(&["get", "pods"])]
#[case::job_name(&["get", "job", "x"])]
#[case::span(&["submit", "--account", "a", "--shape", "1x1", "--runtime", "5"])]
#[case::shape(&["submit", "--account", "a", "--shape", "1x999"])]
#[case::account_name(&["submit", "--account", "A", "--shape", "1x1"])]
#[case::delete_job(&["delete", "jobs", "a/x"])]
#[case::missing_file(&["apply", "-f", "/nonexistent.yaml"])]
fn usage(#[case] args: &[&str]) {
    let output = pstair(&[closed_address()], args, "");
    assert_eq!(code(&output), 2, "{}", stderr(&output));
}

#[test]
fn completions_shells() {
    for shell in ["bash", "zsh", "fish"] {
        let output = pstair(&[], &["completions", shell], "");
        assert_eq!(code(&output), 0);
        assert!(stdout(&output).contains("undrain"), "{shell}");
    }
}

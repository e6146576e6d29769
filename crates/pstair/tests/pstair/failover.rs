//! Fail-over between servers, and requests that must not take effect twice.

use crate::support::{Server, closed_address, code, dropping_address, json, lines, pstair, silence, stderr, stdout};
use rstest::rstest;

const JOB: &str = r#"{"metadata":{"name":"x","revision":7},"spec":{"account":"court","shape":"1x1"},
    "status":{"id":1,"phase":"queued","ran":"no"}}"#;
const ACCOUNT: &str = r#"{"metadata":{"name":"court","revision":4},"spec":{"weight":2}}"#;
const SUBMIT: [&str; 5] = ["submit", "--account", "court", "--shape", "1x1"];

// A daemon that is down must not keep an operator from the others.
#[test]
fn get_unreachable_server() {
    let server = Server::start(|_| json(200, r#"{"items":[],"revision":1}"#));
    let output = pstair(&[closed_address(), server.address], &["get", "jobs"], "");
    assert_eq!(code(&output), 0, "{}", stderr(&output));
}

#[test]
fn get_all_unreachable() {
    let address = closed_address();
    let output = pstair(&[address], &["get", "jobs"], "");
    assert_eq!(code(&output), 5);
    // The message names the step and the peer.
    assert!(
        stderr(&output).contains(&format!("list at {address}: connect")),
        "{}",
        stderr(&output)
    );
}

// A submission that may have reached a daemon is sent again only with the same key, or two jobs run.
#[test]
fn submit_lost_response() {
    let server = Server::start(|_| json(200, JOB));
    let output = pstair(&[dropping_address(), server.address], &SUBMIT, "");
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    let key = server.requests()[0].headers["idempotency-key"].clone();
    assert!(key.starts_with("pstair-"), "{key}");
}

#[test]
fn submit_same_key() {
    let refusal = r#"{"kind":"unavailable","message":"no scheduler","ran":"unknown"}"#;
    let first = Server::start(move |_| json(503, refusal));
    let second = Server::start(|_| json(201, JOB));
    let output = pstair(&[first.address, second.address], &SUBMIT, "");
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    let keys = [&first, &second].map(|server| server.requests()[0].headers["idempotency-key"].clone());
    assert_eq!(keys[0], keys[1]);
}

#[test]
fn submit_all_lost() {
    let output = pstair(&[dropping_address()], &SUBMIT, "");
    assert_eq!(code(&output), 6);
    assert!(stderr(&output).contains("--key pstair-"), "{}", stderr(&output));
}

// A cancellation without a revision may hit a newer job of the same name if it is repeated.
#[rstest]
#[case::cancel(&["cancel", "court/x"], 0, 6)]
#[case::cancel_revision(&["cancel", "court/x", "--revision", "7"], 1, 0)]
#[case::drain(&["drain", "w1"], 0, 6)]
fn repeat_lost_response(#[case] args: &[&str], #[case] repeats: usize, #[case] exit: i32) {
    let server = Server::start(|_| json(200, JOB));
    let output = pstair(&[dropping_address(), server.address], args, "");
    assert_eq!(code(&output), exit, "{}", stderr(&output));
    assert_eq!(server.requests().len(), repeats);
}

// The repeated write conflicts with its own first attempt; that is a success, not a conflict.
#[rstest]
#[case::own_write("2", 0)]
#[case::other_write("9", 6)]
fn apply_conflict_with_itself(#[case] weight: &str, #[case] exit: i32) {
    let stored = ACCOUNT.replace("\"weight\":2", &format!("\"weight\":{weight}"));
    let server = Server::start(move |request| match request.method.as_str() {
        "PUT" => json(412, r#"{"kind":"conflict","message":"revision 4","ran":"no"}"#),
        _ => json(200, &stored),
    });
    let document = "kind: Account\nmetadata: {name: court, revision: 3}\nspec: {weight: 2}\n";
    let output = pstair(&[dropping_address(), server.address], &["apply", "-f", "-"], document);
    assert_eq!(code(&output), exit, "{}", stderr(&output));
    assert_eq!(server.requests()[0].headers["if-match"], "3");
}

// A watch continues at the next server from the last revision it received, without a gap.
#[test]
fn watch_resume() {
    let line = |revision: u64| format!(r#"{{"revision":{revision},"object":{}}}"#, JOB.replace('\n', ""));
    let (one, two) = (line(11), line(12));
    let first = Server::start(move |request| {
        if request.query.contains_key("watch") {
            lines(&[&one, r#"{"revision":11}"#])
        } else {
            json(200, r#"{"items":[],"revision":10}"#)
        }
    });
    let second = Server::start(move |_| lines(&[&two]));
    let args = ["watch", "jobs", "--count", "2", "-o", "json"];
    let output = pstair(&[first.address, second.address], &args, "");
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert_eq!(stdout(&output).lines().count(), 2);
    assert_eq!(first.requests()[1].query["watch"], "10");
    assert_eq!(second.requests()[0].query["watch"], "11");
}

#[test]
fn watch_expired() {
    let line = format!(r#"{{"revision":31,"object":{ACCOUNT}}}"#);
    let server = Server::start(move |request| match request.query.get("watch").map(String::as_str) {
        None => json(200, r#"{"items":[],"revision":30}"#),
        Some("30") => lines(&[&line]),
        Some(_) => json(410, r#"{"kind":"expired","message":"too old","ran":"no"}"#),
    });
    let args = ["watch", "accounts", "--from", "5", "--count", "1"];
    let output = pstair(&[server.address], &args, "");
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert!(stdout(&output).contains("court"));
}

// A watch must end instead of running on in silence when no server is left.
#[test]
fn watch_servers_gone() {
    let args = ["watch", "jobs", "--from", "1", "--timeout", "500ms"];
    let output = pstair(&[closed_address()], &args, "");
    assert_eq!(code(&output), 5);
}

// A connection that went silent must not hold a read or a watch for ever.
#[test]
fn get_silent_server() {
    let first = Server::start(|_| silence());
    let second = Server::start(|_| json(200, r#"{"items":[],"revision":1}"#));
    let args = ["get", "jobs", "--timeout", "300ms"];
    let output = pstair(&[first.address, second.address], &args, "");
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert_eq!((first.requests().len(), second.requests().len()), (1, 1));
}

#[test]
fn watch_silent_server() {
    let line = format!(r#"{{"revision":4,"object":{ACCOUNT}}}"#);
    let first = Server::start(|_| silence());
    let second = Server::start(move |_| lines(&[&line]));
    let args = ["watch", "accounts", "--from", "3", "--count", "1", "--timeout", "200ms"];
    let output = pstair(&[first.address, second.address], &args, "");
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert_eq!(second.requests()[0].query["watch"], "3");
}

//! Valid documents that tests change at random.

use serde_json::{Value, json};

fn named(values: &[Value]) -> Vec<Vec<u8>> {
    values
        .iter()
        .map(|value| rmp_serde::to_vec_named(value).unwrap())
        .collect()
}

pub(crate) fn spec() -> Value {
    json!({"account": "court", "shape": "2x4", "urgency": "urgent", "size": {"millicores": 100, "memory": 5},
        "runtime": 60000, "idempotent": true, "payload": "text", "deadline": 5, "region": "fi"})
}

fn member(name: &str) -> Value {
    json!({"n": name, "i": 7, "a": "10.0.0.1:7000", "r": "fi", "d": "espoo", "s": "live", "p": 3})
}

pub(crate) fn inventory() -> Value {
    let info = json!({"name": "w1", "region": "fi", "domain": "espoo", "rack": "r1", "slots": 8, "accelerators": 8,
        "millicores": 30000, "memory": 65536});
    let task = json!({"task": {"job": 4, "attempt": 1, "part": 0}, "state": "running", "change": 9, "progress": 10,
        "usage": {"millicores": 1, "memory": 2}, "answer": "yes"});
    json!({"info": info, "incarnation": 5, "term": 3, "leaving": false, "change": 9, "full": true, "tasks": [task]})
}

pub(crate) fn envelopes() -> Vec<Vec<u8>> {
    let leader = json!({"r": "fi", "d": "d1", "t": 4});
    let start = json!({"start": {"task": {"job": 4, "attempt": 1, "part": 0}, "held": true, "lease": 15000,
        "accelerators": 4, "size": {}, "payload": null, "runtime": null, "progress": 0}});
    let batch = json!({"term": 3, "incarnation": 5, "commands": [start]});
    let requests = [
        json!({"heartbeat": {"m": member("d1"), "l": [leader], "k": [member("d2")]}}),
        json!({"command": {"worker": "w1", "batch": batch}}),
        json!({"report": {"region": "fi", "worker": "w1", "changes": inventory()}}),
        json!({"call": {"region": "fi", "call": {"submit": {"name": "j", "key": "k", "spec": spec()}}}}),
        json!({"call": {"region": "fi", "call": {"list": {"account": null, "after": 0, "limit": 5, "wait": 0}}}}),
        json!({"policy": {"revision": 4, "document": "limits: {}"}}),
        json!("getPolicy"),
    ];
    let envelope = |request| json!({"v": 1, "f": "d1", "t": 1000, "r": request});
    let envelopes = named(&requests.map(envelope));
    // A sample that does not decode would test nothing.
    for bytes in &envelopes {
        rmp_serde::from_slice::<pistachiostair::Envelope>(bytes).unwrap();
    }
    envelopes
}

pub(crate) fn responses() -> Vec<Vec<u8>> {
    let status = json!({"id": 4, "phase": "running", "attempt": 1, "workers": ["w1"], "ran": "yes", "answer": null,
        "reason": "", "conditions": [{"kind": "Placeable", "status": true}]});
    let job = json!({"metadata": {"name": "j", "revision": 4, "labels": {"a": "b"}}, "spec": spec(), "status": status});
    let responses = named(&[
        json!("ack"),
        json!({"heartbeat": {"m": member("d1"), "l": [], "k": []}}),
        json!({"command": {"done": {"results": ["ok", {"refused": {"reason": "full"}}]}}}),
        json!({"renewed": {"x": [[1, null], [4, {"oldTerm": {"term": 5}}]]}}),
        json!({"jobs": {"jobs": [job], "revision": 4, "created": true}}),
        json!({"explained": {"lines": ["waits"]}}),
        json!({"policy": {"revision": 4, "document": "limits: {}"}}),
        json!({"failed": {"kind": "limited", "message": "busy", "ran": "no", "retry": 100}}),
    ]);
    for bytes in &responses {
        rmp_serde::from_slice::<pistachiostair::Response>(bytes).unwrap();
    }
    responses
}

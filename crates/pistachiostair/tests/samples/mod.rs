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
    json!({"name": name, "incarnation": 7, "address": "10.0.0.1:7000", "region": "fi", "domain": "espoo",
        "state": "live", "policy": 3})
}

pub(crate) fn inventory() -> Value {
    let info = json!({"name": "w1", "region": "fi", "domain": "espoo", "rack": "r1", "slots": 8, "accelerators": 8,
        "millicores": 30000, "memory": 65536});
    let task = json!({"task": {"job": 4, "attempt": 1, "part": 0}, "state": "running", "change": 9, "progress": 10,
        "usage": {"millicores": 1, "memory": 2}, "answer": "yes"});
    json!({"info": info, "incarnation": 5, "term": 3, "leaving": false, "change": 9, "full": true, "tasks": [task]})
}

pub(crate) fn envelopes() -> Vec<Vec<u8>> {
    let leader = json!({"region": "fi", "daemon": "d1", "term": 4});
    let start = json!({"start": {"task": {"job": 4, "attempt": 1, "part": 0}, "held": true, "lease": 15000,
        "accelerators": 4, "size": {}, "payload": null, "runtime": null, "progress": 0}});
    let batch = json!({"term": 3, "incarnation": 5, "commands": [start]});
    let requests = [
        json!({"heartbeat": {"member": member("d1"), "leaders": [leader], "known": [member("d2")]}}),
        json!({"command": {"worker": "w1", "batch": batch}}),
        json!({"report": {"region": "fi", "worker": "w1", "changes": inventory()}}),
        json!({"call": {"region": "fi", "call": {"submit": {"name": "j", "key": "k", "spec": spec()}}}}),
        json!({"call": {"region": "fi", "call": {"list": {"account": null, "after": 0, "limit": 5, "wait": 0}}}}),
        json!({"policy": {"revision": 4, "document": "limits: {}"}}),
        json!("getPolicy"),
    ];
    let envelope = |request| json!({"version": 1, "from": "d1", "timeout": 1000, "request": request});
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
        json!({"heartbeat": {"member": member("d1"), "leaders": [], "known": []}}),
        json!({"command": {"done": {"results": ["ok", {"refused": {"reason": "full"}}]}}}),
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

//! Everything that reads bytes from outside: no input panics, and what is read is written back the same.

mod samples;

use std::fmt::Debug;

use pistachiostair::{
    Changes, Commit, Envelope, JobSpec, MAX_DOCUMENT_BYTES, Policy, PolicyState, Response, Revision, Row, Vm,
    decode_message, decode_percent, encode_percent, parse_json, parse_policy, parse_query, parse_yaml,
};
use proptest::prelude::*;
use proptest::sample::Index;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

fn text(values: &[Value]) -> Vec<Vec<u8>> {
    values.iter().map(|value| value.to_string().into_bytes()).collect()
}

fn changes() -> Vec<Vec<u8>> {
    serde_json::from_value::<Changes>(samples::inventory()).unwrap();
    text(&[samples::inventory()])
}

fn platform() -> Vec<Vec<u8>> {
    let row = json!({"key": "lease/fi", "version": 4, "value": "{}"});
    let vm = json!({"name": "w1", "role": "worker", "address": "10.0.0.2:80", "state": "leaving"});
    let done = json!({"done": {"version": 5}});
    let conflict = json!({"conflict": {"key": "a", "version": 0}});
    text(&[row.clone(), json!([row]), done, conflict, json!([vm])])
}

fn jobs() -> Vec<Vec<u8>> {
    serde_json::from_value::<JobSpec>(samples::spec()).unwrap();
    text(&[samples::spec(), json!({"account": "a", "shape": "1x0"})])
}

fn policies() -> Vec<Vec<u8>> {
    let full = "limits:\n  rate: 5\n  outstanding: 6\n  requests: 7\n  body: 65536\nscheduling:\n  reserve: 1\n  \
                short: 5000\n  patience: 100\n  attempts: 3\nweights:\n  court: 2\n  bank: 3\n";
    parse_policy(full).unwrap();
    vec![
        full.into(),
        "a: &a [x, x]\nb: [*a, *a]\n".into(),
        "limits: {rate: 0x10, <<: {body: 5}}".into(),
    ]
}

/// Bytes at random, or one of the samples with bytes replaced, a part repeated, and the end cut off.
fn bytes(samples: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let edits = proptest::collection::vec((any::<Index>(), any::<u8>()), 0..6);
    let part = (any::<Index>(), any::<Index>(), 0_usize..3);
    let mutated = (
        proptest::sample::select(samples),
        edits,
        part,
        any::<Index>(),
        any::<bool>(),
    );
    let mutated = mutated.prop_map(|(mut bytes, edits, (from, to, times), end, cut)| {
        for (at, byte) in edits {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        let (from, to) = (from.index(bytes.len()), to.index(bytes.len()));
        let part = bytes[from.min(to)..from.max(to)].to_vec();
        (0..times).for_each(|_| drop(bytes.splice(from..from, part.clone())));
        if cut {
            bytes.truncate(end.index(bytes.len()));
        }
        bytes
    });
    prop_oneof![1 => proptest::collection::vec(any::<u8>(), 0..2_048), 4 => mutated]
}

fn check_message<T: Serialize + DeserializeOwned + PartialEq + Debug>(bytes: &[u8]) {
    if let Ok(value) = decode_message::<T>(bytes) {
        let again = rmp_serde::to_vec_named(&value).unwrap();
        assert_eq!(decode_message::<T>(&again).unwrap(), value);
    }
}

fn check_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(bytes: &[u8]) {
    if let Ok(value) = serde_json::from_slice::<T>(bytes) {
        let again = serde_json::to_vec(&value).unwrap();
        assert_eq!(serde_json::from_slice::<T>(&again).unwrap(), value);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) })]

    /// Guards against a daemon that a malformed message of a peer ends.
    #[test]
    fn envelope_bytes(bytes in bytes(samples::envelopes())) {
        check_message::<Envelope>(&bytes);
    }

    /// Guards against a daemon that a malformed response of a peer ends.
    #[test]
    fn response_bytes(bytes in bytes(samples::responses())) {
        check_message::<Response>(&bytes);
    }

    /// Guards against a supervisor that a malformed report of a worker ends.
    #[test]
    fn changes_bytes(bytes in bytes(changes())) {
        check_json::<Changes>(&bytes);
    }

    /// Guards against a daemon that a malformed response of the platform ends.
    #[test]
    fn platform_bytes(bytes in bytes(platform())) {
        check_json::<Row>(&bytes);
        check_json::<Vec<Row>>(&bytes);
        check_json::<Commit>(&bytes);
        check_json::<Vec<Vm>>(&bytes);
    }

    /// Guards against an entry daemon that a caller's document ends.
    #[test]
    fn job_bytes(bytes in bytes(jobs())) {
        check_json::<JobSpec>(&bytes);
        let _ = parse_json::<JobSpec>(&bytes);
        let _ = parse_yaml::<JobSpec>(&bytes);
    }

    /// Guards against a daemon that an operator's document ends, and against a rejected one in force.
    #[test]
    fn policy_bytes(bytes in bytes(policies())) {
        let _ = parse_yaml::<Policy>(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        let mut state = PolicyState::new();
        let applied = state.apply(Revision(1), &text);
        prop_assert!(text.len() <= MAX_DOCUMENT_BYTES);
        prop_assert_eq!(applied.is_ok(), state.revision() == Revision(1));
    }

    /// Guards against a query that panics or grows when decoded, in the middle of a character or an escape.
    #[test]
    fn query_text(text in "[ -~ä€%&=+]{0,200}|(%[0-9a-fA-F]{2}|%|a|€){0,60}") {
        // Bytes that are no UTF-8 become a replacement character of 3 bytes.
        prop_assert!(decode_percent(&text).len() <= 3 * text.len());
        let pairs = parse_query(&text);
        prop_assert!(pairs.len() <= text.len());
    }

    /// Guards against names that change on the way through a path.
    #[test]
    fn percent_round_trip(text in ".{0,100}") {
        prop_assert_eq!(decode_percent(&encode_percent(&text)), text);
    }
}

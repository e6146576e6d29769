//! Messages between daemons of this release and of the one before, in which probes carried no capacity and their
//! answers no rank.

use pistachiostair::{Capacity, Millis, Request, Response, Revision, RulesAge, decode_message};
use serde::{Deserialize, Serialize};

/// Probe of the earlier release.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
enum EarlierRequest {
    Beat { address: String },
}

/// Answer of the earlier release.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
enum EarlierResponse {
    Beat { version: u64, left: Millis },
}

fn encode(message: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("encoded")
}

/// Guards against probes that a daemon of the other release can't read during an upgrade.
#[test]
fn probe_both_ways() {
    let address = "10.0.0.1:1".to_owned();
    let earlier = EarlierRequest::Beat {
        address: address.clone(),
    };
    let capacity = Some(Capacity {
        millicores: 500,
        link_kbps: 200_000,
        memory_mb: 512,
    });
    let beat = |capacity| Request::Beat {
        address: address.clone(),
        capacity,
    };
    assert_eq!(decode_message::<Request>(&encode(&earlier)).expect("read"), beat(None));
    let forth = encode(&beat(capacity));
    assert_eq!(decode_message::<EarlierRequest>(&forth).expect("read"), earlier);
    assert_eq!(decode_message::<Request>(&forth).expect("read"), beat(capacity));
}

/// Guards against answers that a daemon of the other release can't read during an upgrade.
#[test]
fn answer_both_ways() {
    let (version, left) = (7, Millis(900));
    let earlier = EarlierResponse::Beat { version, left };
    let rules = RulesAge {
        version: Revision(12),
        age: Millis(340),
    };
    let beat = |rank, rules| Response::Beat {
        version,
        left,
        rank,
        rules,
    };
    let read = decode_message::<Response>(&encode(&earlier)).expect("read");
    assert_eq!(read, beat(None, None));
    let back = encode(&beat(Some(3), Some(rules)));
    assert_eq!(decode_message::<EarlierResponse>(&back).expect("read"), earlier);
    let read = decode_message::<Response>(&back).expect("read");
    assert_eq!(read, beat(Some(3), Some(rules)));
}

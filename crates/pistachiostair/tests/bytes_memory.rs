//! Input that claims to be larger or deeper than it is takes no more memory than the limit. The only test of
//! this file, since it reads the memory of the whole process.

mod samples;

use std::time::{Duration, Instant};

use pistachiostair::{
    Changes, Envelope, JobSpec, MAX_DOCUMENT_BYTES, Response, Row, decode_message, decode_percent, parse_json,
    parse_policy, parse_query,
};

/// Memory that reading one input of at most 256 KiB may take, besides what the process has.
const LIMIT: u64 = 64 * 1024 * 1024;

/// Time that reading one input of at most 256 KiB may take, all parsers together, in a debug build: a document
/// must not hold a thread of the executor for as long as a heartbeat interval.
const TIME_LIMIT: Duration = Duration::from_secs(1);

/// Largest address space so far: counts what was reserved, even if it was never touched.
fn peak() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmPeak:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
}

/// Containers and strings of MessagePack with a claimed length of almost 4 GiB, in place of each byte of a
/// sample.
fn claims() -> Vec<Vec<u8>> {
    let claims = [0xdd, 0xdf, 0xdb, 0xc6, 0xc9].map(|kind| vec![kind, 0xff, 0xff, 0xff, 0xff]);
    let mut inputs = claims.to_vec();
    for sample in samples::envelopes().into_iter().chain(samples::responses()) {
        for at in 0..sample.len() {
            inputs.extend(
                claims
                    .iter()
                    .map(|claim| [&sample[..at], claim, &sample[at + 1..]].concat()),
            );
        }
    }
    inputs
}

/// Nested containers, also below a field that is not known.
fn nested() -> Vec<Vec<u8>> {
    let mut inputs = Vec::new();
    for (open, field) in [
        ("[", "{\"later\":"),
        ("{\"a\":", "later: "),
        ("{a: ", ""),
        ("- ", ""),
        ("? ", ""),
    ] {
        let open = open.repeat(MAX_DOCUMENT_BYTES / open.len());
        inputs.push(open.clone().into_bytes());
        inputs.push(format!("{field}{}", &open[..open.len() - field.len()]).into_bytes());
    }
    let map = [&[0x85, 0xa5][..], b"later", &[0x91; MAX_DOCUMENT_BYTES - 7]].concat();
    inputs.extend([
        vec![0x91; MAX_DOCUMENT_BYTES],
        [0x81, 0xa1, b'a'].repeat(MAX_DOCUMENT_BYTES / 3),
        map,
    ]);
    inputs
}

/// Guards against a peer, worker, caller or operator that takes the daemon's memory or its time with a
/// small input.
#[test]
fn read_within_limit() {
    let before = peak();
    for input in claims() {
        let _ = decode_message::<Envelope>(&input);
        let _ = decode_message::<Response>(&input);
    }
    for input in nested() {
        let start = Instant::now();
        let _ = decode_message::<Envelope>(&input);
        let _ = decode_message::<Response>(&input);
        let _ = serde_json::from_slice::<Changes>(&input);
        let _ = serde_json::from_slice::<Vec<Row>>(&input);
        let _ = parse_json::<JobSpec>(&input);
        let text = String::from_utf8_lossy(&input);
        let _ = parse_policy(&text);
        let _ = parse_query(&text);
        let _ = decode_percent(&text);
        let taken = start.elapsed();
        assert!(taken < TIME_LIMIT, "{taken:?} for {:?}", &text[..20]);
    }
    let taken = peak() - before;
    assert!(taken < LIMIT, "{taken} bytes");
}

use std::path::PathBuf;

use rstest::rstest;

use super::*;

const WHOLE: &str = "
name: entry-1
region: fi
domain: helsinki
api: {listen: '127.0.0.1:0'}
admin: {listen: '127.0.0.1:0'}
peers: {listen: '127.0.0.1:0', ca: Cargo.toml, certificate: Cargo.toml, key: Cargo.toml}
platform: {address: '127.0.0.1:7000'}
seeds: []
";

/// Any directory with a file of a known name.
fn base() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn paths(text: &str) -> Vec<String> {
    let findings = Settings::check(text, &base()).unwrap_err();
    findings.into_iter().map(|finding| finding.path).collect()
}

#[test]
fn check_defaults() {
    let settings = Settings::check(WHOLE, &base()).unwrap();
    assert_eq!(settings.platform.timeout, Millis(2_000));
    assert_eq!(settings.drain, Millis(3_000));
    assert_eq!(settings.peers.advertise, None);
    assert_eq!(settings.peers.ca, base().join("Cargo.toml"));
    assert_eq!(settings.logging.level, LogLevel::Info);
    let limits = settings.limits.http();
    assert_eq!(limits.connections, HttpLimits::default().connections);
}

#[test]
fn check_all_keys() {
    let text = format!(
        "{}drain: 500\nlogging: {{format: json, level: trace}}\n\
         limits: {{connections: 10, head: 9000, body: 2048, watches: 0, age: 5000}}\n",
        WHOLE.replace("seeds: []", "seeds: ['127.0.0.1:7300', '[::1]:7300']")
    );
    let settings = Settings::check(&text, &base()).unwrap();
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.logging.format, LogFormat::Json);
    assert_eq!(settings.limits.watches, 0);
    assert_eq!(settings.limits.http().age, Millis(5_000));
}

// An operator must see every fault in one run, not one for each start of the daemon.
#[test]
fn check_all_at_once() {
    let text = "
name: Entry
region: fi
api: {listen: 'localhost:1', port: 2}
admin: 5
peers: {listen: '0.0.0.0:0', ca: Cargo.toml, certificate: none.pem, key: src}
platform: {address: '127.0.0.1:0', timeout: 0}
seeds: ['127.0.0.1:7300', 7]
drain: -1
logging: {level: loud}
limits: {body: 1}
extra: 1
";
    let expected = [
        "extra",
        "name",
        "domain",
        "api.port",
        "api.listen",
        "admin",
        "admin.listen",
        "peers.advertise",
        "peers.certificate",
        "peers.key",
        "platform.address",
        "platform.timeout",
        "seeds[1]",
        "drain",
        "logging.level",
        "limits.body",
    ];
    assert_eq!(paths(text), expected);
}

#[rstest]
#[case::empty("")]
#[case::list("[1, 2]")]
#[case::scalar("7")]
#[case::broken("name: [")]
#[case::duplicate("name: a\nname: b\n")]
fn check_no_mapping(#[case] text: &str) {
    assert!(!paths(text).is_empty());
}

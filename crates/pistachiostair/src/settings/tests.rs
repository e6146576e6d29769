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

// The example is what operators copy; it must stay valid and show every key.
#[test]
fn check_example() {
    let root = base().join("../..");
    let text = std::fs::read_to_string(root.join("settings.example.yaml")).unwrap();
    let stored = std::env::temp_dir().join(format!("pistachiostair-settings-{}", std::process::id()));
    std::fs::create_dir_all(stored.join("pki")).unwrap();
    for name in ["ca.pem", "entry-1.pem", "entry-1.key"] {
        std::fs::write(stored.join("pki").join(name), "").unwrap();
    }
    let checked = Settings::check(&text, &stored);
    std::fs::remove_dir_all(&stored).unwrap();
    let settings = checked.unwrap();
    assert_eq!(settings.limits.http().body, HttpLimits::default().body);
    assert_eq!(settings.limits.watches as u64, DEFAULT_WATCHES);
    let operations = std::fs::read_to_string(root.join("docs/OPERATIONS.md")).unwrap();
    for key in [
        "name",
        "region",
        "domain",
        "api.listen",
        "admin.listen",
        "peers.listen",
        "peers.advertise",
        "peers.ca",
        "peers.certificate",
        "peers.key",
        "platform.address",
        "platform.timeout",
        "seeds",
        "drain",
        "logging.format",
        "logging.level",
        "limits.connections",
        "limits.head",
        "limits.body",
        "limits.watches",
        "limits.age",
    ] {
        assert!(
            operations.contains(&format!("| `{key}` |")),
            "{key} is not in docs/OPERATIONS.md"
        );
        let last = key.rsplit('.').next().unwrap();
        assert!(text.contains(&format!("{last}:")), "{key} is not in the example");
    }
}

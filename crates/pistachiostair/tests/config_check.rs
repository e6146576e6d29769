//! Checks of configurations: each guards against one kind of entry that is valid by itself and yet never works.

use std::collections::BTreeMap;

use pistachiostair::{
    AccountName, AccountRule, AccountSpec, ConfigObjects, GuaranteeSpec, Millis, Policy, Queue, QueueSettings, Rules,
    ServiceRule, Severity, Worker, WorkerInfo, check_objects, check_rules, describe_changes,
};
use rstest::rstest;

fn account(quota: Option<u32>) -> AccountSpec {
    AccountSpec {
        weight: 1,
        quota,
        outstanding: None,
        rate: None,
    }
}

fn guarantee(account: &str, shape: &str, count: u32) -> GuaranteeSpec {
    GuaranteeSpec {
        account: account.into(),
        shape: shape.parse().unwrap(),
        count,
        region: None,
        grace: Millis(2_000),
    }
}

fn worker(accelerators: u32) -> Worker {
    Worker {
        metadata: Default::default(),
        info: WorkerInfo {
            name: "w1".into(),
            region: "fi".into(),
            domain: "helsinki".into(),
            rack: "r1".into(),
            slots: 8,
            accelerators,
            millicores: 32_000,
            memory: 65_536,
        },
        state: pistachiostair::MemberState::Live,
        quarantined: false,
        ejected: false,
        tasks: 0,
        used: 0,
    }
}

/// A configuration without findings: one account with a guarantee that fits.
fn sound() -> ConfigObjects {
    ConfigObjects {
        policy: Some(Policy::default()),
        accounts: BTreeMap::from([("court".into(), account(Some(16)))]),
        guarantees: BTreeMap::from([("hearing".to_owned(), guarantee("court", "1x4", 2))]),
        complete: true,
        workers: vec![worker(8), worker(8)],
    }
}

type Edit = fn(&mut ConfigObjects);

#[rstest]
#[case::sound(|_: &mut ConfigObjects| {}, None)]
#[case::unknown_weight(|objects: &mut ConfigObjects| { policy(objects).weights.insert("ghost".into(), 2); }, Some((Severity::Warning, "weights.ghost")))]
#[case::reserve_fills_worker(|objects: &mut ConfigObjects| policy(objects).scheduling.reserve = 8, Some((Severity::Warning, "scheduling.reserve")))]
#[case::empty_quota(|objects: &mut ConfigObjects| {
    objects.guarantees.clear();
    objects.accounts.insert("court".into(), account(Some(0)));
}, Some((Severity::Warning, "quota")))]
#[case::quota_below_guarantee(|objects: &mut ConfigObjects| { objects.accounts.insert("court".into(), account(Some(7))); }, Some((Severity::Error, "quota")))]
#[case::guarantee_of_nobody(|objects: &mut ConfigObjects| { objects.guarantees.insert("lost".to_owned(), guarantee("ghost", "1x1", 1)); }, Some((Severity::Error, "account")))]
#[case::shape_too_large(|objects: &mut ConfigObjects| { objects.guarantees.insert("hearing".to_owned(), guarantee("court", "1x16", 1)); }, Some((Severity::Error, "shape")))]
#[case::grace_above_patience(|objects: &mut ConfigObjects| objects.guarantees.get_mut("hearing").unwrap().grace = Millis(20_000), Some((Severity::Warning, "grace")))]
#[case::over_capacity(|objects: &mut ConfigObjects| {
    objects.accounts.insert("court".into(), account(None));
    objects.guarantees.insert("hearing".to_owned(), guarantee("court", "1x8", 3));
}, Some((Severity::Error, "")))]
fn objects(#[case] edit: Edit, #[case] expected: Option<(Severity, &str)>) {
    let mut objects = sound();
    edit(&mut objects);
    let found = check_objects(&objects);
    let found: Vec<_> = found
        .iter()
        .map(|finding| (finding.severity, finding.path.as_str()))
        .collect();
    assert_eq!(found, Vec::from_iter(expected));
}

/// Guards against errors about accounts that may exist on the server, which was not asked.
#[test]
fn objects_incomplete() {
    let mut objects = sound();
    objects.accounts.clear();
    objects.complete = false;
    objects.workers.clear();
    assert_eq!(check_objects(&objects), vec![]);
}

fn policy(objects: &mut ConfigObjects) -> &mut Policy {
    objects.policy.as_mut().unwrap()
}

fn queue(name: &str, prefix: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "host".to_owned(),
        prefix: prefix.to_owned(),
        settings: QueueSettings {
            service: "orders".into(),
            priority: 0,
            attempts: 1,
            stretch: 1_500,
            allowance: Millis(300),
        },
        timeout: Millis(3_000),
        public: false,
        advised: false,
    }
}

fn rules() -> Rules {
    let key = |key: &str| AccountRule {
        api_keys: [key.to_owned()].into(),
        guaranteed: 0,
    };
    Rules {
        queues: BTreeMap::from([("a".into(), queue("a", "/a/")), ("b".into(), queue("b", "/b/"))]),
        services: BTreeMap::from([(
            "orders".into(),
            ServiceRule {
                admission_control: true,
            },
        )]),
        accounts: BTreeMap::from([("court".into(), key("k1")), ("press".into(), key("k2"))]),
        ..Rules::default()
    }
}

fn edit_queue(rules: &mut Rules) -> &mut Queue {
    rules.queues.get_mut(&"a".into()).unwrap()
}

#[rstest]
#[case::sound(|_: &mut Rules| {}, None)]
#[case::hidden_queue(|rules: &mut Rules| edit_queue(rules).prefix = "/b/".to_owned(), Some(("queue a", "prefix")))]
#[case::unreachable_prefix(|rules: &mut Rules| edit_queue(rules).prefix = "a/".to_owned(), Some(("queue a", "prefix")))]
#[case::unknown_service(|rules: &mut Rules| edit_queue(rules).settings.service = "ghost".into(), Some(("queue a", "service")))]
#[case::no_time(|rules: &mut Rules| edit_queue(rules).timeout = Millis::ZERO, Some(("queue a", "timeout")))]
#[case::always_late(|rules: &mut Rules| {
    edit_queue(rules).settings.stretch = 0;
    edit_queue(rules).settings.allowance = Millis::ZERO;
}, Some(("queue a", "stretch")))]
#[case::shared_key(|rules: &mut Rules| { rules.accounts.get_mut(&"press".into()).unwrap().api_keys.insert("k1".to_owned()); }, Some(("account press", "keys")))]
fn platform_rules(#[case] edit: fn(&mut Rules), #[case] expected: Option<(&str, &str)>) {
    let mut rules = rules();
    edit(&mut rules);
    let found = check_rules(&rules);
    let found: Vec<_> = found
        .iter()
        .map(|finding| (finding.subject.as_str(), finding.path.as_str()))
        .collect();
    assert_eq!(found, Vec::from_iter(expected));
}

#[rstest]
#[case::same(|_: &mut ConfigObjects| {}, vec![])]
#[case::limit(|objects: &mut ConfigObjects| policy(objects).limits.rate = 100, vec!["500 becomes 100: submissions a second for each account without a rate of its own"])]
#[case::weight(|objects: &mut ConfigObjects| { policy(objects).weights.insert("court".into(), 3); }, vec!["account court: weight 3 overrides its own"])]
#[case::quota(|objects: &mut ConfigObjects| { objects.accounts.insert("court".into(), account(Some(8))); }, vec!["account court: quota 16 becomes 8; 31 of its jobs wait"])]
#[case::new_account(|objects: &mut ConfigObjects| { objects.accounts.insert("press".into(), account(None)); }, vec!["account press is new"])]
#[case::guarantee(|objects: &mut ConfigObjects| { objects.guarantees.insert("hearing".to_owned(), guarantee("court", "1x4", 1)); }, vec!["guarantee hearing: 2 x 1x4 for account court becomes 1 x 1x4 for account court"])]
fn changes(#[case] edit: Edit, #[case] expected: Vec<&str>) {
    let current = sound();
    let mut newer = sound();
    edit(&mut newer);
    let waiting = BTreeMap::from([(AccountName::from("court"), 31)]);
    assert_eq!(describe_changes(&current, &newer, &waiting), expected);
}

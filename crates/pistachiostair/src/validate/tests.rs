use rstest::rstest;

use super::*;
use crate::resource::Account;

#[rstest]
#[case::one("a", true)]
#[case::longest(&"a".repeat(63), true)]
#[case::too_long(&"a".repeat(64), false)]
#[case::empty("", false)]
#[case::upper("Court", false)]
#[case::slash("a/b", false)]
#[case::dots("a.b-c.9", true)]
#[case::parent("..", false)]
#[case::dash_first("-a", false)]
#[case::dot_last("a.", false)]
#[case::accent("é", false)]
#[case::newline("a\n", false)]
fn name_fault_case(#[case] name: &str, #[case] valid: bool) {
    assert_eq!(name_fault(name).is_none(), valid, "{:?}", name_fault(name));
}

#[rstest]
#[case::missing(r#"{"account":"court"}"#, "shape")]
#[case::unknown(r#"{"account":"court","shape":"1x1","shap":2}"#, "shap")]
#[case::bad_shape(r#"{"account":"court","shape":"1x1000"}"#, "shape")]
#[case::nested(r#"{"account":"court","shape":"1x1","size":{"memory":"much"}}"#, "size.memory")]
#[case::not_json("{", "")]
#[case::empty("", "")]
fn parse_json_path(#[case] text: &str, #[case] path: &str) {
    let finding = parse_json::<JobSpec>(text.as_bytes()).unwrap_err();
    assert_eq!(finding.path, path, "{finding}");
}

#[test]
fn parse_yaml_path() {
    let text = "metadata: {name: court}\nspec: {weight: heavy}\n";
    let finding = parse_yaml::<Account>(text.as_bytes()).unwrap_err();
    assert_eq!(finding.path, "spec.weight", "{finding}");
}

// An escape that JSON has and YAML lacks must not turn a valid document into an invalid one.
#[test]
fn parse_json_surrogates() {
    let text = r#"{"account":"court","shape":"1x1","payload":"\ud83d\ude00\/"}"#;
    let spec: JobSpec = parse_json(text.as_bytes()).unwrap();
    assert_eq!(spec.payload.as_deref(), Some("\u{1f600}/"));
}

#[test]
fn check_job_all_at_once() {
    let text = r#"{"account":"A","shape":"1x1","deadline":0,"region":"","size":{"millicores":99999999}}"#;
    let spec = parse_json(text.as_bytes()).unwrap();
    let paths: Vec<String> = check_job(&spec).into_iter().map(|finding| finding.path).collect();
    assert_eq!(
        paths,
        ["spec.account", "spec.size.millicores", "spec.deadline", "spec.region"]
    );
}

#[test]
fn check_guarantee_empty_shape() {
    let spec = parse_json(br#"{"account":"court","shape":"1x0","count":0}"#).unwrap();
    let paths: Vec<String> = check_guarantee(&spec).into_iter().map(|finding| finding.path).collect();
    assert_eq!(paths, ["spec.shape", "spec.count"]);
}

#[test]
fn check_account_zero() {
    let spec = parse_json(br#"{"weight":0,"rate":0,"quota":0}"#).unwrap();
    let paths: Vec<String> = check_account(&spec).into_iter().map(|finding| finding.path).collect();
    assert_eq!(paths, ["spec.weight", "spec.rate"]);
}

// A configuration that blocks every account or never starts a job must not come into force.
#[rstest]
#[case::rate("limits: {rate: 0}", "limits.rate")]
#[case::attempts("scheduling: {attempts: 0}", "scheduling.attempts")]
#[case::weight("weights: {court: 0}", "weights.court")]
#[case::account("weights: {Court: 1}", "weights.Court")]
#[case::unknown("limit: {}", "limit")]
#[case::nested("limits: {rates: 1}", "limits.rates")]
fn parse_policy_fault(#[case] text: &str, #[case] path: &str) {
    let findings = parse_policy(text).unwrap_err();
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert_eq!(findings[0].path, path, "{findings:?}");
}

#[test]
fn parse_policy_default() {
    assert_eq!(parse_policy("{}").unwrap(), Policy::default());
}

#[test]
fn check_metadata_labels() {
    let mut metadata = Metadata::default();
    assert_eq!(check_job_metadata(&metadata), []);
    assert_eq!(check_metadata(&metadata)[0].path, "metadata.name");
    metadata.labels.insert("team".to_owned(), "x".repeat(MAX_LABEL + 1));
    assert_eq!(check_job_metadata(&metadata)[0].path, "metadata.labels.team");
}

#[test]
fn key_fault_bounds() {
    assert_eq!(key_fault("order-17"), None);
    assert!(key_fault("").is_some());
    assert!(key_fault(&"k".repeat(MAX_KEY + 1)).is_some());
    assert!(key_fault("a b").is_some());
}

/// Guards against a document of a caller or an operator that holds a thread for seconds: the parser's time
/// grows with the square of the depth.
#[test]
fn parse_yaml_nested() {
    let deep = "{a: ".repeat(16_000);
    let finding = parse_yaml::<Policy>(deep.as_bytes()).unwrap_err();
    assert!(finding.reason.contains("brackets"), "{finding}");
    let shallow = format!("weights: {{{}}}", "a: [],".repeat(1_000));
    let finding = parse_yaml::<Policy>(shallow.as_bytes()).unwrap_err();
    assert!(finding.path.starts_with("weights"), "{finding}");
}

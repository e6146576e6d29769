use rstest::rstest;

use super::*;

const TEXT: &str = "kind: Account
metadata: {name: court}
spec:
  quota: 7
---
kind: Guarantee
metadata:
  name: hearing
spec: {account: court, shape: 1x4, count: 2}
";

/// Guards against findings that name no line or that of another document.
#[rstest]
#[case::block("account court", "quota", Some(4))]
#[case::flow("guarantee hearing", "shape", Some(9))]
#[case::whole_object("guarantee hearing", "", Some(6))]
#[case::by_number("document 2", "spec.count", Some(9))]
#[case::missing_field("account court", "rate", Some(1))]
#[case::not_in_file("account press", "quota", None)]
fn find_line_subject(#[case] subject: &str, #[case] path: &str, #[case] expected: Option<usize>) {
    assert_eq!(find_line(TEXT, subject, path), expected);
}

#[rstest]
#[case::not_yaml("kind: [", Exit::Invalid)]
#[case::empty("", Exit::Invalid)]
#[case::cut_in_half("kind: Account\nmetadata: {name: co", Exit::Invalid)]
#[case::later_version("kind: Account\nmetadata: {name: a}\nspec: {weight: 1, burst: 3}\n", Exit::Invalid)]
#[case::contradiction(TEXT, Exit::Invalid)]
#[case::repeated(
    "kind: Account\nmetadata: {name: a}\nspec: {}\n---\nkind: Account\nmetadata: {name: a}\nspec: {}\n",
    Exit::Failure
)]
#[case::sound("kind: Account\nmetadata: {name: a}\nspec: {quota: 3}\n", Exit::Done)]
fn check_file(#[case] text: &str, #[case] expected: Exit) {
    let path = std::env::temp_dir().join(format!("pstair-check-{}-{}.yaml", std::process::id(), text.len()));
    std::fs::write(&path, text).unwrap();
    let mut out = Vec::new();
    let exit = futures_lite::future::block_on(check(None, &mut Printer::new(Format::Json, &mut out), &path));
    std::fs::remove_file(&path).unwrap();
    assert_eq!(exit.unwrap(), expected, "{}", String::from_utf8_lossy(&out));
    let report: Value = serde_json::from_slice(&out).unwrap();
    assert_eq!(
        report["findings"].as_array().unwrap().is_empty(),
        expected == Exit::Done
    );
}

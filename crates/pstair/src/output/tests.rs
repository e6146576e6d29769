use pistachiostair::Account;

use super::*;

fn accounts() -> Vec<Account> {
    let text = r#"[{"metadata":{"name":"court","revision":4},"spec":{"weight":2,"quota":16}},
        {"metadata":{"name":"prosecution-south","revision":5},"spec":{}}]"#;
    serde_json::from_str(text).unwrap()
}

fn print(format: Format) -> String {
    let mut out = Vec::new();
    Printer::new(format, &mut out).list(&accounts()).unwrap();
    String::from_utf8(out).unwrap()
}

#[test]
fn list_table() {
    let expected = "\
NAME               WEIGHT  QUOTA  OUTSTANDING  RATE  REVISION
court              2       16     -            -     4
prosecution-south  1       -      -            -     5
";
    assert_eq!(print(Format::Table), expected);
}

#[test]
fn list_json() {
    let value: Value = serde_json::from_str(&print(Format::Json)).unwrap();
    assert_eq!(value[1]["kind"], "Account");
    assert_eq!(value[0]["spec"]["quota"], 16);
}

// The output of a list can be applied again, document by document.
#[test]
fn list_yaml_documents() {
    let documents = crate::document::parse_documents(&print(Format::Yaml)).unwrap();
    assert_eq!(documents.len(), 2);
}

// Text of a job must not command the operator's terminal.
#[test]
fn clean_escape() {
    assert_eq!(clean("a\u{1b}[2Jb\n"), "a\u{fffd}[2Jb\u{fffd}");
}

use rstest::rstest;

use super::*;

#[test]
fn parse_documents_several() {
    let text = "\
kind: Account
metadata: {name: court}
spec: {weight: 2}
---
# nothing in this one
---
kind: Job
metadata: {name: hearing}
spec: {account: court, shape: 2x4}
---
kind: Configuration
metadata: {revision: 3}
spec: {limits: {rate: 10}}
";
    let documents = parse_documents(text).unwrap();
    let titles: Vec<String> = documents.iter().map(Document::title).collect();
    assert_eq!(titles, ["account court", "job court/hearing", "configuration"]);
}

// All documents are checked before the first is sent, so that a fault in the last one does not leave
// half of them applied.
#[test]
fn parse_documents_all_findings() {
    let text = "\
kind: Account
metadata: {name: Court}
spec: {weight: 0}
---
kind: Jobs
spec: {}
---
kind: Guarantee
metadata: {name: g}
spec: {account: court, shape: 1x4, cuont: 2}
---
kind: Configuration
spec: {limits: {rate: 0}}
";
    let paths: Vec<String> = parse_documents(text).unwrap_err().into_iter().map(|f| f.path).collect();
    assert_eq!(
        paths,
        [
            "document 1: metadata.name",
            "document 1: spec.weight",
            "document 2: kind",
            "document 3: spec.cuont",
            "document 4: spec.limits.rate",
        ]
    );
}

#[rstest]
#[case::mistyped_name("kind: Job\nmetadata: {nmae: x}\nspec: {account: a, shape: 1x1}", "metadata.nmae")]
#[case::no_kind("metadata: {name: x}", "kind")]
#[case::no_spec("kind: Account\nmetadata: {name: x}", "spec")]
#[case::bad_shape("kind: Job\nspec: {account: a, shape: 4}", "spec.shape")]
#[case::extra("kind: Account\nmetadata: {name: x}\nspec: {}\nspecs: {}", "specs")]
#[case::empty("", "")]
#[case::only_markers("---\n---\n", "")]
#[case::broken("kind: [", "")]
#[case::binary("\u{1}\u{2}", "")]
fn parse_documents_fault(#[case] text: &str, #[case] path: &str) {
    let findings = parse_documents(text).unwrap_err();
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert_eq!(findings[0].path, path, "{findings:?}");
}

// The output of `get -o yaml` carries what the server reports.
#[test]
fn parse_documents_reported() {
    let text = "kind: Guarantee\nmetadata: {name: g, revision: 4}\nspec: {account: a, shape: 1x1}\n\
                conditions: [{kind: Honoured, status: true}]\n";
    assert!(
        matches!(&parse_documents(text).unwrap()[..], [Document::Guarantee(metadata, _)] if metadata.revision.0 == 4)
    );
}

//! Days that are drawn for the users' bench, and the list of kinds that they are drawn from.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::{Command, Output};

use rstest::rstest;
use serde_json::Value;
use standin::{Kinds, draw_days};

const LISTED: &str = "\
For servers, 'how' may also hold across (of all copies) and all (none is spared). For machines, 'how' may also hold \
leader (the one that acted, or acknowledged, last), follower (it doesn't lead) or seed. After these may stand race (two \
such at once) and, for roll_term, busy (each is stopped while it answers).

burst: x times the traffic of a zone or class (all)
give_up: share of the clients leave within x ms (half the objective); how once: they stay; prompt: jobs are cancelled
srv_crash: share (.15) are down for for_s; how: dark (silent), gone (for good), rack (all, of one rack)
srv_lies: share (.15) say well (how: errors hang), or say ill (how: bad)
scale_in: share (.15) drain; how: reclaim (all of a zone, x s (2.5) after the notice; for for_s none, with dry nowhere)
node_kill: share (.1) of the machines: SIGKILL; how: power (dark for for_s)
node_cut: share (.1) are partitioned; how: all (from all), servers (share of the servers; with reborn they crash)
roll_term: share (1) get SIGTERM, x (1) at a time, each gap_s; how: remove (they leave), leader
config_change: how: route quota (+ down: far below) idle
applied_late: a share x (.5) of the orders is late; how: orders | cloud (calls) | all

these may come too:
clock_step: the time jumps by x ms (2000) on share (.3); how: back ahead
";

fn listed() -> Kinds {
    Kinds::parse(LISTED).expect("kinds")
}

/// Reads the entries of a day; strings and numbers are written alike in TOML and JSON.
fn entries(text: &str) -> Vec<BTreeMap<String, Value>> {
    let lines = text.lines().map(str::trim).filter(|line| line.starts_with('{'));
    lines
        .map(|line| {
            let inside = line.strip_prefix("{ ").and_then(|line| line.strip_suffix(" },"));
            let fields = inside.unwrap_or_else(|| panic!("{line}")).split(", ");
            let pairs: Vec<_> = fields
                .map(|field| {
                    let (name, value) = field.split_once(" = ").unwrap_or_else(|| panic!("{line}"));
                    let value = serde_json::from_str(value).unwrap_or_else(|error| panic!("{line}: {error}"));
                    (name.to_owned(), value)
                })
                .collect();
            let entry: BTreeMap<_, _> = pairs.iter().cloned().collect();
            assert_eq!(entry.len(), pairs.len(), "a field stands twice: {line}");
            entry
        })
        .collect()
}

fn is_wave(entry: &BTreeMap<String, Value>) -> bool {
    let how = entry.get("how").and_then(Value::as_str).unwrap_or_default();
    matches!(
        (entry["kind"].as_str(), how),
        (Some("srv_crash"), "") | (Some("node_cut"), "servers reborn")
    )
}

/// Guards against variants that are taken from the prose around them, or overlooked.
#[rstest]
#[case("burst", "")]
#[case("give_up", "once|prompt")]
#[case("srv_crash", "dark|gone|rack")]
#[case("srv_lies", "bad|errors|hang")]
#[case("scale_in", "reclaim|reclaim dry")]
#[case("node_cut", "all|servers|servers reborn")]
#[case("roll_term", "leader|remove")]
#[case("config_change", "idle|quota|quota down|route")]
#[case("applied_late", "all|cloud|orders")]
fn variants_read(#[case] name: &str, #[case] expected: &str) {
    let kinds = listed();
    let variants: Vec<_> = kinds.kinds[name].variants.iter().map(String::as_str).collect();
    assert_eq!(variants.join("|"), expected);
}

/// Guards against figures that are lost, or taken from another field.
#[test]
fn figures_read() {
    let kinds = listed();
    let fields = |name: &str| kinds.kinds[name].fields.clone();
    assert_eq!(fields("burst"), [("x", None)].into());
    assert_eq!(fields("srv_crash"), [("for_s", None), ("share", Some(150))].into());
    let reclaim = [("for_s", None), ("share", Some(150)), ("x", Some(2_500))];
    assert_eq!(fields("scale_in"), reclaim.into());
    let roll = [("gap_s", None), ("share", Some(1_000)), ("x", Some(1_000))];
    assert_eq!(fields("roll_term"), roll.into());
    assert_eq!(
        fields("clock_step"),
        [("share", Some(300)), ("x", Some(2_000_000))].into()
    );
}

/// Guards against the variants that kinds share being lost.
#[test]
fn shared_variants_read() {
    let kinds = listed();
    let set = |words: &[&str]| -> BTreeSet<_> { words.iter().map(|word| (*word).to_owned()).collect() };
    assert_eq!(kinds.of_servers, set(&["across", "all"]));
    assert_eq!(kinds.of_machines, set(&["follower", "leader", "seed"]));
    assert_eq!(kinds.after, set(&["busy", "race"]));
}

/// Guards against lines that vanish without a word.
#[test]
fn unknown_lines_told() {
    let kinds = Kinds::parse("some prose\n\nburst: x times\nthese may come too:\n").expect("kinds");
    assert_eq!(
        kinds.skipped,
        [(1, "some prose".to_owned()), (4, "these may come too:".to_owned())]
    );
    assert_eq!(kinds.kinds.len(), 1);
}

/// Guards against bad lists that are taken, and against messages that don't name the fault.
#[rstest]
#[case("", "no line lists a kind")]
#[case("Usage: fleetbench kinds SITE\n", "no line lists a kind")]
#[case(
    "burst: x times\nhup: share (.3)\nburst: x\n",
    "line 3: the kind burst is listed twice"
)]
fn list_refused(#[case] text: &str, #[case] message: &str) {
    let error = Kinds::parse(text).expect_err("refused").to_string();
    assert!(error.contains(message), "{error}");
}

/// Guards against panics on lists that are cut off or garbled.
#[test]
fn garbled_lists() {
    for place in (0..LISTED.len()).filter(|&place| LISTED.is_char_boundary(place)) {
        for text in [&LISTED[..place], &LISTED[place..]] {
            if let Ok(kinds) = Kinds::parse(text) {
                assert_eq!(draw_days(&kinds, 1, 2).len(), 2);
            }
        }
    }
    for text in [
        "a: x (9999999999999999999999)",
        "a: x (.) how: ((",
        "a: how ))",
        "a: ü how: é (ü",
        "a: x (99999999999)",
    ] {
        let kinds = Kinds::parse(text).expect(text);
        assert_eq!(draw_days(&kinds, 1, 20).len(), 20);
    }
}

/// Guards against days that the bench can't read, or whose figures make no sense.
#[test]
fn days_parse() {
    let kinds = listed();
    let mut struck = BTreeSet::new();
    for (name, text) in draw_days(&kinds, 7, 300) {
        let start = format!("name = \"{name}\"\nslot = \"trouble\"\nplan = [\n");
        assert!(text.contains(&start), "{text}");
        assert_eq!(text.matches("]\n").count(), 2, "{text}");
        let entries = entries(&text);
        assert!((3..=8).contains(&entries.len()), "{text}");
        for entry in &entries {
            let kind = entry["kind"].as_str().expect("kind");
            assert!(kinds.kinds.contains_key(kind), "{text}");
            struck.insert(kind.to_owned());
            let figure = |field: &str| entry.get(field).map(|value| value.as_f64().expect("figure"));
            assert!(figure("at").is_some_and(|at| (0.5..=31.0).contains(&at)), "{text}");
            assert!(
                figure("share").is_none_or(|share| share > 0.0 && share <= 1.0),
                "{text}"
            );
            assert!(
                figure("for_s").is_none_or(|for_s| for_s > 0.0 && for_s <= 30.0),
                "{text}"
            );
            assert!(
                figure("count").is_none_or(|count| count >= 1.0 && count.fract() == 0.0),
                "{text}"
            );
            assert!(figure("x").is_none_or(|x| x > 0.0), "{text}");
        }
    }
    assert_eq!(struck.len(), kinds.kinds.len(), "{struck:?}");
}

/// Guards against waves of which there are few, or that come without what they are to meet.
#[test]
fn waves_drawn() {
    let days = draw_days(&listed(), 7, 400);
    let waved: Vec<_> = (days.iter())
        .map(|(_, text)| entries(text))
        .filter(|entries| entries.iter().filter(|entry| is_wave(entry)).count() >= 2)
        .collect();
    assert!((160..=260).contains(&waved.len()), "{}", waved.len());
    let with = |kind: &str, how: &str| {
        let fits =
            |entry: &BTreeMap<String, Value>| entry["kind"] == kind && entry.get("how").is_some_and(|it| it == how);
        waved.iter().filter(|entries| entries.iter().any(fits)).count()
    };
    assert!(with("give_up", "prompt") * 2 > waved.len());
    assert!(with("node_kill", "leader") + with("roll_term", "leader") > waved.len() / 4);
}

/// Guards against draws that depend on more than the kinds and the seed; the text itself must stay the same.
#[test]
fn seed_repeated() {
    let kinds = listed();
    let days = draw_days(&kinds, 3, 20);
    assert_eq!(days, draw_days(&kinds, 3, 20));
    assert_eq!(days[..5], draw_days(&kinds, 3, 5));
    let other: BTreeSet<_> = draw_days(&kinds, 4, 20)
        .into_iter()
        .map(|(_, text)| entries(&text).len())
        .collect();
    assert!(other.len() > 1);
    assert_ne!(entries(&days[0].1), entries(&draw_days(&kinds, 4, 1)[0].1));
    assert_eq!(days[0].1, FIRST);
}

const FIRST: &str = r#"# A drawn mix.
name = "drawn-3-001"
slot = "trouble"
plan = [
]
faults = [
  { at = 16.86, kind = "srv_lies", share = 0.18, for_s = 6.6 },
  { at = 16.94, kind = "scale_in", how = "reclaim dry", share = 0.25, x = 4.2, for_s = 3.3 },
  { at = 20.46, kind = "srv_crash", how = "across", share = 0.22, for_s = 7.7 },
  { at = 22.55, kind = "clock_step", how = "ahead", share = 0.325, x = 3120, for_s = 4.3 },
  { at = 23.05, kind = "give_up", share = 0.15, x = 2100, for_s = 3.1 },
]
"#;

fn draw(kinds: &Path, to: &Path, days: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_standin-draw-days"))
        .arg("--kinds")
        .arg(kinds)
        .arg("--to")
        .arg(to)
        .args(["--seed", "3", "--days", days])
        .output()
        .expect("standin-draw-days")
}

/// Guards against files that are missing, and against failures that don't show in the exit status.
#[test]
fn command_exits() {
    let dir = std::env::temp_dir().join(format!("standin-draw-days-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("directory");
    let (kinds, to) = (dir.join("kinds"), dir.join("to/days"));
    std::fs::write(&kinds, LISTED).expect("kinds");
    let done = draw(&kinds, &to, "2");
    assert!(done.status.success());
    let told = String::from_utf8_lossy(&done.stderr);
    assert_eq!(told.lines().count(), 1, "{told}");
    assert!(told.contains("skipped, lists no kind: these may come too:"), "{told}");
    for (name, text) in draw_days(&listed(), 3, 2) {
        let written = std::fs::read_to_string(to.join(format!("{name}.toml"))).expect("day");
        assert_eq!(written, text);
    }

    std::fs::write(dir.join("prose"), "no kinds here\n").expect("prose");
    let cases = [
        (dir.join("prose"), to.clone(), "2", "no line lists a kind"),
        (dir.join("missing"), to.clone(), "2", "can't read"),
        (kinds.clone(), kinds.join("under-a-file"), "2", "can't make"),
        (kinds.clone(), to, "0", "invalid value '0'"),
    ];
    for (kinds, to, days, message) in cases {
        let refused = draw(&kinds, &to, days);
        let told = String::from_utf8_lossy(&refused.stderr);
        assert!(!refused.status.success() && told.contains(message), "{told}");
        assert!(!told.contains("panicked"), "{told}");
    }
    std::fs::remove_dir_all(&dir).expect("cleanup");
}

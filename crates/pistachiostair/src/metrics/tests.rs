use super::*;

// A command name with spaces and a parenthesis must not shift the fields.
#[test]
fn cpu_seconds_odd_command() {
    let stat = "12 (a ) b) S 1 12 12 0 -1 4194560 90 0 0 0 250 50 0 0 20 0 3 0 100 1000 200";
    assert_eq!(cpu_seconds(stat), Some(3.0));
}

#[test]
fn cpu_seconds_truncated() {
    assert_eq!(cpu_seconds("12 (a) S 1"), None);
    assert_eq!(cpu_seconds(""), None);
}

#[test]
fn status_bytes_kib() {
    assert_eq!(
        status_bytes("Name:\tx\nVmRSS:\t    2048 kB\n", "VmRSS:"),
        Some(2 * 1024 * 1024)
    );
    assert_eq!(status_bytes("Name:\tx\n", "VmRSS:"), None);
}

// The daemon's overhead limits are checked with these two values, so they must not read as zero.
#[test]
fn render_process() {
    let metrics = Metrics::new().unwrap();
    let text = metrics.render();
    let resident = text
        .lines()
        .find_map(|line| line.strip_prefix("pistachiostair_process_resident_bytes "))
        .unwrap();
    assert!(resident.parse::<f64>().unwrap() > 100_000.0, "{text}");
}

#[test]
fn render_counts() {
    let metrics = Metrics::new().unwrap();
    metrics.count_request("/v1/jobs", 201);
    metrics.count_refusal(ErrorKind::Unavailable, Ran::Unknown);
    metrics.traffic.add_sent(20);
    let figures = PlannerStats {
        accelerators: 8,
        used: 3,
        ..PlannerStats::default()
    };
    metrics.set_figures(&figures);
    let text = metrics.render();
    for line in [
        r#"pistachiostair_requests_total{route="/v1/jobs",status="201"} 1"#,
        r#"pistachiostair_refusals_total{kind="unavailable",ran="unknown"} 1"#,
        r#"pistachiostair_control_bytes_total{direction="sent"} 20"#,
        "pistachiostair_accelerators_free 5",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is not in:\n{text}");
    }
}

// Alerts are written from the page; a metric that is renamed must be renamed there too.
#[test]
fn render_documented() {
    let metrics = Metrics::new().unwrap();
    metrics.count_request("list jobs", 200);
    metrics.count_refusal(ErrorKind::Limited, Ran::No);
    metrics.traffic.kind("call").add_sent(1);
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let text = metrics.render();
    let names: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE pistachiostair_")?.split(' ').next())
        .collect();
    assert!(names.len() >= 20, "{names:?}");
    for name in names {
        assert!(
            page.contains(&format!("| `{name}` |")),
            "{name} is not in docs/OPERATIONS.md"
        );
    }
}

//! Spans of time on the command line.

use anyhow::Context;
use pistachiostair::Millis;

/// Parses `500ms`, `30s`, `5m` or `2h`. A number without a unit is refused, since the settings count
/// in milliseconds and people in seconds.
pub(crate) fn parse_span(text: &str) -> anyhow::Result<Millis> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let factor = match &text[digits.len()..] {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        unit => anyhow::bail!("unit {unit:?} is not one of ms, s, m, h"),
    };
    let count: u64 = digits.parse().with_context(|| format!("{digits:?} is not a number"))?;
    let millis = count.checked_mul(factor).context("the span is too long")?;
    Ok(Millis(millis))
}

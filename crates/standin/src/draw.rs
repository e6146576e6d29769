//! Days of drawn mixes for the users' bench.

use std::collections::BTreeSet;
use std::fmt;

use fastrand::Rng;

use crate::kinds::{Kind, Kinds, Milli};

/// Kinds that the bench takes as planned work.
const PLANNED: [&str; 9] = [
    "add_nodes",
    "big_config",
    "config_change",
    "config_storm",
    "hup",
    "release",
    "revoke",
    "roll_term",
    "scale_out",
];

/// Kinds that strike machines, which may be chosen by what they do.
const OF_MACHINES: [&str; 5] = ["core_cut", "node_cut", "node_freeze", "node_kill", "roll_term"];

/// Kinds in which workers come to other lives, with the variant; they may strike in waves.
const REBORN: [(&str, &str); 3] = [("node_cut", "servers reborn"), ("srv_crash", ""), ("srv_cut", "reborn")];

/// Kinds that make another machine lead, with the variant.
const TAKEOVERS: [(&str, &str); 4] = [
    ("core_cut", "leader"),
    ("node_freeze", "leader"),
    ("node_kill", "leader"),
    ("roll_term", "leader"),
];

/// Words that may follow `nodes` of `platform_down`, which the bench describes in prose.
const OF_NODES: [&str; 5] = ["busy", "leader", "many", "reset", "revoke"];

/// One entry of a day.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Entry {
    at: Milli,
    kind: String,
    how: String,
    on_core: bool,
    figures: Vec<(&'static str, Milli)>,
}

impl fmt::Display for Entry {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{{ at = {}, kind = \"{}\"", Figure(self.at), self.kind)?;
        if self.on_core {
            write!(out, ", on = \"core\"")?;
        }
        if !self.how.is_empty() {
            write!(out, ", how = \"{}\"", self.how)?;
        }
        for &(name, figure) in &self.figures {
            write!(out, ", {name} = {}", Figure(figure))?;
        }
        write!(out, " }}")
    }
}

/// A figure in thousandths, written without ending zeros.
struct Figure(Milli);

impl fmt::Display for Figure {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, part) = (self.0 / 1_000, format!("{:03}", self.0 % 1_000));
        match part.trim_end_matches('0') {
            "" => write!(out, "{whole}"),
            part => write!(out, "{whole}.{part}"),
        }
    }
}

/// Draws days, the same for the same kinds and seed; more days leave the first ones as they are.
pub fn draw_days(kinds: &Kinds, seed: u64, days: u32) -> Vec<(String, String)> {
    let mut rng = Rng::with_seed(seed);
    (1..=days)
        .map(|number| {
            let name = format!("drawn-{seed}-{number:03}");
            let text = Day::draw(kinds, Rng::with_seed(rng.u64(..))).write(&name);
            (name, text)
        })
        .collect()
}

struct Day<'a> {
    kinds: &'a Kinds,
    rng: Rng,
    entries: Vec<Entry>,
    waves: bool,
}

impl<'a> Day<'a> {
    fn draw(kinds: &'a Kinds, rng: Rng) -> Self {
        let mut day = Self {
            kinds,
            rng,
            entries: Vec::new(),
            waves: false,
        };
        let most = day.rng.u32(3..=8);
        if day.rng.bool() {
            day.draw_waves();
        }
        while day.entries.len() < most as usize {
            let entry = day.draw_entry();
            day.entries.push(entry);
        }
        day.entries.sort_by_key(|entry| entry.at);
        day
    }

    /// Other lives of workers seconds apart, beside cancels and takeovers; at most seven entries.
    fn draw_waves(&mut self) {
        let reborn: Vec<_> = (REBORN.into_iter()).filter(|(name, how)| self.has(name, how)).collect();
        if reborn.is_empty() {
            return;
        }
        self.waves = true;
        let mut at = self.hundredths(100, 1_000);
        for _ in 0..self.rng.u32(2..=4) {
            let (kind, how) = reborn[self.index(reborn.len())];
            let figures = vec![("share", self.hundredths(10, 60)), ("for_s", self.tenths(4, 60))];
            self.push(at, kind, how, figures);
            at += self.tenths(15, 70);
        }
        if self.has("give_up", "prompt") && self.rng.u32(0..4) > 0 {
            let at = self.hundredths(50, 800);
            let figures = vec![
                ("share", self.hundredths(20, 80)),
                ("x", self.rng.u64(2..=45) * 100_000),
                ("for_s", self.tenths(50, 300)),
            ];
            self.push(at, "give_up", "prompt", figures);
        }
        let takeovers: Vec<_> = (TAKEOVERS.into_iter())
            .filter(|(name, how)| self.has(name, how))
            .collect();
        if takeovers.is_empty() {
            return;
        }
        for _ in 0..self.rng.u32(0..=2) {
            let (kind, how) = takeovers[self.index(takeovers.len())];
            let at = self.hundredths(100, 2_800);
            if kind == "roll_term" {
                let figures = vec![("share", self.hundredths(10, 60)), ("gap_s", self.tenths(5, 25))];
                self.push(at, kind, how, figures);
            } else {
                let figures = vec![("count", 1_000), ("for_s", self.tenths(10, 60))];
                self.push(at, kind, how, figures);
            }
        }
    }

    fn push(&mut self, at: Milli, kind: &str, how: &str, figures: Vec<(&'static str, Milli)>) {
        self.entries.push(Entry {
            at,
            kind: kind.to_owned(),
            how: how.to_owned(),
            on_core: matches!(kind, "node_freeze" | "node_kill"),
            figures,
        });
    }

    fn has(&self, name: &str, how: &str) -> bool {
        let Some(kind) = self.kinds.kinds.get(name) else {
            return false;
        };
        let common = OF_MACHINES.contains(&name) && self.kinds.of_machines.contains(how);
        how.is_empty() || common || kind.variants.contains(how)
    }

    fn draw_entry(&mut self) -> Entry {
        let kinds = self.kinds;
        let place = self.index(kinds.kinds.len());
        let Some((name, kind)) = kinds.kinds.iter().nth(place) else {
            return Entry::default();
        };
        let at = self.hundredths(50, 2_900);
        let how = self.draw_how(name, kind);
        let on_core = match name.as_str() {
            "herd_kill" => how == "off" || self.rng.bool(),
            "node_freeze" | "node_kill" => self.rng.bool(),
            _ => false,
        };
        let mut figures = Vec::new();
        let one = on_core && name != "herd_kill";
        for (&field, &figure) in &kind.fields {
            let figure = match field {
                "share" if one => continue,
                "share" => self.around(figure.unwrap_or(300)).clamp(20, 1_000),
                "count" => self.rng.u64(1..=if name == "core_cut" { 1 } else { 3 }) * 1_000,
                "gap_s" => self.around(figure.unwrap_or(1_000)).max(200),
                "x" => match (name.as_str(), figure) {
                    ("give_up", _) => self.rng.u64(2..=45) * 100_000,
                    ("burst", _) => self.tenths(15, 45),
                    ("release" | "roll_term", _) => self.rng.u64(1..=2) * 1_000,
                    (_, Some(figure)) if figure < 1_000 => self.around(figure).min(1_000),
                    (_, figure) => self.around(figure.unwrap_or(2_000)),
                },
                // Each entry gets a duration below.
                _ => continue,
            };
            figures.push((field, figure));
        }
        if one {
            figures.push(("count", 1_000));
        }
        if self.rng.u32(0..4) > 0 {
            figures.push(("for_s", self.around(5_000)));
        }
        Entry {
            at,
            kind: name.clone(),
            how,
            on_core,
            figures,
        }
    }

    /// One of the kind's variants, one of those that all machines or workers share, or none.
    fn draw_how(&mut self, name: &str, kind: &Kind) -> String {
        let kinds = self.kinds;
        let shared = if OF_MACHINES.contains(&name) {
            &kinds.of_machines
        } else if name.starts_with("srv_") {
            &kinds.of_servers
        } else {
            &kind.variants
        };
        let own = self.rng.u32(0..3) > 0;
        let set = if own { &kind.variants } else { shared };
        if set.is_empty() || self.rng.u32(0..4) == 0 {
            return String::new();
        }
        let mut how = self.one_of(set);
        let more = if name == "platform_down" && how == "nodes" {
            OF_NODES.iter().map(|&word| word.to_owned()).collect()
        } else if OF_MACHINES.contains(&name) && kinds.of_machines.contains(&how) {
            kinds.after.clone()
        } else {
            return how;
        };
        if !more.is_empty() && self.rng.bool() {
            let word = self.one_of(&more);
            // Only machines that are stopped in turn are stopped while they answer.
            if word != "busy" || matches!(name, "platform_down" | "roll_term") {
                how = format!("{how} {word}");
            }
        }
        how
    }

    fn one_of(&mut self, set: &BTreeSet<String>) -> String {
        let place = self.index(set.len());
        set.iter().nth(place).cloned().unwrap_or_default()
    }

    /// Draws with 32 bits, so that machines of all widths draw the same.
    fn index(&mut self, length: usize) -> usize {
        let length = u32::try_from(length).unwrap_or(u32::MAX).max(1);
        self.rng.u32(0..length) as usize
    }

    /// Half to twice the figure, with two or three digits.
    fn around(&mut self, figure: Milli) -> Milli {
        let drawn = figure.saturating_mul(self.rng.u64(50..=200)) / 100;
        let step = if drawn < 1_000 { 5 } else { 100 };
        (drawn / step * step).max(step)
    }

    fn tenths(&mut self, first: u64, last: u64) -> Milli {
        self.rng.u64(first..=last) * 100
    }

    fn hundredths(&mut self, first: u64, last: u64) -> Milli {
        self.rng.u64(first..=last) * 10
    }

    fn write(&self, name: &str) -> String {
        let what = if self.waves {
            "A drawn mix, with other lives of workers in waves."
        } else {
            "A drawn mix."
        };
        let mut text = format!("# {what}\nname = \"{name}\"\nslot = \"trouble\"\n");
        for (table, planned) in [("plan", true), ("faults", false)] {
            text.push_str(&format!("{table} = [\n"));
            let listed = |entry: &&Entry| PLANNED.contains(&entry.kind.as_str()) == planned;
            for entry in self.entries.iter().filter(listed) {
                text.push_str(&format!("  {entry},\n"));
            }
            text.push_str("]\n");
        }
        text
    }
}

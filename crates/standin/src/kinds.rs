//! The kinds of disruptions that the users' bench lists for a site, read from its output.

use std::collections::{BTreeMap, BTreeSet};

/// A figure in thousandths, so that draws are the same on all machines.
pub(crate) type Milli = u64;

const FIELDS: [&str; 5] = ["share", "count", "x", "gap_s", "for_s"];

/// One kind: the fields that its text names, with their default figures, and its variants.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kind {
    /// Fields by name, with the default figure in thousandths where the text gives one.
    pub fields: BTreeMap<&'static str, Option<u64>>,
    /// Texts that `how` may hold.
    pub variants: BTreeSet<String>,
}

/// What the bench lists for a site.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kinds {
    /// Kinds by name.
    pub kinds: BTreeMap<String, Kind>,
    /// Variants that kinds of workers may also have.
    pub of_servers: BTreeSet<String>,
    /// Variants that kinds of machines may also have.
    pub of_machines: BTreeSet<String>,
    /// Words that may follow a variant of machines.
    pub after: BTreeSet<String>,
    /// Lines that were skipped, with their numbers.
    pub skipped: Vec<(usize, String)>,
}

impl Kinds {
    /// Reads the output of `fleetbench kinds SITE`.
    ///
    /// # Errors
    ///
    /// The text lists no kind, or one twice.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mut all = Self::default();
        for (number, line) in (1..).zip(text.lines().map(str::trim)) {
            if line.is_empty() {
                continue;
            }
            if let Some((_, rest)) = line.split_once("For servers, 'how' may also hold ") {
                all.read_common(rest);
            } else if let Some((name, rest)) = line.split_once(": ").filter(|(name, _)| is_word(name)) {
                let kind = Kind {
                    fields: read_fields(rest),
                    variants: read_variants(rest),
                };
                let earlier = all.kinds.insert(name.to_owned(), kind);
                anyhow::ensure!(earlier.is_none(), "line {number}: the kind {name} is listed twice");
            } else {
                all.skipped.push((number, line.to_owned()));
            }
        }
        anyhow::ensure!(
            !all.kinds.is_empty(),
            "no line lists a kind; expected the output of `fleetbench kinds SITE`"
        );
        Ok(all)
    }

    fn read_common(&mut self, rest: &str) {
        let (servers, rest) = rest
            .split_once("For machines, 'how' may also hold ")
            .unwrap_or((rest, ""));
        let (machines, after) = rest.split_once("After these may stand ").unwrap_or((rest, ""));
        self.of_servers = read_list(servers);
        self.of_machines = read_list(machines);
        self.after = read_list(after);
    }
}

fn is_word(text: &str) -> bool {
    text.starts_with(|letter: char| letter.is_ascii_lowercase())
        && text
            .chars()
            .all(|letter| letter.is_ascii_lowercase() || letter.is_ascii_digit() || letter == '_')
}

fn read_fields(text: &str) -> BTreeMap<&'static str, Option<Milli>> {
    let mut fields = BTreeMap::new();
    let words: Vec<_> = text.split_whitespace().collect();
    for (index, word) in words.iter().enumerate() {
        let name = word.trim_matches(|letter: char| !letter.is_ascii_lowercase() && letter != '_');
        let Some(&name) = FIELDS.iter().find(|field| **field == name) else {
            continue;
        };
        let next = match words.get(index + 1) {
            Some(&("s" | "ms")) => words.get(index + 2),
            next => next,
        };
        let figure = next.and_then(|next| read_figure(next));
        let field = fields.entry(name).or_insert(figure);
        *field = field.or(figure);
    }
    fields
}

/// Reads `(.15)` or `(4)`, and what may follow the bracket.
fn read_figure(word: &str) -> Option<Milli> {
    let (figure, _) = word.strip_prefix('(')?.split_once(')')?;
    let (whole, part) = figure.split_once('.').unwrap_or((figure, ""));
    if (whole.is_empty() && part.is_empty()) || part.len() > 3 {
        return None;
    }
    let whole: Milli = if whole.is_empty() { 0 } else { whole.parse().ok()? };
    let part: Milli = format!("{part:0<3}").parse().ok()?;
    whole.checked_mul(1_000)?.checked_add(part)
}

fn read_variants(text: &str) -> BTreeSet<String> {
    let mut variants = BTreeSet::new();
    let mut rest = text;
    while let Some((_, after)) = rest.split_once("how") {
        rest = after;
        if let Some(list) = after.strip_prefix(": ") {
            variants.extend(read_list(list));
        } else if let Some(named) = after.strip_prefix(' ') {
            // One named variant with its meaning; others may follow behind semicolons.
            let word = named.split([' ', ':']).next().unwrap_or_default();
            if is_word(word) {
                variants.insert(word.to_owned());
                variants.extend(split_flat(named, &[';']).skip(1).filter_map(|part| {
                    let (word, _) = part.trim().split_once(':')?;
                    (is_word(word) && word != "how").then(|| word.to_owned())
                }));
            }
        }
    }
    variants
}

/// Reads `dark (silent), gone (for good) or rack`, up to the end of the sentence or bracket.
fn read_list(text: &str) -> BTreeSet<String> {
    let mut variants = BTreeSet::new();
    let sentence = split_flat(text, &[';', '.', ':']).next().unwrap_or_default();
    for part in split_flat(sentence, &[',', '|']) {
        let (plain, brackets) = strip_brackets(part);
        let mut words: Vec<_> = plain.split_whitespace().collect();
        words.retain(|word| !matches!(*word, "+" | "and" | "or"));
        if !words.iter().all(|word| is_word(word)) || matches!(words.first(), Some(&("for" | "with"))) {
            continue;
        }
        variants.extend(words.iter().map(|&word| word.to_owned()));
        for (variant, inside) in brackets {
            for piece in inside.split([';', ',']).map(str::trim) {
                let joined = piece.strip_prefix("with ").or_else(|| piece.strip_prefix("+ "));
                let word = joined.and_then(|joined| joined.split([' ', ':']).next());
                if let Some(word) = word.filter(|word| is_word(word)) {
                    variants.insert(format!("{variant} {word}"));
                }
            }
        }
    }
    variants
}

/// Takes brackets out of a text; each comes with the word before it.
fn strip_brackets(text: &str) -> (String, Vec<(String, &str)>) {
    let (mut plain, mut brackets) = (String::new(), Vec::new());
    let (mut depth, mut start) = (0_usize, 0);
    for (place, letter) in text.char_indices() {
        match letter {
            '(' => {
                depth += 1;
                if depth == 1 {
                    start = place + 1;
                }
            }
            ')' => {
                depth = depth.saturating_sub(1);
                if depth == 0 {
                    let word = plain.split_whitespace().next_back().unwrap_or_default().to_owned();
                    brackets.push((word, text.get(start..place).unwrap_or_default()));
                }
            }
            _ if depth == 0 => plain.push(letter),
            _ => {}
        }
    }
    (plain, brackets)
}

/// Splits a text outside of brackets, and ends at a bracket that closes without having opened.
fn split_flat<'a>(text: &'a str, marks: &[char]) -> impl Iterator<Item = &'a str> + use<'a> {
    let (mut parts, mut depth, mut start) = (Vec::new(), 0_usize, 0);
    let mut end = text.len();
    for (place, letter) in text.char_indices() {
        match letter {
            '(' => depth += 1,
            ')' if depth == 0 => {
                end = place;
                break;
            }
            ')' => depth -= 1,
            _ if depth == 0 && marks.contains(&letter) => {
                parts.push(&text[start..place]);
                start = place + letter.len_utf8();
            }
            _ => {}
        }
    }
    parts.push(&text[start..end]);
    parts.into_iter()
}

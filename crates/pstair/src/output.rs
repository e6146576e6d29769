//! Output in the chosen format.

use std::io::{self, Write};

use pistachiostair::{Error, ErrorKind, Result};
use serde_json::Value;

use crate::api::Object;
use crate::cli::Format;
use crate::table::{Row, Table};

#[cfg(test)]
mod tests;

/// Writes objects to standard output.
pub(crate) struct Printer<'a> {
    format: Format,
    out: &'a mut dyn Write,
    table: Option<Table>,
    documents: usize,
}

impl<'a> Printer<'a> {
    /// A printer of one format.
    pub(crate) fn new(format: Format, out: &'a mut dyn Write) -> Self {
        Self {
            format,
            out,
            table: None,
            documents: 0,
        }
    }

    /// The format.
    pub(crate) fn format(&self) -> Format {
        self.format
    }

    /// Writes a list: one table, one JSON array, or one YAML document for each object.
    pub(crate) fn list<T: Object + Row>(&mut self, items: &[T]) -> Result<()> {
        match self.format {
            Format::Table => self.rows(items),
            Format::Json => {
                let values = items.iter().map(to_value).collect::<Result<Vec<Value>>>()?;
                self.json(&Value::Array(values))
            }
            Format::Yaml => items.iter().try_for_each(|item| self.document(&to_value(item)?)),
        }
    }

    /// Writes one object.
    pub(crate) fn object<T: Object + Row>(&mut self, item: &T) -> Result<()> {
        match self.format {
            Format::Table => self.rows(std::slice::from_ref(item)),
            Format::Json => self.json(&to_value(item)?),
            Format::Yaml => self.document(&to_value(item)?),
        }
    }

    /// Writes one change of a watch and passes it on at once. JSON takes one line.
    pub(crate) fn change<T: Object + Row>(&mut self, item: &T) -> Result<()> {
        match self.format {
            Format::Json => {
                let line = to_value(item)?.to_string();
                self.line(&line)?;
            }
            Format::Table | Format::Yaml => self.object(item)?,
        }
        self.flush()
    }

    /// Writes the deletion of an object in a watch.
    pub(crate) fn deletion<T: Object>(&mut self, name: &str) -> Result<()> {
        let value = serde_json::json!({ "kind": T::KIND, "deleted": name });
        match self.format {
            Format::Table => self.line(&format!("{} deleted", clean(name)))?,
            Format::Json => self.line(&value.to_string())?,
            Format::Yaml => self.document(&value)?,
        }
        self.flush()
    }

    /// Writes a line of text.
    pub(crate) fn line(&mut self, text: &str) -> Result<()> {
        writeln!(self.out, "{text}").map_err(failed)
    }

    /// Writes a value as JSON or as a YAML document; a table has no form for it.
    pub(crate) fn value(&mut self, value: &Value) -> Result<()> {
        match self.format {
            Format::Json => self.json(value),
            Format::Table | Format::Yaml => self.document(value),
        }
    }

    /// Passes on what was written.
    pub(crate) fn flush(&mut self) -> Result<()> {
        self.out.flush().map_err(failed)
    }

    fn rows<T: Row>(&mut self, items: &[T]) -> Result<()> {
        let rows: Vec<Vec<String>> = items
            .iter()
            .map(|item| item.cells().iter().map(|cell| clean(cell)).collect())
            .collect();
        let text = match &mut self.table {
            Some(table) => table.rows(&rows),
            None => {
                let (table, head) = Table::start(T::HEAD, &rows);
                let table = self.table.insert(table);
                head + &table.rows(&rows)
            }
        };
        self.out.write_all(text.as_bytes()).map_err(failed)
    }

    fn json(&mut self, value: &Value) -> Result<()> {
        self.line(&format!("{value:#}"))
    }

    fn document(&mut self, value: &Value) -> Result<()> {
        let text = serde_norway::to_string(value).map_err(|e| Error::new(ErrorKind::Internal, "write output", e))?;
        let marker = if self.documents == 0 { "" } else { "---\n" };
        self.documents += 1;
        write!(self.out, "{marker}{text}").map_err(failed)
    }
}

/// An object as a value with its kind, so that `apply` can take it.
pub(crate) fn to_value<T: Object>(item: &T) -> Result<Value> {
    let mut value = serde_json::to_value(item).map_err(|e| Error::new(ErrorKind::Internal, "write output", e))?;
    if let Some(fields) = value.as_object_mut() {
        fields.insert("kind".to_owned(), T::KIND.into());
    }
    Ok(value)
}

/// Replaces control characters, with which text from a job could command the terminal.
pub(crate) fn clean(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '\u{fffd}' } else { c })
        .collect()
}

fn failed(error: io::Error) -> Error {
    Error::new(ErrorKind::Internal, "write output", error)
}

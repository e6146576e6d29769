//! The `apply` command.

use std::io::Read;
use std::path::Path;

use pistachiostair::{
    Account, Configuration, Error, ErrorKind, Guarantee, Job, Metadata, Ran, Result, Revision, join_findings,
};

use crate::api::Stored;
use crate::cli::Format;
use crate::client::Client;
use crate::document::{Document, parse_documents};
use crate::jobs::job_key;
use crate::output::{Printer, to_value};

/// Longest input, in bytes.
const MAX_INPUT: u64 = 16 * 1024 * 1024;

/// Creates or changes the objects of all documents in a file. All are checked before the first is
/// sent; the first failure ends the command and names the documents that were not applied.
pub(crate) async fn apply(client: &Client, printer: &mut Printer<'_>, file: &Path, author: &str) -> Result<()> {
    let documents = read_documents(file)?;
    for (at, document) in documents.iter().enumerate() {
        if let Err(error) = apply_one(client, printer, document, author).await {
            let outcome = match error.ran {
                Ran::No => "was not applied",
                Ran::Yes | Ran::Unknown => "may have been applied",
            };
            eprintln!("pstair: {} {outcome}", document.title());
            for left in &documents[at + 1..] {
                eprintln!("pstair: {} was not sent", left.title());
            }
            return Err(error);
        }
    }
    Ok(())
}

/// Reads and checks the documents of a file, or of standard input for `-`.
pub(crate) fn read_documents(file: &Path) -> Result<Vec<Document>> {
    let text = read_text(file)?;
    parse_documents(&text).map_err(|findings| {
        Error::msg(ErrorKind::Invalid, "check documents", join_findings(&findings)).at(file.display().to_string())
    })
}

/// Reads a file, or standard input for `-`, of at most [`MAX_INPUT`] bytes.
pub(crate) fn read_text(file: &Path) -> Result<String> {
    let failed =
        |error: std::io::Error| Error::new(ErrorKind::Invalid, "read documents", error).at(file.display().to_string());
    let mut text = String::new();
    let size = if file == Path::new("-") {
        std::io::stdin().take(MAX_INPUT + 1).read_to_string(&mut text)
    } else {
        std::fs::File::open(file).and_then(|file| file.take(MAX_INPUT + 1).read_to_string(&mut text))
    };
    if size.map_err(failed)? as u64 > MAX_INPUT {
        let message = format!("the input is longer than {MAX_INPUT} bytes");
        return Err(Error::msg(ErrorKind::Invalid, "read documents", message));
    }
    Ok(text)
}

async fn apply_one(client: &Client, printer: &mut Printer<'_>, document: &Document, author: &str) -> Result<()> {
    let title = document.title();
    match document {
        Document::Job(metadata, spec) => {
            let (job, created): (Job, bool) = client.create_job(metadata, spec, &job_key(None, metadata)).await?;
            let title = format!("job {}/{}", job.spec.account, job.metadata.name);
            report(printer, &job, &title, if created { "created" } else { "unchanged" })
        }
        Document::Account(metadata, spec) => {
            let (item, outcome) = put::<Account>(client, metadata, spec, None).await?;
            report(printer, &item, &title, outcome)
        }
        Document::Guarantee(metadata, spec) => {
            let (item, outcome) = put::<Guarantee>(client, metadata, spec, None).await?;
            report(printer, &item, &title, outcome)
        }
        Document::Configuration(metadata, spec) => {
            let metadata = Metadata {
                revision: metadata.revision,
                ..Metadata::default()
            };
            let (item, outcome) = put::<Configuration>(client, &metadata, spec, Some(author)).await?;
            report(printer, &item, &title, outcome)
        }
    }
}

/// Writes an object if it differs from what the server has. A revision in the document must be the
/// current one; without it the revision that was just read must still be.
pub(crate) async fn put<T: Stored>(
    client: &Client,
    metadata: &Metadata,
    spec: &T::Spec,
    author: Option<&str>,
) -> Result<(T, &'static str)> {
    if metadata.revision != Revision(0) {
        let written = client.put::<T>(metadata, spec, metadata.revision, author).await?;
        return Ok((written, "changed"));
    }
    match client.get::<T>(&metadata.name).await {
        Ok(found) if found.has_spec(spec) && found.metadata().labels == metadata.labels => Ok((found, "unchanged")),
        Ok(found) => {
            let revision = found.metadata().revision;
            let outcome = if revision == Revision(0) { "created" } else { "changed" };
            Ok((client.put::<T>(metadata, spec, revision, author).await?, outcome))
        }
        Err(error) if error.kind == ErrorKind::NotFound => {
            let written = client.put::<T>(metadata, spec, Revision(0), author).await?;
            Ok((written, "created"))
        }
        Err(error) => Err(error),
    }
}

/// Writes one line, or the object, for each document.
pub(crate) fn report<T: crate::api::Object>(
    printer: &mut Printer<'_>,
    item: &T,
    title: &str,
    outcome: &str,
) -> Result<()> {
    match printer.format() {
        Format::Table => printer.line(&format!("{title} {outcome}"))?,
        Format::Json => printer.line(&to_value(item)?.to_string())?,
        Format::Yaml => printer.value(&to_value(item)?)?,
    }
    printer.flush()
}

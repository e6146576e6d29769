//! The `config` command.

use pistachiostair::{Configuration, Error, ErrorKind, Metadata, Result, Revision};

use crate::api::Stored;
use crate::apply::{put, read_documents, report};
use crate::check;
use crate::cli::ConfigCommand;
use crate::client::Client;
use crate::document::Document;
use crate::exit::Exit;
use crate::output::{Printer, to_value};

/// Shows, checks or changes the configuration.
pub(crate) async fn config(client: &Client, printer: &mut Printer<'_>, command: &ConfigCommand) -> Result<Exit> {
    match command {
        ConfigCommand::Get => printer.value(&to_value(&client.get::<Configuration>("").await?)?)?,
        ConfigCommand::History => printer.list(&client.history().await?.items)?,
        ConfigCommand::Check { file, against_server } => {
            return check::check(against_server.then_some(client), printer, file).await;
        }
        ConfigCommand::Set { file, revision, author } => {
            let documents = read_documents(file)?;
            let [Document::Configuration(metadata, policy)] = &documents[..] else {
                let message = "the file must hold one document of kind Configuration";
                return Err(Error::msg(ErrorKind::Invalid, "check documents", message));
            };
            let metadata = Metadata {
                revision: revision.map_or(metadata.revision, Revision),
                ..Metadata::default()
            };
            let (item, outcome) = put::<Configuration>(client, &metadata, policy, Some(author)).await?;
            let title = format!("configuration at revision {}", item.metadata().revision);
            report(printer, &item, &title, outcome)?;
        }
    }
    Ok(Exit::Done)
}

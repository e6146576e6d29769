//! Commands that read objects.

use pistachiostair::{Account, Error, ErrorKind, Guarantee, Job, Member, Result, Worker};

use crate::api::{Object, to_job};
use crate::cli::{Format, Kind};
use crate::client::Client;
use crate::describe::{Describe, lines};
use crate::output::{Printer, to_value};
use crate::table::Row;

/// Lists objects of a kind, or shows one.
pub(crate) async fn get(
    client: &Client,
    printer: &mut Printer<'_>,
    kind: Kind,
    name: Option<&str>,
    account: Option<&str>,
) -> Result<()> {
    check_account(kind, account)?;
    match kind {
        Kind::Jobs => get_objects::<Job>(client, printer, name, account).await,
        Kind::Accounts => get_objects::<Account>(client, printer, name, None).await,
        Kind::Guarantees => get_objects::<Guarantee>(client, printer, name, None).await,
        Kind::Workers => get_objects::<Worker>(client, printer, name, None).await,
        Kind::Members => match name {
            Some(name) => printer.object(&member(client, name).await?),
            None => get_objects::<Member>(client, printer, None, None).await,
        },
    }
}

/// Shows everything about one object.
pub(crate) async fn describe(client: &Client, printer: &mut Printer<'_>, kind: Kind, name: &str) -> Result<()> {
    match kind {
        Kind::Jobs => describe_job(client, printer, name).await,
        Kind::Accounts => describe_object(printer, &client.get::<Account>(name).await?),
        Kind::Guarantees => describe_object(printer, &client.get::<Guarantee>(name).await?),
        Kind::Workers => describe_object(printer, &client.get::<Worker>(name).await?),
        Kind::Members => describe_object(printer, &member(client, name).await?),
    }
}

/// Refuses a client account for a kind that isn't listed by account.
pub(crate) fn check_account(kind: Kind, account: Option<&str>) -> Result<()> {
    if account.is_some() && kind != Kind::Jobs {
        return Err(Error::msg(
            ErrorKind::Invalid,
            "read arguments",
            "--account is for jobs only",
        ));
    }
    Ok(())
}

async fn get_objects<T: Object + Row>(
    client: &Client,
    printer: &mut Printer<'_>,
    name: Option<&str>,
    account: Option<&str>,
) -> Result<()> {
    match name {
        Some(name) if T::KIND == Job::KIND => {
            to_job(name)?;
            printer.object(&client.get::<T>(name).await?)
        }
        Some(name) => printer.object(&client.get::<T>(name).await?),
        None => printer.list(&client.list::<T>(account).await?.items),
    }
}

/// The interface has no path for one member.
async fn member(client: &Client, name: &str) -> Result<Member> {
    let members = client.list::<Member>(None).await?.items;
    let found = members.into_iter().find(|member| member.name.as_str() == name);
    found.ok_or_else(|| Error::msg(ErrorKind::NotFound, "read object", format!("no member {name:?}")))
}

fn describe_object<T: Object + Describe>(printer: &mut Printer<'_>, item: &T) -> Result<()> {
    if printer.format() != Format::Table {
        return printer.value(&to_value(item)?);
    }
    lines(&item.details()).iter().try_for_each(|line| printer.line(line))
}

/// A job that has not ended is shown with the reason why it waits.
async fn describe_job(client: &Client, printer: &mut Printer<'_>, name: &str) -> Result<()> {
    let path = to_job(name)?;
    let job = client.get::<Job>(name).await?;
    describe_object(printer, &job)?;
    if printer.format() == Format::Table && !job.status.phase.is_final() {
        for line in client.explain(&path).await?.lines {
            printer.line(&format!("{:16}{}", "Explanation:", crate::output::clean(&line)))?;
        }
    }
    Ok(())
}

//! Watches that survive the loss of a server.

use async_io::Timer;
use bytes::Bytes;
use pistachiostair::{
    Account, Clock, Error, ErrorKind, Guarantee, Job, Member, Millis, Result, Revision, WatchLine, Worker,
};

use crate::api::{Object, list_path, with_query};
use crate::cli::{Kind, WatchArgs};
use crate::client::{ApiCall, Client};
use crate::output::Printer;
use crate::query::check_account;
use crate::table::Row;

const STEP: &str = "watch";
/// Pause before the next connection after one that brought nothing.
const PAUSE: Millis = Millis(200);
/// A connection without a line for this many time-outs counts as silent.
const SILENT_TIMEOUTS: u64 = 3;

/// Prints objects of a kind as they change.
pub(crate) async fn watch(client: &Client, printer: &mut Printer<'_>, args: &WatchArgs) -> Result<()> {
    check_account(args.kind, args.account.as_deref())?;
    match args.kind {
        Kind::Jobs => Watch::<Job>::run(client, printer, args).await,
        Kind::Accounts => Watch::<Account>::run(client, printer, args).await,
        Kind::Guarantees => Watch::<Guarantee>::run(client, printer, args).await,
        Kind::Workers => Watch::<Worker>::run(client, printer, args).await,
        Kind::Members => Watch::<Member>::run(client, printer, args).await,
    }
}

/// How a connection ended.
enum Ended {
    /// As many changes were printed as were asked for.
    Counted,
    /// Continue with another connection; whether this one brought anything.
    Again(bool),
    /// The revision is too old.
    Expired,
}

struct Watch<'a, 'p, T> {
    client: &'a Client,
    printer: &'a mut Printer<'p>,
    account: Option<&'a str>,
    left: u64,
    revision: Revision,
    kind: std::marker::PhantomData<T>,
}

impl<'a, 'p, T: Object + Row> Watch<'a, 'p, T> {
    async fn run(client: &'a Client, printer: &'a mut Printer<'p>, args: &'a WatchArgs) -> Result<()> {
        let mut watch = Self {
            client,
            printer,
            account: args.account.as_deref(),
            left: args.count.unwrap_or(u64::MAX),
            revision: Revision(args.from.unwrap_or_default()),
            kind: std::marker::PhantomData,
        };
        if args.from.is_none() {
            watch.list().await?;
        }
        watch.follow().await
    }

    async fn list(&mut self) -> Result<()> {
        let listing = self.client.list::<T>(self.account).await?;
        self.revision = listing.revision;
        if self.revision == Revision(0) {
            // A watch from the start sends every object itself.
            return Ok(());
        }
        for item in &listing.items {
            self.printer.change(item)?;
        }
        Ok(())
    }

    /// Connects again and again. Gives up once no server could be reached for the length of a time-out.
    async fn follow(&mut self) -> Result<()> {
        let clock = Clock::start();
        let mut heard = clock.now();
        while self.left > 0 {
            match self.connect().await {
                Ok(Ended::Counted) => return Ok(()),
                Ok(Ended::Expired) => {
                    eprintln!("pstair: the revision to watch from is too old; the list starts again");
                    // Another server may lag behind the one that gave the list.
                    Timer::after(PAUSE.duration()).await;
                    self.list().await?;
                }
                Ok(Ended::Again(true)) => heard = clock.now(),
                Ok(Ended::Again(false)) => {
                    heard = clock.now();
                    Timer::after(PAUSE.duration()).await;
                }
                Err(error) if is_passing(&error) && clock.now().since(heard) < self.client.timeout => {
                    Timer::after(PAUSE.duration()).await;
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    async fn connect(&mut self) -> Result<Ended> {
        let path = with_query(&list_path::<T>(self.account), "watch", self.revision);
        let call = ApiCall::read(STEP, path);
        let (peer, mut lines) = match self.client.stream(&call).await {
            Ok(opened) => opened,
            Err(error) if error.kind == ErrorKind::Expired => return Ok(Ended::Expired),
            Err(error) => return Err(error),
        };
        let idle = Millis(self.client.timeout.0.saturating_mul(SILENT_TIMEOUTS));
        let mut progress = false;
        loop {
            let line = match lines.next(idle).await {
                Ok(Some(line)) => line,
                // The daemon ends watches when it shuts down; a broken connection may be its crash.
                Ok(None) | Err(_) => {
                    self.client.next_server();
                    return Ok(Ended::Again(progress));
                }
            };
            match self.take(&peer, &line)? {
                None => progress = true,
                Some(ended) => return Ok(ended),
            }
        }
    }

    /// Prints what a line brings and notes where to continue.
    fn take(&mut self, peer: &str, line: &Bytes) -> Result<Option<Ended>> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(None);
        }
        let line: WatchLine<T> = serde_json::from_slice(line).map_err(|error| {
            Error::msg(ErrorKind::Internal, STEP, format!("the line can't be read: {error}")).at(peer)
        })?;
        if let Some(failure) = line.error {
            let error = failure.into_error(STEP, peer);
            return match error.kind {
                ErrorKind::Expired => Ok(Some(Ended::Expired)),
                _ if is_passing(&error) => {
                    self.client.next_server();
                    Ok(Some(Ended::Again(false)))
                }
                _ => Err(error),
            };
        }
        let mut changes = 0;
        if let Some(item) = &line.object {
            self.printer.change(item)?;
            changes += 1;
        }
        if let Some(name) = &line.deleted {
            self.printer.deletion::<T>(name)?;
            changes += 1;
        }
        self.revision = self.revision.max(line.revision);
        self.left = self.left.saturating_sub(changes);
        Ok((self.left == 0).then_some(Ended::Counted))
    }
}

/// Whether another connection may do better.
fn is_passing(error: &Error) -> bool {
    matches!(
        error.kind,
        ErrorKind::Unavailable | ErrorKind::Timeout | ErrorKind::Limited
    )
}

//! Commands about single jobs.

use async_io::Timer;
use pistachiostair::{
    Clock, Error, ErrorKind, Finding, Job, JobSpec, Metadata, Millis, Ran, RegionName, Result, Size, check_job,
    check_job_metadata, join_findings, key_fault,
};

use crate::cli::{Format, JobPath, SubmitArgs};
use crate::client::Client;
use crate::exit::Exit;
use crate::output::{Printer, clean};

/// Longest time for which one request waits for the end of a job. A shorter one notices a silent
/// connection earlier and costs more requests.
const WAIT_STEP: Millis = Millis(5_000);
/// Pause after a failed request while waiting.
const PAUSE: Millis = Millis(200);

/// Submits a job and, if asked to, waits for its end.
pub(crate) async fn submit(client: &Client, printer: &mut Printer<'_>, args: &SubmitArgs) -> Result<Exit> {
    let (metadata, spec) = to_job(args, client.region.as_deref())?;
    let key = job_key(args.key.as_deref(), &metadata);
    let (job, _) = client.create_job(&metadata, &spec, &key).await.inspect_err(|error| {
        if error.ran == Ran::Unknown {
            eprintln!("pstair: to find out what became of it, submit the same job again with --key {key}");
        }
    })?;
    let Some(wait) = args.wait else {
        printer.object(&job)?;
        return Ok(Exit::Done);
    };
    let job = wait_end(client, job, wait).await?;
    printer.object(&job)?;
    if let (Format::Table, Some(answer)) = (printer.format(), &job.status.answer) {
        printer.line(&format!("answer: {}", clean(answer)))?;
    }
    Ok(Exit::from(job.status.phase))
}

/// Cancels a job.
pub(crate) async fn cancel(
    client: &Client,
    printer: &mut Printer<'_>,
    job: &JobPath,
    revision: Option<u64>,
) -> Result<()> {
    printer.object(&client.cancel(job, revision).await?)
}

/// Explains why a job waits.
pub(crate) async fn explain(client: &Client, printer: &mut Printer<'_>, job: &JobPath) -> Result<()> {
    let explanation = client.explain(job).await?;
    if printer.format() == Format::Table {
        return explanation.lines.iter().try_for_each(|line| printer.line(&clean(line)));
    }
    printer.value(&serde_json::json!({ "lines": explanation.lines }))
}

/// The idempotency key of a job: the given one, its name, or a random one.
pub(crate) fn job_key(given: Option<&str>, metadata: &Metadata) -> String {
    match given {
        Some(key) => key.to_owned(),
        None if metadata.name.is_empty() => format!("pstair-{:032x}", fastrand::u128(..)),
        None => metadata.name.clone(),
    }
}

/// Waits for the end of a job. The job runs on whatever becomes of the wait, so that failed requests
/// are repeated until the time is over.
async fn wait_end(client: &Client, mut job: Job, wait: Millis) -> Result<Job> {
    let path = JobPath {
        account: job.spec.account.to_string(),
        name: job.metadata.name.clone(),
    };
    let clock = Clock::start();
    while !job.status.phase.is_final() {
        let left = wait.since(clock.now());
        if left == Millis::ZERO {
            break;
        }
        match client.wait(&path, left.min(WAIT_STEP)).await {
            Ok(found) => job = found,
            Err(error)
                if matches!(
                    error.kind,
                    ErrorKind::Unavailable | ErrorKind::Timeout | ErrorKind::Limited
                ) =>
            {
                Timer::after(PAUSE.min(left).duration()).await;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(job)
}

fn to_job(args: &SubmitArgs, region: Option<&str>) -> Result<(Metadata, JobSpec)> {
    let metadata = Metadata {
        name: args.name.clone(),
        ..Metadata::default()
    };
    let spec = JobSpec {
        account: args.account.as_str().into(),
        shape: args.shape,
        urgency: args.urgency.into(),
        size: Size {
            millicores: args.millicores,
            memory: args.memory,
        },
        runtime: args.runtime,
        idempotent: args.idempotent,
        checkpointable: args.checkpointable,
        payload: args.payload.clone(),
        deadline: args.deadline,
        region: region.map(RegionName::from),
    };
    let key = args.key.as_deref().and_then(key_fault);
    let findings = [
        check_job_metadata(&metadata),
        check_job(&spec),
        key.map(|reason| Finding::new("key", reason)).into_iter().collect(),
    ]
    .concat();
    if findings.is_empty() {
        return Ok((metadata, spec));
    }
    Err(Error::msg(ErrorKind::Invalid, "check job", join_findings(&findings)))
}

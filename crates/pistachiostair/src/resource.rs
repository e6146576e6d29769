//! Objects of the resource interface.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use crate::clock::Millis;
use crate::error::Ran;
use crate::ids::{
    AccountName, Attempt, DaemonName, DomainName, GuaranteeName, Incarnation, JobId, JobName, RackName, RegionName,
    Revision, WorkerName,
};
use crate::{closed_set, record};

/// A gang's shape: a number of parts and the accelerators of each, written `2x4`. Each part also
/// takes one slot of its worker; a part may take no accelerator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(into = "String")]
pub struct Shape {
    /// Number of parts, each on a worker of its own unless accelerators are zero or one.
    pub workers: u32,
    /// Accelerators of each part.
    pub accelerators: u32,
}

impl Shape {
    /// The largest number of parts in a gang.
    pub const MAX_WORKERS: u32 = 128;
    /// The largest number of accelerators of one part.
    pub const MAX_ACCELERATORS: u32 = 64;

    /// Accelerators of the whole gang.
    pub fn total(&self) -> u32 {
        self.workers * self.accelerators
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}x{}", self.workers, self.accelerators)
    }
}

impl From<Shape> for String {
    fn from(shape: Shape) -> Self {
        shape.to_string()
    }
}

impl FromStr for Shape {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || anyhow::anyhow!("shape {text:?} is not WORKERSxACCELERATORS, such as 2x4");
        let (workers, accelerators) = text.split_once('x').ok_or_else(invalid)?;
        let workers = workers.parse().map_err(|_| invalid())?;
        let accelerators = accelerators.parse().map_err(|_| invalid())?;
        anyhow::ensure!(
            (1..=Self::MAX_WORKERS).contains(&workers) && accelerators <= Self::MAX_ACCELERATORS,
            "shape {text:?} is outside 1x0 to {}x{}",
            Self::MAX_WORKERS,
            Self::MAX_ACCELERATORS
        );
        Ok(Self { workers, accelerators })
    }
}

impl TryFrom<String> for Shape {
    type Error = anyhow::Error;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl<'de> serde::Deserialize<'de> for Shape {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(ShapeVisitor)
    }
}

/// Parses within the visitor, since parsers name the field only in errors that arise there.
struct ShapeVisitor;

impl serde::de::Visitor<'_> for ShapeVisitor {
    type Value = Shape;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a shape such as 2x4")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Shape, E> {
        text.parse().map_err(E::custom)
    }
}

closed_set! {
    /// Urgency of a job within its client account.
    #[derive(Default)]
    pub enum Urgency {
        /// Runs when nothing else waits.
        Batch,
        /// The default.
        #[default]
        Normal,
        /// Starts before everything else of the account.
        Urgent,
    }
}

record! {
    /// Declared or observed size of one part. Declared values are hints and often wrong.
    #[derive(Copy, Default)]
    pub struct Size {
        /// Processor cores, in thousandths.
        #[serde(default)]
        pub millicores: u64,
        /// Memory, in mebibytes.
        #[serde(default)]
        pub memory: u64,
    }
}

record! {
    /// What every object carries.
    #[derive(Default)]
    pub struct Metadata {
        /// Name, unique for its kind (for jobs: within the client account).
        #[serde(default)]
        pub name: String,
        /// Revision of the last change; `If-Match` compares it.
        #[serde(default)]
        pub revision: Revision,
        /// Free labels.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub labels: BTreeMap<String, String>,
    }
}

record! {
    /// One observed fact about an object.
    pub struct Condition {
        /// Name of the condition, such as `Placeable`.
        pub kind: String,
        /// Whether it holds.
        pub status: bool,
        /// Explanation for people.
        #[serde(default)]
        pub reason: String,
    }
}

record! {
    /// What an operator asks of a job.
    #[serde(deny_unknown_fields)]
    pub struct JobSpec {
        /// The client account that the job is charged to.
        pub account: AccountName,
        /// Shape of the gang.
        pub shape: Shape,
        /// Urgency within the account.
        #[serde(default)]
        pub urgency: Urgency,
        /// Declared size of each part.
        #[serde(default)]
        pub size: Size,
        /// Declared run time in milliseconds.
        #[serde(default)]
        pub runtime: Option<Millis>,
        /// Whether it may run more than once.
        #[serde(default)]
        pub idempotent: bool,
        /// Whether it can be checkpointed and resumed.
        #[serde(default)]
        pub checkpointable: bool,
        /// Bytes for the worker, as text.
        #[serde(default)]
        pub payload: Option<String>,
        /// Span in milliseconds from acceptance after which the job is no longer started.
        #[serde(default)]
        pub deadline: Option<Millis>,
        /// Region to run in; the entry daemon's own region if absent.
        #[serde(default)]
        pub region: Option<RegionName>,
    }
}

closed_set! {
    /// Where a job stands.
    #[derive(Default)]
    pub enum JobPhase {
        /// Accepted and waiting.
        #[default]
        Queued,
        /// Placed; parts are being started and held.
        Starting,
        /// The whole gang runs.
        Running,
        /// Being stopped to give capacity back, or after the loss of a part.
        Stopping,
        /// Ended with success.
        Succeeded,
        /// Ended with failure.
        Failed,
        /// Cancelled by a caller.
        Cancelled,
        /// Its deadline passed before it started.
        Expired,
        /// It can never run.
        Unrunnable,
        /// It was dispatched and its outcome can't be learnt.
        Unknown,
    }
}

impl JobPhase {
    /// Whether the phase is final.
    pub fn is_final(self) -> bool {
        match self {
            Self::Queued | Self::Starting | Self::Running | Self::Stopping => false,
            Self::Succeeded | Self::Failed | Self::Cancelled | Self::Expired | Self::Unrunnable | Self::Unknown => true,
        }
    }
}

record! {
    /// What the system says about a job.
    pub struct JobStatus {
        /// Number of the job within its region.
        pub id: JobId,
        /// Phase.
        pub phase: JobPhase,
        /// Number of the latest attempt; 0 before the first.
        #[serde(default)]
        pub attempt: Attempt,
        /// Workers of the latest attempt, one per part.
        #[serde(default)]
        pub workers: Vec<WorkerName>,
        /// Whether it ran.
        pub ran: Ran,
        /// Answer of the first part, once the job succeeded.
        #[serde(default)]
        pub answer: Option<String>,
        /// Why it is in this phase.
        #[serde(default)]
        pub reason: String,
        /// Conditions.
        #[serde(default)]
        pub conditions: Vec<Condition>,
    }
}

record! {
    /// A job.
    pub struct Job {
        /// Metadata.
        pub metadata: Metadata,
        /// Specification.
        pub spec: JobSpec,
        /// Status.
        pub status: JobStatus,
    }
}

impl Job {
    /// Name of the job within its account.
    pub fn name(&self) -> JobName {
        JobName::from(self.metadata.name.as_str())
    }
}

record! {
    /// What an operator asks of a client account.
    #[serde(deny_unknown_fields)]
    pub struct AccountSpec {
        /// Share of capacity relative to other accounts, at least 1.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// The most accelerators in use at once; no limit if absent.
        #[serde(default)]
        pub quota: Option<u32>,
        /// The most jobs accepted and not ended; the configuration's limit if absent.
        #[serde(default)]
        pub outstanding: Option<u32>,
        /// Accepted submissions per second; the configuration's limit if absent.
        #[serde(default)]
        pub rate: Option<u32>,
    }
}

fn default_weight() -> u32 {
    1
}

record! {
    /// A client account.
    pub struct Account {
        /// Metadata.
        pub metadata: Metadata,
        /// Specification.
        pub spec: AccountSpec,
    }
}

record! {
    /// What an operator asks of a guarantee: a shape reserved for a client account.
    #[serde(deny_unknown_fields)]
    pub struct GuaranteeSpec {
        /// The client account that owns it.
        pub account: AccountName,
        /// The shape.
        pub shape: Shape,
        /// How many of the shape.
        #[serde(default = "default_weight")]
        pub count: u32,
        /// Region that holds it; the entry daemon's own region if absent.
        #[serde(default)]
        pub region: Option<RegionName>,
        /// Grace in milliseconds that reclaimed work gets to checkpoint.
        #[serde(default = "default_grace")]
        pub grace: Millis,
    }
}

fn default_grace() -> Millis {
    Millis(2_000)
}

record! {
    /// A guarantee of a client account.
    pub struct Guarantee {
        /// Metadata.
        pub metadata: Metadata,
        /// Specification.
        pub spec: GuaranteeSpec,
        /// Conditions, such as `Honoured`.
        #[serde(default)]
        pub conditions: Vec<Condition>,
    }
}

impl Guarantee {
    /// Name of the guarantee.
    pub fn name(&self) -> GuaranteeName {
        GuaranteeName::from(self.metadata.name.as_str())
    }
}

record! {
    /// Place and size of a worker.
    pub struct WorkerInfo {
        /// Name.
        pub name: WorkerName,
        /// Region.
        pub region: RegionName,
        /// Failure domain.
        pub domain: DomainName,
        /// Rack.
        pub rack: RackName,
        /// Tasks that it runs at once.
        pub slots: u32,
        /// Accelerators.
        pub accelerators: u32,
        /// Cores, in thousandths.
        pub millicores: u64,
        /// Memory, in mebibytes.
        pub memory: u64,
    }
}

closed_set! {
    /// Whether a member takes new work.
    pub enum MemberState {
        /// Takes new work.
        Live,
        /// Finishes what it has and takes nothing new.
        Leaving,
        /// Suspected or known to be dead.
        Dead,
    }
}

record! {
    /// A worker as the system sees it.
    pub struct Worker {
        /// Metadata.
        pub metadata: Metadata,
        /// Place and size.
        pub info: WorkerInfo,
        /// State.
        pub state: MemberState,
        /// Whether it is quarantined after failures of several jobs.
        pub quarantined: bool,
        /// Whether it is ejected since it fails requests.
        #[serde(default)]
        pub ejected: bool,
        /// Tasks on it.
        pub tasks: u32,
        /// Accelerators in use.
        pub used: u32,
    }
}

record! {
    /// A daemon as another one sees it.
    pub struct Member {
        /// Name.
        pub name: DaemonName,
        /// Incarnation, chosen at start.
        pub incarnation: Incarnation,
        /// Address of its links with the other daemons.
        pub address: String,
        /// Region.
        pub region: RegionName,
        /// Failure domain.
        pub domain: DomainName,
        /// State.
        pub state: MemberState,
        /// Revision of the configuration in force there.
        pub policy: Revision,
    }
}

record! {
    /// The configuration in force everywhere, changed as a whole.
    #[serde(deny_unknown_fields, default)]
    #[derive(Default)]
    pub struct Policy {
        /// Limits of each client account that sets none of its own.
        pub limits: Limits,
        /// Queueing and placement.
        pub scheduling: Scheduling,
        /// Weights that override the ones in the account objects.
        pub weights: BTreeMap<AccountName, u32>,
    }
}

record! {
    /// Default limits of a client account.
    #[serde(deny_unknown_fields, default)]
    pub struct Limits {
        /// Accepted submissions per second.
        pub rate: u32,
        /// Jobs accepted and not ended.
        pub outstanding: u32,
        /// Requests in progress in one daemon for all accounts.
        pub requests: u32,
        /// Largest request body, in bytes.
        pub body: u32,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            rate: 500,
            outstanding: 20_000,
            requests: 2_000,
            body: 65_536,
        }
    }
}

record! {
    /// Parameters of queueing and placement.
    #[serde(deny_unknown_fields, default)]
    pub struct Scheduling {
        /// Slots of each worker that work longer than `short` may not fill.
        pub reserve: u32,
        /// Longest service in milliseconds that counts as short.
        pub short: Millis,
        /// Wait in milliseconds after which a large gang gets a reservation.
        pub patience: Millis,
        /// Attempts after which a job is no longer started again.
        pub attempts: u32,
    }
}

impl Default for Scheduling {
    fn default() -> Self {
        Self {
            reserve: 1,
            short: Millis(5_000),
            patience: Millis(10_000),
            attempts: 5,
        }
    }
}

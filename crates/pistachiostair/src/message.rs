//! Messages between daemons: MessagePack with named fields over QUIC streams.
//!
//! Unknown fields are ignored, so that daemons of two releases work side by side. Fields with short names are also read
//! under their former long ones.

use serde::{Deserialize, Serialize};

use crate::capacity::Capacity;
use crate::clock::Millis;
use crate::edge::Vm;
use crate::error::{Error, ErrorKind, Ran};
use crate::ids::{DaemonName, Incarnation, RegionName, Revision, TaskId, Term, WorkerName};
use crate::record;
use crate::resource::{Guarantee, Job, JobSpec, Member, Worker};
use crate::short_member::{self, ShortMember};
use crate::steps::{Rules, StepAnswer, StepCall};
use crate::worker::{BatchReply, Changes, CommandBatch};

/// Version of the messages, sent in each envelope.
pub const MESSAGE_VERSION: u16 = 1;

/// Largest message in bytes; a longer one is refused before it is read.
pub const MAX_MESSAGE: usize = 4 * 1024 * 1024;

record! {
    /// A request with what every message carries, under short names on the wire.
    pub struct Envelope {
        /// Version of the sender's messages.
        #[serde(rename = "v", alias = "version")]
        pub version: u16,
        /// Sender.
        #[serde(rename = "f", alias = "from")]
        pub from: DaemonName,
        /// Span in milliseconds within which the sender waits for the response.
        #[serde(rename = "t", alias = "timeout")]
        pub timeout: Millis,
        /// The request.
        #[serde(rename = "r", alias = "request")]
        pub request: Request,
    }
}

record! {
    /// What one daemon asks of another.
    pub enum Request {
        /// Liveness and gossip, once a second to each live daemon.
        Heartbeat(Box<Heartbeat>),
        /// From the scheduler to the supervisor of a worker: commands to pass on.
        Command {
            /// The worker.
            worker: WorkerName,
            /// The commands.
            batch: CommandBatch,
        },
        /// From the supervisor to the scheduler: news of a worker.
        Report {
            /// The region.
            region: RegionName,
            /// Name of the worker.
            worker: WorkerName,
            /// The changes, or nothing if the worker does not answer.
            changes: Option<Box<Changes>>,
        },
        /// From a supervisor to the scheduler: workers that answered without changes since the last report.
        Alive {
            /// The region.
            region: RegionName,
            /// The workers, each with its own clock when it answered.
            workers: Vec<(WorkerName, Option<Millis>)>,
            /// Outcomes of the requests to workers that had failures lately, oldest first; true for a success.
            #[serde(default, skip_serializing_if = "Vec::is_empty")]
            outcomes: Vec<(WorkerName, Vec<bool>)>,
        },
        /// The sender read the platform's list: what changed there since it last knew it.
        Listed {
            /// New or changed entries.
            changed: Vec<Vm>,
            /// Names of removed entries.
            removed: Vec<String>,
        },
        /// From the scheduler to a supervisor: renew the leases on many workers at once.
        Renew {
            /// Term of the scheduler.
            term: Term,
            /// New lease in milliseconds.
            lease: Millis,
            /// The workers.
            renewals: Vec<Renewal>,
        },
        /// From an entry daemon to the scheduler: a caller's request about jobs.
        Call {
            /// The region.
            region: RegionName,
            /// The request.
            call: Call,
        },
        /// A committed configuration.
        Policy {
            /// Its revision.
            revision: Revision,
            /// Its document, as YAML.
            document: String,
        },
        /// Asks for the configuration in force.
        GetPolicy,
        /// From an entry daemon to the scheduler: a caller's request about jobs made of steps.
        Steps {
            /// The request.
            call: StepCall,
        },
        /// Asks for the platform's configuration for jobs made of steps.
        GetRules,
        /// Asks the scheduler for a sign of life.
        Beat {
            /// Link address of the sender.
            address: String,
            /// What the sender could serve with as the scheduler; absent if it can't become the scheduler at present.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            capacity: Option<Capacity>,
        },
        /// The sender is the scheduler of its region.
        Leading {
            /// Its term.
            term: Term,
            /// Link address of the sender.
            address: String,
        },
        /// The scheduler gave its lease back.
        Vacant {
            /// Pause before the receiver claims the lease, in milliseconds.
            pause: Millis,
        },
    }
}

impl Request {
    /// Name of the kind, for metrics.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Command { .. } => "command",
            Self::Report { .. } => "report",
            Self::Alive { .. } => "alive",
            Self::Listed { .. } => "listed",
            Self::Renew { .. } => "renew",
            Self::Call { .. } => "call",
            Self::Policy { .. } => "policy",
            Self::GetPolicy => "getPolicy",
            Self::GetRules => "getRules",
            Self::Steps { .. } => "steps",
            Self::Beat { .. } => "beat",
            Self::Leading { .. } => "leading",
            Self::Vacant { .. } => "vacant",
        }
    }
}

record! {
    /// Which configuration of the platform a daemon has in force.
    #[derive(Copy)]
    pub struct RulesAge {
        /// Version of the configuration.
        pub version: Revision,
        /// Time since it was last confirmed as current.
        pub age: Millis,
    }
}

record! {
    /// Renewal of the leases on one worker. Sent many at a time, so its fields have short names on the wire.
    pub struct Renewal {
        /// The worker.
        #[serde(rename = "w")]
        pub worker: WorkerName,
        /// Its incarnation.
        #[serde(rename = "i")]
        pub incarnation: Incarnation,
        /// Newest change of the worker that the scheduler has seen.
        #[serde(rename = "s")]
        pub seen: u64,
        /// Point on the worker's clock after which it refuses.
        #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
        pub expires: Option<Millis>,
        /// New lease in milliseconds, where it is shorter than that of the request.
        #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
        pub lease: Option<Millis>,
        /// Tasks that are not renewed.
        #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
        pub except: Vec<TaskId>,
    }
}

record! {
    /// A heartbeat. Sent to each daemon once a second, so its fields have short names on the wire.
    pub struct Heartbeat {
        /// The sender.
        #[serde(rename = "m", alias = "member", with = "ShortMember")]
        pub member: Member,
        /// Schedulers of regions that it knows.
        #[serde(rename = "l", alias = "leaders", default, skip_serializing_if = "Vec::is_empty")]
        pub leaders: Vec<Leader>,
        /// Other daemons that it knows.
        #[serde(rename = "k", alias = "known", default, skip_serializing_if = "Vec::is_empty", with = "short_member::many")]
        pub known: Vec<Member>,
    }
}

record! {
    /// Scheduler of a region.
    pub struct Leader {
        /// The region.
        #[serde(rename = "r", alias = "region")]
        pub region: RegionName,
        /// Its daemon.
        #[serde(rename = "d", alias = "daemon")]
        pub daemon: DaemonName,
        /// Its term.
        #[serde(rename = "t", alias = "term")]
        pub term: Term,
    }
}

record! {
    /// A caller's request about jobs, answered by the region's scheduler.
    pub enum Call {
        /// Submits a job.
        Submit {
            /// Name of the job; generated if empty.
            name: String,
            /// Idempotency key, unique per client account; the name if absent.
            key: Option<String>,
            /// Specification.
            spec: Box<JobSpec>,
        },
        /// Reads a job.
        Get {
            /// Client account.
            account: String,
            /// Name.
            name: String,
        },
        /// Waits until the job is final or `wait` milliseconds passed, then reads it.
        Wait {
            /// Client account.
            account: String,
            /// Name.
            name: String,
            /// Longest wait.
            wait: Millis,
        },
        /// Lists jobs whose revision is above `after`, in order of revision.
        List {
            /// Client account; all if absent.
            account: Option<String>,
            /// Only revisions above this one.
            after: Revision,
            /// The most jobs to return.
            limit: u32,
            /// Waits this long for a first change if there is none.
            wait: Millis,
        },
        /// Cancels a job.
        Cancel {
            /// Client account.
            account: String,
            /// Name.
            name: String,
            /// Revision that the job must have, if given.
            revision: Option<Revision>,
        },
        /// Explains why a job waits.
        Explain {
            /// Client account.
            account: String,
            /// Name.
            name: String,
        },
        /// Lists workers as the scheduler sees them.
        Workers,
        /// Stops placing work on a worker, or places work there again.
        Drain {
            /// The worker.
            worker: WorkerName,
            /// Whether to drain it.
            drain: bool,
        },
        /// Creates or replaces a guarantee, if it can be honoured together with all others.
        PutGuarantee {
            /// The guarantee; its revision is not looked at.
            guarantee: Box<Guarantee>,
            /// Revision that it must have, 0 if it must not exist; any if absent.
            revision: Option<Revision>,
        },
        /// Deletes a guarantee.
        DeleteGuarantee {
            /// Name.
            name: String,
            /// Revision that it must have, if given.
            revision: Option<Revision>,
        },
        /// Lists guarantees with their conditions.
        Guarantees,
    }
}

record! {
    /// Response to a [`Request`].
    pub enum Response {
        /// Taken note of.
        Ack,
        /// Answer to a heartbeat, which carries the responder's own.
        Heartbeat(Box<Heartbeat>),
        /// Answer to commands.
        Command(BatchReply),
        /// Answer to renewals. Those that are not named were carried out, as nearly all are.
        Renewed {
            /// Place in the request and reply; no reply from a worker that did not answer.
            #[serde(rename = "x")]
            others: Vec<(u32, Option<BatchReply>)>,
        },
        /// Jobs; one for submit, get, wait and cancel.
        Jobs {
            /// The jobs.
            jobs: Vec<Job>,
            /// Revision to continue from.
            revision: Revision,
            /// Whether the submission created the job, rather than finding the first one's.
            created: bool,
        },
        /// Explanation of one job.
        Explained {
            /// Lines of text.
            lines: Vec<String>,
        },
        /// Workers.
        Workers {
            /// The workers.
            workers: Vec<Worker>,
        },
        /// Guarantees; one for a write.
        Guarantees {
            /// The guarantees.
            guarantees: Vec<Guarantee>,
        },
        /// The configuration in force.
        Policy {
            /// Its revision; 0 if none is known.
            revision: Revision,
            /// Its document, as YAML.
            document: String,
        },
        /// Answer to a request about jobs made of steps.
        Steps(StepAnswer),
        /// The responder is the scheduler.
        Beat {
            /// Version of its lease row.
            version: u64,
            /// For how long it may act without another renewal.
            left: Millis,
            /// Number of daemons that should claim the lease before the receiver, if known.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            rank: Option<u32>,
            /// The platform's configuration that it has in force; absent if it has none.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            rules: Option<RulesAge>,
        },
        /// The platform's configuration that the responder has in force.
        Rules {
            /// The configuration.
            rules: Box<Rules>,
            /// Time since it was last confirmed as current.
            age: Millis,
        },
        /// The request was not met.
        Failed(Failure),
    }
}

record! {
    /// An error as it crosses the wire, to daemons and to callers.
    pub struct Failure {
        /// Kind of error.
        pub kind: ErrorKind,
        /// What failed, for people.
        pub message: String,
        /// Whether the work of the request ran.
        pub ran: Ran,
        /// Milliseconds after which a new try makes sense.
        #[serde(default)]
        pub retry: Option<u64>,
    }
}

impl From<&Error> for Failure {
    fn from(error: &Error) -> Self {
        Self {
            kind: error.kind,
            message: error.to_string(),
            ran: error.ran,
            retry: error.retry,
        }
    }
}

impl Failure {
    /// Turns a failure told by `peer` during `step` back into an error.
    pub fn into_error(self, step: &'static str, peer: &str) -> Error {
        Error {
            retry: self.retry,
            ..Error::msg(self.kind, step, self.message).at(peer).ran(self.ran)
        }
    }
}

/// Members and workers that a daemon knows: the platform's list joined with heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Daemons, in order of names.
    pub daemons: Vec<Member>,
    /// Workers of the platform's list.
    pub workers: Vec<Vm>,
}

//! What a caller asks for: a job of steps, each with a number of tasks.

use std::fmt;
use std::str::FromStr;

use crate::clock::Millis;
use crate::ids::AccountName;
use crate::{closed_set, name_id, record};

name_id! {
    /// Name of a queue, through which callers hand in jobs.
    QueueName
}
name_id! {
    /// Name of a service: a pool of workers that run the tasks of some queues.
    ServiceName
}

/// The caller's identifier of a job. It is the idempotency key: the same key is the same job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobKey(pub u64);

/// Hexadecimal digits of a job key.
const KEY_DIGITS: usize = 16;

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl From<JobKey> for String {
    fn from(key: JobKey) -> Self {
        key.to_string()
    }
}

impl FromStr for JobKey {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.len() == KEY_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        anyhow::ensure!(digits, "job key {text:?} does not have {KEY_DIGITS} hexadecimal digits");
        Ok(Self(u64::from_str_radix(text, 16)?))
    }
}

impl TryFrom<String> for JobKey {
    type Error = anyhow::Error;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

record! {
    /// One task of one occurrence of a job.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct TaskKey {
        /// The job.
        #[serde(rename = "j")]
        pub job: JobKey,
        /// Occurrence, counted from 0; 0 for a job that does not recur.
        #[serde(rename = "o")]
        pub occurrence: u32,
        /// Step, counted from 0.
        #[serde(rename = "s")]
        pub step: u32,
        /// Index within the step, counted from 0.
        #[serde(rename = "i")]
        pub index: u32,
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

record! {
    /// What one task takes of a worker.
    #[derive(Copy, Default)]
    pub struct Demand {
        /// Processor cores, in thousandths.
        pub millicores: u64,
        /// Memory, in mebibytes.
        pub memory: u64,
        /// Accelerators.
        pub accelerators: u64,
    }
}

impl Demand {
    /// Whether `self` fits into `room`.
    pub fn fits(&self, room: &Self) -> bool {
        self.millicores <= room.millicores && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// The sum.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores + other.millicores,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// The difference, at least zero in each part.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// `count` times as much.
    #[must_use]
    pub fn times(&self, count: u64) -> Self {
        Self {
            millicores: self.millicores * count,
            memory: self.memory * count,
            accelerators: self.accelerators * count,
        }
    }
}

record! {
    /// A step: tasks with the same demand.
    #[serde(default)]
    #[derive(Default)]
    pub struct Step {
        /// Number of tasks.
        pub count: u32,
        /// What each task takes.
        pub demand: Demand,
        /// Rough duration of a task.
        pub estimate: Millis,
        /// Earlier steps whose tasks must all be done first.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub after: Vec<u32>,
        /// Whether the tasks save checkpoints.
        pub checkpointing: bool,
        /// Whether the tasks work only together.
        pub gang: bool,
        /// Whether tasks on different racks take several times as long.
        pub same_rack: bool,
        /// Label that the worker must have.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub requires: Option<String>,
        /// Rack that holds the data; tasks elsewhere take several times as long.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub affinity: Option<String>,
        /// Most tasks of the step on one worker; unlimited if absent.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub spread: Option<u32>,
        /// Whether several copies of a task may run at the same time.
        pub speculative: bool,
        /// Whether the tasks run until the job is cancelled.
        #[serde(rename = "lasting")]
        pub long_running: bool,
        /// Tasks of a lasting step that may be away at the same time through what the scheduler does.
        #[serde(rename = "mayMiss", skip_serializing_if = "Option::is_none")]
        pub max_unavailable: Option<u32>,
    }
}

record! {
    /// When the steps of a job run again.
    #[derive(Copy)]
    pub struct Recurrence {
        /// When the first occurrence is due, in milliseconds since the Unix epoch.
        pub first: Millis,
        /// Time between two occurrences.
        pub interval: Millis,
        /// Number of occurrences.
        pub times: u32,
    }
}

record! {
    /// What a queue grants its jobs.
    #[derive(Default)]
    pub struct QueueSettings {
        /// The service whose workers run its tasks.
        pub service: ServiceName,
        /// Priority; 0 comes first and may preempt others.
        pub priority: u32,
        /// Runs that may fail before a task or a gang has failed for good.
        pub attempts: u32,
        /// Factor of a job's longest chain of work within which it should be done, in thousandths.
        pub stretch: u64,
        /// Time on top of that.
        pub allowance: Millis,
    }
}

record! {
    /// A job of steps.
    pub struct StepJob {
        /// Its key.
        pub key: JobKey,
        /// The client account that it is charged to.
        pub account: AccountName,
        /// The queue that it came through.
        pub queue: QueueName,
        /// Terms of the queue when the job was accepted; they hold on once the queue is removed.
        #[serde(rename = "terms")]
        pub settings: QueueSettings,
        /// Text for the tasks.
        pub payload: String,
        /// The steps.
        pub steps: Vec<Step>,
        /// When the steps run again; they run once if absent.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub recurrence: Option<Recurrence>,
    }
}

/// Largest number of steps in a job.
const MAX_STEPS: usize = 64;
/// Largest number of tasks in all steps and occurrences of a job, the running tasks of the size to design for.
const MAX_TASKS: u64 = 11_000;

impl StepJob {
    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.recurrence.map_or(1, |recurrence| recurrence.times)
    }

    /// When an occurrence is due, in milliseconds since the Unix epoch.
    pub fn due(&self, occurrence: u32) -> Millis {
        self.recurrence.map_or(Millis::ZERO, |recurrence| {
            recurrence.first + Millis(recurrence.interval.0.saturating_mul(u64::from(occurrence)))
        })
    }

    /// Tasks of all occurrences.
    pub fn task_count(&self) -> u64 {
        let each: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        each * u64::from(self.occurrences())
    }

    /// Whether a step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Checks what the types don't.
    ///
    /// # Errors
    ///
    /// The first finding, for the caller.
    pub fn validate(&self) -> Result<(), String> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(format!("a job has 1 to {MAX_STEPS} steps, not {}", self.steps.len()));
        }
        if self.recurrence.is_some_and(|recurrence| recurrence.times == 0) {
            return Err("a job that recurs has at least one occurrence".to_owned());
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(format!("step {number} has no tasks"));
            }
            if let Some(other) = step.after.iter().find(|other| **other as usize >= number) {
                return Err(format!(
                    "step {number} waits for step {other}, which is not an earlier one"
                ));
            }
        }
        if self.task_count() > MAX_TASKS {
            return Err(format!(
                "a job has at most {MAX_TASKS} tasks, not {}",
                self.task_count()
            ));
        }
        Ok(())
    }
}

closed_set! {
    /// Where a job of steps stands.
    #[derive(Default)]
    pub enum StepJobPhase {
        /// No task has started.
        #[default]
        Queued,
        /// At least one task was started.
        Running,
        /// All tasks are done.
        Completed,
        /// A task or a gang used up its attempts.
        Failed,
        /// A caller cancelled it.
        Cancelled,
    }
}

impl StepJobPhase {
    /// Whether the phase is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

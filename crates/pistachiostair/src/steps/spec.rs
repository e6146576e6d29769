//! Specification of a step job: its steps, each with a number of equal tasks, and when they recur.
//!
//! A job runs its steps in the order of their dependencies. With a recurrence it runs all of them several times; each
//! time is an occurrence, and occurrences don't wait for one another.

use std::fmt;
use std::str::FromStr;

use crate::clock::Millis;
use crate::ids::AccountName;
use crate::{closed_set, name_id, record};

name_id! {
    /// Name of a queue, through which callers submit jobs.
    QueueName
}
name_id! {
    /// Name of a service: a pool of workers that run the tasks of some queues.
    ServiceName
}

/// The caller's identifier of a job, written as 16 hexadecimal digits. It is also the idempotency key: submitting the
/// same key again does not create a second job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobKey(pub u64);

/// Number of hexadecimal digits of a job key.
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
    /// Identifies one task of one occurrence of a job.
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
    /// Resources of a worker: those that one task needs, or an amount in use or free.
    #[derive(Copy, Default)]
    pub struct Demand {
        /// Processor cores, in thousandths.
        pub millicores: u64,
        /// Memory, in mebibytes.
        pub memory: u64,
        /// Number of accelerators.
        pub accelerators: u64,
    }
}

impl Demand {
    /// The most that one worker can have: the 8,192 processors that Linux supports, 4 PiB, the largest physical memory
    /// that processors address, and one accelerator for each of the 65,536 functions of a PCI domain.
    pub const MAX: Self = Self {
        millicores: 8_192_000,
        memory: 1 << 32,
        accelerators: 1 << 16,
    };

    /// Whether `self` is at most `free` in each resource.
    pub fn fits(&self, free: &Self) -> bool {
        self.millicores <= free.millicores && self.memory <= free.memory && self.accelerators <= free.accelerators
    }

    /// The sum in each resource, at most the highest number.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference in each resource, at least zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// `count` times as much, at most the highest number.
    #[must_use]
    pub fn times(&self, count: u64) -> Self {
        Self {
            millicores: self.millicores.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }
}

record! {
    /// A step of a job: a number of tasks with the same demand. A field that is absent in stored data has its default.
    #[serde(default)]
    #[derive(Default)]
    pub struct Step {
        /// Number of tasks.
        pub count: u32,
        /// Resources that each task needs.
        pub demand: Demand,
        /// Estimated duration of a task.
        pub estimate: Millis,
        /// Numbers of earlier steps whose tasks must all be done before this step starts.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub after: Vec<u32>,
        /// Whether the tasks save checkpoints, from which a later run resumes.
        pub checkpointing: bool,
        /// Whether the tasks form a gang: they start, make progress and end only together.
        pub gang: bool,
        /// Whether tasks on different racks take several times as long.
        pub same_rack: bool,
        /// Label that a worker must have to run the tasks; any worker will do if absent.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub requires: Option<String>,
        /// Rack that holds the data: tasks elsewhere take several times as long. No preference if absent.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub affinity: Option<String>,
        /// Largest number of the step's tasks on one worker; unlimited if absent.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub spread: Option<u32>,
        /// Whether several runs of a task may be alive at the same time; placement makes no use of it.
        pub speculative: bool,
        /// Whether the tasks run until the job is cancelled, however often they fail.
        #[serde(rename = "lasting")]
        pub long_running: bool,
        /// Largest number of a long-running step's tasks that may be unavailable at the same time through preemption by
        /// the scheduler; unlimited if absent.
        #[serde(rename = "mayMiss", skip_serializing_if = "Option::is_none")]
        pub max_unavailable: Option<u32>,
    }
}

record! {
    /// When the occurrences of a job are due.
    #[derive(Copy)]
    pub struct Recurrence {
        /// When the first occurrence is due, in milliseconds since the Unix epoch.
        pub first: Millis,
        /// Time between the due times of two occurrences.
        pub interval: Millis,
        /// Number of occurrences, at least 1.
        pub times: u32,
    }
}

record! {
    /// Settings of a queue that apply to its jobs.
    #[derive(Default)]
    pub struct QueueSettings {
        /// The service whose workers run the tasks.
        pub service: ServiceName,
        /// Priority: lower numbers go first. Jobs of priority 0 may preempt others and are covered by guarantees.
        pub priority: u32,
        /// Number of failed runs of a task or a gang at which the job fails; 0 counts as 1.
        pub attempts: u32,
        /// Factor, in thousandths, on the estimated duration of a job's longest chain of steps. The product and
        /// `allowance` together are the time within which the job should be done.
        pub stretch: u64,
        /// Time that is added to that product.
        pub allowance: Millis,
    }
}

record! {
    /// A step job as submitted.
    pub struct StepJob {
        /// The caller's key of the job.
        pub key: JobKey,
        /// The client account that its use of resources counts for.
        pub account: AccountName,
        /// The queue that it was submitted to.
        pub queue: QueueName,
        /// Host and URL prefix under which it was submitted, see [`Queue::base_url`](crate::steps::Queue::base_url);
        /// empty for a job of an earlier release.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub base_url: String,
        /// Settings of the queue when the job was accepted; they apply once the queue is removed.
        #[serde(rename = "terms")]
        pub settings: QueueSettings,
        /// Text that is passed to each task as it is.
        pub payload: String,
        /// The steps, numbered from 0.
        pub steps: Vec<Step>,
        /// When the steps run; once and as soon as possible if absent.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub recurrence: Option<Recurrence>,
    }
}

/// Largest number of steps in a job.
const MAX_STEPS: usize = 64;
/// Largest number of tasks in all steps and occurrences of a job: as many as run at the same time in the largest
/// deployment that the design is meant for.
const MAX_TASKS: u64 = 11_000;

impl StepJob {
    /// Number of occurrences; 1 for a job that does not recur.
    pub fn occurrences(&self) -> u32 {
        self.recurrence.map_or(1, |recurrence| recurrence.times)
    }

    /// When an occurrence is due, in milliseconds since the Unix epoch; zero for a job that does not recur.
    pub fn due(&self, occurrence: u32) -> Millis {
        self.recurrence.map_or(Millis::ZERO, |recurrence| {
            recurrence.first + Millis(recurrence.interval.0.saturating_mul(u64::from(occurrence)))
        })
    }

    /// Number of tasks in all steps and occurrences, at most the highest number.
    pub fn task_count(&self) -> u64 {
        let each: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        each.saturating_mul(u64::from(self.occurrences()))
    }

    /// Whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Checks the limits and references that the types don't express: numbers of steps, tasks and occurrences, and that
    /// steps wait only for earlier ones.
    ///
    /// # Errors
    ///
    /// The first violation, as a message for the caller.
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
    /// Where a step job stands.
    #[derive(Default)]
    pub enum StepJobPhase {
        /// No task has started.
        #[default]
        Queued,
        /// At least one task was placed, and the job has not ended.
        Running,
        /// All tasks of all occurrences are done.
        Completed,
        /// A task or a gang used up its attempts.
        Failed,
        /// A caller cancelled it.
        Cancelled,
    }
}

impl StepJobPhase {
    /// Whether the job has ended, so that the phase no longer changes.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

//! Log of a process: short sentences with a fixed prefix for each component.

use std::fmt;

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, info, o, record_static};
use slog_async::{Async, OverflowStrategy};

use crate::closed_set;
use crate::scheduler::LogLine;

#[cfg(test)]
mod tests;

/// Records that wait for the writer. Further ones are dropped and counted, so that a slow reader of
/// the log never delays a decision.
const QUEUE: usize = 8_192;

closed_set! {
    /// Format of the log.
    pub enum LogFormat {
        /// Lines for people.
        Terminal,
        /// One JSON object a line.
        Json,
    }
}

closed_set! {
    /// Least level that is written.
    pub enum LogLevel {
        /// Everything; not in release builds.
        Trace,
        /// Details of single steps.
        Debug,
        /// Decisions and changes of state.
        Info,
        /// Faults that the process gets over.
        Warn,
        /// Faults that need attention.
        Error,
    }
}

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Trace => Self::Trace,
            LogLevel::Debug => Self::Debug,
            LogLevel::Info => Self::Info,
            LogLevel::Warn => Self::Warning,
            LogLevel::Error => Self::Error,
        }
    }
}

/// Component that writes a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
    /// The resource interface.
    Api,
    /// A region's scheduler.
    Scheduler,
    /// Connections to workers.
    Supervisor,
    /// Configuration.
    Policy,
    /// Membership.
    Members,
    /// Table service and object store.
    Store,
    /// Links with the other daemons.
    Peers,
}

impl Component {
    /// The prefix of its lines.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Api => "api:",
            Self::Scheduler => "sched:",
            Self::Supervisor => "super:",
            Self::Policy => "policy:",
            Self::Members => "member:",
            Self::Store => "store:",
            Self::Peers => "peer:",
        }
    }
}

impl fmt::Display for Component {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.prefix())
    }
}

/// A logger that writes to standard error from a thread of its own. Lines that wait are written when
/// the last clone is dropped.
pub fn logger(format: LogFormat, level: LogLevel) -> Logger {
    match format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator)
                .use_utc_timestamp()
                .use_original_order()
                .build();
            background(drain.fuse(), level)
        }
        LogFormat::Json => background(slog_json::Json::default(std::io::stderr()).fuse(), level),
    }
}

/// A logger that writes one JSON object a line to standard output from a thread of its own.
pub fn stdout_logger(level: LogLevel) -> Logger {
    background(slog_json::Json::default(std::io::stdout()).fuse(), level)
}

fn background<D>(drain: D, level: LogLevel) -> Logger
where
    D: Drain<Ok = (), Err = Never> + Send + 'static,
{
    let drain = Async::new(drain)
        .chan_size(QUEUE)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .thread_name("log".to_owned())
        .build();
    Logger::root(drain.filter_level(level.into()).fuse(), o!())
}

/// A logger whose messages start with the component's prefix.
pub fn component_logger(log: &Logger, component: Component) -> Logger {
    let drain = Prefixed {
        log: log.clone(),
        component,
    };
    Logger::root(drain, o!())
}

struct Prefixed {
    log: Logger,
    component: Component,
}

impl Drain for Prefixed {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let message = format_args!("{} {}", self.component, record.msg());
        let origin = record_static!(record.level(), record.tag());
        Drain::log(&self.log, &Record::new(&origin, &message, record.kv()), values)
    }
}

/// Writes the line of one decision of the scheduler.
pub fn log_decision(log: &Logger, line: &LogLine) {
    let workers: Vec<&str> = line.workers.iter().map(|worker| worker.as_str()).collect();
    info!(log, "{}", line.what;
        "job" => line.job.0,
        "name" => line.name.as_str(),
        "account" => line.account.as_str(),
        "workers" => workers.join(","),
        "term" => line.term.0,
        "reason" => line.reason.as_str());
}

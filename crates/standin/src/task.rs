//! One task of a worker: what its payload asks for and how far it is.

use pistachiostair::{Millis, Size, Start, TaskId, TaskState, TaskView};
use serde::Deserialize;

/// Run time of a task that declares none.
const DEFAULT_RUNTIME: Millis = Millis(100);
/// Time after which the usage of a running task is reported.
const USAGE_LAG: Millis = Millis(2_000);
/// Progress of a task that is done.
const WHOLE: u64 = 1_000;

/// Instructions in a task's payload; other payloads are the answer themselves.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct Instructions {
    sleep_ms: Option<u64>,
    echo: Option<String>,
    #[serde(default)]
    fail: bool,
    /// Pads the answer to this many bytes.
    #[serde(default)]
    answer_bytes: usize,
}

/// A task with its lease.
pub(crate) struct Task {
    pub(crate) start: Start,
    pub(crate) state: TaskState,
    /// Number of the change that started it, which `Renew` compares.
    pub(crate) started: u64,
    /// Number of the last change.
    pub(crate) change: u64,
    pub(crate) lease: Millis,
    pub(crate) begun: Option<Millis>,
    /// When it will have run to its end.
    pub(crate) due: Millis,
    pub(crate) progress: u32,
    pub(crate) answer: Option<String>,
}

impl Task {
    /// Time that it takes from its start, which is shorter if it continues from a checkpoint.
    pub(crate) fn runtime(&self) -> Millis {
        let instructions = instructions(self.start.payload.as_deref());
        let asked = instructions.sleep_ms.map(Millis).or(self.start.runtime);
        let whole = asked.unwrap_or(DEFAULT_RUNTIME);
        let left = WHOLE.saturating_sub(u64::from(self.start.progress));
        Millis(whole.0.saturating_mul(left) / WHOLE)
    }

    /// Progress at a time during its run.
    pub(crate) fn progress_at(&self, now: Millis) -> u32 {
        let Some(begun) = self.begun else { return self.progress };
        let left = WHOLE.saturating_sub(u64::from(self.start.progress));
        let planned = self.due.since(begun).0.max(1);
        let done = now.since(begun).0.min(planned);
        self.start.progress + (left * done / planned) as u32
    }

    /// State and answer of a run that is complete.
    pub(crate) fn outcome(&self, fail: bool) -> (TaskState, Option<String>) {
        let instructions = instructions(self.start.payload.as_deref());
        if fail || instructions.fail {
            let reason = if fail {
                "every task fails as a fault"
            } else {
                "the payload asks to fail"
            };
            return (TaskState::Failed, Some(reason.to_owned()));
        }
        let answer = instructions.echo.unwrap_or_else(|| format!("ran {}", self.start.task));
        let missing = instructions.answer_bytes.saturating_sub(answer.len());
        (TaskState::Succeeded, Some(answer + &".".repeat(missing)))
    }

    /// The task as it is reported.
    pub(crate) fn view(&self, now: Millis, id: TaskId) -> TaskView {
        let used = self.begun.is_some_and(|begun| now.since(begun) >= USAGE_LAG) && !self.state.is_final();
        TaskView {
            task: id,
            state: self.state,
            change: self.change,
            progress: self.progress,
            usage: if used { self.start.size } else { Size::default() },
            answer: self.answer.clone(),
        }
    }
}

fn instructions(payload: Option<&str>) -> Instructions {
    let Some(payload) = payload else {
        return Instructions::default();
    };
    serde_json::from_str(payload).unwrap_or_else(|_| Instructions {
        echo: Some(payload.to_owned()),
        ..Instructions::default()
    })
}

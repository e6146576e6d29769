//! Child processes that end with their owner.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Mutex, Once};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use crate::build::Build;

/// Pause between looks at whether a process has ended.
const POLL: Duration = Duration::from_millis(10);

/// Ids of the processes that run, for the end by a signal, which drops no values.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Ends all processes started here, and then this one, when it is told to end by a signal.
pub(crate) fn end_on_signal() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        std::thread::spawn(|| {
            let Ok(mut signals) = Signals::new([Signal::Int, Signal::Term, Signal::Hup]) else {
                return;
            };
            let _ = async_io::block_on(signals.next());
            let running = RUNNING.lock().expect("process lock");
            for id in running.iter() {
                let _ = send_signal(*id, "KILL");
            }
            // 128 and the number of SIGTERM, as shells report it.
            std::process::exit(143);
        });
    });
}

/// Adds a process to those that end with this one when a signal ends it.
pub(crate) fn register(id: u32) {
    end_on_signal();
    RUNNING.lock().expect("process lock").insert(id);
}

/// Removes a process that has ended from those.
pub(crate) fn unregister(id: u32) {
    RUNNING.lock().expect("process lock").remove(&id);
}

/// Sends a signal, such as `STOP`, to a process.
pub(crate) fn send_signal(id: u32, signal: &str) -> Result<()> {
    let status = Command::new("kill")
        .args([&format!("-{signal}"), &id.to_string()])
        .status()?;
    anyhow::ensure!(status.success(), "kill -{signal} {id}: {status}");
    Ok(())
}

/// A process that was started here; it is killed when this value is dropped.
pub struct Process {
    /// Name in messages and of the file with its error output.
    pub name: String,
    child: Child,
    lines: Receiver<String>,
    errors: PathBuf,
}

impl Process {
    /// Starts a program of a build; its error output goes to a file in `dir`.
    ///
    /// # Errors
    ///
    /// If the program is not built or can't be started.
    pub fn start(name: &str, build: Build, program: &str, args: &[&str], dir: &Path) -> Result<Self> {
        let program = build.program(program)?;
        let errors = dir.join(format!("{name}.err"));
        let file = File::options().create(true).append(true).open(&errors)?;
        let mut child = Command::new(&program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn()
            .with_context(|| format!("start {}", program.display()))?;
        RUNNING.lock().expect("process lock").insert(child.id());
        let (sender, lines) = channel();
        let output = child.stdout.take().context("the output is not piped")?;
        // The thread ends with the process, which closes its output.
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        Ok(Self {
            name: name.to_owned(),
            child,
            lines,
            errors,
        })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The next line of output.
    ///
    /// # Errors
    ///
    /// If none comes `within` the time; the error holds what the process wrote to its error output.
    pub fn line(&self, within: Duration) -> Result<String> {
        self.lines.recv_timeout(within).with_context(|| {
            let errors = std::fs::read_to_string(&self.errors).unwrap_or_default();
            format!("{}: no output; it reported: {errors}", self.name)
        })
    }

    /// What follows `key` in the next line.
    ///
    /// # Errors
    ///
    /// If the line does not come or has another form.
    pub fn value(&self, key: &str, within: Duration) -> Result<String> {
        let line = self.line(within)?;
        line.strip_prefix(key)
            .map(|value| value.trim().to_owned())
            .with_context(|| format!("{}: {key} is missing in {line:?}", self.name))
    }

    /// Sends a signal, such as `STOP`.
    ///
    /// # Errors
    ///
    /// If the process does not exist any more.
    pub fn signal(&self, signal: &str) -> Result<()> {
        send_signal(self.id(), signal)
    }

    /// Kills the process without notice.
    ///
    /// # Errors
    ///
    /// If it can't be waited for.
    pub fn kill(&mut self) -> Result<()> {
        // An error means that it has ended by itself.
        let _ = self.child.kill();
        self.child.wait()?;
        self.unregister();
        Ok(())
    }

    /// Waits for the process to end by itself.
    ///
    /// # Errors
    ///
    /// If it still runs after `within`.
    pub fn wait(&mut self, within: Duration) -> Result<ExitStatus> {
        let until = Instant::now() + within;
        loop {
            if let Some(status) = self.child.try_wait()? {
                self.unregister();
                return Ok(status);
            }
            anyhow::ensure!(Instant::now() < until, "{} still runs after {within:?}", self.name);
            std::thread::sleep(POLL);
        }
    }

    fn unregister(&self) {
        unregister(self.id());
    }

    /// Leaves the process running when this value is dropped.
    pub fn keep(self) {
        self.unregister();
        std::mem::forget(self);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

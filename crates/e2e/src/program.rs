//! One program as a child process, killed when dropped.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use eyre::{WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process};

/// How often a child's end is looked for.
const WAIT_PAUSE: Duration = Duration::from_millis(10);

/// A running program.
#[derive(Debug)]
pub struct Program {
    child: Child,
    addresses: Vec<SocketAddr>,
    _settings: TempFile,
}

#[derive(Debug)]
struct TempFile(PathBuf);

impl Drop for TempFile {
    fn drop(&mut self) {
        let _already_gone = std::fs::remove_file(&self.0);
    }
}

/// The path of one of our programs: beside the running test.
///
/// # Errors
///
/// If the running test has no folder.
pub fn program_path(name: &str) -> eyre::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let folder = test.parent().and_then(|deps| deps.parent());
    let folder = folder.ok_or_else(|| eyre!("the test has no folder"))?;
    Ok(folder.join(name))
}

impl Program {
    /// Starts a program with settings, and waits until it says where it
    /// listens.
    ///
    /// # Errors
    ///
    /// If it can't start or ends at once.
    pub fn start(name: &str, settings: &str) -> eyre::Result<Self> {
        let file = settings_file(name, settings)?;
        let mut child = Command::new(program_path(name)?)
            .arg("--config")
            .arg(&file.0)
            .stdout(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("{name} does not start; build the workspace first"))?;
        let stdout = child.stdout.take().ok_or_else(|| eyre!("no output"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let addresses = line
            .split_whitespace()
            .filter_map(|word| word.parse().ok())
            .collect();
        let program = Self {
            child,
            addresses,
            _settings: file,
        };
        if program.addresses.is_empty() {
            return Err(eyre!("{name} said {line:?} instead of its addresses"));
        }
        Ok(program)
    }

    /// The addresses that it listens on, in the order it said them.
    pub fn address(&self, i: usize) -> SocketAddr {
        self.addresses[i]
    }

    /// Ends it as a crash would.
    ///
    /// # Errors
    ///
    /// If it is gone already.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Freezes it: it holds its connections and does nothing.
    ///
    /// # Errors
    ///
    /// If it is gone.
    pub fn freeze(&self) -> eyre::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Thaws it.
    ///
    /// # Errors
    ///
    /// If it is gone.
    pub fn thaw(&self) -> eyre::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to stop as planned.
    ///
    /// # Errors
    ///
    /// If it is gone.
    pub fn terminate(&self) -> eyre::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits until it has ended.
    ///
    /// # Errors
    ///
    /// If its status can't be read.
    pub async fn ended(&mut self) -> eyre::Result<ExitStatus> {
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            tokio::time::sleep(WAIT_PAUSE).await;
        }
    }

    fn signal(&self, signal: Signal) -> eyre::Result<()> {
        kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _already_gone = self.child.kill();
        let _already_waited = self.child.wait();
    }
}

fn settings_file(name: &str, settings: &str) -> eyre::Result<TempFile> {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let file = format!("{name}-{}-{number}.yaml", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, settings)?;
    Ok(TempFile(path))
}

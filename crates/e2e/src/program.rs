//! A program as a child process, killed when dropped.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use eyre::{WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process};

const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running program and its listen addresses.
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

/// Returns the path of a program in the target directory of the running test.
///
/// # Errors
///
/// Returns an error if the path of the running test is unknown.
pub fn program_path(name: &str) -> eyre::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let folder = test.parent().and_then(|deps| deps.parent());
    let folder = folder.ok_or_else(|| eyre!("the test has no folder"))?;
    Ok(folder.join(name))
}

impl Program {
    /// Starts a program with settings and waits until it prints its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't start or prints no address.
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
            .filter_map(|field| field.parse().ok())
            .collect();
        let program = Self {
            child,
            addresses,
            _settings: file,
        };
        if program.addresses.is_empty() {
            return Err(eyre!("{name} printed {line:?} instead of its addresses"));
        }
        Ok(program)
    }

    /// Returns the listen address at index `i`, in the order printed.
    pub fn address(&self, i: usize) -> SocketAddr {
        self.addresses[i]
    }

    /// Kills the program, as in a crash.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be killed.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Suspends the program, which keeps its connections open.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn suspend(&self) -> eyre::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes the suspended program.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn resume(&self) -> eyre::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Requests a graceful stop.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn terminate(&self) -> eyre::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits until the program exits.
    ///
    /// # Errors
    ///
    /// Returns an error if the exit status can't be read.
    pub async fn wait_for_exit(&mut self) -> eyre::Result<ExitStatus> {
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
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

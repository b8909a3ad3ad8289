//! Child processes that are signalled by their own id.

use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};

/// A child process. It is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program.
    ///
    /// # Errors
    ///
    /// If the program can't be started.
    pub fn start(command: &mut Command) -> eyre::Result<Self> {
        let child = command
            .spawn()
            .wrap_err_with(|| format!("{:?} does not start", command.get_program()))?;
        Ok(Self { child })
    }

    /// Requests a graceful stop (SIGTERM).
    ///
    /// # Errors
    ///
    /// If the signal can't be sent.
    pub fn terminate(&self) -> eyre::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Suspends the process (SIGSTOP), which keeps its connections open. Returns once it has
    /// stopped or ended: a signal that is sent earlier may be handled before it stops.
    ///
    /// # Errors
    ///
    /// If the signal can't be sent.
    pub fn pause(&self) -> eyre::Result<()> {
        self.signal(Signal::STOP)?;
        let states = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
        waitid(WaitId::Pid(Pid::from_child(&self.child)), states)?;
        Ok(())
    }

    /// Resumes the suspended process (SIGCONT).
    ///
    /// # Errors
    ///
    /// If the signal can't be sent.
    pub fn resume(&self) -> eyre::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Kills the process (SIGKILL) and waits for it.
    ///
    /// # Errors
    ///
    /// If the process can't be killed.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Returns the exit status, if the process has ended.
    ///
    /// # Errors
    ///
    /// If the status can't be read.
    pub fn exit_status(&mut self) -> eyre::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits until the process ends, and kills it after `grace`. Returns whether it ended by
    /// itself.
    ///
    /// # Errors
    ///
    /// If the status can't be read or the process can't be killed.
    pub async fn wait_or_kill(&mut self, grace: Duration) -> eyre::Result<bool> {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let kill_at = Instant::now() + grace;
        while self.exit_status()?.is_none() {
            if Instant::now() >= kill_at {
                self.kill()?;
                return Ok(false);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(true)
    }

    fn signal(&self, signal: Signal) -> eyre::Result<()> {
        kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _may_have_ended = self.child.kill();
        let _may_have_ended = self.child.wait();
    }
}

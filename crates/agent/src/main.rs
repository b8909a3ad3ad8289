//! The `chalkrock-agent` program.

use std::process::ExitCode;

use chalkrock_agent::{AgentSettings, start_agent};
use chalkrock_process::{Stop, program, run, start_logs, start_spans};

fn main() -> ExitCode {
    run(
        program("chalkrock-agent", "Keeps a host's view of the fleet"),
        serve,
    )
}

async fn serve(settings: AgentSettings, stop: Stop) -> eyre::Result<()> {
    start_logs(&settings.logs);
    start_spans("chalkrock-agent", &settings.spans);
    let agent = start_agent(settings).await?;
    println!(
        "listening {} admin {}",
        agent.address(),
        agent.admin_address()
    );
    stop.requested().await;
    Ok(())
}

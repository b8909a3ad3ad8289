//! The `chalkrock-router` program.

use std::process::ExitCode;

use chalkrock_process::{Stop, program, run, start_logs, start_spans};
use chalkrock_router::{RouterSettings, start_router};

fn main() -> ExitCode {
    run(
        program(
            "chalkrock-router",
            "Routes chats to engines and calls to services",
        ),
        serve,
    )
}

async fn serve(settings: RouterSettings, stop: Stop) -> eyre::Result<()> {
    start_logs(&settings.logs);
    start_spans("chalkrock-router", &settings.spans);
    let router = start_router(settings).await?;
    println!(
        "listening {} operators {}",
        router.address(),
        router.operator_address()
    );
    stop.requested().await;
    router.stop().await;
    Ok(())
}

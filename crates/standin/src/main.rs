//! `chalkrock-standin`: runs one stand-in as a separate process.

use std::process::ExitCode;

use chalkrock_process::{LogSettings, Stop, program, run, start_logs};
use chalkrock_standin::{
    EngineSettings, PlatformSettings, ServiceSettings, start_engine, start_platform, start_service,
};
use serde::Deserialize;

/// Settings of the program and of the stand-in that it runs.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    #[serde(default)]
    logs: LogSettings,
    #[serde(with = "serde_yaml_ng::with::singleton_map")]
    standin: Standin,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Standin {
    Engine(EngineSettings),
    Service(ServiceSettings),
    Platform(PlatformSettings),
}

fn main() -> ExitCode {
    let about = "Stands in for an engine, a service or the platform, with switchable faults";
    run(program("chalkrock-standin", about), serve)
}

async fn serve(settings: Settings, stop: Stop) -> eyre::Result<()> {
    start_logs(&settings.logs);
    match settings.standin {
        Standin::Engine(settings) => {
            let engine = start_engine(settings).await?;
            println!("listening {}", engine.address());
            stop.requested().await;
        }
        Standin::Service(settings) => {
            let service = start_service(settings).await?;
            println!("listening {}", service.address());
            stop.requested().await;
        }
        Standin::Platform(settings) => {
            let platform = start_platform(settings).await?;
            println!("listening {}", platform.address());
            stop.requested().await;
        }
    }
    Ok(())
}

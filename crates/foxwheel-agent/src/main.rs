//! `foxwheel-agent`: the sidecar process that runs beside each backend server.

use foxwheel_agent::{server, settings::AgentSettings};
use foxwheel_core::{cli, shutdown, telemetry};

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    telemetry::init_logging();
    let settings: AgentSettings = cli::load_settings_or_exit(
        "foxwheel-agent",
        "The foxwheel agent beside one backend server: local queue, membership, drain.",
    );
    let cancel = shutdown::cancel_on_signal();
    let host_id = settings.host.clone();
    let agent = server::start(settings, cancel).await?;
    log::info!("agent for host {host_id} listening on {}", agent.addr);
    let _ = agent.stopped.await;
    Ok(())
}

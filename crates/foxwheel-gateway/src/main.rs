//! `foxwheel-gateway`: the entry process behind the platform's load balancer.

use foxwheel_core::{cli, shutdown, telemetry};
use foxwheel_gateway::{server, settings::GatewaySettings};

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    telemetry::init_logging();
    let settings: GatewaySettings = cli::load_settings_or_exit(
        "foxwheel-gateway",
        "The foxwheel gateway: caller API, rules, routing, batch dispatch.",
    );
    let cancel = shutdown::cancel_on_signal();
    let gateway_name = settings.name.clone();
    let gateway = server::start(settings, cancel)?;
    log::info!("gateway {gateway_name} listening on {}", gateway.addr);
    let _ = gateway.stopped.await;
    Ok(())
}

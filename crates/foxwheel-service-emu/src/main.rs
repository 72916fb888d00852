//! `foxwheel-service-emu`: an emulator of a plain service.

use foxwheel_core::{cli, shutdown, telemetry};

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    telemetry::init_logging();
    let settings: foxwheel_service_emu::ServiceSettings = cli::load_settings_or_exit(
        "foxwheel-service-emu",
        "An emulator of plain services such as yardbook and emite-cartao.",
    );
    let cancel = shutdown::cancel_on_signal();
    let (addr, server) = foxwheel_service_emu::start(&settings, cancel)?;
    log::info!("{} emulator listening on {addr}", settings.service);
    server.await
}

//! `foxwheel-service-emu`: the plain service stand-in.

use foxwheel_core::{cli, shutdown, telemetry};

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    telemetry::init_logging();
    let path = cli::server_settings_path(
        "foxwheel-service-emu",
        "A stand-in for plain services such as yardbook and emite-cartao.",
    );
    let settings: foxwheel_service_emu::ServiceSettings = match foxwheel_core::settings::load(&path)
    {
        Ok(s) => s,
        Err(e) => {
            eprintln!("foxwheel-service-emu: {e}");
            std::process::exit(2);
        }
    };
    let cancel = shutdown::on_signal();
    let (addr, server) = foxwheel_service_emu::start(&settings, cancel)?;
    log::info!("{} emulator listening on {addr}", settings.service);
    server.await
}

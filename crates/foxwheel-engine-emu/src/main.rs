//! `foxwheel-engine-emu`: a model engine emulator.

use foxwheel_core::{cli, shutdown, telemetry};
use foxwheel_engine_emu::{server, settings::EngineSettings};

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    telemetry::init_logging();
    let settings: EngineSettings =
        cli::load_settings_or_exit("foxwheel-engine-emu", "An emulator of a model engine.");
    let cancel = shutdown::cancel_on_signal();
    let (addr, server) = server::start(settings, cancel)?;
    log::info!("engine emulator listening on {addr}");
    server.await
}

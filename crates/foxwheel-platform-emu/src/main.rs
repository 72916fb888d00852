//! `foxwheel-platform-emu`: an emulator of the platform's object API.

use foxwheel_core::{cli, shutdown, telemetry};
use foxwheel_platform_emu::{server, settings::PlatformSettings};

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    telemetry::init_logging();
    let settings: PlatformSettings = cli::load_settings_or_exit(
        "foxwheel-platform-emu",
        "An emulator of the platform's object API.",
    );
    let cancel = shutdown::cancel_on_signal();
    let (addr, server) = server::start(&settings, cancel)?;
    log::info!("platform emulator listening on {addr}");
    server.await
}

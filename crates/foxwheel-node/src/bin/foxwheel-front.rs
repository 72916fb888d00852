//! The front process: serves online requests and calls on batch jobs on the users' platform.

use foxwheel_core::{cli, shutdown, structured_log};
use foxwheel_node::{process, settings};

fn main() -> std::io::Result<()> {
    let settings: settings::NodeSettings = cli::load_settings_or_exit(
        "foxwheel-front",
        "Serves callers: online requests and calls on batch jobs.",
    );
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    structured_log::init(settings.host.clone());
    runtime.block_on(async { process::run_front(settings, shutdown::cancel_on_signal()).await })
}

//! The worker process: runs batch jobs on the users' platform.

use foxwheel_core::cli;
use foxwheel_node::{drain, settings};

fn main() -> std::io::Result<()> {
    let settings: settings::NodeSettings =
        cli::server_settings("foxwheel-worker", "Runs the items of batch jobs.");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(drain::run_worker(settings))
}

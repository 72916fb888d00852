//! The `foxwheel-ctl` binary: runs one command and prints its result.
//!
//! The exit code is 2 for a wrong command line and 1 for a command that failed.

use foxwheel_core::keys;
use foxwheel_ctl::args::{self, Command, ObjectKind};
use foxwheel_ctl::{apply, batch::GatewayClient, burn, explain, losses, CtlError};
use foxwheel_store::client::StoreClient;

async fn run(args: args::Args) -> Result<(), CtlError> {
    let store = StoreClient::new(&args.store_url);
    let gateway = GatewayClient::new(&args.gateway_url);
    match args.command {
        Command::Version => println!("foxwheel-ctl {}", env!("CARGO_PKG_VERSION")),
        Command::Burn { target, files } => print!("{}", burn::report(target, &files)?),
        Command::Help => println!("{}", args::USAGE),
        Command::Diff(path) => {
            let manifest = apply::read_manifest(&path)?;
            let changes = apply::diff(&store, &manifest).await?;
            if changes.is_empty() {
                println!("no changes");
            }
            for change in changes {
                println!("~ {} (at version {})", change.key, change.from_version);
            }
        }
        Command::Apply(path) => {
            let manifest = apply::read_manifest(&path)?;
            let changes = apply::diff(&store, &manifest).await?;
            let written = apply::apply(&store, &changes).await?;
            if written.is_empty() {
                println!("no changes");
            }
            for (key, version) in written {
                println!("applied {key} at version {version}");
            }
        }
        Command::Get(kind) => {
            let prefix = match kind {
                ObjectKind::Deployments => keys::DEPLOYMENTS_PREFIX,
                ObjectKind::Rules => keys::RULES_KEY,
                ObjectKind::Members => keys::MEMBERS_PREFIX,
                ObjectKind::Jobs => keys::JOBS_PREFIX,
            };
            let listed = store.list(prefix).await?;
            for object in listed.objects {
                println!(
                    "{} (version {}): {}",
                    object.key, object.version, object.value
                );
            }
        }
        Command::BatchCreate(path) => println!("{}", gateway.create(&path).await?),
        Command::BatchStatus(id) => println!("{}", gateway.status(&id).await?),
        Command::BatchCancel(id) => println!("{}", gateway.cancel(&id).await?),
        Command::Explain { id, logs } => print!("{}", explain::explain(&id, &logs)?),
        Command::Losses { plot, logs } => print!("{}", losses::report(&logs, plot.as_deref())?),
        Command::BatchResults(id) => print!("{}", gateway.results(&id).await?),
    }
    Ok(())
}

fn main() {
    let args = match args::parse(std::env::args_os().skip(1)) {
        Ok(args) => args,
        Err(e) => {
            eprintln!("foxwheel-ctl: {e}");
            std::process::exit(2);
        }
    };
    let result = actix_web::rt::System::new().block_on(run(args));
    if let Err(e) = result {
        eprintln!("foxwheel-ctl: {e}");
        std::process::exit(1);
    }
}

//! Graceful shutdown: one cancellation token per process, cancelled on SIGTERM or Ctrl-C.
//!
//! The token is passed down to every controller; each stops its loop when it is cancelled.

use tokio_util::sync::CancellationToken;

/// Returns a token that is cancelled when the process receives SIGTERM or SIGINT.
///
/// Must be called inside a running tokio (actix) runtime.
pub fn cancel_on_signal() -> CancellationToken {
    let token = CancellationToken::new();
    let child = token.clone();
    tokio::spawn(async move {
        wait_for_signal().await;
        log::info!("shutdown requested");
        child.cancel();
    });
    token
}

async fn wait_for_signal() {
    use tokio::signal::unix::{signal, SignalKind};
    let Ok(mut term) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

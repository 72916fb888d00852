//! Graceful shutdown: each process has one cancellation token, which is cancelled on SIGTERM or
//! Ctrl-C.
//!
//! Every long-running task gets the token and stops when it is cancelled.

use tokio_util::sync::CancellationToken;

/// Returns a token that is cancelled when the process receives SIGTERM or SIGINT.
///
/// Must be called within a running tokio or actix runtime.
pub fn cancel_on_signal() -> CancellationToken {
    let token = CancellationToken::new();
    let to_cancel = token.clone();
    tokio::spawn(async move {
        wait_for_signal().await;
        log::info!("shutdown requested");
        to_cancel.cancel();
    });
    token
}

/// Waits for SIGTERM or SIGINT. Never returns if the handler for SIGTERM cannot be installed.
async fn wait_for_signal() {
    use tokio::signal::unix::{signal, SignalKind};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

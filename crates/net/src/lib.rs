//! Sockets, timers and their limits. Nothing here decides what is sent to whom.

pub mod body;
pub mod client;
pub mod clock;
pub mod frames;
pub mod list_watch;
pub mod record;
pub mod routes;
pub mod server;

pub use body::Body;
pub use client::{Client, NetError, Reply};
pub use record::Recorder;

/// Sends logs to standard error, as text or JSON. `RUST_LOG` narrows or widens them; without it, `info` is shown.
pub fn init_logging(json: bool) {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let colours = std::io::IsTerminal::is_terminal(&std::io::stderr());
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(colours);
    // A second call, as in tests, changes nothing.
    let _ = if json {
        lines.json().try_init()
    } else {
        lines.try_init()
    };
}

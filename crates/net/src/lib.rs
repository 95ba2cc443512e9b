//! HTTP client and server, framed TCP sessions, timers, logging and recordings.
//!
//! The programs share this I/O layer; what is sent to which peer is decided by them.

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

/// Writes logs to standard error, as text or JSON. `RUST_LOG` sets the filter; the default is `info`.
pub fn init_logging(json: bool) {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let is_terminal = std::io::IsTerminal::is_terminal(&std::io::stderr());
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(is_terminal);
    // Fails if a subscriber is set already, as by a second call in tests; the first one stays.
    let _ = if json {
        subscriber.json().try_init()
    } else {
        subscriber.try_init()
    };
}

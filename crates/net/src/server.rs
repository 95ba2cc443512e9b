//! An HTTP/1.1 server.

use crate::body::Body;
use hyper::body::Incoming;
use hyper::{Request, Response};
use smol::net::{SocketAddr, TcpListener};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::sync::Arc;
use std::time::Duration;

/// Bounds of a server.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Connections at a time; further ones wait in the listener's backlog.
    pub connections: usize,
    /// A request's head must be whole within this. Guards against clients that trickle it.
    pub head_timeout: f64,
}

/// Marks a response that is not sent: its connection is cut instead.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionAborted;

/// What answers requests.
pub trait Handler: Send + Sync + 'static {
    /// One answer.
    fn answer(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Headers in one request.
const HEADERS_MOST: usize = 64;
/// Bytes of a request's head.
const HEAD_BYTES_MOST: usize = 64 * 1024;

/// Serves until the listener fails for good. A fault of one connection ends that connection only.
pub async fn serve<H: Handler>(listener: TcpListener, limits: ServerLimits, handler: Arc<H>) {
    let places = Arc::new(async_lock::Semaphore::new(limits.connections.max(1)));
    loop {
        let place = places.acquire_arc().await;
        let (socket, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(problem) => {
                // Such as too many open files: others may close soon.
                tracing::warn!(%problem, "a connection can't be accepted");
                crate::clock::sleep(0.05).await;
                continue;
            }
        };
        if let Err(problem) = socket.set_nodelay(true) {
            tracing::debug!(%problem, "set_nodelay");
        }
        let handler = handler.clone();
        let timeout = limits.head_timeout;
        let connection = async move {
            let service = hyper::service::service_fn(|request| {
                let handler = handler.clone();
                async move {
                    let response = handler.answer(request, peer).await;
                    let cut = response.extensions().get::<ConnectionAborted>().is_some();
                    if cut {
                        Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset))
                    } else {
                        Ok(response)
                    }
                }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .timer(SmolTimer::new())
                .header_read_timeout(Duration::from_secs_f64(timeout))
                .max_headers(HEADERS_MOST)
                .max_buf_size(HEAD_BYTES_MOST)
                .half_close(false)
                .serve_connection(FuturesIo::new(socket), service)
                .await;
            if let Err(problem) = served {
                tracing::debug!(%peer, %problem, "connection ended");
            }
            drop(place);
        };
        smol::spawn(connection).detach();
    }
}

//! HTTP/1.1 server with limits on connections and request heads.

use crate::body::Body;
use hyper::body::Incoming;
use hyper::{Request, Response};
use smol::net::{SocketAddr, TcpListener};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::sync::Arc;
use std::time::Duration;

/// Limits of a server.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Open connections; further ones wait in the listener's backlog.
    pub connections: usize,
    /// Time within which the head of a request has to arrive, in seconds. Guards against clients that send it slowly to
    /// hold connections.
    pub head_timeout: f64,
}

/// Extension of a response that is not to be sent: the connection is closed without an answer instead.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionAborted;

/// Answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// The response to one request of the client at `peer`.
    fn answer(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Most headers of one request.
const MAX_HEADERS: usize = 64;
/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_SECONDS: f64 = 0.05;

/// Accepts and serves connections without end. A failure on one connection ends that connection only; if accepting one
/// fails, it is retried after a short delay.
pub async fn serve<H: Handler>(listener: TcpListener, limits: ServerLimits, handler: Arc<H>) {
    let permits = Arc::new(async_lock::Semaphore::new(limits.connections.max(1)));
    loop {
        let permit = permits.acquire_arc().await;
        let (socket, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                // A possible cause is the limit on open files: other connections may close soon.
                tracing::warn!(%error, "failed to accept a connection");
                crate::clock::sleep(ACCEPT_RETRY_SECONDS).await;
                continue;
            }
        };
        if let Err(error) = socket.set_nodelay(true) {
            tracing::debug!(%error, "set_nodelay");
        }
        let handler = handler.clone();
        let head_timeout = limits.head_timeout;
        let connection = async move {
            let service = hyper::service::service_fn(|request| {
                let handler = handler.clone();
                async move {
                    let response = handler.answer(request, peer).await;
                    let is_aborted = response.extensions().get::<ConnectionAborted>().is_some();
                    if is_aborted {
                        Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset))
                    } else {
                        Ok(response)
                    }
                }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .timer(SmolTimer::new())
                .header_read_timeout(Duration::from_secs_f64(head_timeout))
                .max_headers(MAX_HEADERS)
                .max_buf_size(MAX_HEAD_BYTES)
                .half_close(false)
                .serve_connection(FuturesIo::new(socket), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%peer, %error, "connection ended");
            }
            drop(permit);
        };
        smol::spawn(connection).detach();
    }
}

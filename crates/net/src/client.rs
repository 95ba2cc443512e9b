//! HTTP/1.1 client for one peer. Its errors tell whether the request was never sent or the peer may have acted on it,
//! which decides whether a caller may retry.

use crate::clock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use std::sync::{Arc, Mutex};

/// Why there is no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NetError {
    /// The connection could not be opened; the request was never sent.
    Connect(String),
    /// The peer's host refused the connection because no process listens on the port; the request was never sent.
    Refused,
    /// No response in time; the peer may have acted on the request.
    Timeout,
    /// The connection failed before the response was complete; the peer may have acted on the request.
    Interrupted(String),
    /// The request could not be built and was never sent.
    Request(String),
}

impl std::fmt::Display for NetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect(why) => write!(f, "no connection: {why}"),
            Self::Refused => f.write_str("no connection: refused"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::Interrupted(why) => write!(f, "the connection broke: {why}"),
            Self::Request(why) => write!(f, "the request can't be sent: {why}"),
        }
    }
}

impl std::error::Error for NetError {}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status, including those of errors.
    pub status: StatusCode,
    /// Headers as the peer sent them.
    pub headers: HeaderMap,
    /// The whole body; empty if there is none.
    pub body: Bytes,
}

impl Reply {
    /// The body parsed as JSON; null if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

type Connection = SendRequest<Full<Bytes>>;

/// Longest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Longest line of a watch, in bytes.
const MAX_LINE_BYTES: usize = 4 << 20;
/// Idle connections that are kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Time limit for opening a connection for [`Client::send`], in seconds. A request that is given up earlier than its own
/// time limit was never sent, so the caller may send it to another peer.
const CONNECT_TIMEOUT: f64 = 1.0;

/// A client for one address; clones share its connections.
#[derive(Clone)]
pub struct Client {
    address: String,
    headers: Vec<(&'static str, String)>,
    idle: Arc<Mutex<Vec<Connection>>>,
    permits: Arc<async_lock::Semaphore>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Client({})", self.address)
    }
}

impl Client {
    /// A client for `host:port` with at most `connections` calls of [`Self::send`] at a time; `headers` are added to
    /// each request.
    pub fn new(address: &str, connections: usize, headers: Vec<(&'static str, String)>) -> Self {
        Self {
            address: address.to_owned(),
            headers,
            idle: Arc::default(),
            permits: Arc::new(async_lock::Semaphore::new(connections.max(1))),
        }
    }

    /// A clone that shares the connections and adds one more header to its own requests.
    #[must_use]
    pub fn with_header(&self, name: &'static str, value: String) -> Self {
        let mut other = self.clone();
        other.headers.push((name, value));
        other
    }

    /// The peer, as `host:port`.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Opens a connection within `timeout` seconds.
    async fn connect(&self, timeout: f64) -> Result<Connection, NetError> {
        let connect_error = |e: String| NetError::Connect(e);
        let dial = async {
            let socket = TcpStream::connect(&self.address)
                .await
                .map_err(|e| match e.kind() {
                    std::io::ErrorKind::ConnectionRefused => NetError::Refused,
                    _ => connect_error(e.to_string()),
                })?;
            socket
                .set_nodelay(true)
                .map_err(|e| connect_error(e.to_string()))?;
            let (send, connection) = hyper::client::conn::http1::handshake(FuturesIo::new(socket))
                .await
                .map_err(|e| connect_error(e.to_string()))?;
            smol::spawn(async move {
                if let Err(error) = connection.await {
                    tracing::trace!(%error, "client connection ended");
                }
            })
            .detach();
            Ok(send)
        };
        clock::timeout(timeout, dial)
            .await
            .unwrap_or_else(|| Err(connect_error("timed out".into())))
    }

    fn request(
        &self,
        method: &Method,
        path: &str,
        media: &str,
        body: &Bytes,
    ) -> Result<Request<Full<Bytes>>, NetError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &self.address);
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        if !body.is_empty() {
            request = request.header("content-type", media);
        }
        request
            .body(Full::new(body.clone()))
            .map_err(|e| NetError::Request(e.to_string()))
    }

    /// Sends a request on an idle or new connection. If an idle connection turns out to be closed before any of the
    /// request was sent, another one is tried. A failure after that is returned, as the peer may have acted on the
    /// request.
    async fn exchange(
        &self,
        method: &Method,
        path: &str,
        media: &str,
        body: &Bytes,
    ) -> Result<(hyper::Response<hyper::body::Incoming>, Connection), NetError> {
        loop {
            let idle = self.idle.lock().ok().and_then(|mut idle| idle.pop());
            let is_new = idle.is_none();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect(CONNECT_TIMEOUT).await?,
            };
            if connection.ready().await.is_err() {
                if is_new {
                    return Err(NetError::Connect("closed at once".into()));
                }
                continue;
            }
            let request = self.request(method, path, media, body)?;
            match connection.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut failed) => {
                    let is_unsent = failed.take_message().is_some();
                    if is_unsent && !is_new {
                        continue;
                    }
                    let why = failed.into_error().to_string();
                    return Err(if is_unsent {
                        NetError::Connect(why)
                    } else {
                        NetError::Interrupted(why)
                    });
                }
            }
        }
    }

    /// Sends a request and reads the whole response within `seconds`, which include the wait for a free connection.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        media: &str,
        body: Bytes,
        seconds: f64,
    ) -> Result<Reply, NetError> {
        let sent = async {
            let _permit = self.permits.acquire().await;
            let (response, connection) = self.exchange(&method, path, media, &body).await?;
            let (head, body) = response.into_parts();
            let body = crate::body::read(body, MAX_RESPONSE_BYTES, seconds).await;
            let body = body.map_err(|e| NetError::Interrupted(format!("{e:?}")))?;
            if let Ok(mut idle) = self.idle.lock()
                && idle.len() < MAX_IDLE_CONNECTIONS
            {
                idle.push(connection);
            }
            Ok(Reply {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        clock::timeout(seconds, sent)
            .await
            .unwrap_or(Err(NetError::Timeout))
    }

    /// Sends a GET on a connection of its own and returns the response to be read line by line. `timeout` is the time
    /// limit in seconds from here to the response's head; opening the connection has no limit of its own.
    pub async fn stream_lines(&self, path: &str, timeout: f64) -> Result<Lines, NetError> {
        let deadline = clock::now() + timeout;
        let mut connection = self.connect(timeout).await?;
        let request = self.request(&Method::GET, path, "", &Bytes::new())?;
        let response = clock::timeout(deadline - clock::now(), connection.send_request(request))
            .await
            .ok_or(NetError::Timeout)?
            .map_err(|e| NetError::Interrupted(e.to_string()))?;
        Ok(Lines {
            status: response.status(),
            body: response.into_body(),
            buffer: Vec::new(),
        })
    }
}

/// A response that is read line by line.
#[derive(Debug)]
pub struct Lines {
    /// HTTP status, including those of errors.
    pub status: StatusCode,
    body: hyper::body::Incoming,
    buffer: Vec<u8>,
}

impl Lines {
    /// The next line, if it arrives within `seconds`; otherwise the reason why there is none, which also covers the
    /// end of the response.
    pub async fn next_with_timeout(&mut self, seconds: f64) -> Result<Vec<u8>, String> {
        match clock::timeout(seconds, self.next()).await {
            None => Err("silence".into()),
            Some(Ok(Some(line))) => Ok(line),
            Some(Ok(None)) => Err("it ended".into()),
            Some(Err(error)) => Err(error.to_string()),
        }
    }

    /// The next line, without its line break; `None` at the end of the response.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, NetError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&b| b == b'\n') {
                let mut line: Vec<u8> = self.buffer.drain(..=end).collect();
                line.pop();
                return Ok(Some(line));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(NetError::Interrupted("a line without end".into()));
            }
            match self.body.frame().await {
                None if self.buffer.is_empty() => return Ok(None),
                None => return Ok(Some(std::mem::take(&mut self.buffer))),
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                }
                Some(Err(e)) => return Err(NetError::Interrupted(e.to_string())),
            }
        }
    }
}

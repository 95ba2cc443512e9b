//! An HTTP/1.1 client for one peer, which keeps what a caller must know: was the request never sent, or may the
//! peer have acted on it?

use crate::clock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use std::sync::{Arc, Mutex};

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NetError {
    /// No connection; the request was never sent.
    Connect(String),
    /// The peer's machine says that nobody listens there; the request was never sent.
    Refused,
    /// No answer in time; the peer may have acted on it.
    Timeout,
    /// The connection broke before the answer was whole; the peer may have acted on it.
    Interrupted(String),
    /// The request itself can't be built.
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

/// An answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// All of the body.
    pub body: Bytes,
}

impl Reply {
    /// The body as JSON; null where it is none.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

type Connection = SendRequest<Full<Bytes>>;

/// Answers may have so many bytes.
const REPLY_MOST: usize = 64 << 20;
/// One line of a watch may have so many bytes.
const LINE_MOST: usize = 4 << 20;
/// Connections that are kept without use.
const IDLE_MOST: usize = 8;
/// A connection not made within this is given up.
const CONNECT_WITHIN: f64 = 1.0;

/// A client for one address; clones share its connections.
#[derive(Clone)]
pub struct Client {
    address: String,
    headers: Vec<(&'static str, String)>,
    idle: Arc<Mutex<Vec<Connection>>>,
    places: Arc<async_lock::Semaphore>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Client({})", self.address)
    }
}

impl Client {
    /// A client for `host:port` with at most so many connections; `headers` go with each request.
    pub fn new(address: &str, connections: usize, headers: Vec<(&'static str, String)>) -> Self {
        Self {
            address: address.to_owned(),
            headers,
            idle: Arc::default(),
            places: Arc::new(async_lock::Semaphore::new(connections.max(1))),
        }
    }

    /// The same client with one more header.
    #[must_use]
    pub fn with_header(&self, name: &'static str, value: String) -> Self {
        let mut other = self.clone();
        other.headers.push((name, value));
        other
    }

    /// Where it goes.
    pub fn address(&self) -> &str {
        &self.address
    }

    async fn connect(&self) -> Result<Connection, NetError> {
        let lost = |e: String| NetError::Connect(e);
        let dial = async {
            let socket = TcpStream::connect(&self.address)
                .await
                .map_err(|e| match e.kind() {
                    std::io::ErrorKind::ConnectionRefused => NetError::Refused,
                    _ => lost(e.to_string()),
                })?;
            socket.set_nodelay(true).map_err(|e| lost(e.to_string()))?;
            let (send, connection) = hyper::client::conn::http1::handshake(FuturesIo::new(socket))
                .await
                .map_err(|e| lost(e.to_string()))?;
            smol::spawn(async move {
                if let Err(problem) = connection.await {
                    tracing::trace!(%problem, "client connection ended");
                }
            })
            .detach();
            Ok(send)
        };
        clock::timeout(CONNECT_WITHIN, dial)
            .await
            .unwrap_or_else(|| Err(lost("timed out".into())))
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

    /// Sends a request on a kept or new connection. One that was closed meanwhile, before anything of the request
    /// went out, is replaced; one that breaks later is not, as the peer may have acted.
    async fn exchange(
        &self,
        method: &Method,
        path: &str,
        media: &str,
        body: &Bytes,
    ) -> Result<(hyper::Response<hyper::body::Incoming>, Connection), NetError> {
        loop {
            let kept = self.idle.lock().ok().and_then(|mut idle| idle.pop());
            let fresh = kept.is_none();
            let mut connection = match kept {
                Some(kept) => kept,
                None => self.connect().await?,
            };
            if connection.ready().await.is_err() {
                if fresh {
                    return Err(NetError::Connect("closed at once".into()));
                }
                continue;
            }
            let request = self.request(method, path, media, body)?;
            match connection.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut failed) => {
                    let unsent = failed.take_message().is_some();
                    if unsent && !fresh {
                        continue;
                    }
                    let why = failed.into_error().to_string();
                    return Err(if unsent {
                        NetError::Connect(why)
                    } else {
                        NetError::Interrupted(why)
                    });
                }
            }
        }
    }

    /// One request and its whole answer, within so many seconds from now, waiting for a connection included.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        media: &str,
        body: Bytes,
        seconds: f64,
    ) -> Result<Reply, NetError> {
        let sent = async {
            let _place = self.places.acquire().await;
            let (response, connection) = self.exchange(&method, path, media, &body).await?;
            let (head, body) = response.into_parts();
            let body = crate::body::read(body, REPLY_MOST, seconds).await;
            let body = body.map_err(|e| NetError::Interrupted(format!("{e:?}")))?;
            if let Ok(mut idle) = self.idle.lock()
                && idle.len() < IDLE_MOST
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

    /// A GET whose answer comes line by line, on a connection of its own.
    pub async fn stream_lines(&self, path: &str, head_within: f64) -> Result<Lines, NetError> {
        let open = async {
            let mut connection = self.connect().await?;
            let request = self.request(&Method::GET, path, "", &Bytes::new())?;
            connection
                .send_request(request)
                .await
                .map_err(|e| NetError::Interrupted(e.to_string()))
        };
        let response = clock::timeout(head_within, open)
            .await
            .unwrap_or(Err(NetError::Timeout))?;
        Ok(Lines {
            status: response.status(),
            body: response.into_body(),
            rest: Vec::new(),
        })
    }
}

/// An answer that comes line by line.
#[derive(Debug)]
pub struct Lines {
    /// Status.
    pub status: StatusCode,
    body: hyper::body::Incoming,
    rest: Vec<u8>,
}

impl Lines {
    /// The next line, where it comes within so many seconds; else why there is none.
    pub async fn next_with_timeout(&mut self, seconds: f64) -> Result<Vec<u8>, String> {
        match clock::timeout(seconds, self.next()).await {
            None => Err("silence".into()),
            Some(Ok(Some(line))) => Ok(line),
            Some(Ok(None)) => Err("it ended".into()),
            Some(Err(problem)) => Err(problem.to_string()),
        }
    }

    /// The next line; `None` at the end.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, NetError> {
        loop {
            if let Some(end) = self.rest.iter().position(|&b| b == b'\n') {
                let mut line: Vec<u8> = self.rest.drain(..=end).collect();
                line.pop();
                return Ok(Some(line));
            }
            if self.rest.len() > LINE_MOST {
                return Err(NetError::Interrupted("a line without end".into()));
            }
            match self.body.frame().await {
                None if self.rest.is_empty() => return Ok(None),
                None => return Ok(Some(std::mem::take(&mut self.rest))),
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.rest.extend_from_slice(data);
                    }
                }
                Some(Err(e)) => return Err(NetError::Interrupted(e.to_string())),
            }
        }
    }
}

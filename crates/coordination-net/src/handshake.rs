//! The handshake of a stream: both ends send a [`Frame::Hello`] with their cluster and name, and check that of the
//! peer.

use crate::Frame;
use crate::error::HandshakeError;
use crate::peer_streams::{PEER_TIMEOUT, PeerStreams};
use smol::net::TcpStream;
use tidespur_net::clock;
use tidespur_net::frames::{FrameReader, write_all};

/// A stream to a voter, after its handshake.
pub(crate) struct EstablishedStream {
    pub(crate) socket: TcpStream,
    pub(crate) reader: FrameReader,
    /// Name of the peer.
    pub(crate) voter: String,
}

/// Performs the handshake. `expected` is the name of the dialled voter; `None` for an accepted connection.
pub(crate) async fn handshake(
    streams: &PeerStreams,
    socket: TcpStream,
    expected: Option<&str>,
) -> Result<EstablishedStream, HandshakeError> {
    socket.set_nodelay(true)?;
    let hello = Frame::Hello(streams.cluster.clone(), streams.own_name.clone());
    send_hello(&socket, hello).await?;
    let mut reader = FrameReader::new(socket.clone());
    let first = clock::timeout(PEER_TIMEOUT, reader.next::<Frame>())
        .await
        .ok_or(HandshakeError::ReadTimeout)?
        .map_err(|error| HandshakeError::ConnectionFailed {
            reason: error.to_string(),
        })?;
    let voter = check_hello(streams, first, expected)?;
    Ok(EstablishedStream {
        socket,
        reader,
        voter,
    })
}

async fn send_hello(socket: &TcpStream, frame: Frame) -> Result<(), HandshakeError> {
    let connection_failed = |reason: String| HandshakeError::ConnectionFailed { reason };
    let (sender, queue) = async_channel::bounded(1);
    sender
        .try_send(frame)
        .map_err(|error| connection_failed(error.to_string()))?;
    // The writer ends when the queue is closed and empty.
    drop(sender);
    clock::timeout(PEER_TIMEOUT, write_all(socket.clone(), queue))
        .await
        .ok_or(HandshakeError::WriteTimeout)?
        .map_err(|error| connection_failed(error.to_string()))
}

/// Checks the first frame of the peer; returns the peer's name.
fn check_hello(
    streams: &PeerStreams,
    first: Option<Frame>,
    expected: Option<&str>,
) -> Result<String, HandshakeError> {
    let (cluster, name) = match first {
        Some(Frame::Hello(cluster, name)) => (cluster, name),
        other => return Err(HandshakeError::NotAVoter { first: other }),
    };
    if cluster != streams.cluster {
        return Err(HandshakeError::OtherCluster { cluster });
    }
    if expected.is_some_and(|expected| expected != name) {
        return Err(HandshakeError::UnexpectedVoter { name });
    }
    if name == streams.own_name || !streams.voters.contains_key(&name) {
        let first = Some(Frame::Hello(cluster, name));
        return Err(HandshakeError::NotAVoter { first });
    }
    Ok(name)
}

//! The handshake of a stream: both ends send their cluster and name, and check those of the other.

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
    /// Name of the other voter.
    pub(crate) voter: String,
}

/// Performs the handshake. `expected` is the name of the voter that was dialled, if this end has dialled.
pub(crate) async fn handshake(
    streams: &PeerStreams,
    socket: TcpStream,
    expected: Option<&str>,
) -> Result<EstablishedStream, HandshakeError> {
    socket.set_nodelay(true)?;
    let hello = Frame::Hello(streams.cluster.clone(), streams.own_name.clone());
    send_first(&socket, hello).await?;
    let mut reader = FrameReader::new(socket.clone());
    let first = clock::timeout(PEER_TIMEOUT, reader.next::<Frame>())
        .await
        .ok_or(HandshakeError::ReadTimeout)?
        .map_err(|error| HandshakeError::Broken {
            reason: error.to_string(),
        })?;
    let voter = check_hello(streams, first, expected)?;
    Ok(EstablishedStream {
        socket,
        reader,
        voter,
    })
}

async fn send_first(socket: &TcpStream, frame: Frame) -> Result<(), HandshakeError> {
    let broken = |reason: String| HandshakeError::Broken { reason };
    let (sender, queue) = async_channel::bounded(1);
    sender
        .try_send(frame)
        .map_err(|error| broken(error.to_string()))?;
    // The writer ends once the queue is closed and empty.
    drop(sender);
    clock::timeout(PEER_TIMEOUT, write_all(socket.clone(), queue))
        .await
        .ok_or(HandshakeError::WriteTimeout)?
        .map_err(|error| broken(error.to_string()))
}

/// Returns the name of the other voter.
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

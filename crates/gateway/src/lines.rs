//! Messages between entries and agents: one JSON document a line.
//!
//! Invariants: a message is bounded in size, and writing one is bounded in time, so that a peer that
//! reads nothing cannot hold its connection open.

use futures::SinkExt;
use serde::Serialize;
use serving::link::SILENCE_TIMEOUT;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LinesCodec;

/// The largest message, in bytes.
const MAX_LINE_BYTES: usize = 256 << 10;

/// A connection that carries messages.
pub type Lines = Framed<TcpStream, LinesCodec>;

/// Sets up a connection for messages.
///
/// # Errors
///
/// Fails with the reason if the socket is not usable any more.
pub fn frame(stream: TcpStream) -> Result<Lines, String> {
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
    Ok(Framed::new(stream, codec))
}

/// Writes one message.
///
/// # Errors
///
/// Fails with the reason if the peer is gone or does not read for [`SILENCE_TIMEOUT`].
pub async fn send<T: Serialize>(lines: &mut Lines, message: &T) -> Result<(), String> {
    let text = serde_json::to_string(message).map_err(|e| e.to_string())?;
    let sent = tokio::time::timeout(SILENCE_TIMEOUT, lines.send(text)).await;
    sent.map_err(|_| "write timeout".to_owned())?
        .map_err(|e| e.to_string())
}

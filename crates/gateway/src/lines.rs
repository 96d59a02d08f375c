//! Messages between entries and agents: one JSON document per line.
//!
//! Invariants: the size of a message and the time to write one are bounded, so that a peer that
//! does not read cannot hold its connection open.

use futures::SinkExt;
use serde::Serialize;
use serving::link::SILENCE_TIMEOUT;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LinesCodec;

/// The largest message that is read.
const MAX_LINE_BYTES: usize = 256 << 10;
/// The largest first message of an entry.
const MAX_FIRST_BYTES: usize = 32 << 10;

/// A connection that is split into lines.
pub type Lines = Framed<TcpStream, LinesCodec>;

/// Frames a connection into lines and disables Nagle's algorithm.
///
/// # Errors
///
/// Fails with the reason if the socket option cannot be set.
pub fn frame(stream: TcpStream) -> Result<Lines, String> {
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
    Ok(Framed::new(stream, codec))
}

/// Frames a connection whose peer is not known yet, and limits its first message to [`MAX_FIRST_BYTES`].
///
/// # Errors
///
/// Fails with the reason if the socket option cannot be set.
pub(crate) fn frame_unknown(stream: TcpStream) -> Result<Lines, String> {
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let codec = LinesCodec::new_with_max_length(MAX_FIRST_BYTES);
    Ok(Framed::new(stream, codec))
}

/// Allows longer messages, once the first one was understood.
pub(crate) fn allow_long(lines: &mut Lines) {
    if lines.codec().max_length() != MAX_LINE_BYTES {
        *lines.codec_mut() = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
    }
}

/// Writes one message.
///
/// # Errors
///
/// Fails with the reason if the connection is closed or the peer does not read for
/// [`SILENCE_TIMEOUT`].
pub async fn send<T: Serialize>(lines: &mut Lines, message: &T) -> Result<(), String> {
    let text = serde_json::to_string(message).map_err(|e| e.to_string())?;
    let sent = tokio::time::timeout(SILENCE_TIMEOUT, lines.send(text)).await;
    sent.map_err(|_| "write timeout".to_owned())?
        .map_err(|e| e.to_string())
}

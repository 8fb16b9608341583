//! Encoding of events for transfer between hosts. Large events are compressed.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use chervil_base::message;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use snafu::ResultExt as _;
use snafu::Snafu;

use crate::registry::Event;

/// Longest JSON text, in bytes, that is sent uncompressed.
const MAX_PLAIN_BYTES: usize = 2 * 1024;

/// Largest JSON text, in bytes, that is read from a compressed event.
const MAX_UNPACKED_BYTES: u64 = 32 * 1024 * 1024;

message! {
    /// An event encoded for another host.
    pub enum Packed {
        /// Uncompressed JSON.
        Plain(Event),
        /// JSON, compressed with DEFLATE and encoded as base64.
        Deflated(Box<str>),
    }
}

/// Why an event cannot be decoded.
#[derive(Debug, Snafu)]
pub enum PackedError {
    /// The compressed event is not valid base64.
    #[snafu(display("invalid base64 in an event ({source}); run the same version on all hosts"))]
    Encoding {
        /// Cause.
        source: base64::DecodeError,
    },
    /// Decompression failed.
    #[snafu(display("cannot decompress an event ({source}); run the same version on all hosts"))]
    Compression {
        /// Cause.
        source: io::Error,
    },
    /// The JSON is not an event.
    #[snafu(display("invalid JSON of an event ({source}); run the same version on all hosts"))]
    Text {
        /// Cause.
        source: serde_json::Error,
    },
}

/// Encodes an event as the JSON form of [`Packed`].
pub fn pack(event: &Event) -> Option<Arc<str>> {
    // Always `Some`: events are plain data, which serialises without errors,
    // and writing to a vector cannot fail.
    let json = serde_json::to_string(event).ok()?;
    if json.len() <= MAX_PLAIN_BYTES {
        return Some(format!("{{\"Plain\":{json}}}").into());
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(json.as_bytes()).ok()?;
    let packed = Packed::Deflated(STANDARD.encode(encoder.finish().ok()?).into());
    serde_json::to_string(&packed).ok().map(Arc::from)
}

impl Packed {
    /// Decodes the event.
    pub fn unpack(self) -> Result<Event, PackedError> {
        let text = match self {
            Packed::Plain(event) => return Ok(event),
            Packed::Deflated(text) => text,
        };
        let bytes = STANDARD.decode(&*text).context(EncodingSnafu)?;
        let mut json = Vec::new();
        let mut decoder = DeflateDecoder::new(&*bytes).take(MAX_UNPACKED_BYTES);
        decoder.read_to_end(&mut json).context(CompressionSnafu)?;
        serde_json::from_slice(&json).context(TextSnafu)
    }
}

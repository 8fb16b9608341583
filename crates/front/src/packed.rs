//! Form in which events travel between hosts; large ones are compressed.

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

/// Length from which an event is compressed.
const PLAIN_LIMIT: usize = 2 * 1024;

/// Largest event after decompression.
const UNPACKED_LIMIT: u64 = 32 * 1024 * 1024;

message! {
    /// An event on its way to another host.
    pub enum Packed {
        /// As it is.
        Plain(Event),
        /// JSON, compressed, as base64.
        Deflated(Box<str>),
    }
}

/// Why an event cannot be unpacked.
#[derive(Debug, Snafu)]
pub enum PackedError {
    /// It is not base64.
    #[snafu(display("the event is not base64 ({source}); run one version on all hosts"))]
    Encoding {
        /// Cause.
        source: base64::DecodeError,
    },
    /// It cannot be decompressed.
    #[snafu(display("the event cannot be decompressed ({source}); run one version on all hosts"))]
    Compression {
        /// Cause.
        source: io::Error,
    },
    /// It is not an event.
    #[snafu(display("the text is not an event ({source}); run one version on all hosts"))]
    Text {
        /// Cause.
        source: serde_json::Error,
    },
}

/// JSON of an event as it travels.
pub fn pack(event: &Event) -> Option<Arc<str>> {
    // Events consist of plain data, which always has a JSON form, and writing
    // to a vector cannot fail.
    let text = serde_json::to_string(event).ok()?;
    if text.len() <= PLAIN_LIMIT {
        return Some(format!("{{\"Plain\":{text}}}").into());
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text.as_bytes()).ok()?;
    let packed = Packed::Deflated(STANDARD.encode(encoder.finish().ok()?).into());
    serde_json::to_string(&packed).ok().map(Arc::from)
}

impl Packed {
    /// The event.
    pub fn unpack(self) -> Result<Event, PackedError> {
        let text = match self {
            Packed::Plain(event) => return Ok(event),
            Packed::Deflated(text) => text,
        };
        let bytes = STANDARD.decode(&*text).context(EncodingSnafu)?;
        let mut json = Vec::new();
        let mut decoder = DeflateDecoder::new(&*bytes).take(UNPACKED_LIMIT);
        decoder.read_to_end(&mut json).context(CompressionSnafu)?;
        serde_json::from_slice(&json).context(TextSnafu)
    }
}

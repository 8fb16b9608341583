//! Encoding of events for transfer between hosts. Large events, and large lists of
//! events, are compressed.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use chervil_base::HashMap;
use chervil_base::message;
use chervil_base::value;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde::de::IgnoredAny;
use serde_json::value::RawValue;
use snafu::ResultExt as _;
use snafu::Snafu;

use crate::registry::Event;

/// Longest JSON text, in bytes, that is sent uncompressed.
const MAX_PLAIN_BYTES: usize = 2 * 1024;

/// Largest JSON text, in bytes, that is read from a compressed event.
const MAX_UNPACKED_BYTES: u64 = 32 * 1024 * 1024;

message! {
    /// An event encoded for another host, unless it is sent uncompressed as `{"Plain":EVENT}`.
    pub enum Packed {
        /// JSON, compressed with DEFLATE and encoded as base64.
        Deflated(Box<str>),
        /// JSON of a list of packed events, none of them a list, compressed with
        /// DEFLATE and encoded as base64.
        Batch(Box<str>),
    }
}

/// A packed event or list of events as it is received.
#[derive(Deserialize)]
enum Item {
    Plain(Box<RawValue>),
    Deflated(Box<str>),
    Batch(Box<str>),
}

value! {
    /// Events of another host.
    #[derive(Default)]
    pub struct Unpacked {
        /// Decoded events.
        pub events: Vec<Event>,
        /// Kinds of the events that were skipped.
        pub skipped: Vec<Box<str>>,
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
    /// A list of events is part of another list.
    #[snafu(display("list of events within a list; run the same version on all hosts"))]
    Nested,
    /// The JSON is not an event.
    #[snafu(display("invalid JSON of an event ({source}); run the same version on all hosts"))]
    Text {
        /// Cause.
        source: serde_json::Error,
    },
}

/// Encodes an event as the JSON form of [`Packed`].
pub fn pack(event: &Event) -> Option<Arc<str>> {
    // Always `Some`: events are plain data, which serialises without errors.
    let json = serde_json::to_string(event).ok()?;
    if json.len() <= MAX_PLAIN_BYTES {
        return Some(format!("{{\"Plain\":{json}}}").into());
    }
    let packed = Packed::Deflated(deflate(&json)?);
    serde_json::to_string(&packed).ok().map(Arc::from)
}

/// JSON of a list of packed events, which are compressed together if they are large.
pub fn pack_list(events: &[Arc<str>]) -> Option<String> {
    let json = format!("[{}]", events.join(","));
    if json.len() <= MAX_PLAIN_BYTES {
        return Some(json);
    }
    // Always `Some`, as in `pack`.
    let batch = serde_json::to_string(&Packed::Batch(deflate(&json)?)).ok()?;
    Some(format!("[{batch}]"))
}

/// Decodes a list of packed events. Events of kinds that this version does not know are skipped:
/// they come from hosts of a later one. One of a known kind that cannot be decoded makes the
/// list unusable, since it may say something that must not be missed.
pub fn unpack_list(packed: &[Box<RawValue>]) -> Result<Unpacked, PackedError> {
    let mut unpacked = Unpacked::default();
    for item in packed {
        let Some(item) = unpacked.decode(item.get())? else { continue };
        match item {
            Item::Batch(text) => {
                let inner: Vec<Box<RawValue>> =
                    serde_json::from_slice(&inflate(&text)?).context(TextSnafu)?;
                for item in inner {
                    match unpacked.decode(item.get())? {
                        Some(Item::Batch(_)) => return NestedSnafu.fail(),
                        Some(single) => unpacked.add(single)?,
                        None => {}
                    }
                }
            }
            single => unpacked.add(single)?,
        }
    }
    Ok(unpacked)
}

fn deflate(json: &str) -> Option<Box<str>> {
    // Always `Some`: writing to a vector cannot fail.
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(json.as_bytes()).ok()?;
    Some(STANDARD.encode(encoder.finish().ok()?).into())
}

fn inflate(text: &str) -> Result<Vec<u8>, PackedError> {
    let bytes = STANDARD.decode(text).context(EncodingSnafu)?;
    let mut json = Vec::new();
    let mut decoder = DeflateDecoder::new(&*bytes).take(MAX_UNPACKED_BYTES);
    decoder.read_to_end(&mut json).context(CompressionSnafu)?;
    Ok(json)
}

impl Unpacked {
    fn decode<Value>(&mut self, json: &str) -> Result<Option<Value>, PackedError>
    where
        Value: DeserializeOwned + Kinds,
    {
        let error = match serde_json::from_str(json) {
            Ok(value) => return Ok(Some(value)),
            Err(error) => error,
        };
        match kind(json).filter(|kind| !Value::is_known(kind)) {
            Some(kind) => {
                self.skipped.push(kind);
                Ok(None)
            }
            None => Err(PackedError::Text { source: error }),
        }
    }

    /// Adds the event of an item that is no list.
    fn add(&mut self, item: Item) -> Result<(), PackedError> {
        let event = match item {
            Item::Plain(json) => self.decode(json.get())?,
            Item::Deflated(text) => {
                let json = inflate(&text)?;
                self.decode(&String::from_utf8_lossy(&json))?
            }
            Item::Batch(_) => return NestedSnafu.fail(),
        };
        self.events.extend(event);
        Ok(())
    }
}

/// Kinds of a type whose JSON form is `KIND` or `{KIND: CONTENT}`.
trait Kinds {
    fn is_known(kind: &str) -> bool;
}

impl Kinds for Event {
    fn is_known(kind: &str) -> bool {
        Event::is_known(kind)
    }
}

impl Kinds for Item {
    fn is_known(kind: &str) -> bool {
        ["Plain", "Deflated", "Batch"].contains(&kind)
    }
}

/// Kind of an encoded value; `None` if it has none.
fn kind(json: &str) -> Option<Box<str>> {
    if let Ok(fields) = serde_json::from_str::<HashMap<Box<str>, IgnoredAny>>(json) {
        let mut kinds = fields.into_keys();
        return kinds.next().filter(|_| kinds.next().is_none());
    }
    serde_json::from_str(json).ok()
}

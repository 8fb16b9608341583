//! Shared secret that clients present during the WebSocket handshake.

use std::fmt;

use serde::Deserialize;

/// Shortest accepted secret, in bytes.
pub const MIN_SECRET_LEN: usize = 16;

/// Secret shared by all processes of one installation; its `Debug` output does
/// not contain it.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "Box<str>")]
pub struct Secret(Box<str>);

impl Secret {
    /// Value of the `authorization` header.
    pub fn header(&self) -> Box<str> {
        format!("Bearer {}", self.0).into()
    }

    /// Whether the value of an `authorization` header carries this secret.
    ///
    /// The comparison takes the same time for every value of the right length,
    /// so that its duration reveals nothing about the secret.
    pub fn accepts(&self, header: &[u8]) -> bool {
        let expected = self.header();
        let expected = expected.as_bytes();
        expected.len() == header.len()
            && expected.iter().zip(header).fold(0, |acc, (a, b)| acc | (a ^ b)) == 0
    }
}

impl TryFrom<Box<str>> for Secret {
    type Error = &'static str;

    fn try_from(text: Box<str>) -> Result<Secret, &'static str> {
        if text.len() < MIN_SECRET_LEN || !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(
                "the shared secret needs at least 16 printable ASCII characters without spaces",
            );
        }
        Ok(Secret(text))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

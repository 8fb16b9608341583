//! Body of a reply while it is read.

use std::mem;

use bytes::Bytes;
use bytes::BytesMut;

/// Size from which a part of a body is kept as it was read, and up to which smaller ones are
/// copied together.
pub const PART_BYTES: usize = 32 * 1024;

/// Parts of a body. A large body is not read into one buffer: a buffer that grows takes up to
/// three times the memory of what it holds.
#[derive(Debug, Default)]
pub struct BodyParts {
    parts: Vec<Bytes>,
    /// Small parts after the last of `parts`.
    tail: BytesMut,
    size: usize,
}

impl BodyParts {
    /// Number of bytes so far.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Adds the next part.
    pub fn push(&mut self, part: Bytes) {
        self.size += part.len();
        if part.len() >= PART_BYTES {
            self.flush();
            self.parts.push(part);
            return;
        }
        self.tail.extend_from_slice(&part);
        if self.tail.len() >= PART_BYTES {
            self.flush();
        }
    }

    fn flush(&mut self) {
        if !self.tail.is_empty() {
            self.parts.push(mem::take(&mut self.tail).freeze());
        }
    }

    /// The whole body.
    pub fn join(mut self) -> Bytes {
        self.flush();
        if self.parts.len() == 1 {
            return self.parts.remove(0);
        }
        let mut body = Vec::with_capacity(self.size);
        // Frees each part as soon as it is copied.
        self.parts.into_iter().for_each(|part| body.extend_from_slice(&part));
        body.into()
    }
}

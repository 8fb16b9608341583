//! Why no reply was read.

use std::io;

use snafu::Snafu;

/// Why an exchange of a request for a reply produced no reply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ExchangeError {
    /// Reading or writing failed.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// Error of the socket.
        source: io::Error,
    },
    /// The server closed the connection before the reply was complete.
    #[snafu(display("connection closed before the reply was complete"))]
    UnexpectedEof,
    /// The reply violates HTTP/1.1, exceeds a limit or answers other requests.
    #[snafu(display("invalid reply: {reason}"))]
    InvalidReply {
        /// What is invalid.
        reason: &'static str,
    },
}

impl ExchangeError {
    /// Whether sent bytes stayed unacknowledged until the TCP user timeout. The server
    /// may have them all the same: acknowledgements get lost, too.
    pub fn is_unacknowledged(&self) -> bool {
        let ExchangeError::Io { source } = self else { return false };
        source.kind() == io::ErrorKind::TimedOut
    }

    /// Whether the server closed or reset the connection.
    pub fn is_disconnect(&self) -> bool {
        self.is_reset() || matches!(self, ExchangeError::UnexpectedEof)
    }

    /// Whether the server reset the connection.
    pub fn is_reset(&self) -> bool {
        let ExchangeError::Io { source } = self else { return false };
        matches!(source.kind(), io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe)
    }
}

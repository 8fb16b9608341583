//! Names of the headers that callers, hosts and backend servers exchange.

use chervil_base::value;
use hyper::header::HeaderName;

value! {
    /// Header names; an adapter fills them in.
    pub struct HeaderNames {
        /// Identifies one attempt of a caller.
        pub request_id: HeaderName,
        /// Milliseconds that the sender still waits.
        pub deadline: HeaderName,
        /// Proof that a backend server ran the request.
        pub stamp: HeaderName,
        /// Backend server that must run the request.
        pub expected_id: HeaderName,
        /// Load of the backend server.
        pub load: HeaderName,
        /// Present when the backend server did not run the request.
        pub refused: HeaderName,
        /// Milliseconds that the backend server stays cold.
        pub warmup: HeaderName,
        /// Proofs of the parts in an answer.
        pub part_stamps: HeaderName,
        /// Number of parts that are missing in an answer.
        pub missing_parts: HeaderName,
    }
}

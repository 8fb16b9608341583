//! Names of the HTTP headers that callers, hosts and backend servers exchange.

use chervil_base::value;
use hyper::header::HeaderName;

value! {
    /// Header names, supplied by the platform adapter.
    pub struct HeaderNames {
        /// Id of one attempt of a caller; replies echo it.
        pub request_id: HeaderName,
        /// Milliseconds for which the sender still waits for the reply.
        pub deadline: HeaderName,
        /// Present if the backend server executed the request.
        pub stamp: HeaderName,
        /// Registry id of the backend server that must execute the request; any
        /// other one at the same address answers 421.
        pub expected_id: HeaderName,
        /// Numbers of requests that the backend server executes and has in its
        /// queue: `running,queued`.
        pub load: HeaderName,
        /// Present if the backend server did not execute the request.
        pub refused: HeaderName,
        /// Requests per second that the backend server takes from all hosts together.
        pub limit: HeaderName,
        /// `1` if the backend server leaves.
        pub leaving: HeaderName,
        /// Milliseconds for which the backend server stays cold.
        pub warmup: HeaderName,
        /// Stamps of the shard replies that were merged into an answer.
        pub part_stamps: HeaderName,
        /// Number of shards whose reply is missing from an answer.
        pub missing_parts: HeaderName,
    }
}

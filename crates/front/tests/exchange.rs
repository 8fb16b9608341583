//! Property tests of the reply parser: arbitrary and truncated input.

mod support;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use tokio::runtime;

use crate::support::exchange::read_reply;
use crate::support::reply;

/// Whether `bytes`, sent by a backend server that then closes the connection, are
/// read as a successful reply.
fn is_success(bytes: &[u8]) -> bool {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(read_reply(bytes)).is_ok_and(|r| r.is_success())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Guards against panics in the parser, and against arbitrary bytes that are
    /// read as a successful reply.
    #[test]
    fn arbitrary_bytes_are_no_success(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        assert!(!is_success(&bytes));
    }

    /// Guards against reading a reply as complete that was truncated by up to 39
    /// bytes.
    #[test]
    fn truncated_reply_is_no_success(body in "[a-z]{1,80}", cut in 1usize..40) {
        let whole = reply(200, &body).replace("x-id: {id}\r\n", "");
        let end = whole.len() - cut.min(whole.len());

        assert!(is_success(whole.as_bytes()));
        assert!(!is_success(&whole.as_bytes()[..end]));
    }
}

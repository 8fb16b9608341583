//! Backend servers that send what the grammar of HTTP/1.1 does not allow (RFC 9112): it is no
//! reply, whatever it looks like.

mod support;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use chervil_front::relayed::RelayReply;
use chervil_front::single::SingleOutcome;
use chervil_http::error::ExchangeError;
use chervil_route::config::Target;

use crate::support::Backend;
use crate::support::Step;
use crate::support::TestHost;
use crate::support::entry;
use crate::support::exchange::read_reply;
use crate::support::gather;
use crate::support::header;
use crate::support::reply;
use crate::support::route;
use crate::support::start_host;
use crate::support::status;

/// Start of a head that fits request 1.
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-stamp: s\r\n";

/// Whether a byte may be part of a field's name.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Fails unless `bytes` are read as an invalid reply.
async fn assert_invalid(bytes: &[u8]) {
    let result = read_reply(bytes).await;

    let text = String::from_utf8_lossy(bytes);
    assert!(matches!(result, Err(ExchangeError::InvalidReply { .. })), "{text:?}: {result:?}");
}

/// Body of a reply that must be valid.
async fn read_body(bytes: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(bytes);
    read_reply(bytes).await.unwrap_or_else(|e| panic!("{text:?}: {e}")).body.to_vec()
}

/// Starts a host with a route to a service of these backend servers.
async fn start_quotes(idempotent: bool, backends: [&Backend; 2]) -> TestHost {
    let entries = vec![
        entry("i-0", "quote", backends[0].address),
        entry("i-1", "quote", backends[1].address),
    ];
    start_host(vec![route("/q/", Target::One("quote".into()), idempotent)], entries).await
}

/// Replies of a faulty backend server, with `{id}` for the request id.
fn broken_replies() -> Vec<String> {
    let sound = reply(200, "fine");
    let chunked = sound.replace("content-length: 4", "transfer-encoding: chunked");
    vec![
        sound.replace("200 X", "000 X"),
        sound.replace("200 X", "999 X"),
        sound.replace("content-length: 4", "content-length: +3"),
        sound.replace("content-length: 4", "content-length: \u{a0}3"),
        sound.replace("content-length: 4", "content-length: 4x"),
        sound.replace("content-length: 4", "content-length 4"),
        sound.replace("content-length", "content length"),
        sound.replace("content-length", "content-length "),
        sound.replace("content-length", "\x01content-length"),
        sound.replace("content-length", "\ncontent-length"),
        sound.replace("x-stamp", "x-more: 1\nx-stamp"),
        sound.replace("HTTP", "\r\nHTTP"),
        chunked
            .replace("x-stamp", "content-length: 4\r\nx-stamp")
            .replace("fine", "4\r\nfine\r\n0\r\n\r\n"),
        chunked.replace("fine", "4\r\nfine\r\n\r\n\r\n"),
        chunked.replace("fine", "4\r\nfine\r\n0\r\nHTTP/1.1 200 X\r\n\r\n"),
    ]
}

/// Guards against a broken reply that callers get as an answer, or that fails a request that
/// another backend server can still execute.
#[tokio::test]
async fn idempotent_request_is_executed_elsewhere_after_a_broken_reply() {
    for text in broken_replies() {
        let broken = Backend::start(vec![Step::ReplyAndClose(text.clone())]).await;
        let sound = Backend::start(vec![Step::Reply(reply(200, "fine"))]).await;

        // One of the two orders makes the broken server the first choice.
        for backends in [[&broken, &sound], [&sound, &broken]] {
            let host = start_quotes(true, backends).await;
            let answer = host.ask("GET", "/q/1", "").await;

            assert_eq!(status(&answer), 200, "{text:?}: {answer}");
            assert_eq!(header(&answer, "x-stamp").as_deref(), Some("s-200"), "{text:?}");
            assert!(answer.ends_with("\r\n\r\nfine"), "{text:?}: {answer}");
        }
        assert!(!broken.received().is_empty(), "{text:?}");
    }
}

/// Guards against a broken reply to a request that runs once at most which callers get as an
/// answer, or as a statement that it has not run.
#[tokio::test]
async fn non_idempotent_request_is_answered_with_502_after_a_broken_reply() {
    let refusing = |text: &String| text.replace("x-stamp", "x-refused: 1\r\nx-stamp");
    let refusals = broken_replies().iter().map(refusing).collect();
    for text in [broken_replies(), refusals].concat() {
        let first = Backend::start(vec![Step::ReplyAndClose(text.clone())]).await;
        let second = Backend::start(vec![Step::ReplyAndClose(text.clone())]).await;
        let host = start_quotes(false, [&first, &second]).await;

        let answer = host.ask("POST", "/q/1", "rope").await;

        assert_eq!(status(&answer), 502, "{text:?}: {answer}");
        assert_eq!(header(&answer, "x-stamp"), None, "{text:?}: {answer}");
        assert_eq!(first.received().len() + second.received().len(), 1, "{text:?}");
    }
}

/// Guards against a broken reply of a shard that becomes a part of an answer.
#[tokio::test]
async fn broken_reply_is_no_part_of_a_query() {
    for text in broken_replies() {
        let record = "0123456789abcdef";
        let a = Backend::start(vec![Step::Reply(reply(200, record))]).await;
        let b = Backend::start(vec![Step::ReplyAndClose(text.clone())]).await;
        let entries = vec![entry("i-a", "a", a.address), entry("i-b", "b", b.address)];
        let host = start_host(vec![route("/all/", gather(&["a", "b"], 0.5), true)], entries).await;

        let answer = host.ask("GET", "/all/1", "").await;

        assert_eq!(status(&answer), 200, "{text:?}: {answer}");
        assert_eq!(header(&answer, "x-parts").as_deref(), Some("s-200"), "{text:?}: {answer}");
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"), "{text:?}: {answer}");
        assert!(answer.ends_with(record), "{text:?}: {answer}");
    }
}

/// Guards against a backend server that is chosen as often as others although its replies are
/// broken.
#[tokio::test]
async fn broken_replies_count_against_the_backend() {
    let broken = Backend::start(vec![Step::ReplyAndClose(broken_replies().remove(0))]).await;
    let sound = Backend::start(vec![Step::Reply(reply(200, "fine"))]).await;
    let host = start_quotes(true, [&broken, &sound]).await;

    for _ in 0..40 {
        let answer = host.ask("GET", "/q/1", "").await;
        assert_eq!(status(&answer), 200, "{answer}");
    }

    let (broken, sound) = (broken.received().len(), sound.received().len());
    assert!(broken < sound / 2, "{broken} requests, {sound} at the sound server");
}

/// Guards against a reply whose status is no HTTP status, such as 000, which callers would get
/// as an answer.
#[tokio::test]
async fn status_outside_100_to_599_is_no_reply() {
    for status in ["000", "001", "099", "600", "999", "20", "2000", "2x0", "-20", "+20", " 200"] {
        let text = HEAD.replace("200", status) + "content-length: 4\r\n\r\nfine";
        assert_invalid(text.as_bytes()).await;
    }
    for status in ["200", "299", "404", "599"] {
        let text = HEAD.replace("200", status) + "content-length: 4\r\n\r\nfine";
        assert_eq!(read_body(text.as_bytes()).await, b"fine", "{status}");
    }
}

/// Guards against a head with a line that is no field, with or without one of the headers that
/// the reply depends on.
#[tokio::test]
async fn line_that_is_no_field_is_no_reply() {
    let lines = [
        "content-length 4",
        "content-length",
        ": 4",
        " content-length: 4",
        "\tcontent-length: 4",
        "content-length : 4",
        "content length: 4",
        "=?#\x7f",
        "x-more: a\x00b",
        "x-more: a\x7fb",
        "x-more: a\r b",
        "x-more: a\r\n folded",
    ];
    for line in lines {
        for text in [
            format!("{HEAD}{line}\r\ncontent-length: 4\r\n\r\nfine"),
            format!("{HEAD}content-length: 4\r\n{line}\r\n\r\nfine"),
            format!("{HEAD}{line}\r\n\r\nfine"),
        ] {
            assert_invalid(text.as_bytes()).await;
        }
    }
}

/// Guards against a length that is no decimal number, which would cut the body elsewhere than
/// the backend server did.
#[tokio::test]
async fn length_that_is_no_number_is_no_reply() {
    let lengths: [&[u8]; 15] = [
        b"",
        b"+4",
        b"-4",
        b"4.0",
        b"0x4",
        b"4 4",
        b"4, 4",
        b"4;",
        b"four",
        b"\xa04",
        "\u{a0}4".as_bytes(),
        "4\u{2003}".as_bytes(),
        b"\x0b4",
        b"4\x00",
        b"99999999999999999999999",
    ];
    for length in lengths {
        let head = HEAD.as_bytes();
        let bytes = [head, b"content-length: ", length, b"\r\n\r\nfine and more"].concat();
        assert_invalid(&bytes).await;
    }
    let two = format!("{HEAD}content-length: 4\r\ncontent-length: 9\r\n\r\nfine and more");
    assert_invalid(two.as_bytes()).await;
}

/// Guards against a field whose name holds a blank, a control byte or any other byte that no
/// name may hold, at each of its positions: callers would get that line, or a body that begins
/// elsewhere.
#[tokio::test]
async fn name_with_a_byte_that_is_no_token_is_no_reply() {
    let name = b"content-length";
    for byte in (0..=255).filter(|b| !is_token(*b) && *b != b':') {
        for position in [0, 1, 8, 14] {
            let mut name = name.to_vec();
            name.insert(position, byte);
            let bytes = [HEAD.as_bytes(), &name, b": 4\r\n\r\nfine"].concat();
            assert_invalid(&bytes).await;
        }
    }
}

/// The same for each byte of a head that is replaced by a control byte, a blank or one that is
/// not ASCII: the body that is read, if any, is that of the backend server.
#[tokio::test]
async fn head_with_a_replaced_byte_never_changes_the_body() {
    let head = format!("{HEAD}x-more: some text\r\ncontent-length: 4\r\n\r\n");
    for position in 0..head.len() {
        for byte in [0, 9, 10, 13, 27, 32, 127, 128, 255] {
            let mut bytes = [head.as_bytes(), b"fine"].concat();
            bytes[position] = byte;
            if let Ok(reply) = read_reply(&bytes).await {
                let text = String::from_utf8_lossy(&bytes);
                assert_eq!(&*reply.body, b"fine", "{text:?}");
            }
        }
    }
}

/// Guards against a status line that only resembles one.
#[tokio::test]
async fn malformed_status_line_is_no_reply() {
    let lines = [
        "\r\nHTTP/1.1 200 OK\r\n",
        " HTTP/1.1 200 OK\r\n",
        "HTTP/1.1  200 OK\r\n",
        "HTTP/1.1 200\r\n",
        "HTTP/1.1\t200 OK\r\n",
        "HTTP/2.0 200 OK\r\n",
        "HTTP/1.12 200 OK\r\n",
        "http/1.1 200 OK\r\n",
        "HTTP/1.1 200 O\x01K\r\n",
        "HTTP/1.1 200 OK\n",
        "HTTP/1.1 200 O\rK\r\n",
    ];
    for line in lines {
        let text = HEAD.replace("HTTP/1.1 200 OK\r\n", line) + "content-length: 4\r\n\r\nfine";
        assert_invalid(text.as_bytes()).await;
    }
}

/// Guards against a chunk whose size is no hexadecimal number: an empty one would end the body
/// before its end.
#[tokio::test]
async fn malformed_chunk_is_no_reply() {
    let bodies = [
        "\r\n\r\n",
        "4\r\nfine\r\n\r\n\r\n",
        "4\r\nfine\r\n;\r\n\r\n",
        "4\r\nfine\r\n \r\n\r\n",
        " 4\r\nfine\r\n0\r\n\r\n",
        "4 \r\nfine\r\n0\r\n\r\n",
        "+4\r\nfine\r\n0\r\n\r\n",
        "0x4\r\nfine\r\n0\r\n\r\n",
        "4\nfine\n0\n\n",
        "4\r\nfine\r\n0\n\n",
        "4;\nx\r\nfine\r\n0\r\n\r\n",
        "4;\x00\r\nfine\r\n0\r\n\r\n",
        "4\r\nfineX0\r\n\r\n",
        "3\r\nfine\r\n0\r\n\r\n",
        "ffffffffffffffff\r\nfine\r\n0\r\n\r\n",
        "10000000000000004\r\nfine\r\n0\r\n\r\n",
    ];
    for body in bodies {
        let text = format!("{HEAD}transfer-encoding: chunked\r\n\r\n{body}");
        assert_invalid(text.as_bytes()).await;
    }
    for body in ["4\r\nfine\r\n0\r\n\r\n", "04;a=b;c=\"d\"\r\nfine\r\n00\r\nx-sum: 1\r\n\r\n"] {
        let text = format!("{HEAD}transfer-encoding: Chunked\r\n\r\n{body}");
        assert_eq!(read_body(text.as_bytes()).await, b"fine", "{body:?}");
    }
}

/// Guards against bytes after the last chunk that are no trailers: the reply is not whole.
#[tokio::test]
async fn malformed_trailer_is_no_reply() {
    for trailers in
        ["sum 1\r\n", ": 1\r\n", "x sum: 1\r\n", " x: 1\r\n", "x: \x00\r\n", "x: 1\n\r\n"]
    {
        let text =
            format!("{HEAD}transfer-encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n{trailers}\r\n");
        assert_invalid(text.as_bytes()).await;
    }
}

/// Guards against a body whose end is stated in two ways, or in one that is not known here: the
/// backend server may have meant another one.
#[tokio::test]
async fn contradictory_framing_is_no_reply() {
    let body = "4\r\nfine\r\n0\r\n\r\n";
    let headers = [
        "transfer-encoding: chunked\r\ncontent-length: 14\r\n",
        "content-length: 14\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked, chunked\r\n",
        "transfer-encoding: chunked, gzip\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: gzip\r\n",
        "transfer-encoding: chunke\r\n",
        "transfer-encoding: chunked;q=1\r\n",
        "transfer-encoding: \u{a0}chunked\r\n",
        "transfer-encoding: \r\n",
    ];
    for header in headers {
        assert_invalid(format!("{HEAD}{header}\r\n{body}").as_bytes()).await;
    }
    let old = HEAD.replace("1.1", "1.0");
    assert_invalid(format!("{old}transfer-encoding: chunked\r\n\r\n{body}").as_bytes()).await;
}

/// Guards against a body of a reply that has none: the bytes belong to no reply.
#[tokio::test]
async fn reply_without_body_that_states_one_is_no_reply() {
    for status in ["204 No Content", "103 Early Hints"] {
        for header in ["content-length: 4\r\n", "transfer-encoding: chunked\r\n"] {
            let head = HEAD.replace("200 OK", status);
            let next = format!("{HEAD}content-length: 4\r\n\r\nfine");
            assert_invalid(format!("{head}{header}\r\n{next}").as_bytes()).await;
        }
    }
    let none = HEAD.replace("200 OK", "204 No Content");
    assert_eq!(read_body(format!("{none}\r\n").as_bytes()).await, b"");
    let modified = HEAD.replace("200 OK", "304 Not Modified");
    assert_eq!(read_body(format!("{modified}content-length: 4\r\n\r\n").as_bytes()).await, b"");
}

/// Guards against a switch to another protocol, which no request asks for: what follows is no
/// HTTP.
#[tokio::test]
async fn unsolicited_switch_of_protocols_is_no_reply() {
    let next = format!("{HEAD}content-length: 4\r\n\r\nfine");
    assert_invalid(format!("HTTP/1.1 101 Switching Protocols\r\n\r\n{next}").as_bytes()).await;
    for status in ["100 Continue", "103 Early Hints"] {
        let text = format!("HTTP/1.1 {status}\r\n\r\n{next}");
        assert_eq!(read_body(text.as_bytes()).await, b"fine", "{status}");
    }
}

/// A reply that another host passes on, with its head.
fn passed_on(status: u16, head: &str) -> RelayReply {
    let encode = |text: &str| Box::from(STANDARD.encode(text));
    RelayReply::Answered { status, head: encode(head), body: encode("fine"), asked: Vec::new() }
}

/// Guards against a broken reply that a host of an earlier build takes for an answer and passes
/// on: its outcome is lost.
#[test]
fn broken_reply_of_another_host_is_lost() {
    let head =
        |text: &str| text.replace("{id}", "1").split_inclusive("\r\n\r\n").next().unwrap().into();
    let sound: String = head(&reply(200, "fine"));
    let broken = [
        (0, sound.replace("200 X", "000 X")),
        (999, sound.replace("200 X", "999 X")),
        (200, sound.replace("content-length: 4", "content-length: +4")),
        (200, sound.replace("x-stamp", "x-more: 1\nx-stamp")),
        (200, sound.replace("x-stamp", "x-more 1\r\nx-stamp")),
        (200, sound.replace("HTTP", "\r\nHTTP")),
        (200, sound.replace("\r\n\r\n", "\r\n")),
        (200, sound.clone() + "x-more: 1\r\n\r\n"),
        (200, String::new()),
        (404, sound.clone()),
        (103, sound.replace("200 X", "103 X").replace("content-length: 4\r\n", "")),
    ];

    for (status, head) in broken {
        assert_eq!(passed_on(status, &head).into_single(), None, "{status} {head:?}");
    }
    let outcome = passed_on(200, &sound).into_single().unwrap().outcome;
    let SingleOutcome::Answered(reply) = outcome else { panic!("{outcome:?}") };
    assert_eq!((reply.status, &*reply.body), (200, &b"fine"[..]));
    assert_eq!(reply.headers()["x-stamp"], "s-200");
}

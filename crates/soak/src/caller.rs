//! Stand-in of a caller: sends requests over a connection that it keeps alive as
//! long as possible, and checks each answer.

use std::io;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt as _;
use rand::rngs::SmallRng;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time;

use crate::backend;
use crate::platform;
use crate::recorder::Recorder;
use crate::rotation::Rotation;

/// Time that a caller allows for a request, sent as its deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time past the deadline after which a caller gives up on the answer.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);

/// Exclusive maximum of the pause between two requests in milliseconds.
const MAX_PAUSE_MS: u64 = 40;

/// Share of quotes, which are not idempotent, among the requests.
const QUOTE_SHARE: f64 = 0.3;

struct Answer {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// Sends requests until `end` and records the outcome of each.
pub async fn run(
    caller_id: usize,
    rotation: Rotation,
    recorder: Recorder,
    mut rng: SmallRng,
    end: Instant,
) {
    let mut kept_alive: Option<TcpStream> = None;
    let mut port = 0;
    let mut sequence = 0;
    while Instant::now() < end {
        sequence += 1;
        let quote = rng.random_bool(QUOTE_SHARE);
        let kind = if quote { "quote" } else { "query" };
        let id = format!("{kind}-{caller_id}-{sequence}");
        if !quote {
            recorder.record_query();
        }
        let connection = match kept_alive.take() {
            Some(stream) => Some(stream),
            None => connect(&rotation, &mut rng).await.map(|(stream, to)| {
                port = to;
                stream
            }),
        };
        if let Some(mut stream) = connection {
            let exchange = exchange(&mut stream, port, &id, quote);
            match time::timeout(REQUEST_TIMEOUT + TIMEOUT_MARGIN, exchange).await {
                Ok(Ok(answer)) => {
                    let closing = header_values(&answer, "connection").any(|v| v == "close");
                    check_answer(&recorder, &id, quote, &answer);
                    kept_alive = (!closing).then_some(stream);
                }
                Ok(Err(_)) => recorder.record_cut(&id, port),
                Err(_) => recorder.record_failure(),
            }
        } else {
            recorder.record_failure();
        }
        time::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
    }
}

/// Connects to a host that the load balancer chooses, and returns its port, too.
async fn connect(rotation: &Rotation, rng: &mut SmallRng) -> Option<(TcpStream, u16)> {
    let port = rotation.choose(rng)?;
    TcpStream::connect(("127.0.0.1", port)).await.ok().map(|stream| (stream, port))
}

async fn exchange(stream: &mut TcpStream, port: u16, id: &str, quote: bool) -> io::Result<Answer> {
    let (method, path, body) = if quote {
        ("POST", platform::QUOTE_PATH, "three ropes")
    } else {
        ("GET", platform::QUERY_PATH, "")
    };
    let text = format!(
        "{method} {path}7 HTTP/1.1\r\nhost: {}\r\n{}: {port}\r\n{}: {id}\r\n{}: {}\r\ncontent-length: {}\r\n\r\n{body}",
        platform::HOSTNAME,
        platform::VIA_HOST,
        platform::REQUEST_ID,
        platform::DEADLINE_MS,
        REQUEST_TIMEOUT.as_millis(),
        body.len(),
    );
    stream.write_all(text.as_bytes()).await?;
    read_answer(stream).await
}

async fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut bytes = Vec::new();
    let end = loop {
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_string();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|l| l.split(' ').nth(1)).and_then(|s| s.parse().ok());
    let pairs = lines.filter_map(|l| l.split_once(':'));
    let headers =
        pairs.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string())).collect::<Vec<_>>();
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = bytes.split_off(end + 4);
    while body.len() < length {
        if stream.read_buf(&mut body).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(Answer { status: status.unwrap_or(0), headers, body })
}

fn header_values<'a>(answer: &'a Answer, name: &'static str) -> impl Iterator<Item = &'a str> {
    answer.headers.iter().filter(move |(n, _)| n == name).map(|(_, v)| v.as_str())
}

/// Checks an answer. These refusals of a quote guarantee that it did not run;
/// after any other failure, it may have run.
fn check_answer(recorder: &Recorder, id: &str, quote: bool, answer: &Answer) {
    let is_stamped = header_values(answer, platform::RESPONSE_STAMP).next().is_some();
    if answer.status != 200 && is_stamped {
        recorder.record_violation(format!(
            "{id}: status {} with the stamp of a backend server, which sent no failure",
            answer.status
        ));
    }
    match answer.status {
        200 if quote => check_quote(recorder, id, answer),
        200 => check_query(recorder, id, answer),
        408 | 421 | 429 | 503 if quote => recorder.record_not_run(id),
        _ => recorder.record_failure(),
    }
}

/// Checks that the body and the stamp belong to this quote.
fn check_quote(recorder: &Recorder, id: &str, answer: &Answer) {
    recorder.record_success();
    let stamped =
        header_values(answer, platform::RESPONSE_STAMP).any(|s| s.ends_with(&format!(".{id}")));
    if answer.body != format!("quote for {id}").as_bytes() || !stamped {
        recorder.record_violation(format!(
            "{id}: body or {} of the answer does not match the request",
            platform::RESPONSE_STAMP
        ));
    }
}

/// Checks that each shard is counted once, as a part or as missing, and that the
/// records are the top ones of the parts.
fn check_query(recorder: &Recorder, id: &str, answer: &Answer) {
    recorder.record_success();
    let stamps =
        header_values(answer, platform::PART_STAMPS).flat_map(|v| v.split(',')).map(str::trim);
    let services: Vec<&str> = stamps.filter_map(|s| s.strip_suffix(&format!(".{id}"))).collect();
    let mut distinct = services.clone();
    distinct.sort_unstable();
    distinct.dedup();
    let missing: usize = header_values(answer, platform::MISSING_PARTS)
        .next()
        .and_then(|m| m.parse().ok())
        .unwrap_or(0);
    if distinct.len() != services.len() || services.len() + missing != platform::SHARD_COUNT {
        let count = services.len();
        recorder.record_violation(format!(
            "{id}: answer names {count} parts, {} of them distinct, and {missing} missing ones; \
             there are {} shards",
            distinct.len(),
            platform::SHARD_COUNT
        ));
    }
    let mut records: Vec<[u8; 16]> =
        services.iter().flat_map(|s| backend::records(s, id)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(platform::TOP_K);
    if answer.body != records.concat() {
        recorder.record_violation(format!(
            "{id}: records differ from the top {} of the parts that the answer names",
            platform::TOP_K
        ));
    }
}

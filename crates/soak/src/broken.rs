//! Breaks replies of a stand-in on their way to a host, as a faulty backend server does.

use std::io::Result;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::io::DuplexStream;
use tokio::net::TcpStream;

/// Header of a reply that is to be broken; its value selects a rule.
pub const BREAK_REPLY: &str = "soak-break-reply";

/// Largest part of a reply that is passed on at once; the heads of stand-ins are shorter.
const PART_BYTES: usize = 16 * 1024;

/// Texts that are replaced, with the form that HTTP/1.1 does not allow.
const RULES: [(&str, &str); 6] = [
    ("HTTP/1.1 200", "HTTP/1.1 000"),
    ("content-length: ", "content-length: +3\r\nsoak-length: "),
    ("content-length", "\ncontent-length"),
    ("content-length", "content length"),
    ("content-length:", "content-length"),
    ("\r\n\r\n", "\r\nno field\r\n\r\n"),
];

/// Passes requests and replies on until either side closes its end, or after a broken reply.
pub async fn pass_on(host: TcpStream, standin: DuplexStream) {
    let (mut from_host, mut to_host) = host.into_split();
    let (mut from_standin, mut to_standin) = tokio::io::split(standin);
    let replies = async {
        let mut part = vec![0; PART_BYTES];
        loop {
            let size = from_standin.read(&mut part).await?;
            if size == 0 {
                return Result::Ok(());
            }
            let Some(broken) = break_reply(&part[..size]) else {
                to_host.write_all(&part[..size]).await?;
                continue;
            };
            return to_host.write_all(&broken).await;
        }
    };
    // A failure ends the connection like a close does.
    tokio::select! {
        _ = tokio::io::copy(&mut from_host, &mut to_standin) => {}
        _ = replies => {}
    }
}

/// The bytes of a reply, broken; None if it has no header for it.
fn break_reply(part: &[u8]) -> Option<Vec<u8>> {
    let text = String::from_utf8_lossy(part);
    let (sound, broken) = RULES[rule(&text)? % RULES.len()];
    Some(text.replacen(sound, broken, 1).into_bytes())
}

fn rule(text: &str) -> Option<usize> {
    let head = text.split("\r\n\r\n").next().filter(|_| text.starts_with("HTTP/1.1"))?;
    let mut lines = head.split("\r\n");
    lines.find_map(|l| l.strip_prefix(BREAK_REPLY)?.strip_prefix(": ")?.parse().ok())
}

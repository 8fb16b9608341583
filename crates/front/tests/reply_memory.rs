//! Memory of the process that replies of backend servers take, measured. The tests take turns,
//! since they measure the same process.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervil_front::client::Clients;
use chervil_http::memory::ReplyMemory;
use futures::future::join_all;
use hyper::Method;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use tokio::time;

use crate::support::exchange::connect;
use crate::support::exchange::exchange;
use crate::support::read_message;

const MIB: usize = 1024 * 1024;

/// Memory for all replies that are read at the same time, as docs/decisions/13 states it.
const REPLY_MEMORY: usize = 24 * MIB;

/// Half of the memory of the smallest hosts, which have 112 MiB for everything. The allocator and
/// the servers of the test take a part of it.
const PROCESS_MEMORY: usize = 56 * MIB;

/// Time between two measurements.
const SAMPLE_INTERVAL: Duration = Duration::from_micros(200);

/// Held by the test that measures.
static MEASURING: Mutex<()> = Mutex::const_new(());

/// Resident memory of this process, in bytes.
fn resident_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
    line.trim().strip_suffix(" kB").unwrap().parse::<usize>().unwrap() * 1024
}

/// Result of `work`, and the peak of the resident memory above `before` meanwhile.
async fn with_peak<Work>(before: usize, work: Work) -> (Work::Output, usize)
where
    Work: Future,
{
    let mut peak = 0;
    let measure = async {
        loop {
            peak = peak.max(resident_memory().saturating_sub(before));
            time::sleep(SAMPLE_INTERVAL).await;
        }
    };
    let output = tokio::select! {
        output = work => output,
        () = measure => unreachable!(),
    };
    (output, peak)
}

/// Guards against an idle connection that keeps the memory of the largest reply read on it: the
/// host keeps many of them open.
#[tokio::test]
async fn idle_connections_keep_no_memory_of_replies() {
    let _measuring = MEASURING.lock().await;
    let memory = Arc::new(ReplyMemory::default());
    let body = vec![b'x'; 4 * MIB];
    let head = format!("HTTP/1.1 200 X\r\nx-id: 1\r\ncontent-length: {}\r\n\r\n", body.len());
    let before = resident_memory();
    let mut idle = Vec::new();

    for _ in 0..40 {
        let (mut connection, mut server) = connect(&memory).await;
        let (reply, sent) = tokio::join!(exchange(&mut connection, "1"), async {
            server.write_all(head.as_bytes()).await?;
            server.write_all(&body).await
        });
        sent.unwrap();
        assert_eq!(reply.unwrap().body.len(), body.len());
        assert!(connection.is_clean());
        idle.push((connection, server));
    }

    let kept = resident_memory().saturating_sub(before);
    assert!(kept < REPLY_MEMORY, "{} KiB for {} idle connections", kept / 1024, idle.len());
}

/// Peak of the resident memory above `before` while `count` backend servers at once send `start`
/// and then `rest` again and again until they are cut off.
async fn peak_of_replies(before: usize, count: usize, start: &str, rest: &[u8]) -> usize {
    let memory = Arc::new(ReplyMemory::default());
    let attempts = join_all((0..count).map(|_| async {
        let (mut connection, mut server) = connect(&memory).await;
        let endless = async {
            let mut sent = server.write_all(start.as_bytes()).await;
            while sent.is_ok() {
                sent = server.write_all(rest).await;
            }
        };
        let ((), ()) =
            tokio::join!(async move { drop(exchange(&mut connection, "1").await) }, endless);
    }));
    with_peak(before, attempts).await.1
}

/// Load pattern: many backend servers, or a few, send bodies without end at once. Guards against
/// buffers that take more memory than the bytes that they count for.
#[tokio::test]
async fn replies_without_end_take_no_more_memory_than_their_limit() {
    let _measuring = MEASURING.lock().await;
    let before = resident_memory();
    let head = "HTTP/1.1 200 X\r\nx-id: 1\r\nx-stamp: s\r\n";
    let chunk =
        |size: usize| [format!("{size:x}\r\n").into_bytes(), vec![b'x'; size], b"\r\n".to_vec()];
    let bodies = [
        ("without length", "", vec![b'x'; 4096]),
        ("of stated length", "content-length: 8388608\r\n", vec![b'x'; 4096]),
        ("small chunks", "transfer-encoding: chunked\r\n", chunk(4096).concat()),
        ("large chunks", "transfer-encoding: chunked\r\n", chunk(4 * MIB).concat()),
    ];
    for (name, header, rest) in bodies {
        for count in [3, 12, 200] {
            let peak = peak_of_replies(before, count, &format!("{head}{header}\r\n"), &rest).await;

            assert!(peak < PROCESS_MEMORY, "{name}, {count} servers: {} KiB", peak / 1024);
        }
    }
}

/// Load pattern: backend servers send large replies to callers that read them slowly. Guards
/// against bodies that no limit counts once they are whole: they stay until they are sent.
#[tokio::test]
async fn large_bodies_count_until_they_are_dropped() {
    let _measuring = MEASURING.lock().await;
    let memory = Arc::new(ReplyMemory::default());
    let body = vec![b'x'; 7 * MIB];
    let head = format!("HTTP/1.1 200 X\r\nx-id: 1\r\ncontent-length: {}\r\n\r\n", body.len());
    let read = async || {
        let (mut connection, mut server) = connect(&memory).await;
        let (reply, _) = tokio::join!(
            async move { exchange(&mut connection, "1").await.map(|reply| reply.body) },
            async {
                server.write_all(head.as_bytes()).await?;
                server.write_all(&body).await
            }
        );
        reply
    };

    let mut kept = Vec::new();
    for _ in 0..10 {
        kept.extend(read().await.ok());
    }

    let size: usize = kept.iter().map(Bytes::len).sum();
    assert!(!kept.is_empty());
    assert!(size <= REPLY_MEMORY, "{} bodies with {size} bytes", kept.len());
    drop(kept);
    assert_eq!(memory.used(), 0);
    assert_eq!(read().await.unwrap(), body);
}

/// Load pattern: the hosts to which a host sends calls reply without end. Guards against the same
/// for what is not a reply of a backend server.
#[tokio::test]
async fn calls_take_no_more_memory_than_their_limit() {
    let _measuring = MEASURING.lock().await;
    let mut clients = Clients::new(Arc::new(ReplyMemory::for_calls()));
    let before = resident_memory();
    let calls = join_all((0..8).map(|_| async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        (listener.local_addr().unwrap(), listener)
    }));
    let calls = calls.await.into_iter().map(|(address, listener)| {
        let client = clients.get(address);
        async move {
            let endless = async {
                let (mut server, _) = listener.accept().await.unwrap();
                read_message(&mut server).await;
                let mut sent = server.write_all(b"HTTP/1.1 200 X\r\n\r\n").await;
                for _ in 0..24 * MIB / 4096 {
                    if sent.is_ok() {
                        sent = server.write_all(&[b' '; 4096]).await;
                    }
                }
            };
            tokio::join!(client.call::<(), bool>(Method::GET, "/", None), endless).0
        }
    });

    let (results, peak) = with_peak(before, join_all(calls)).await;

    assert!(results.iter().all(Result::is_err), "{results:?}");
    assert!(peak < PROCESS_MEMORY, "{} KiB", peak / 1024);
}

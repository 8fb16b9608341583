//! Memory of the process that replies of backend servers take, measured. The tests take turns,
//! since they measure the same process.

mod support;

use std::sync::Arc;

use chervil_front::exchange::ReplyMemory;
use tokio::io::AsyncWriteExt as _;
use tokio::sync::Mutex;

use crate::support::exchange::connect;
use crate::support::exchange::exchange;

const MIB: usize = 1024 * 1024;

/// Memory for all replies that are read at the same time, as docs/decisions/13 states it.
const REPLY_MEMORY: usize = 24 * MIB;

/// Held by the test that measures.
static MEASURING: Mutex<()> = Mutex::const_new(());

/// Resident memory of this process, in bytes.
fn resident_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
    line.trim().strip_suffix(" kB").unwrap().parse::<usize>().unwrap() * 1024
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

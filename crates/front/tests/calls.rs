//! Calls to the registry and to other hosts: replies that are broken, or do not end.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use chervil_front::client::Client;
use chervil_front::registry::RegistryError;
use hyper::Method;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::time;

use crate::support::read_message;

/// Longest time that a call may take, far longer than the transfer of the largest reply that is
/// read.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Result of a call whose sound reply is `true`.
async fn call(address: SocketAddr) -> Result<bool, RegistryError> {
    let client = Client::new(address);
    let call = client.call::<(), bool>(Method::GET, "/kv-key", None);
    time::timeout(TIMEOUT, call).await.expect("the call does not end")
}

/// Guards against replies of the registry or another host without end, in each part of a reply:
/// the call must end, and the connection be closed, so that the server notices.
#[tokio::test]
async fn reply_without_end_fails_the_call() {
    let head = "HTTP/1.1 200 OK\r\n";
    let chunk = [&b"1000\r\n"[..], &[b' '; 4096], b"\r\n"].concat();
    let endless: [(&str, String, Vec<u8>); 5] = [
        ("head", head.into(), b"x-more: x\r\n".repeat(100)),
        ("body", format!("{head}\r\n"), vec![b' '; 65_536]),
        ("sized body", format!("{head}content-length: 999999999\r\n\r\n"), vec![b' '; 65_536]),
        ("chunks", format!("{head}transfer-encoding: chunked\r\n\r\n"), chunk.repeat(10)),
        ("no reply", String::new(), vec![0; 4096]),
    ];
    for (part, start, rest) in endless {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_message(&mut stream).await;
            stream.write_all(start.as_bytes()).await.unwrap();
            let mut sent = 0;
            while sent < 64 * 1024 * 1024 && stream.write_all(&rest).await.is_ok() {
                sent += rest.len();
            }
            // Ends once the host has closed the connection.
            let _ = stream.read(&mut [0]).await;
            sent
        };

        let (result, sent) =
            time::timeout(TIMEOUT, async { tokio::join!(call(address), server) }).await.unwrap();

        assert!(result.is_err(), "{part}");
        assert!(sent < 64 * 1024 * 1024, "{part}: {sent} bytes were read");
    }
}

//! Calls to the registry and to other hosts: replies that are broken, or do not end.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_front::client::Client;
use chervil_front::client::Clients;
use chervil_front::registry::RegistryError;
use chervil_http::memory::ReplyMemory;
use hyper::Method;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::time;

use crate::support::read_message;

/// Longest time that a call may take, far longer than the transfer of the largest reply that is
/// read.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a server that replies to each request with `bytes` and closes the connection.
async fn start_server(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let bytes = bytes.clone();
            tokio::spawn(async move {
                read_message(&mut stream).await;
                let _ = stream.write_all(&bytes).await;
            });
        }
    });
    address
}

/// Result of a call whose sound reply is `true`.
async fn call(address: SocketAddr) -> Result<bool, RegistryError> {
    let client = Client::new(address);
    let call = client.call::<(), bool>(Method::GET, "/kv-key", None);
    time::timeout(TIMEOUT, call).await.expect("the call does not end")
}

/// Guards against a broken reply of the registry or another host that counts as its answer.
#[tokio::test]
async fn reply_that_violates_the_grammar_is_no_answer() {
    let sound = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntrue";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ntrue\r\n0\r\n\r\n";
    let broken = [
        sound.replace("200", "000"),
        sound.replace("content-length: 4", "content-length: +4"),
        sound.replace("content-length: 4", "content-length 4"),
        sound.replace("content-length", "content\x01length"),
        sound.replace("content-length", "content length"),
        sound.replace("\r\n", "\n"),
        sound.replace("OK\r\n", "OK\r\nx-more: 1\n"),
        sound.replace("HTTP", "\r\nHTTP"),
        sound.replace("200 OK", "200"),
        sound.replace("content-length", "transfer-encoding: chunked\r\ncontent-length"),
        chunked.replace("transfer", "content-length: 4\r\ntransfer"),
        chunked.replace("4\r\n", "4 \r\n"),
        chunked.replace("0\r\n\r\n", "\r\n\r\n"),
        chunked.replace("0\r\n\r\n", "0\r\nx 1\r\n\r\n"),
        format!("HTTP/1.1 101 Switching Protocols\r\n\r\n{sound}"),
        sound.replace("content-length: 4", "content-length: 9"),
        sound.replace("true", "tru"),
    ];

    let accepted = {
        let mut accepted = Vec::new();
        for text in broken {
            if call(start_server(text.clone().into_bytes()).await).await.is_ok() {
                accepted.push(text);
            }
        }
        accepted
    };

    assert_eq!(accepted, Vec::<String>::new());
    for text in [sound.to_string(), chunked.into(), format!("HTTP/1.1 100 X\r\n\r\n{sound}")] {
        assert_eq!(call(start_server(text.into_bytes()).await).await, Ok(true));
    }
}

/// Guards against replies of the registry or another host without end, in each part of a reply:
/// the call must end, and the connection be closed, so that the server notices.
#[tokio::test]
async fn reply_without_end_fails_the_call() {
    let head = "HTTP/1.1 200 OK\r\n";
    let chunk = [&b"1000\r\n"[..], &[b' '; 4096], b"\r\n"].concat();
    let endless: [(&str, String, Vec<u8>); 6] = [
        ("head", head.into(), b"x-more: x\r\n".repeat(100)),
        ("body", format!("{head}\r\n"), vec![b' '; 65_536]),
        ("sized body", format!("{head}content-length: 999999999\r\n\r\n"), vec![b' '; 65_536]),
        ("chunks", format!("{head}transfer-encoding: chunked\r\n\r\n"), chunk.repeat(10)),
        ("interim replies", String::new(), b"HTTP/1.1 103 X\r\n\r\n".repeat(100)),
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

/// Guards against sockets that pile up: hosts that are replaced close their connections, and the
/// calls go to new addresses.
#[tokio::test]
async fn connections_that_other_hosts_have_closed_are_closed() {
    let mut clients = Clients::new(Arc::new(ReplyMemory::for_calls()));
    let mut closing = Vec::new();
    for _ in 0..5 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = clients.get(listener.local_addr().unwrap());
        let server = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_message(&mut stream).await;
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntrue").await.unwrap();
            stream.shutdown().await.unwrap();
            stream
        };
        let (result, stream) =
            tokio::join!(client.call::<(), bool>(Method::GET, "/", None), server);
        assert_eq!(result, Ok(true));
        closing.push(stream);
    }

    // The connections that are not in use are checked when another host is called first.
    time::sleep(Duration::from_millis(20)).await;
    clients.get(SocketAddr::from(([127, 0, 0, 1], 9)));

    for mut stream in closing {
        let end = time::timeout(Duration::from_secs(5), stream.read(&mut [0])).await;
        assert!(matches!(end, Ok(Ok(0))), "{end:?}");
    }
}

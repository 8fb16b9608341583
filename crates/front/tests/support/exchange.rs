//! One exchange with a scripted backend server, without a host around it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chervil_front::exchange::Connection;
use chervil_front::outgoing::Outgoing;
use chervil_front::reply::Reply;
use chervil_http::error::ExchangeError;
use chervil_http::memory::ReplyMemory;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header::HeaderValue;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

use super::names;

/// Longest time that an exchange may take, far longer than the transfer of the largest reply
/// that is read.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A connection to a backend server, and the server's end of it.
pub async fn connect(memory: &Arc<ReplyMemory>) -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    (Connection::new(stream, Arc::new(()), memory.clone(), Instant::now()), server)
}

/// Sends a request with this id and reads its reply.
pub async fn exchange(connection: &mut Connection, id: &str) -> Result<Reply, ExchangeError> {
    send_and_read(connection, b"GET / HTTP/1.1\r\n\r\n", id).await
}

/// Sends the encoded request with this id and reads its reply.
pub async fn send_and_read(
    connection: &mut Connection,
    message: &[u8],
    id: &str,
) -> Result<Reply, ExchangeError> {
    let mut headers = HeaderMap::new();
    headers.insert("x-id", HeaderValue::from_str(id).unwrap());
    let request = Outgoing::new(&Method::GET, "/", &headers, Bytes::new(), &names());
    let names = names();
    let exchange = connection.exchange(message, &request, &names);
    time::timeout(TIMEOUT, exchange).await.expect("the exchange does not end")
}

/// What is read from a backend server that sends `bytes` in reply to request 1 and closes the
/// connection.
pub async fn read_reply(bytes: &[u8]) -> Result<Reply, ExchangeError> {
    let (mut connection, mut server) = connect(&Arc::default()).await;
    server.write_all(bytes).await.unwrap();
    server.shutdown().await.unwrap();
    exchange(&mut connection, "1").await
}

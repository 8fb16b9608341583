//! Layer for the connector of the HTTP client that limits it to one dial, so that a
//! client never opens a second connection.

use std::error::Error;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::time;

/// Delay before a second dial fails. After a reply, the HTTP client may need this
/// long to return the connection to its pool; a request that comes sooner asks for
/// a second dial, which would exceed the server's connection limit, although the
/// connection is still usable.
const POOL_RETURN_DELAY: Duration = Duration::from_millis(20);

type BoxError = Box<dyn Error + Send + Sync>;

/// Permits the first dial and fails all later ones. Clones share one state.
#[derive(Clone, Debug, Default)]
pub(crate) struct DialOnce {
    dialed: Arc<AtomicBool>,
    connected: Arc<AtomicBool>,
}

impl DialOnce {
    /// Whether the first dial succeeded.
    pub(crate) fn is_connected(&self) -> bool {
        self.connected.load(Ordering::SeqCst)
    }
}

impl<S> tower::Layer<S> for DialOnce {
    type Service = DialOnceService<S>;

    fn layer(&self, inner: S) -> DialOnceService<S> {
        DialOnceService { inner, state: self.clone() }
    }
}

/// Connector wrapped by [`DialOnce`].
#[derive(Clone, Debug)]
pub(crate) struct DialOnceService<S> {
    inner: S,
    state: DialOnce,
}

impl<S, R> tower::Service<R> for DialOnceService<S>
where
    S: tower::Service<R, Error = BoxError>,
    S::Future: Send + 'static,
    S::Response: 'static,
{
    type Response = S::Response;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<S::Response, BoxError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: R) -> Self::Future {
        if !self.state.dialed.swap(true, Ordering::SeqCst) {
            let dial = self.inner.call(request);
            let connected = self.state.connected.clone();
            return Box::pin(async move {
                let connection = dial.await?;
                connected.store(true, Ordering::SeqCst);
                Ok(connection)
            });
        }
        Box::pin(async {
            time::sleep(POOL_RETURN_DELAY).await;
            Err("the connection was closed, and a second one is not allowed".into())
        })
    }
}

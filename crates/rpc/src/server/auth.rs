//! HTTP middleware that checks the shared secret.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use http::StatusCode;
use jsonrpsee::server::HttpBody;
use jsonrpsee::server::HttpRequest;
use jsonrpsee::server::HttpResponse;

use crate::secret::Secret;

/// Wraps a service with [`Auth`].
#[derive(Clone, Debug)]
pub(super) struct AuthLayer {
    secret: Secret,
}

impl AuthLayer {
    pub(super) fn new(secret: Secret) -> AuthLayer {
        AuthLayer { secret }
    }
}

impl<S> tower::Layer<S> for AuthLayer {
    type Service = Auth<S>;

    fn layer(&self, inner: S) -> Auth<S> {
        Auth { inner, secret: self.secret.clone() }
    }
}

/// Service that answers requests without the secret with status 401 and passes
/// the others to the inner service.
#[derive(Clone, Debug)]
pub(super) struct Auth<S> {
    inner: S,
    secret: Secret,
}

impl<S, B> tower::Service<HttpRequest<B>> for Auth<S>
where
    S: tower::Service<HttpRequest<B>, Response = HttpResponse>,
    S::Future: Send + 'static,
    S::Error: 'static,
{
    type Response = HttpResponse;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, S::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: HttpRequest<B>) -> Self::Future {
        let header = request.headers().get("authorization");
        if header.is_some_and(|h| self.secret.accepts(h.as_bytes())) {
            return Box::pin(self.inner.call(request));
        }
        let mut response = HttpResponse::new(HttpBody::from("present the shared secret\n"));
        *response.status_mut() = StatusCode::UNAUTHORIZED;
        Box::pin(async move { Ok(response) })
    }
}

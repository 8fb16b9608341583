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

/// Wraps services with the check.
#[derive(Clone, Debug)]
pub(super) struct Layer {
    secret: Secret,
}

impl Layer {
    pub(super) fn new(secret: Secret) -> Layer {
        Layer { secret }
    }
}

impl<S> tower::Layer<S> for Layer {
    type Service = Check<S>;

    fn layer(&self, inner: S) -> Check<S> {
        Check { inner, secret: self.secret.clone() }
    }
}

/// Passes on requests that carry the secret and refuses the others.
#[derive(Clone, Debug)]
pub(super) struct Check<S> {
    inner: S,
    secret: Secret,
}

impl<S, B> tower::Service<HttpRequest<B>> for Check<S>
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

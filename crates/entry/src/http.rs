//! HTTP interface for callers.

use std::convert::Infallible;
use std::sync::Arc;

use warp::Filter;
use warp::Rejection;
use warp::filters::BoxedFilter;
use warp::reject::LengthRequired;
use warp::reject::MethodNotAllowed;
use warp::reject::PayloadTooLarge;
use warp::reply::Response;

use crate::caller::CallerError;
use crate::caller::MAX_BODY;
use crate::entry::Entry;
use crate::respond;
use crate::respond::Reply;
use crate::routes;
use crate::routes::Request;

/// Filter that serves callers.
pub fn filter(entry: Arc<Entry>) -> BoxedFilter<(Response,)> {
    let (e1, e2) = (entry.clone(), entry);
    let query = request("query").then(move |request| {
        let entry = e1.clone();
        async move { into(routes::query(entry, request).await) }
    });
    let run = request("run").then(move |request| {
        let entry = e2.clone();
        async move { into(routes::run(entry, request).await) }
    });
    query.or(run).unify().recover(refuse).unify().boxed()
}

/// Takes in `POST /<kind>/<service>`.
fn request(kind: &'static str) -> BoxedFilter<(Request,)> {
    warp::path(kind)
        .and(warp::path::param())
        .and(warp::path::end())
        .and(warp::post())
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(MAX_BODY as u64))
        .and(warp::body::bytes().map(Vec::from))
        .map(|service: String, headers, bytes| Request { service: service.into(), headers, bytes })
        .boxed()
}

/// Turns a rejection of the filter into a typed error.
async fn refuse(rejection: Rejection) -> Result<Response, Infallible> {
    let error = if rejection.find::<PayloadTooLarge>().is_some() {
        CallerError::Body
    } else if rejection.find::<LengthRequired>().is_some() {
        CallerError::Length
    } else if rejection.find::<MethodNotAllowed>().is_some() {
        CallerError::Method
    } else if rejection.is_not_found() {
        CallerError::Path
    } else {
        CallerError::Malformed
    };
    Ok(into(respond::invalid(&error)))
}

fn into(reply: Reply) -> Response {
    warp::reply::Reply::into_response(reply)
}

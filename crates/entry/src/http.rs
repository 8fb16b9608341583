//! Warp filters of the HTTP interface for callers.

use std::convert::Infallible;
use std::sync::Arc;

use warp::Filter;
use warp::Rejection;
use warp::filters::BoxedFilter;
use warp::reject::LengthRequired;
use warp::reject::MethodNotAllowed;
use warp::reject::PayloadTooLarge;
use warp::reply::Response;

use crate::entry::Entry;
use crate::handlers;
use crate::handlers::Request;
use crate::response;
use crate::response::HttpResponse;
use crate::validate::MAX_BODY_BYTES;
use crate::validate::RequestError;

/// All endpoints for callers; rejections become typed errors.
pub fn filter(entry: Arc<Entry>) -> BoxedFilter<(Response,)> {
    let (query_entry, run_entry) = (entry.clone(), entry);
    let query = post("query").then(move |request| {
        let entry = query_entry.clone();
        async move { into_response(handlers::query(entry, request).await) }
    });
    let run = post("run").then(move |request| {
        let entry = run_entry.clone();
        async move { into_response(handlers::run(entry, request).await) }
    });
    query.or(run).unify().recover(handle_rejection).unify().boxed()
}

/// Matches `POST /<kind>/<service>` with a body of limited size.
fn post(kind: &'static str) -> BoxedFilter<(Request,)> {
    warp::path(kind)
        .and(warp::path::param())
        .and(warp::path::end())
        .and(warp::post())
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES as u64))
        .and(warp::body::bytes().map(Vec::from))
        .map(|service: String, headers, bytes| Request { service: service.into(), headers, bytes })
        .boxed()
}

/// Maps a rejection of the filters to a [`RequestError`].
async fn handle_rejection(rejection: Rejection) -> Result<Response, Infallible> {
    let error = if rejection.find::<PayloadTooLarge>().is_some() {
        RequestError::BodyTooLarge
    } else if rejection.find::<LengthRequired>().is_some() {
        RequestError::MissingLength
    } else if rejection.find::<MethodNotAllowed>().is_some() {
        RequestError::UnsupportedMethod
    } else if rejection.is_not_found() {
        RequestError::UnknownPath
    } else {
        RequestError::Malformed
    };
    Ok(into_response(response::invalid(&error)))
}

fn into_response(response: HttpResponse) -> Response {
    warp::reply::Reply::into_response(response)
}

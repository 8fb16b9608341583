//! Hosts tell each other what they have learned of the registry.

use std::convert::Infallible;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use chervil_base::HashMap;
use chervil_base::message;
use chervil_route::trouble::Trouble;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

use crate::answer;
use crate::answer::Answer;
use crate::client::Client;
use crate::core::Core;
use crate::core::Reports;
use crate::journal::Cursor;
use crate::journal::Journal;
use crate::journal::News;
use crate::packed::Packed;
use crate::registry::Event;
use crate::registry::RegistryError;

/// Longest time that a host is kept waiting for news.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Path of the call for news.
const NEWS_PATH: &str = "/news";

/// Path of the call that reports what a host has seen of backend servers.
const REPORT_PATH: &str = "/reports";

/// Time over which reports are collected.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a report counts as lost; the next one follows soon.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

message! {
    /// Question of a host.
    #[derive(Copy)]
    struct Question {
        cursor: Cursor,
        wait_ms: u64,
        stale_ms: u64,
    }

    /// Answer to a host.
    pub struct Told {
        /// Where the asking host then stands.
        pub cursor: Cursor,
        /// Milliseconds since the news were confirmed; none before that.
        pub age_ms: Option<u64>,
        /// Whether the events are everything, not only what is new.
        pub full: bool,
        /// Events.
        pub events: Vec<Packed>,
    }
}

/// Asks other hosts.
#[derive(Debug, Default)]
pub struct Peers {
    clients: HashMap<SocketAddr, Client>,
}

impl Peers {
    fn client(&mut self, address: SocketAddr) -> &Client {
        self.clients.entry(address).or_insert_with(|| Client::new(address))
    }

    /// Asks a host for what is new; it answers after `wait` at the latest, and
    /// at once if its own news are older than `stale`.
    pub async fn ask(
        &mut self,
        address: SocketAddr,
        cursor: Cursor,
        wait: Duration,
        stale: Duration,
    ) -> Result<Told, RegistryError> {
        let question = Question {
            cursor,
            wait_ms: wait.as_millis() as u64,
            stale_ms: stale.as_millis() as u64,
        };
        self.client(address).call(Method::POST, NEWS_PATH, Some(&question)).await
    }
}

/// Answers other hosts, and reports what this host sees.
pub async fn serve(listener: TcpListener, core: Arc<Core>, journal: Arc<Journal>) {
    let trouble = Mutex::default();
    let desk = Arc::new(Desk { core, journal, trouble });
    tokio::spawn(report(desk.clone()));
    loop {
        // Accepting fails when descriptors run out; the next call waits for one.
        let Ok((stream, _)) = listener.accept().await else { continue };
        tokio::spawn(connection(stream, desk.clone()));
    }
}

/// Reports backend servers in trouble to the host that this one follows.
async fn report(desk: Arc<Desk>) {
    let mut peers = Peers::default();
    loop {
        time::sleep(REPORT_INTERVAL).await;
        let reports = desk.core.take_reports();
        if reports == Reports::default() {
            continue;
        }
        let followed = desk.core.state().sources.best(desk.core.now()).map(|(_, p)| p.address);
        let Some(address) = followed else {
            desk.take_reports(&reports);
            continue;
        };
        let client = peers.client(address);
        let call = client.call::<_, bool>(Method::POST, REPORT_PATH, Some(&reports));
        if !matches!(time::timeout(REPORT_TIMEOUT, call).await, Ok(Ok(_))) {
            desk.core.metrics.count("reports.lost");
        }
    }
}

async fn connection(stream: TcpStream, desk: Arc<Desk>) {
    let service = service_fn(|request: Request<Incoming>| {
        let desk = desk.clone();
        async move { Ok::<_, Infallible>(answer(&desk, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None);
    // A connection that cannot be set up, or that the other host breaks, shows
    // there as a failed call.
    let _ = stream.set_nodelay(true);
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

/// What a host tells others, and what it learns from their reports.
struct Desk {
    core: Arc<Core>,
    journal: Arc<Journal>,
    trouble: Mutex<Trouble>,
}

impl Desk {
    fn take_reports(&self, reports: &Reports) {
        let now = self.core.now();
        for id in &reports.crowded {
            if self.core.crowd(id) {
                spdlog::info!("backend crowded", kv: { id = &**id });
                self.journal.push(&Event::Crowded(id.clone()));
            }
        }
        let mut trouble = self.trouble.lock().unwrap_or_else(PoisonError::into_inner);
        for id in &reports.trouble {
            if trouble.report(id, now) {
                spdlog::info!("backend in trouble", kv: { id = &**id });
                self.core.state().avoid(id, now);
                self.journal.push(&Event::Trouble(id.clone()));
            }
        }
    }
}

async fn answer(desk: &Desk, request: Request<Incoming>) -> Answer {
    let reports = request.uri().path() == REPORT_PATH;
    let (core, journal) = (&desk.core, &desk.journal);
    let Ok(body) = request.into_body().collect().await else {
        return answer::plain_text(StatusCode::BAD_REQUEST, "the question cannot be read\n");
    };
    if reports {
        let Ok(reports) = serde_json::from_slice::<Reports>(&body.to_bytes()) else {
            return answer::plain_text(StatusCode::BAD_REQUEST, "the report is malformed\n");
        };
        desk.take_reports(&reports);
        return answer::plain_text(StatusCode::OK, "true\n");
    }
    let Ok(question) = serde_json::from_slice::<Question>(&body.to_bytes()) else {
        return answer::plain_text(StatusCode::BAD_REQUEST, "the question is malformed\n");
    };
    wait_for_news(core, journal, question).await;
    let news = journal.news(question.cursor, core.now());
    Response::new(Full::new(Bytes::from(text(core, news))))
}

async fn wait_for_news(core: &Core, journal: &Journal, question: Question) {
    let wait = Duration::from_millis(question.wait_ms).min(LONGEST_WAIT);
    let end = core.now() + wait;
    let stale = Duration::from_millis(question.stale_ms);
    let mut serial = journal.subscribe();
    loop {
        let now = core.now();
        serial.mark_unchanged();
        let news = journal.news(question.cursor, now);
        let age = news.age.unwrap_or(Duration::MAX);
        if news.events.is_none_or(|e| !e.is_empty()) || age >= stale || now >= end {
            return;
        }
        let turn = now + (stale - age);
        tokio::select! {
            _ = serial.changed() => {}
            () = time::sleep_until(turn.min(end).into()) => {}
        }
    }
}

fn text(core: &Core, news: News) -> String {
    let full = news.events.is_none();
    let events = news.events.unwrap_or_else(|| core.state().snapshot(core.now()));
    // Cursors and ages are numbers, which always have a JSON form.
    let cursor = serde_json::to_string(&news.cursor).unwrap_or_default();
    let age = news.age.map_or("null".into(), |a| a.as_millis().to_string());
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write!(text, "{{\"cursor\":{cursor},\"age_ms\":{age},\"full\":{full},\"events\":[");
    text.push_str(&events.join(","));
    text.push_str("]}");
    text
}

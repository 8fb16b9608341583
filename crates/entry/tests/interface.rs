//! Checks the examples and settings in `docs/interface.md` against an entry.

#![allow(clippy::unwrap_used)]

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chervil_entry::settings::EntrySettings;
use support::System;

mod support;

const PAGE: &str = include_str!("../../../docs/interface.md");

/// Contents of the fenced code blocks of a language.
fn blocks(language: &str) -> Vec<&'static str> {
    let fenced = PAGE.split("```").skip(1).step_by(2);
    fenced.filter_map(|b| b.strip_prefix(language)?.strip_prefix('\n')).collect()
}

/// Request of a `curl` command on the page.
struct Example {
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

/// Parses a `curl` command; `$key` is replaced by `key`.
fn example(block: &str, key: &str) -> Example {
    let path = block.split("http://entry:8080").nth(1).unwrap();
    let path = path.split_whitespace().next().unwrap().to_owned();
    let quoted = |flag: &str| -> Vec<String> {
        let parts = block.split(flag).skip(1).map(str::trim_start);
        let parts = parts.map(|p| p[1..].split(&p[..1]).next().unwrap().replace("$key", key));
        parts.collect()
    };
    let pair = |h: String| h.split_once(": ").map(|(n, v)| (n.to_owned(), v.to_owned()));
    let headers = quoted(" -H ").into_iter().filter_map(pair).collect();
    Example { path, headers, body: quoted(" -d ").remove(0) }
}

/// Guards against documented requests that the entry refuses, and documented
/// responses whose JSON keys differ from the real ones.
#[tokio::test]
async fn documented_examples_get_the_documented_response_keys() {
    let system = System::start().await;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs();
    let examples: Vec<Example> =
        blocks("sh").into_iter().map(|b| example(b, &format!("{now}-0123456789abcdef"))).collect();
    let shown: Vec<&str> =
        blocks("").into_iter().filter(|b| b.starts_with("HTTP/1.1 200")).collect();

    assert_eq!((examples.len(), shown.len()), (2, 2));
    for (example, shown) in examples.iter().zip(shown) {
        let headers: Vec<(&str, &str)> =
            example.headers.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
        let reply = system.post(&example.path, &headers, &example.body).await;
        let body: serde_json::Value =
            serde_json::from_str(shown.split_once("\n\n").unwrap().1).unwrap();

        assert_eq!(reply.status, 200, "{}: {}", example.path, reply.json);
        let names = |v: &serde_json::Value| -> Vec<String> {
            v.as_object().unwrap().keys().cloned().collect()
        };
        assert_eq!(names(&reply.json), names(&body), "{}", example.path);
    }
}

/// Guards against documented settings that the entry rejects.
#[test]
fn documented_settings_are_valid() {
    let page = blocks("toml");

    let settings: EntrySettings = toml::from_str(page[0]).unwrap();

    assert!(settings.check().is_ok());
}

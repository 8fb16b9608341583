//! What callers and backend servers saw, and the promises that were broken.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;

/// Time without unplanned faults after which bounds on planned changes hold.
const CALM: Duration = Duration::from_secs(4);

/// Most broken promises that are written down; one is enough to fail.
const VIOLATIONS: usize = 40;

#[derive(Debug, Default)]
struct Book {
    runs: HashMap<Box<str>, Vec<Box<str>>>,
    refused: Vec<Box<str>>,
    violations: Vec<String>,
    answered: u64,
    failed: u64,
    disturbed: Option<Instant>,
}

/// A handle on the book.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    book: Arc<Mutex<Book>>,
}

/// Sums of a soak.
#[derive(Clone, Debug)]
pub struct Sums {
    /// Requests that succeeded.
    pub answered: u64,
    /// Requests that did not.
    pub failed: u64,
    /// Broken promises.
    pub violations: Vec<String>,
}

impl Ledger {
    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a backend server began to run a request.
    pub fn ran(&self, request: &str, backend: &str) {
        self.book().runs.entry(request.into()).or_default().push(backend.into());
    }

    /// Notes a success.
    pub fn answered(&self) {
        self.book().answered += 1;
    }

    /// Notes a request without success.
    pub fn failed(&self) {
        self.book().failed += 1;
    }

    /// Notes an answer that promises that the request has not run.
    pub fn refused(&self, request: &str) {
        let mut book = self.book();
        book.failed += 1;
        book.refused.push(request.into());
    }

    /// Notes a broken promise.
    pub fn violation(&self, text: String) {
        let mut book = self.book();
        if book.violations.len() < VIOLATIONS {
            book.violations.push(text);
        }
    }

    /// Notes that an unplanned fault is in force until `end`.
    pub fn disturbed(&self, end: Instant) {
        let mut book = self.book();
        book.disturbed = book.disturbed.max(Some(end));
    }

    /// Whether only planned changes have been going on for a while.
    pub fn is_calm(&self, now: Instant) -> bool {
        self.book().disturbed.is_none_or(|d| now > d + CALM)
    }

    /// Checks what can be told at the end only.
    pub fn close(&self) -> Sums {
        let mut book = self.book();
        let mut found = Vec::new();
        for id in &book.refused {
            if let Some(runs) = book.runs.get(id) {
                found.push(format!("{id} was refused as not run, and ran at {runs:?}"));
            }
        }
        for (id, runs) in book.runs.iter().filter(|(id, _)| id.starts_with("quote")) {
            if runs.len() > 1 {
                found.push(format!("{id} must not be repeated, and ran at {runs:?}"));
            }
        }
        book.violations.extend(found);
        Sums { answered: book.answered, failed: book.failed, violations: book.violations.clone() }
    }
}

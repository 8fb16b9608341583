//! Index versions that one backend server holds, according to its status replies and
//! its refusals.

use std::time::Duration;
use std::time::Instant;

use chervil_base::index::HeldVersion;

/// How long the versions in a refusal take precedence over a status without a newer one.
const REFUSAL_TTL: Duration = Duration::from_secs(30);

/// Known index versions of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownVersions {
    /// From the last status reply.
    status: Vec<HeldVersion>,
    /// From the last refusal, and when it arrived; `None` once superseded.
    refusal: Option<(Vec<HeldVersion>, Instant)>,
}

impl KnownVersions {
    /// Versions that the server holds; empty if unknown.
    pub(crate) fn versions(&self) -> &[HeldVersion] {
        self.refusal.as_ref().map_or(&self.status, |(held, _)| held)
    }

    /// Records the versions from the reply to a status request sent at `sent_at`.
    ///
    /// A status may lag behind the server, even in several steps, so a recent refusal
    /// yields only to a status that was requested after it and names a newer version.
    pub(crate) fn record_status(&mut self, versions: Vec<HeldVersion>, sent_at: Instant) {
        self.refusal = self.refusal.take().filter(|(held, at)| {
            let superseded = sent_at >= *at && newest(&versions) > newest(held);
            sent_at.saturating_duration_since(*at) < REFUSAL_TTL && !superseded
        });
        self.status = versions;
    }

    /// Records the versions that came with a refusal.
    pub(crate) fn record_refusal(&mut self, versions: Vec<HeldVersion>, now: Instant) {
        self.refusal = Some((versions, now));
    }
}

/// The highest index version; `None` if there is none.
fn newest(versions: &[HeldVersion]) -> Option<u64> {
    versions.iter().map(|v| v.version).max()
}

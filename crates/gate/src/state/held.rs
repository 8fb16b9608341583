//! Index versions of one backend server, from its status and its refusals.

use std::time::Duration;
use std::time::Instant;

use chervil_base::index::HeldVersion;

/// Time for which a refusal outweighs a status that has not changed since.
const REFUSAL_LIFE: Duration = Duration::from_secs(30);

/// What is known of the versions of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    status: Vec<HeldVersion>,
    refusal: Option<(Vec<HeldVersion>, Instant)>,
}

impl Held {
    /// Versions that the server holds, as far as known.
    pub(crate) fn versions(&self) -> &[HeldVersion] {
        self.refusal.as_ref().map_or(&self.status, |(held, _)| held)
    }

    /// Takes the versions of a status reply. A status that is the same as
    /// before a refusal lags behind it.
    pub(crate) fn status(&mut self, versions: Vec<HeldVersion>, now: Instant) {
        let lives = |at: Instant| now.saturating_duration_since(at) < REFUSAL_LIFE;
        let unchanged = versions == self.status;
        self.refusal = self.refusal.take().filter(|(_, at)| unchanged && lives(*at));
        self.status = versions;
    }

    /// Takes the versions that came with a refusal.
    pub(crate) fn refused(&mut self, versions: Vec<HeldVersion>, now: Instant) {
        self.refusal = Some((versions, now));
    }
}

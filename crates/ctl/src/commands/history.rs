//! `history`: lists the latest changes.

use std::fmt;

use chervil_base::message;
use chervil_config::Operation;
use chervil_config::read_history;
use chervil_sheet::time::ExportTime;

use crate::error::CtlError;
use crate::report::Exit;
use crate::report::Report;
use crate::session::Session;

message! {
    /// Changes in the history.
    #[derive(Eq)]
    struct History {
        /// Oldest first.
        changes: Vec<Operation>,
    }
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return write!(f, "no changes yet");
        }
        self.changes.iter().try_for_each(|c| {
            let time = ExportTime::from_unix_secs(c.time_ms / 1000);
            writeln!(f, "{time}  revision {}  {}  {}  {}", c.revision, c.operator, c.id, c.summary)
        })
    }
}

pub(crate) async fn run(session: &Session) -> Result<Report, CtlError> {
    let changes = read_history(&session.store).await;
    let changes = changes.map_err(|result| CtlError::History { result })?;
    Ok(Report::new(&History { changes }, Exit::Done))
}

//! What the commands share: the store, the agents and the operator.

use std::time::Duration;

use chervil_base::clock::SystemClock;
use chervil_config::Change;
use chervil_config::ChangeResult;
use chervil_config::Editor;
use chervil_config::EditorSettings;
use chervil_platform::HttpHosts;
use chervil_platform::HttpSettings;
use chervil_platform::HttpStore;
use snafu::ResultExt as _;

use crate::agents::Agents;
use crate::error::CtlError;
use crate::error::HttpSnafu;
use crate::settings::CtlSettings;

/// Connections of one run of the tool.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) store: HttpStore,
    pub(crate) hosts: HttpHosts,
    pub(crate) agents: Agents,
    pub(crate) settings: CtlSettings,
    /// Id of this run's change.
    pub(crate) operation: Box<str>,
}

impl Session {
    pub(crate) fn new(
        settings: CtlSettings,
        operation: Option<Box<str>>,
    ) -> Result<Session, CtlError> {
        let mut http = HttpSettings::new(&settings.store);
        http.timeout = Duration::from_millis(settings.timeout_ms);
        let operation =
            operation.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()).into());
        Ok(Session {
            store: HttpStore::new(&http).context(HttpSnafu)?,
            hosts: HttpHosts::new(&http).context(HttpSnafu)?,
            agents: Agents::new(settings.secret.clone()),
            settings,
            operation,
        })
    }

    /// Makes a change in the store.
    pub(crate) async fn change(&self, change: &Change) -> ChangeResult {
        let clock = SystemClock;
        let operator = &self.settings.operator;
        let attempts = self.settings.resolve_attempts;
        let settings = EditorSettings { attempts, ..EditorSettings::default() };
        let editor = Editor::new(&self.store, &clock, operator, settings);
        editor.change(change, &self.operation).await
    }
}

//! What the commands share: the store, the agents and the operator.

use std::time::Duration;

use chervil_base::clock::SystemClock;
use chervil_config::Change;
use chervil_config::ChangeResult;
use chervil_config::ConfigError;
use chervil_config::ConfigReplica;
use chervil_config::Editor;
use chervil_config::EditorSettings;
use chervil_config::HEAD_KEY;
use chervil_config::Head;
use chervil_config::read_delta;
use chervil_platform::HttpHosts;
use chervil_platform::HttpSettings;
use chervil_platform::HttpStore;
use chervil_platform::Store as _;
use snafu::ResultExt as _;
use snafu::ensure;

use crate::agents::AgentHost;
use crate::agents::Agents;
use crate::error::ConfigSnafu;
use crate::error::CtlError;
use crate::error::HttpSnafu;
use crate::error::IsolatedSnafu;
use crate::error::StoreSnafu;
use crate::settings::CtlSettings;

/// Hosts that are tried as a source of the configuration.
const MAX_SOURCES: usize = 8;

/// Configuration as far as it can be learned.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) adopted: ConfigReplica,
    /// Revision in the store; `None` when the store does not answer.
    pub(crate) store_revision: Option<u64>,
}

/// Connections of one run of the tool.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) store: HttpStore,
    pub(crate) hosts: HttpHosts,
    pub(crate) agents: Agents,
    pub(crate) settings: CtlSettings,
    /// Id of this run's change.
    operation: Box<str>,
    /// Whether an earlier run had the same id.
    repeats: bool,
}

impl Session {
    pub(crate) fn new(
        settings: CtlSettings,
        operation: Option<Box<str>>,
    ) -> Result<Session, CtlError> {
        let mut http = HttpSettings::new(&settings.store);
        http.timeout = Duration::from_millis(settings.timeout_ms);
        let repeats = operation.is_some();
        let operation =
            operation.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()).into());
        Ok(Session {
            store: HttpStore::new(&http).context(HttpSnafu)?,
            hosts: HttpHosts::new(&http).context(HttpSnafu)?,
            agents: Agents::new(settings.secret.clone()),
            settings,
            operation,
            repeats,
        })
    }

    /// Reads the configuration: most of it from a host, which has it in memory,
    /// and what is newer from the store. Reading all of it from the store takes
    /// several hundred calls at 20,000 servers.
    pub(crate) async fn read(&self, hosts: &[AgentHost]) -> Result<Known, CtlError> {
        let mut adopted = self.adopt_from_host(hosts).await;
        let store_revision = match self.store.get(HEAD_KEY).await {
            Ok(found) => Some(found.map_or(Ok(0), |f| revision_of(&f.value))?),
            Err(_) => None,
        };
        if store_revision.is_some_and(|r| r > adopted.revision()) {
            let newer = read_delta(&self.store, &adopted).await.context(StoreSnafu)?;
            adopted.apply(&newer).context(ConfigSnafu)?;
        }
        ensure!(store_revision.is_some() || adopted.revision() > 0, IsolatedSnafu);
        Ok(Known { adopted, store_revision })
    }

    async fn adopt_from_host(&self, hosts: &[AgentHost]) -> ConfigReplica {
        let mut adopted = ConfigReplica::new();
        for host in hosts.iter().take(MAX_SOURCES) {
            let state = self.agents.pull(host).await.unwrap_or_default();
            if adopted.apply(&state).is_ok_and(|grew| grew) {
                break;
            }
        }
        adopted
    }

    /// Makes a change in the store, unless hosts are known to be at a higher
    /// revision than the store.
    pub(crate) async fn change(&self, change: &Change, hosts: &[AgentHost]) -> ChangeResult {
        let highest = match change {
            Change::Recover(_) => 0,
            _ => self.agents.sample_revision(hosts).await,
        };
        let clock = SystemClock;
        let operator = &self.settings.operator;
        let max_attempts = self.settings.resolve_attempts;
        let settings = EditorSettings { max_attempts, ..EditorSettings::default() };
        let editor = Editor::new(&self.store, &clock, operator, settings);
        editor
            .min_head_revision(highest)
            .search_history(self.repeats)
            .change(change, &self.operation)
            .await
    }
}

fn revision_of(head: &str) -> Result<u64, CtlError> {
    let head: Head = serde_json::from_str(head)
        .map_err(|source| ConfigError::InvalidHead { source })
        .context(ConfigSnafu)?;
    Ok(head.revision)
}

//! Connections to the store and the agents, which all commands share.

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
use crate::error::AllUnreachableSnafu;
use crate::error::ConfigSnafu;
use crate::error::CtlError;
use crate::error::HttpSnafu;
use crate::error::StoreSnafu;
use crate::settings::CtlSettings;

/// Maximum number of hosts that the configuration is pulled from, one after the
/// other, until one delivers it.
const MAX_PULL_HOSTS: usize = 8;

/// Latest configuration found on the hosts and in the store.
#[derive(Debug)]
pub(crate) struct KnownConfig {
    pub(crate) config: ConfigReplica,
    /// Revision in the store; `None` when the store does not answer.
    pub(crate) store_revision: Option<u64>,
}

/// Connections and settings of one run of `chervilctl`.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) store: HttpStore,
    pub(crate) hosts: HttpHosts,
    pub(crate) agents: Agents,
    pub(crate) settings: CtlSettings,
    /// Id of the change that this run makes.
    operation: Box<str>,
    /// Whether this run repeats the operation of an earlier run.
    is_repeat: bool,
}

impl Session {
    pub(crate) fn new(
        settings: CtlSettings,
        operation: Option<Box<str>>,
    ) -> Result<Session, CtlError> {
        let mut http = HttpSettings::new(&settings.store);
        http.timeout = Duration::from_millis(settings.timeout_ms);
        let is_repeat = operation.is_some();
        let operation =
            operation.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()).into());
        Ok(Session {
            store: HttpStore::new(&http).context(HttpSnafu)?,
            hosts: HttpHosts::new(&http).context(HttpSnafu)?,
            agents: Agents::new(settings.secret.clone()),
            settings,
            operation,
            is_repeat,
        })
    }

    /// Reads the latest configuration. Most of it comes from a host, which holds
    /// it in memory, and only newer records come from the store: reading
    /// everything from the store takes several hundred calls at 20,000 servers.
    pub(crate) async fn read(&self, hosts: &[AgentHost]) -> Result<KnownConfig, CtlError> {
        let mut config = self.pull_from_host(hosts).await;
        let store_revision = match self.store.get(HEAD_KEY).await {
            Ok(found) => Some(found.map_or(Ok(0), |f| parse_revision(&f.value))?),
            Err(_) => None,
        };
        if store_revision.is_some_and(|r| r > config.revision()) {
            let newer = read_delta(&self.store, &config).await.context(StoreSnafu)?;
            config.apply(&newer).context(ConfigSnafu)?;
        }
        ensure!(store_revision.is_some() || config.revision() > 0, AllUnreachableSnafu);
        Ok(KnownConfig { config, store_revision })
    }

    /// Configuration of the first host that delivers a valid one; empty when none
    /// does.
    async fn pull_from_host(&self, hosts: &[AgentHost]) -> ConfigReplica {
        let mut config = ConfigReplica::new();
        for host in hosts.iter().take(MAX_PULL_HOSTS) {
            let delta = self.agents.pull(host).await.unwrap_or_default();
            if config.apply(&delta).is_ok_and(|increased| increased) {
                break;
            }
        }
        config
    }

    /// Makes a change in the store. It is refused when a sampled host holds a
    /// higher revision than the store, which then lost newer changes.
    pub(crate) async fn change(&self, change: &Change, hosts: &[AgentHost]) -> ChangeResult {
        let min_revision = match change {
            Change::Recover(_) => 0,
            _ => self.agents.max_sampled_revision(hosts).await,
        };
        let clock = SystemClock;
        let operator = &self.settings.operator;
        let max_attempts = self.settings.resolve_attempts;
        let settings = EditorSettings { max_attempts, ..EditorSettings::default() };
        let editor = Editor::new(&self.store, &clock, operator, settings);
        editor
            .min_head_revision(min_revision)
            .search_history(self.is_repeat)
            .change(change, &self.operation)
            .await
    }
}

/// Revision of a serialized head.
fn parse_revision(head: &str) -> Result<u64, CtlError> {
    let head: Head = serde_json::from_str(head)
        .map_err(|source| ConfigError::InvalidHead { source })
        .context(ConfigSnafu)?;
    Ok(head.revision)
}

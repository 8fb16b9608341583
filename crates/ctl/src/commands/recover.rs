//! `recover`: writes the configuration of the host with the highest revision back
//! to a store that was restored with older data.

use chervil_config::Change;
use chervil_config::ConfigReplica;
use snafu::ResultExt as _;

use crate::agents;
use crate::error::ConfigSnafu;
use crate::error::CtlError;
use crate::report::Report;
use crate::rollout;
use crate::session::Session;

pub(crate) async fn run(session: &Session) -> Result<Report, CtlError> {
    let hosts = agents::list_hosts(session).await;
    let statuses = session.agents.statuses(&hosts).await;
    let answered = hosts.iter().zip(statuses).filter_map(|(h, s)| Some((h, s?.revision)));
    let (newest, _) =
        answered.max_by_key(|(_, revision)| *revision).ok_or(CtlError::HostsUnreachable)?;
    let delta = session.agents.pull(newest).await.ok_or(CtlError::HostsUnreachable)?;
    let mut config = ConfigReplica::new();
    config.apply(&delta).context(ConfigSnafu)?;
    Ok(rollout::apply_change(session, &Change::Recover(config)).await)
}

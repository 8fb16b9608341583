//! `recover`: writes the hosts' configuration back to a store that came back
//! with older data.

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
    let hosts = agents::list(session).await;
    let statuses = session.agents.statuses(&hosts).await;
    let reached = hosts.iter().zip(statuses).filter_map(|(h, s)| Some((h, s?.revision)));
    let (newest, _) = reached.max_by_key(|(_, revision)| *revision).ok_or(CtlError::NoHost)?;
    let state = session.agents.pull(newest).await.ok_or(CtlError::NoHost)?;
    let mut adopted = ConfigReplica::new();
    adopted.apply(&state).context(ConfigSnafu)?;
    Ok(rollout::change(session, &Change::Recover(adopted)).await)
}

//! Connections to the backend servers of new shards, opened before a query needs
//! them: a query that opens dozens at once misses its latency target.

use std::sync::Arc;
use std::time::Duration;

use chervil_base::HashSet;
use chervil_route::config::Config;
use chervil_route::config::Target;

use crate::attempt;
use crate::core::Core;

/// Typical latency that the choice assumes; only what differs between backend
/// servers matters here.
const EXPECTED: Duration = Duration::from_millis(20);

/// Names of all shards of a configuration.
pub fn shards(config: &Config) -> HashSet<Box<str>> {
    let mut shards = HashSet::default();
    for route in &config.routes {
        if let Target::Gather(gather) = &route.target {
            shards.extend(gather.shards.iter().cloned());
        }
    }
    shards
}

/// Opens a connection to one backend server of each service, one after the
/// other, unless there is one already.
pub async fn connect(core: Arc<Core>, services: Vec<Box<str>>) {
    let mut opened = 0;
    for service in &services {
        let Some(choice) = core.choose(service, &[], EXPECTED) else { continue };
        opened += u32::from(attempt::connect(&core, choice).await);
    }
    spdlog::info!("connections opened ahead", kv: { services = services.len(), opened });
}

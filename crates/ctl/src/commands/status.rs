//! `status`: shows the configuration and which hosts it is in force on.

use std::fmt;

use chervil_base::message;
use chervil_config::ConfigReplica;
use chervil_config::Target;
use chervil_sheet::time::ExportTime;

use crate::agents;
use crate::error::CtlError;
use crate::report::Exit;
use crate::report::Report;
use crate::rollout;
use crate::rollout::Rollout;
use crate::session::KnownConfig;
use crate::session::Session;

message! {
    /// Service state of a zone, from the sheet and from overrides.
    #[derive(Eq)]
    struct ZoneStatus {
        zone: Box<str>,
        /// Whether the sheet has the zone in service; `None` when the sheet does not
        /// list it.
        sheet: Option<bool>,
        /// Revision of the override that took the zone out of service, if any.
        overridden: Option<u64>,
        in_service: bool,
    }

    /// Server that an operator has drained.
    #[derive(Eq)]
    struct DrainedServer {
        server: Box<str>,
        /// Revision that drained the server.
        revision: u64,
        /// Whether the sheet lists the server.
        listed: bool,
    }

    /// Configuration and its rollout.
    #[derive(Eq)]
    struct Status {
        revision: u64,
        exported: Option<ExportTime>,
        /// Revision in the store; `None` when the store does not answer.
        store_revision: Option<u64>,
        services: usize,
        servers: usize,
        zones: Vec<ZoneStatus>,
        drained: Vec<DrainedServer>,
        rollout: Rollout,
    }
}

pub(crate) async fn run(session: &Session) -> Result<Report, CtlError> {
    let hosts = agents::list_hosts(session).await;
    let KnownConfig { config, store_revision } = session.read(&hosts).await?;
    let rollout = rollout::query_hosts(session, &hosts, config.revision()).await;
    let catalog = config.sheet_catalog();
    let status = Status {
        revision: config.revision(),
        exported: config.head().and_then(|h| h.exported),
        store_revision,
        services: catalog.services.len(),
        servers: catalog.servers.len(),
        zones: zone_statuses(&config),
        drained: drained_servers(&config),
        rollout,
    };
    Ok(Report::new(&status, Exit::Done))
}

/// Zones of the sheet, then zones that only an override names.
fn zone_statuses(config: &ConfigReplica) -> Vec<ZoneStatus> {
    let overrides = config.head().map_or(&[][..], |h| &h.overrides);
    let overridden = |name: &str| {
        let mut zones = overrides.iter();
        zones.find(|o| matches!(&o.target, Target::Zone(z) if &**z == name)).map(|o| o.revision)
    };
    let listed = config.sheet_catalog().zones;
    let mut statuses: Vec<ZoneStatus> = listed
        .iter()
        .map(|z| {
            let overridden = overridden(&z.name);
            let in_service = z.in_service && overridden.is_none();
            ZoneStatus { zone: z.name.clone(), sheet: Some(z.in_service), overridden, in_service }
        })
        .collect();
    for o in overrides {
        if let Target::Zone(name) = &o.target
            && listed.iter().all(|z| z.name != *name)
        {
            let overridden = Some(o.revision);
            let zone = name.clone();
            statuses.push(ZoneStatus { zone, sheet: None, overridden, in_service: false });
        }
    }
    statuses
}

fn drained_servers(config: &ConfigReplica) -> Vec<DrainedServer> {
    let catalog = config.sheet_catalog();
    let overrides = config.head().map_or(&[][..], |h| &h.overrides);
    let servers = overrides.iter().filter_map(|o| match &o.target {
        Target::Server(name) => Some((name, o.revision)),
        Target::Zone(_) => None,
    });
    servers
        .map(|(name, revision)| {
            let listed = catalog.servers.iter().any(|s| s.name == *name);
            DrainedServer { server: name.clone(), revision, listed }
        })
        .collect()
}

impl fmt::Display for ZoneStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sheet = match self.sheet {
            Some(true) => "in",
            Some(false) => "out",
            None => "not listed",
        };
        write!(f, "zone {}: sheet says {sheet}, override says ", self.zone)?;
        match self.overridden {
            Some(revision) => write!(f, "out since revision {revision}")?,
            None => write!(f, "nothing")?,
        }
        write!(f, "; {}", if self.in_service { "in service" } else { "out of service" })
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.exported {
            Some(time) => write!(f, "revision {}, sheet of {time}", self.revision)?,
            None => write!(f, "revision {}, no sheet yet", self.revision)?,
        }
        writeln!(f, ", {} services, {} servers", self.services, self.servers)?;
        match self.store_revision {
            None => writeln!(
                f,
                "the platform's store cannot be reached; this status comes from the hosts"
            )?,
            Some(r) if r < self.revision => writeln!(
                f,
                "the store is older, at revision {r}; `chervilctl recover` writes the hosts' \
                 configuration back"
            )?,
            Some(_) => {}
        }
        self.zones.iter().try_for_each(|z| writeln!(f, "{z}"))?;
        for d in &self.drained {
            let note = if d.listed { "" } else { " (not in the sheet)" };
            writeln!(f, "server {}: drained since revision {}{note}", d.server, d.revision)?;
        }
        write!(f, "{}", self.rollout)
    }
}

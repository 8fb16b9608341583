//! Bodies of the HTTP protocol.

use std::time::Duration;

use chervil_base::index::HeldVersion;
use chervil_base::message;
use chervil_rpc::gate::Row;

use crate::connection::AskResponse;
use crate::connection::Load;
use crate::connection::ServerRefusal;
use crate::connection::ServerStatus;

message! {
    /// Load in a reply.
    pub(crate) struct LoadBody {
        pub(crate) running: u32,
        pub(crate) slots: u32,
    }

    /// Reply to a request for one shard.
    pub(crate) struct AskBody {
        version: u64,
        rows: Vec<Row>,
        #[serde(default)]
        partial: bool,
        load: Option<LoadBody>,
        #[serde(default)]
        uptime_ms: u64,
    }

    /// Load in the reply to non-idempotent work.
    pub(crate) struct RunBody {
        load: LoadBody,
        uptime_ms: u64,
    }

    /// Reply to a status request.
    pub(crate) struct StatusBody {
        versions: Vec<HeldVersion>,
        load: LoadBody,
        #[serde(default)]
        draining: bool,
        uptime_ms: u64,
    }

    /// Reply of a server that does not hold the version.
    #[derive(Default)]
    #[serde(default)]
    pub(crate) struct VersionsBody {
        pub(crate) versions: Vec<HeldVersion>,
    }

    /// Reply of a server that did not start the work.
    pub(crate) struct RefusalBody {
        pub(crate) refused: RefusalWord,
    }

    /// Reasons of such a reply.
    #[serde(rename_all = "snake_case")]
    pub(crate) enum RefusalWord {
        Busy,
        Cold,
        Draining,
    }
}

fn load(body: LoadBody, uptime_ms: u64) -> Load {
    let uptime = Duration::from_millis(uptime_ms);
    Load { running: body.running, slots: body.slots, uptime }
}

impl RunBody {
    pub(crate) fn load(self) -> Load {
        load(self.load, self.uptime_ms)
    }
}

impl From<AskBody> for AskResponse {
    fn from(body: AskBody) -> AskResponse {
        let uptime = body.uptime_ms;
        AskResponse {
            version: body.version,
            rows: body.rows,
            partial: body.partial,
            load: body.load.map(|l| load(l, uptime)),
        }
    }
}

impl From<StatusBody> for ServerStatus {
    fn from(body: StatusBody) -> ServerStatus {
        ServerStatus {
            versions: body.versions,
            load: load(body.load, body.uptime_ms),
            draining: body.draining,
        }
    }
}

impl From<RefusalWord> for ServerRefusal {
    fn from(word: RefusalWord) -> ServerRefusal {
        match word {
            RefusalWord::Busy => ServerRefusal::Busy,
            RefusalWord::Cold => ServerRefusal::Cold,
            RefusalWord::Draining => ServerRefusal::Draining,
        }
    }
}

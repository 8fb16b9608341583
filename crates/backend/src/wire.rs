//! JSON bodies of the HTTP protocol.

use std::time::Duration;

use chervil_base::index::HeldVersion;
use chervil_base::message;
use chervil_rpc::gate::Row;

use crate::connection::AskResponse;
use crate::connection::Load;
use crate::connection::ServerRefusal;
use crate::connection::ServerStatus;

message! {
    /// Load of the server, part of other bodies.
    pub(crate) struct LoadBody {
        pub(crate) running: u32,
        pub(crate) slots: u32,
    }

    /// Reply to a request for one shard.
    pub(crate) struct AskReplyBody {
        version: u64,
        rows: Vec<Row>,
        #[serde(default)]
        partial: bool,
        load: Option<LoadBody>,
        #[serde(default)]
        uptime_ms: u64,
    }

    /// Load report in the reply to a non-idempotent request.
    pub(crate) struct RunReplyBody {
        load: LoadBody,
        uptime_ms: u64,
    }

    /// Reply to a status request.
    pub(crate) struct StatusReplyBody {
        versions: Vec<HeldVersion>,
        load: LoadBody,
        #[serde(default)]
        draining: bool,
        uptime_ms: u64,
    }

    /// Reply of a server that does not hold the requested index version or shard.
    #[derive(Default)]
    #[serde(default)]
    pub(crate) struct WrongVersionBody {
        pub(crate) versions: Vec<HeldVersion>,
    }

    /// Reply of a server that did not start the request.
    pub(crate) struct RefusedBody {
        pub(crate) refused: RefusalReason,
    }

    /// Reason in a [`RefusedBody`].
    #[serde(rename_all = "snake_case")]
    pub(crate) enum RefusalReason {
        Busy,
        Cold,
        Draining,
    }
}

fn to_load(body: LoadBody, uptime_ms: u64) -> Load {
    let uptime = Duration::from_millis(uptime_ms);
    Load { running: body.running, slots: body.slots, uptime }
}

impl RunReplyBody {
    pub(crate) fn into_load(self) -> Load {
        to_load(self.load, self.uptime_ms)
    }
}

impl From<AskReplyBody> for AskResponse {
    fn from(body: AskReplyBody) -> AskResponse {
        AskResponse {
            version: body.version,
            rows: body.rows,
            partial: body.partial,
            load: body.load.map(|l| to_load(l, body.uptime_ms)),
        }
    }
}

impl From<StatusReplyBody> for ServerStatus {
    fn from(body: StatusReplyBody) -> ServerStatus {
        ServerStatus {
            versions: body.versions,
            load: to_load(body.load, body.uptime_ms),
            draining: body.draining,
        }
    }
}

impl From<RefusalReason> for ServerRefusal {
    fn from(reason: RefusalReason) -> ServerRefusal {
        match reason {
            RefusalReason::Busy => ServerRefusal::Busy,
            RefusalReason::Cold => ServerRefusal::Cold,
            RefusalReason::Draining => ServerRefusal::Draining,
        }
    }
}

//! How an operator's change ended.

use std::fmt;

use chervil_base::message;
use chervil_platform::MAX_VALUE;
use chervil_rpc::agent::StateDelta;
use chervil_sheet::diff::Removal;
use chervil_sheet::time::ExportTime;

use crate::head::Operation;
use crate::head::Target;

message! {
    /// Accepted change.
    #[derive(Eq)]
    pub struct Accepted {
        /// What is in the head about it.
        pub operation: Operation,
        /// What the hosts of the revision before lack; not part of reports.
        #[serde(skip)]
        pub delta: StateDelta,
    }

    /// How a change ended. Only [`ChangeResult::Accepted`] changed anything,
    /// and [`ChangeResult::Unknown`] may have.
    #[derive(Eq)]
    #[serde(tag = "result", rename_all = "snake_case")]
    pub enum ChangeResult {
        /// The change is in force.
        Accepted(Box<Accepted>),
        /// The configuration already is as asked.
        Unchanged {
            /// Revision in force.
            revision: u64,
        },
        /// Another operator changed the same part first.
        LostRace {
            /// Revision in force.
            revision: u64,
            /// Changes since the revision that this one was based on.
            changes: Vec<Operation>,
        },
        /// The sheet in force was exported later.
        OlderExport {
            /// Export time of the offered sheet.
            offered: ExportTime,
            /// Export time of the sheet in force.
            current: ExportTime,
        },
        /// The export time lies in the future; it would bar later sheets.
        FutureExport {
            /// Export time of the offered sheet.
            offered: ExportTime,
        },
        /// The sheet removes more than a fifth of the servers of a service.
        NeedsConfirmation {
            /// Servers that the sheet removes, over all services.
            removed: usize,
            /// Services that lose more than a fifth.
            removals: Vec<Removal>,
        },
        /// The zone or server is not declared.
        NotDeclared {
            /// Zone or server.
            target: Target,
        },
        /// There are as many overrides as the head holds.
        TooManyOverrides {
            /// Overrides in force.
            count: usize,
        },
        /// The head does not fit into a value of the store.
        TooLarge {
            /// Size, in bytes.
            size: usize,
        },
        /// What the store holds cannot be read.
        Damaged {
            /// Key in the store.
            key: Box<str>,
            /// Cause.
            reason: Box<str>,
        },
        /// Hosts hold a higher revision than the store.
        StoreOlder {
            /// Revision in the store.
            store: u64,
            /// Highest revision of a host.
            hosts: u64,
        },
        /// It cannot be known whether the change was accepted.
        Unknown {
            /// Id of the operation.
            operation: Box<str>,
        },
        /// The store cannot be reached or does not answer; nothing changed.
        StoreDown,
    }
}

impl fmt::Display for ChangeResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeResult::Accepted(a) => {
                write!(f, "accepted as revision {}: {}", a.operation.revision, a.operation.summary)
            }
            ChangeResult::Unchanged { revision } => {
                write!(f, "nothing to change: revision {revision} already is as asked")
            }
            ChangeResult::LostRace { revision, changes } => lost_race(f, *revision, changes),
            ChangeResult::OlderExport { offered, current } => write!(
                f,
                "refused: this sheet was exported at {offered}, the one in force at {current}; \
                 export a new sheet"
            ),
            ChangeResult::FutureExport { offered } => write!(
                f,
                "refused: the export time {offered} is more than a day ahead of this host's \
                 clock; correct the sheet or the clock"
            ),
            ChangeResult::NeedsConfirmation { removed, removals } => {
                needs_confirmation(f, *removed, removals)
            }
            ChangeResult::NotDeclared { target } => write!(
                f,
                "refused: {} {:?} is not declared; `chervilctl status` lists the names",
                target.kind(),
                target.name()
            ),
            ChangeResult::TooManyOverrides { count } => write!(
                f,
                "refused: {count} zones and servers are already out by override; set `out` in \
                 the sheet instead, and undrain them"
            ),
            ChangeResult::TooLarge { size } => write!(
                f,
                "refused: a value of {size} bytes exceeds the store's {MAX_VALUE}; undrain \
                 servers that the sheet no longer lists"
            ),
            ChangeResult::Damaged { key, reason } => write!(
                f,
                "failed: the store's value {key} is not readable: {reason}; use a chervilctl of \
                 the version that wrote it, or restore the value"
            ),
            ChangeResult::StoreOlder { store, hosts } => write!(
                f,
                "refused: the store is at revision {store} and hosts at {hosts}, so that the \
                 read was stale or the store came back with older data; repeat the command, \
                 and if that does not help run `chervilctl recover`"
            ),
            ChangeResult::Unknown { operation } => write!(
                f,
                "unknown: the store did not confirm operation {operation}; look for it in \
                 `chervilctl history`, or repeat the command with `--operation {operation}`"
            ),
            ChangeResult::StoreDown => write!(
                f,
                "failed: the platform's store cannot be reached or does not answer, nothing changed; \
                 repeat the command when it is back"
            ),
        }
    }
}

fn lost_race(f: &mut fmt::Formatter<'_>, revision: u64, changes: &[Operation]) -> fmt::Result {
    write!(f, "refused: the configuration changed meanwhile, to revision {revision}")?;
    for c in changes {
        write!(f, "\n  revision {} by {}: {}", c.revision, c.operator, c.summary)?;
    }
    write!(f, "\ncheck these changes, then repeat the command if it still applies")
}

fn needs_confirmation(
    f: &mut fmt::Formatter<'_>,
    removed: usize,
    removals: &[Removal],
) -> fmt::Result {
    write!(f, "refused: the sheet removes more than a fifth of the servers of a service")?;
    for r in removals {
        write!(f, "\n  {}: {} of {}", r.service, r.removed, r.before)?;
    }
    write!(f, "\nif that is intended, repeat the command with --confirm-removals {removed}")
}

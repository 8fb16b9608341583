//! Results of changes, as reported to operators.

use std::fmt;

use chervil_base::message;
use chervil_platform::MAX_VALUE_BYTES;
use chervil_rpc::agent::StateDelta;
use chervil_sheet::diff::Removal;
use chervil_sheet::time::ExportTime;

use crate::head::Operation;
use crate::head::Target;

message! {
    /// Accepted change.
    #[derive(Eq)]
    pub struct Accepted {
        /// Entry of the change in the head.
        pub operation: Operation,
        /// Delta to be pushed to hosts, from the revision before the change. It
        /// is empty when an earlier run made the change, and is not part of
        /// reports.
        #[serde(skip)]
        pub delta: StateDelta,
    }

    /// Result of a change. The configuration has changed only after
    /// [`ChangeResult::Accepted`] and possibly after [`ChangeResult::Unknown`].
    /// The text form states the cause and the remedy.
    #[derive(Eq)]
    #[serde(tag = "result", rename_all = "snake_case")]
    pub enum ChangeResult {
        /// The change is in force.
        Accepted(Box<Accepted>),
        /// The configuration already has the requested state.
        Unchanged {
            /// Revision in force.
            revision: u64,
        },
        /// A concurrent change to the same part of the configuration was made
        /// first.
        LostRace {
            /// Revision in force.
            revision: u64,
            /// Changes since the revision that this change was based on.
            changes: Vec<Operation>,
        },
        /// The sheet was exported before the one in force.
        OlderExport {
            /// Export time of the rejected sheet.
            offered: ExportTime,
            /// Export time of the sheet in force.
            current: ExportTime,
        },
        /// The export time is too far in the future. Sheets with a correct time
        /// would be rejected as older until then.
        FutureExport {
            /// Export time of the rejected sheet.
            offered: ExportTime,
        },
        /// The sheet removes more than a fifth of the servers of a service and
        /// the operator has not confirmed the number.
        NeedsConfirmation {
            /// Number of servers that the sheet removes, over all services.
            removed: usize,
            /// Services that lose more than a fifth of their servers.
            removals: Vec<Removal>,
        },
        /// The sheet in force does not declare the zone or server.
        NotDeclared {
            /// Undeclared zone or server.
            target: Target,
        },
        /// The maximum number of overrides is reached.
        TooManyOverrides {
            /// Number of overrides in force.
            count: usize,
        },
        /// A value, usually the head, exceeds the size limit of the store.
        TooLarge {
            /// Size of the value, in bytes.
            size: usize,
        },
        /// A value in the store cannot be parsed.
        Damaged {
            /// Store key of the value.
            key: Box<str>,
            /// Error of the JSON parser.
            reason: Box<str>,
        },
        /// Hosts have a higher revision than the store, which was restored from
        /// older data or answered with a stale read.
        StoreOlder {
            /// Revision in the store.
            store: u64,
            /// Highest known revision of a host.
            hosts: u64,
        },
        /// The store did not confirm the change, which may have been accepted.
        Unknown {
            /// Operation id that the caller gave.
            operation: Box<str>,
        },
        /// The store is unreachable or does not answer. Nothing was changed.
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
                write!(f, "nothing to change: revision {revision} already has the requested state")
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
                "refused: {count} zones and servers are already taken out by operators, which is \
                 the limit; set state `out` in the sheet instead, and undrain them"
            ),
            ChangeResult::TooLarge { size } => write!(
                f,
                "refused: a value of {size} bytes exceeds the store's {MAX_VALUE_BYTES}; undrain \
                 servers that the sheet no longer lists"
            ),
            ChangeResult::Damaged { key, reason } => write!(
                f,
                "failed: cannot parse the value of {key} in the store: {reason}; use a chervilctl \
                 of the version that wrote it, or restore the value"
            ),
            ChangeResult::StoreOlder { store, hosts } => write!(
                f,
                "refused: the store is at revision {store} but hosts are at {hosts}: the read was \
                 stale, or the store was restored from older data; repeat the command, and if \
                 that does not help run `chervilctl recover`"
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
    write!(f, "refused: the configuration was changed concurrently, to revision {revision}")?;
    for c in changes {
        write!(f, "\n  revision {} by {}: {}", c.revision, c.operator, c.summary)?;
    }
    write!(f, "\nreview these changes, then repeat the command if it still applies")
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

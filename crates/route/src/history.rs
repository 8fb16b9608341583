//! Positions in the history of the registry.
//!
//! The registry counts its changes in revisions. When it is restored from an older copy,
//! it gives out the revisions since the copy again, for other changes. Revisions can
//! therefore be compared only within one era, the time from one restore to the next.

use chervil_base::message;

message! {
    /// A position in the history of the registry. Later positions are greater.
    #[derive(Copy, Default, Eq, PartialOrd, Ord)]
    pub struct Position {
        /// Number of times that the registry was restored from an older copy; 0 if it does
        /// not state it.
        #[serde(default)]
        pub era: u64,
        /// Changes that the registry has counted.
        pub revision: u64,
    }
}

impl Position {
    /// The position after the next change.
    pub fn next(self) -> Position {
        Position { revision: self.revision.saturating_add(1), ..self }
    }
}

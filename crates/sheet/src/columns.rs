//! Columns of a sheet.

use chervil_base::key;

/// Header row that every sheet must start with.
pub(crate) const HEADER: &str =
    "kind,name,service,zone,address,slots,connections,connect_ms,shards,state";

key! {
    /// Columns in file order: the discriminant is the position in a row.
    pub(crate) enum Column {
        Kind,
        Name,
        Service,
        Zone,
        Address,
        Slots,
        Connections,
        ConnectMs,
        Shards,
        State,
    }
}

pub(crate) const COLUMN_COUNT: usize = 10;

impl Column {
    /// Zero-based position in a row.
    pub(crate) fn index(self) -> usize {
        self as usize
    }

    /// Name as written in [`HEADER`].
    pub(crate) fn name(self) -> &'static str {
        HEADER.split(',').nth(self.index()).unwrap_or_default()
    }
}

//! Columns of the sheet.

use chervil_base::key;

/// Header row of every sheet.
pub(crate) const HEADER: &str =
    "kind,name,service,zone,address,slots,connections,connect_ms,shards,state";

key! {
    /// Column of the sheet, in file order.
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

/// Number of columns.
pub(crate) const COLUMNS: usize = 10;

impl Column {
    /// Position in a row, from 0.
    pub(crate) fn index(self) -> usize {
        self as usize
    }

    /// Name in the header.
    pub(crate) fn name(self) -> &'static str {
        HEADER.split(',').nth(self.index()).unwrap_or_default()
    }
}

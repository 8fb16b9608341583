//! Entry point of the parser: bytes of a file in, validated sheet out.

use chervil_base::catalog::CatalogSpec;

use crate::check;
use crate::problem::SheetError;
use crate::rows;
use crate::rows::Problems;
use crate::time::ExportTime;

/// Sheet without problems: all rows are valid and consistent with each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Sheet {
    /// Export time that the sheet states. A sheet with an earlier one does not
    /// replace it.
    pub exported: ExportTime,
    /// Declared zones, services and servers, each sorted by name. The revision
    /// is 0: it is assigned when the sheet is applied.
    pub catalog: CatalogSpec,
}

impl Sheet {
    /// Parses and validates the content of a sheet file. `file` is the name
    /// under which problems refer to it.
    ///
    /// # Errors
    ///
    /// Returns all problems that were found, not only the first one.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<Sheet, SheetError> {
        let mut problems = Problems::new(file);
        let sheet = rows::decode_utf8(bytes, &mut problems).and_then(|text| {
            let rows = rows::parse_rows(text, &mut problems)?;
            check::check(&rows, &mut problems)
        });
        let problems = problems.into_sorted();
        match sheet {
            Some(sheet) if problems.is_empty() => Ok(sheet),
            _ => Err(SheetError { problems }),
        }
    }
}

//! A valid sheet.

use chervil_base::catalog::CatalogSpec;

use crate::check;
use crate::problem::SheetError;
use crate::rows;
use crate::rows::Findings;
use crate::time::ExportTime;

/// Sheet that passed every check.
#[derive(Clone, Debug, PartialEq)]
pub struct Sheet {
    /// When the planners exported it.
    pub exported: ExportTime,
    /// What it declares, sorted by name; the revision is 0.
    pub catalog: CatalogSpec,
}

impl Sheet {
    /// Parses and checks a sheet; `file` names it in problems.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<Sheet, SheetError> {
        let mut findings = Findings::new(file);
        let sheet = rows::decode(bytes, &mut findings).and_then(|text| {
            let rows = rows::split(text, &mut findings)?;
            check::check(&rows, &mut findings)
        });
        let problems = findings.sorted();
        match sheet {
            Some(sheet) if problems.is_empty() => Ok(sheet),
            _ => Err(SheetError { problems }),
        }
    }
}

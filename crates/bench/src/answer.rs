//! One answer, whichever policy gave it, and its check against the index.

use chervil_base::coverage::Coverage;
use chervil_base::coverage::MissingReason;
use chervil_base::message;
use chervil_base::shards::Shard;
use chervil_standin::rows::Row;
use chervil_standin::rows::shard_rows;

message! {
    /// Body of an answer, as entries send it.
    pub struct AnswerBody {
        /// What the answer covers.
        pub coverage: Coverage,
        /// Rows.
        pub rows: Vec<Row>,
    }
}

/// How a query ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Rows came, perhaps not of all shards.
    Rows {
        /// Answered shards.
        answered: u32,
        /// All shards of the version.
        total: u32,
        /// Whether it was declared complete.
        complete: bool,
        /// Why the other shards are missing.
        missing: Vec<MissingReason>,
        /// Whether the rows are exactly those that the coverage promises.
        accurate: bool,
    },
    /// No rows came, for this reason.
    Refused(Box<str>),
}

impl Answer {
    /// Checks the body of an answer that was declared complete or not.
    pub fn verify(service: &str, declared: bool, body: &AnswerBody) -> Answer {
        let Coverage { version, total, answered, missing } = &body.coverage;
        let whole = declared == body.coverage.is_complete();
        let sum = *answered as usize + missing.len() == *total as usize;
        let rows = version.is_some_and(|v| {
            let lost: Vec<Shard> = missing.iter().map(|m| m.shard).collect();
            covers(service, v, *total, &lost, &body.rows)
        });
        // An answer without rows of any shard has no version to check.
        let empty = *answered == 0 && body.rows.is_empty();
        Answer::Rows {
            answered: *answered,
            total: *total,
            complete: declared,
            missing: missing.iter().map(|m| m.reason).collect(),
            accurate: whole && sum && (rows || empty),
        }
    }
}

/// Whether the rows are those of all shards but the missing ones. A shard that
/// the server itself answered in part is missing, yet some of its rows came.
fn covers(service: &str, version: u64, total: u32, missing: &[Shard], rows: &[Row]) -> bool {
    let mut expected: Vec<Row> = (0..total)
        .filter(|s| !missing.contains(s))
        .flat_map(|s| shard_rows(service, version, s))
        .collect();
    let sort = |rows: &mut Vec<Row>| rows.sort_unstable_by(|a, b| a.key.cmp(&b.key));
    let mut found: Vec<Row> =
        rows.iter().filter(|r| !missing.contains(&r.value.shard)).cloned().collect();
    sort(&mut expected);
    sort(&mut found);
    expected == found && rows.iter().all(|r| r.value.version == version)
}

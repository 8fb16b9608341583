//! Answer to a query and its verification against the simulated index.

use chervil_base::coverage::Coverage;
use chervil_base::coverage::MissingReason;
use chervil_base::message;
use chervil_base::shards::Shard;
use chervil_standin::rows::Row;
use chervil_standin::rows::shard_rows;

message! {
    /// Body of an entry's answer.
    pub struct AnswerBody {
        /// Version and shards that the rows come from.
        pub coverage: Coverage,
        /// Merged rows; those of missing shards may be among them in part.
        pub rows: Vec<Row>,
    }
}

/// Outcome of a query as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Rows of all shards or of some.
    Rows {
        /// Number of answered shards.
        answered: u32,
        /// Number of shards of the version.
        total: u32,
        /// Whether the answer claims to be complete.
        complete: bool,
        /// Reason for each missing shard.
        missing: Vec<MissingReason>,
        /// Whether the rows are exactly those of the shards that the coverage
        /// declares as answered.
        accurate: bool,
    },
    /// No rows, with the reason.
    Refused(Box<str>),
}

impl Answer {
    /// Verifies the body of an answer from `service`; `complete` is what its
    /// status claims.
    pub fn verify(service: &str, complete: bool, body: &AnswerBody) -> Answer {
        let Coverage { version, total, answered, missing } = &body.coverage;
        let claim_holds = complete == body.coverage.is_complete();
        let counts_add_up = *answered as usize + missing.len() == *total as usize;
        let rows_match = version.is_some_and(|v| {
            let absent: Vec<Shard> = missing.iter().map(|m| m.shard).collect();
            rows_match_index(service, v, *total, &absent, &body.rows)
        });
        // An answer without rows of any shard has no version to compare with.
        let empty = *answered == 0 && body.rows.is_empty();
        Answer::Rows {
            answered: *answered,
            total: *total,
            complete,
            missing: missing.iter().map(|m| m.reason).collect(),
            accurate: claim_holds && counts_add_up && (rows_match || empty),
        }
    }
}

/// Whether the rows are those of all shards but the missing ones. Rows of missing
/// shards are ignored: a shard with a partial reply from its server counts as
/// missing, but the answer holds the rows that came.
fn rows_match_index(
    service: &str,
    version: u64,
    total: u32,
    missing: &[Shard],
    rows: &[Row],
) -> bool {
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

//! Comparison of two catalogs.

use std::fmt;

use chervil_base::HashMap;
use chervil_base::HashSet;
use chervil_base::catalog::BackendServerSpec;
use chervil_base::catalog::CatalogSpec;
use chervil_base::catalog::ServiceSpec;
use chervil_base::catalog::ZoneSpec;
use chervil_base::message;

message! {
    /// Field whose value differs.
    #[derive(Eq)]
    pub struct FieldChange {
        /// Name of the sheet column.
        pub field: Box<str>,
        /// Value in the old catalog.
        pub from: Box<str>,
        /// Value in the new catalog.
        pub to: Box<str>,
    }

    /// How a declaration differs between the old and the new catalog.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Change {
        /// Only in the new catalog.
        Added,
        /// Only in the old catalog.
        Removed,
        /// In both, with these fields changed.
        Changed(Vec<FieldChange>),
    }

    /// Zone, service or server that differs.
    #[derive(Eq)]
    pub struct Difference {
        /// `zone`, `service` or `server`.
        pub kind: Box<str>,
        /// Name of the declaration.
        pub name: Box<str>,
        /// How it differs.
        pub change: Change,
    }

    /// Number of servers that a service loses.
    #[derive(Eq)]
    pub struct Removal {
        /// Name of the service.
        pub service: Box<str>,
        /// Servers of the old catalog that no longer belong to the service.
        pub removed: usize,
        /// Servers of the service in the old catalog.
        pub before: usize,
    }

    /// Differences between an old and a new catalog.
    #[derive(Default, Eq)]
    pub struct Diff {
        /// Zones, then services, then servers, each sorted by name.
        pub differences: Vec<Difference>,
        /// Services that lose servers, sorted by service.
        pub removals: Vec<Removal>,
    }
}

/// A removal is large, and needs a confirmation by the operator, if it exceeds
/// one part in this many of a service's servers.
const LARGE_REMOVAL_DIVISOR: usize = 5;

impl Removal {
    /// Whether more than a fifth of the service's servers are removed.
    pub fn is_large(&self) -> bool {
        self.removed * LARGE_REMOVAL_DIVISOR > self.before
    }
}

impl Diff {
    /// Compares two catalogs.
    pub fn new(old: &CatalogSpec, new: &CatalogSpec) -> Diff {
        let mut differences = compare("zone", &old.zones, &new.zones);
        differences.extend(compare("service", &old.services, &new.services));
        differences.extend(compare("server", &old.servers, &new.servers));
        Diff { differences, removals: removals(old, new) }
    }

    /// Whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.differences.is_empty()
    }

    /// Number of removed servers over all services.
    pub fn removed_servers(&self) -> usize {
        self.removals.iter().map(|r| r.removed).sum()
    }

    /// Returns one line with the number of differences of each kind, such as
    /// `1 server added, 2 services changed`.
    pub fn summary(&self) -> Box<str> {
        if self.is_empty() {
            return "no differences".into();
        }
        let mut parts = Vec::new();
        for kind in ["zone", "service", "server"] {
            for (label, filter) in CHANGE_LABELS {
                let matching = |d: &&Difference| &*d.kind == kind && filter(&d.change);
                let count = self.differences.iter().filter(matching).count();
                if count > 0 {
                    let plural = if count == 1 { "" } else { "s" };
                    parts.push(format!("{count} {kind}{plural} {label}"));
                }
            }
        }
        parts.join(", ").into()
    }
}

type ChangeFilter = fn(&Change) -> bool;

/// Words of the summary with the changes that they count.
const CHANGE_LABELS: [(&str, ChangeFilter); 3] = [
    ("added", |c| matches!(c, Change::Added)),
    ("removed", |c| matches!(c, Change::Removed)),
    ("changed", |c| matches!(c, Change::Changed(_))),
];

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, name) = (&self.kind, &self.name);
        match &self.change {
            Change::Added => write!(f, "+ {kind} {name}"),
            Change::Removed => write!(f, "- {kind} {name}"),
            Change::Changed(fields) => {
                write!(f, "~ {kind} {name}")?;
                fields.iter().try_for_each(|c| write!(f, " {} {} -> {}", c.field, c.from, c.to))
            }
        }
    }
}

/// Row of the sheet, for comparison by column.
trait Declaration {
    fn name(&self) -> &str;

    /// Column names and values, always in the same order.
    fn fields(&self) -> Vec<(&'static str, Box<str>)>;
}

impl Declaration for ZoneSpec {
    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self) -> Vec<(&'static str, Box<str>)> {
        vec![("state", state(self.in_service))]
    }
}

impl Declaration for ServiceSpec {
    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self) -> Vec<(&'static str, Box<str>)> {
        vec![("shards", self.shards.to_string().into()), ("state", state(self.in_service))]
    }
}

impl Declaration for BackendServerSpec {
    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self) -> Vec<(&'static str, Box<str>)> {
        vec![
            ("service", self.service.clone()),
            ("zone", self.zone.clone()),
            ("address", self.address.to_string().into()),
            ("slots", self.slots.to_string().into()),
            ("connections", self.connections.to_string().into()),
            ("connect_ms", self.connect_ms.to_string().into()),
            ("shards", self.shards.to_string().into()),
            ("state", state(self.in_service)),
        ]
    }
}

fn state(in_service: bool) -> Box<str> {
    if in_service { "in".into() } else { "out".into() }
}

fn compare<T>(kind: &str, old: &[T], new: &[T]) -> Vec<Difference>
where
    T: Declaration + PartialEq,
{
    let before: HashMap<&str, &T> = old.iter().map(|d| (d.name(), d)).collect();
    let after: HashSet<&str> = new.iter().map(Declaration::name).collect();
    let difference =
        |name: &str, change| Difference { kind: kind.into(), name: name.into(), change };
    let removed = old.iter().filter(|d| !after.contains(d.name()));
    let mut all: Vec<Difference> = removed.map(|d| difference(d.name(), Change::Removed)).collect();
    for d in new {
        match before.get(d.name()) {
            None => all.push(difference(d.name(), Change::Added)),
            Some(b) if *b != d => {
                all.push(difference(d.name(), Change::Changed(changes(*b, d))));
            }
            Some(_) => {}
        }
    }
    all.sort_by(|a, b| a.name.cmp(&b.name));
    all
}

fn changes<T>(old: &T, new: &T) -> Vec<FieldChange>
where
    T: Declaration,
{
    let pairs = old.fields().into_iter().zip(new.fields());
    let changed = pairs.filter(|(a, b)| a.1 != b.1);
    changed.map(|(a, b)| FieldChange { field: a.0.into(), from: a.1, to: b.1 }).collect()
}

/// Counts the servers that each service loses. A server that moves to another
/// service counts as removed from its old one.
fn removals(old: &CatalogSpec, new: &CatalogSpec) -> Vec<Removal> {
    let kept: HashSet<(&str, &str)> = new.servers.iter().map(|s| (&*s.name, &*s.service)).collect();
    let mut counts: HashMap<&str, (usize, usize)> = HashMap::default();
    for s in &old.servers {
        let (removed, before) = counts.entry(&s.service).or_default();
        *before += 1;
        *removed += usize::from(!kept.contains(&(&*s.name, &*s.service)));
    }
    let lost = counts.into_iter().filter(|(_, (removed, _))| *removed > 0);
    let mut all: Vec<Removal> = lost
        .map(|(service, (removed, before))| Removal { service: service.into(), removed, before })
        .collect();
    all.sort_by(|a, b| a.service.cmp(&b.service));
    all
}

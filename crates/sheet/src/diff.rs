//! Differences between two catalogs.

use std::fmt;

use chervil_base::HashMap;
use chervil_base::HashSet;
use chervil_base::catalog::BackendServerSpec;
use chervil_base::catalog::CatalogSpec;
use chervil_base::catalog::ServiceSpec;
use chervil_base::catalog::ZoneSpec;
use chervil_base::message;

message! {
    /// One field that differs.
    #[derive(Eq)]
    pub struct FieldChange {
        /// Name of the column.
        pub field: Box<str>,
        /// Value before.
        pub from: Box<str>,
        /// Value after.
        pub to: Box<str>,
    }

    /// What happens to a declaration.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Change {
        /// It is new.
        Added,
        /// It is gone.
        Removed,
        /// Some fields differ.
        Changed(Vec<FieldChange>),
    }

    /// A declaration that differs.
    #[derive(Eq)]
    pub struct Difference {
        /// `zone`, `service` or `server`.
        pub kind: Box<str>,
        /// Name of the declaration.
        pub name: Box<str>,
        /// What happens to it.
        pub change: Change,
    }

    /// Servers that a service loses.
    #[derive(Eq)]
    pub struct Removal {
        /// The service.
        pub service: Box<str>,
        /// Servers removed from it.
        pub removed: usize,
        /// Servers before.
        pub before: usize,
    }

    /// All differences between two catalogs.
    #[derive(Default, Eq)]
    pub struct Diff {
        /// Declarations that differ; zones first, then services and servers.
        pub differences: Vec<Difference>,
        /// Services that lose servers, sorted by name.
        pub removals: Vec<Removal>,
    }
}

/// Share of a service's servers above which a removal needs a confirmation.
const UNCONFIRMED_SHARE: usize = 5;

impl Removal {
    /// Whether more than a fifth of the servers go.
    pub fn is_large(&self) -> bool {
        self.removed * UNCONFIRMED_SHARE > self.before
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

    /// Servers removed, over all services.
    pub fn removed_servers(&self) -> usize {
        self.removals.iter().map(|r| r.removed).sum()
    }

    /// One line that counts the differences.
    pub fn summary(&self) -> Box<str> {
        if self.is_empty() {
            return "no differences".into();
        }
        let mut parts = Vec::new();
        for kind in ["zone", "service", "server"] {
            for (label, pick) in LABELS {
                let matching = |d: &&Difference| &*d.kind == kind && pick(&d.change);
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

type Pick = fn(&Change) -> bool;

const LABELS: [(&str, Pick); 3] = [
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

/// Declaration that can be compared field by field.
trait Declared {
    fn name(&self) -> &str;

    fn fields(&self) -> Vec<(&'static str, Box<str>)>;
}

impl Declared for ZoneSpec {
    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self) -> Vec<(&'static str, Box<str>)> {
        vec![("state", state(self.in_service))]
    }
}

impl Declared for ServiceSpec {
    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self) -> Vec<(&'static str, Box<str>)> {
        vec![("shards", self.shards.to_string().into()), ("state", state(self.in_service))]
    }
}

impl Declared for BackendServerSpec {
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
    T: Declared + PartialEq,
{
    let before: HashMap<&str, &T> = old.iter().map(|d| (d.name(), d)).collect();
    let after: HashSet<&str> = new.iter().map(Declared::name).collect();
    let difference =
        |name: &str, change| Difference { kind: kind.into(), name: name.into(), change };
    let gone = old.iter().filter(|d| !after.contains(d.name()));
    let mut all: Vec<Difference> = gone.map(|d| difference(d.name(), Change::Removed)).collect();
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
    T: Declared,
{
    let pairs = old.fields().into_iter().zip(new.fields());
    let changed = pairs.filter(|(a, b)| a.1 != b.1);
    changed.map(|(a, b)| FieldChange { field: a.0.into(), from: a.1, to: b.1 }).collect()
}

/// A server that moves to another service is removed from the one before.
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

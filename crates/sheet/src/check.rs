//! Checks rows and turns them into a catalog.

use std::net::SocketAddr;

use chervil_base::HashMap;
use chervil_base::catalog::BackendServerSpec;
use chervil_base::catalog::CatalogSpec;
use chervil_base::catalog::ServiceSpec;
use chervil_base::catalog::ZoneSpec;
use chervil_base::shards::MAX_SHARD;
use chervil_base::shards::Shard;
use chervil_base::shards::ShardSet;

use crate::columns::Column;
use crate::problem::ProblemKind;
use crate::rows::Findings;
use crate::rows::Row;
use crate::sheet::Sheet;
use crate::time::ExportTime;

const MAX_NAME: usize = 64;
const MAX_SLOTS: u32 = 10_000;
const MAX_CONNECTIONS: u32 = 100_000;
const MAX_CONNECT_MS: u32 = 60_000;

/// A declaration and the line that it came from.
#[derive(Debug)]
struct Placed<T> {
    line: u64,
    spec: T,
}

/// What a server row refers to, also when other cells have problems.
#[derive(Debug)]
struct Reference {
    line: u64,
    service: Box<str>,
    zone: Box<str>,
    shards: Option<ShardSet>,
}

#[derive(Debug, Default)]
struct Parts {
    zones: Vec<Placed<ZoneSpec>>,
    services: Vec<Placed<ServiceSpec>>,
    servers: Vec<BackendServerSpec>,
    references: Vec<Reference>,
    /// Lines of rows by kind and name, including rows with problems, so that a
    /// bad row is not also reported as undeclared.
    names: HashMap<(&'static str, Box<str>), u64>,
    addresses: HashMap<SocketAddr, u64>,
}

/// Checks all rows; the result is of use only when there are no findings.
pub(crate) fn check(rows: &[Row], findings: &mut Findings<'_>) -> Option<Sheet> {
    let exported = export_time(rows, findings);
    let mut parts = Parts::default();
    for row in rows {
        parts.add(row, findings);
    }
    if parts.references.is_empty() {
        findings.line(rows.last().map_or(2, |r| r.line), ProblemKind::NoServers);
    }
    parts.check_references(findings);
    parts.check_coverage(findings);
    Some(Sheet { exported: exported?, catalog: parts.catalog() })
}

fn export_time(rows: &[Row], findings: &mut Findings<'_>) -> Option<ExportTime> {
    let is_sheet = |r: &&Row| r.cell(Column::Kind) == "sheet";
    for second in rows.iter().skip(1).filter(is_sheet) {
        findings.line(second.line, ProblemKind::DuplicateSheetRow);
    }
    let Some(row) = rows.first().filter(is_sheet) else {
        findings.line(rows.first().map_or(2, |r| r.line), ProblemKind::MissingSheetRow);
        return None;
    };
    use Column::*;
    let unused = [Service, Zone, Address, Slots, Connections, ConnectMs, Shards, State];
    require_empty(row, "sheet", &unused, findings);
    match row.cell(Name).parse() {
        Ok(time) => Some(time),
        Err(source) => {
            findings.cell(row.line, Name, ProblemKind::InvalidExportTime { source });
            None
        }
    }
}

impl Parts {
    fn add(&mut self, row: &Row, findings: &mut Findings<'_>) {
        match row.cell(Column::Kind) {
            "sheet" => {}
            "zone" => {
                let spec = self.zone(row, findings);
                self.zones.extend(spec.map(|spec| Placed { line: row.line, spec }));
            }
            "service" => {
                let spec = self.service(row, findings);
                self.services.extend(spec.map(|spec| Placed { line: row.line, spec }));
            }
            "server" => {
                let spec = self.server(row, findings);
                self.servers.extend(spec);
            }
            found => {
                let kind = ProblemKind::UnknownKind { found: found.into() };
                findings.cell(row.line, Column::Kind, kind);
            }
        }
    }

    fn zone(&mut self, row: &Row, findings: &mut Findings<'_>) -> Option<ZoneSpec> {
        use Column::*;
        let unused = [Service, Zone, Address, Slots, Connections, ConnectMs, Shards];
        require_empty(row, "zone", &unused, findings);
        let name = self.name(row, "zone", findings);
        let in_service = state(row, findings);
        Some(ZoneSpec { name: name?, in_service: in_service? })
    }

    fn service(&mut self, row: &Row, findings: &mut Findings<'_>) -> Option<ServiceSpec> {
        use Column::*;
        let unused = [Service, Zone, Address, Slots, Connections, ConnectMs];
        require_empty(row, "service", &unused, findings);
        let name = self.name(row, "service", findings);
        let shards = number(row, Shards, 1, MAX_SHARD + 1, findings);
        let in_service = state(row, findings);
        Some(ServiceSpec { name: name?, shards: shards?, in_service: in_service? })
    }

    fn server(&mut self, row: &Row, findings: &mut Findings<'_>) -> Option<BackendServerSpec> {
        let name = self.name(row, "server", findings);
        let address = self.address(row, findings);
        let slots = number(row, Column::Slots, 1, MAX_SLOTS, findings);
        let connections = number(row, Column::Connections, 1, MAX_CONNECTIONS, findings);
        let connect_ms = number(row, Column::ConnectMs, 0, MAX_CONNECT_MS, findings);
        let shards = shards(row, findings);
        let in_service = state(row, findings);
        let service: Box<str> = row.cell(Column::Service).into();
        let zone: Box<str> = row.cell(Column::Zone).into();
        self.references.push(Reference {
            line: row.line,
            service: service.clone(),
            zone: zone.clone(),
            shards: shards.clone(),
        });
        Some(BackendServerSpec {
            name: name?,
            service,
            zone,
            address: address?,
            slots: slots?,
            connections: connections?,
            connect_ms: connect_ms?,
            shards: shards?,
            in_service: in_service?,
        })
    }

    fn name(
        &mut self,
        row: &Row,
        kind: &'static str,
        findings: &mut Findings<'_>,
    ) -> Option<Box<str>> {
        let name: Box<str> = row.cell(Column::Name).into();
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
        let dots = name.bytes().all(|b| b == b'.');
        if dots || name.len() > MAX_NAME || !name.bytes().all(allowed) {
            findings.cell(row.line, Column::Name, ProblemKind::InvalidName { found: name });
            return None;
        }
        let first = *self.names.entry((kind, name.clone())).or_insert(row.line);
        if first != row.line {
            let problem = ProblemKind::DuplicateName { kind, name, first };
            findings.cell(row.line, Column::Name, problem);
            return None;
        }
        Some(name)
    }

    fn address(&mut self, row: &Row, findings: &mut Findings<'_>) -> Option<SocketAddr> {
        let text = row.cell(Column::Address);
        let address = text.parse::<SocketAddr>().ok();
        let Some(address) = address.filter(|a| a.port() != 0 && !a.ip().is_unspecified()) else {
            let kind = ProblemKind::InvalidAddress { found: text.into() };
            findings.cell(row.line, Column::Address, kind);
            return None;
        };
        let first = *self.addresses.entry(address).or_insert(row.line);
        if first != row.line {
            let kind = ProblemKind::DuplicateAddress { address: text.into(), first };
            findings.cell(row.line, Column::Address, kind);
            return None;
        }
        Some(address)
    }

    fn check_references(&self, findings: &mut Findings<'_>) {
        let counts: HashMap<&str, u32> =
            self.services.iter().map(|s| (&*s.spec.name, s.spec.shards)).collect();
        for r in &self.references {
            self.check_declared(r.line, Column::Zone, "zone", &r.zone, findings);
            self.check_declared(r.line, Column::Service, "service", &r.service, findings);
            let last = r.shards.as_ref().and_then(|s| s.iter().last());
            if let (Some(shard), Some(&count)) = (last, counts.get(&*r.service))
                && shard >= count
            {
                let service = r.service.clone();
                let kind = ProblemKind::ShardOutOfRange { shard, service, count };
                findings.cell(r.line, Column::Shards, kind);
            }
        }
    }

    fn check_declared(
        &self,
        line: u64,
        column: Column,
        kind: &'static str,
        name: &str,
        findings: &mut Findings<'_>,
    ) {
        if !self.names.contains_key(&(kind, name.into())) {
            findings.cell(line, column, ProblemKind::Undeclared { kind, name: name.into() });
        }
    }

    fn check_coverage(&self, findings: &mut Findings<'_>) {
        let mut held: HashMap<&str, Vec<bool>> = HashMap::default();
        for s in self.services.iter().filter(|s| s.spec.in_service) {
            held.insert(&s.spec.name, vec![false; s.spec.shards as usize]);
        }
        for r in &self.references {
            match &r.shards {
                Some(shards) => {
                    if let Some(held) = held.get_mut(&*r.service) {
                        mark(held, shards);
                    }
                }
                // What the row should cover is not known.
                None => drop(held.remove(&*r.service)),
            }
        }
        for s in &self.services {
            let Some(held) = held.get(&*s.spec.name) else { continue };
            let missing = held.iter().enumerate().filter(|(_, h)| !**h);
            let missing: ShardSet = missing.map(|(i, _)| i as Shard).collect();
            if !missing.is_empty() {
                let service = s.spec.name.clone();
                let kind = ProblemKind::UncoveredShards { missing: missing.into(), service };
                findings.cell(s.line, Column::Shards, kind);
            }
        }
    }

    fn catalog(self) -> CatalogSpec {
        let mut spec = CatalogSpec {
            revision: 0,
            zones: self.zones.into_iter().map(|z| z.spec).collect(),
            services: self.services.into_iter().map(|s| s.spec).collect(),
            servers: self.servers,
        };
        spec.zones.sort_by(|a, b| a.name.cmp(&b.name));
        spec.services.sort_by(|a, b| a.name.cmp(&b.name));
        spec.servers.sort_by(|a, b| a.name.cmp(&b.name));
        spec
    }
}

fn mark(held: &mut [bool], shards: &ShardSet) {
    for shard in shards.iter() {
        if let Some(held) = held.get_mut(shard as usize) {
            *held = true;
        }
    }
}

fn require_empty(row: &Row, kind: &'static str, columns: &[Column], findings: &mut Findings<'_>) {
    for &column in columns {
        let found = row.cell(column);
        if !found.is_empty() {
            let problem = ProblemKind::UnexpectedValue { found: found.into(), kind };
            findings.cell(row.line, column, problem);
        }
    }
}

fn state(row: &Row, findings: &mut Findings<'_>) -> Option<bool> {
    match row.cell(Column::State) {
        "in" => Some(true),
        "out" => Some(false),
        found => {
            let kind = ProblemKind::InvalidState { found: found.into() };
            findings.cell(row.line, Column::State, kind);
            None
        }
    }
}

fn number(
    row: &Row,
    column: Column,
    low: u32,
    high: u32,
    findings: &mut Findings<'_>,
) -> Option<u32> {
    let text = row.cell(column);
    let value = text.parse::<u32>().ok().filter(|v| (low..=high).contains(v));
    if value.is_none() {
        let kind = ProblemKind::InvalidNumber { found: text.into(), low, high };
        findings.cell(row.line, column, kind);
    }
    value
}

fn shards(row: &Row, findings: &mut Findings<'_>) -> Option<ShardSet> {
    match row.cell(Column::Shards).parse::<ShardSet>() {
        Ok(set) if !set.is_empty() => Some(set),
        Ok(_) => {
            findings.cell(row.line, Column::Shards, ProblemKind::NoShards);
            None
        }
        Err(source) => {
            findings.cell(row.line, Column::Shards, ProblemKind::InvalidShards { source });
            None
        }
    }
}

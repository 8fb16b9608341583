//! Validates rows and builds the catalog that they declare.

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
use crate::rows::Problems;
use crate::rows::Row;
use crate::sheet::Sheet;
use crate::time::ExportTime;

const MAX_NAME_BYTES: usize = 64;
const MAX_SLOTS: u32 = 10_000;
const MAX_CONNECTIONS: u32 = 100_000;
const MAX_CONNECT_MS: u32 = 60_000;

/// Line after the header, at which problems of a sheet without rows are
/// reported.
const FIRST_ROW_LINE: u64 = 2;

/// Declaration with the line of its row.
#[derive(Debug)]
struct Located<T> {
    line: u64,
    spec: T,
}

/// References of a server row to a zone, a service and its shards. They are
/// checked even if other cells of the row are invalid.
#[derive(Debug)]
struct ServerRefs {
    line: u64,
    service: Box<str>,
    zone: Box<str>,
    /// `None` when the cell is invalid.
    shards: Option<ShardSet>,
}

/// Declarations of the rows read so far.
#[derive(Debug, Default)]
struct CatalogBuilder {
    zones: Vec<Located<ZoneSpec>>,
    services: Vec<Located<ServiceSpec>>,
    servers: Vec<BackendServerSpec>,
    references: Vec<ServerRefs>,
    /// Line of each kind and name. Rows with other invalid cells are included,
    /// so that references to them are not reported as undeclared as well.
    name_lines: HashMap<(&'static str, Box<str>), u64>,
    /// Line of each server address.
    address_lines: HashMap<SocketAddr, u64>,
}

/// Validates all rows and adds what is wrong to `problems`. The returned sheet
/// is valid only if no problem was added.
pub(crate) fn check(rows: &[Row], problems: &mut Problems<'_>) -> Option<Sheet> {
    let exported = parse_export_time(rows, problems);
    let mut builder = CatalogBuilder::default();
    for row in rows {
        builder.add_row(row, problems);
    }
    if builder.references.is_empty() {
        let line = rows.last().map_or(FIRST_ROW_LINE, |r| r.line);
        problems.push_line(line, ProblemKind::NoServers);
    }
    builder.check_references(problems);
    builder.check_coverage(problems);
    Some(Sheet { exported: exported?, catalog: builder.build() })
}

fn parse_export_time(rows: &[Row], problems: &mut Problems<'_>) -> Option<ExportTime> {
    let is_sheet = |r: &&Row| r.cell(Column::Kind) == "sheet";
    for duplicate in rows.iter().skip(1).filter(is_sheet) {
        problems.push_line(duplicate.line, ProblemKind::DuplicateSheetRow);
    }
    let Some(row) = rows.first().filter(is_sheet) else {
        let line = rows.first().map_or(FIRST_ROW_LINE, |r| r.line);
        problems.push_line(line, ProblemKind::MissingSheetRow);
        return None;
    };
    use Column::*;
    let unused = [Service, Zone, Address, Slots, Connections, ConnectMs, Shards, State];
    check_empty(row, "sheet", &unused, problems);
    match row.cell(Name).parse() {
        Ok(time) => Some(time),
        Err(source) => {
            problems.push_cell(row.line, Name, ProblemKind::InvalidExportTime { source });
            None
        }
    }
}

impl CatalogBuilder {
    fn add_row(&mut self, row: &Row, problems: &mut Problems<'_>) {
        match row.cell(Column::Kind) {
            "sheet" => {}
            "zone" => {
                let spec = self.parse_zone(row, problems);
                self.zones.extend(spec.map(|spec| Located { line: row.line, spec }));
            }
            "service" => {
                let spec = self.parse_service(row, problems);
                self.services.extend(spec.map(|spec| Located { line: row.line, spec }));
            }
            "server" => {
                let spec = self.parse_server(row, problems);
                self.servers.extend(spec);
            }
            found => {
                let kind = ProblemKind::UnknownKind { found: found.into() };
                problems.push_cell(row.line, Column::Kind, kind);
            }
        }
    }

    fn parse_zone(&mut self, row: &Row, problems: &mut Problems<'_>) -> Option<ZoneSpec> {
        use Column::*;
        let unused = [Service, Zone, Address, Slots, Connections, ConnectMs, Shards];
        check_empty(row, "zone", &unused, problems);
        let name = self.parse_name(row, "zone", problems);
        let in_service = parse_state(row, problems);
        Some(ZoneSpec { name: name?, in_service: in_service? })
    }

    fn parse_service(&mut self, row: &Row, problems: &mut Problems<'_>) -> Option<ServiceSpec> {
        use Column::*;
        let unused = [Service, Zone, Address, Slots, Connections, ConnectMs];
        check_empty(row, "service", &unused, problems);
        let name = self.parse_name(row, "service", problems);
        let shards = parse_number(row, Shards, 1, MAX_SHARD + 1, problems);
        let in_service = parse_state(row, problems);
        Some(ServiceSpec { name: name?, shards: shards?, in_service: in_service? })
    }

    fn parse_server(
        &mut self,
        row: &Row,
        problems: &mut Problems<'_>,
    ) -> Option<BackendServerSpec> {
        let name = self.parse_name(row, "server", problems);
        let address = self.parse_address(row, problems);
        let slots = parse_number(row, Column::Slots, 1, MAX_SLOTS, problems);
        let connections = parse_number(row, Column::Connections, 1, MAX_CONNECTIONS, problems);
        let connect_ms = parse_number(row, Column::ConnectMs, 0, MAX_CONNECT_MS, problems);
        let shards = parse_shards(row, problems);
        let in_service = parse_state(row, problems);
        let service: Box<str> = row.cell(Column::Service).into();
        let zone: Box<str> = row.cell(Column::Zone).into();
        self.references.push(ServerRefs {
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

    fn parse_name(
        &mut self,
        row: &Row,
        kind: &'static str,
        problems: &mut Problems<'_>,
    ) -> Option<Box<str>> {
        let name: Box<str> = row.cell(Column::Name).into();
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
        let only_dots = name.bytes().all(|b| b == b'.');
        if only_dots || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
            problems.push_cell(row.line, Column::Name, ProblemKind::InvalidName { found: name });
            return None;
        }
        let first = *self.name_lines.entry((kind, name.clone())).or_insert(row.line);
        if first != row.line {
            let problem = ProblemKind::DuplicateName { kind, name, first };
            problems.push_cell(row.line, Column::Name, problem);
            return None;
        }
        Some(name)
    }

    fn parse_address(&mut self, row: &Row, problems: &mut Problems<'_>) -> Option<SocketAddr> {
        let text = row.cell(Column::Address);
        let address = text.parse::<SocketAddr>().ok();
        let Some(address) = address.filter(|a| a.port() != 0 && !a.ip().is_unspecified()) else {
            let kind = ProblemKind::InvalidAddress { found: text.into() };
            problems.push_cell(row.line, Column::Address, kind);
            return None;
        };
        let first = *self.address_lines.entry(address).or_insert(row.line);
        if first != row.line {
            let kind = ProblemKind::DuplicateAddress { address: text.into(), first };
            problems.push_cell(row.line, Column::Address, kind);
            return None;
        }
        Some(address)
    }

    /// Checks that the zone, service and shards of each server row exist.
    fn check_references(&self, problems: &mut Problems<'_>) {
        let shard_counts: HashMap<&str, u32> =
            self.services.iter().map(|s| (&*s.spec.name, s.spec.shards)).collect();
        for r in &self.references {
            self.check_declared(r.line, Column::Zone, "zone", &r.zone, problems);
            self.check_declared(r.line, Column::Service, "service", &r.service, problems);
            let last = r.shards.as_ref().and_then(|s| s.iter().last());
            if let (Some(shard), Some(&count)) = (last, shard_counts.get(&*r.service))
                && shard >= count
            {
                let service = r.service.clone();
                let kind = ProblemKind::ShardOutOfRange { shard, service, count };
                problems.push_cell(r.line, Column::Shards, kind);
            }
        }
    }

    fn check_declared(
        &self,
        line: u64,
        column: Column,
        kind: &'static str,
        name: &str,
        problems: &mut Problems<'_>,
    ) {
        if !self.name_lines.contains_key(&(kind, name.into())) {
            problems.push_cell(line, column, ProblemKind::Undeclared { kind, name: name.into() });
        }
    }

    /// Checks that each shard of a service in service is on some server. A
    /// service with an invalid shard set is left out: the cell is reported
    /// already, and it might list the missing shards.
    fn check_coverage(&self, problems: &mut Problems<'_>) {
        let mut covered: HashMap<&str, Vec<bool>> = HashMap::default();
        for s in self.services.iter().filter(|s| s.spec.in_service) {
            covered.insert(&s.spec.name, vec![false; s.spec.shards as usize]);
        }
        for r in &self.references {
            match &r.shards {
                Some(shards) => {
                    if let Some(covered) = covered.get_mut(&*r.service) {
                        mark_covered(covered, shards);
                    }
                }
                None => drop(covered.remove(&*r.service)),
            }
        }
        for s in &self.services {
            let Some(covered) = covered.get(&*s.spec.name) else { continue };
            let missing = covered.iter().enumerate().filter(|(_, c)| !**c);
            let missing: ShardSet = missing.map(|(i, _)| i as Shard).collect();
            if !missing.is_empty() {
                let service = s.spec.name.clone();
                let kind = ProblemKind::UncoveredShards { missing: missing.into(), service };
                problems.push_cell(s.line, Column::Shards, kind);
            }
        }
    }

    fn build(self) -> CatalogSpec {
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

fn mark_covered(covered: &mut [bool], shards: &ShardSet) {
    for shard in shards.iter() {
        if let Some(covered) = covered.get_mut(shard as usize) {
            *covered = true;
        }
    }
}

fn check_empty(row: &Row, kind: &'static str, columns: &[Column], problems: &mut Problems<'_>) {
    for &column in columns {
        let found = row.cell(column);
        if !found.is_empty() {
            let problem = ProblemKind::UnexpectedValue { found: found.into(), kind };
            problems.push_cell(row.line, column, problem);
        }
    }
}

fn parse_state(row: &Row, problems: &mut Problems<'_>) -> Option<bool> {
    match row.cell(Column::State) {
        "in" => Some(true),
        "out" => Some(false),
        found => {
            let kind = ProblemKind::InvalidState { found: found.into() };
            problems.push_cell(row.line, Column::State, kind);
            None
        }
    }
}

fn parse_number(
    row: &Row,
    column: Column,
    min: u32,
    max: u32,
    problems: &mut Problems<'_>,
) -> Option<u32> {
    let text = row.cell(column);
    let value = text.parse::<u32>().ok().filter(|v| (min..=max).contains(v));
    if value.is_none() {
        let kind = ProblemKind::InvalidNumber { found: text.into(), min, max };
        problems.push_cell(row.line, column, kind);
    }
    value
}

fn parse_shards(row: &Row, problems: &mut Problems<'_>) -> Option<ShardSet> {
    match row.cell(Column::Shards).parse::<ShardSet>() {
        Ok(set) if !set.is_empty() => Some(set),
        Ok(_) => {
            problems.push_cell(row.line, Column::Shards, ProblemKind::NoShards);
            None
        }
        Err(source) => {
            problems.push_cell(row.line, Column::Shards, ProblemKind::InvalidShards { source });
            None
        }
    }
}

//! Configuration sheet that declares the simulated servers.

use std::fmt::Write as _;

use crate::settings::Settings;
use crate::settings::assigned_shards;

/// CSV text of a sheet with all simulated services, servers and zones, stamped
/// with the given export time.
pub fn render_sheet(settings: &Settings, exported: &str) -> Box<str> {
    let mut text =
        String::from("kind,name,service,zone,address,slots,connections,connect_ms,shards,state\n");
    let mut zones: Vec<Box<str>> = Vec::new();
    let mut servers = String::new();
    let mut services = String::new();
    // Writing to a string cannot fail.
    for s in &settings.services {
        let _ = writeln!(services, "service,{},,,,,,,{},in", s.name, s.shards);
        for i in 0..s.servers {
            let zone = s.zone(i);
            let shards = assigned_shards(i, s.servers, s.shards, s.replicas);
            let _ = writeln!(
                servers,
                "server,{},{},{zone},{},{},{},{},{shards},in",
                s.server_name(i),
                s.name,
                s.address(i),
                s.slots,
                s.connections,
                s.connect_ms,
            );
            zones.push(zone);
        }
    }
    zones.sort_unstable();
    zones.dedup();
    let _ = writeln!(text, "sheet,{exported},,,,,,,,");
    for zone in zones {
        let _ = writeln!(text, "zone,{zone},,,,,,,,in");
    }
    (text + &services + &servers).into()
}

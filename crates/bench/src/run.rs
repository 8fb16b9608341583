//! A complete run: for each scenario first the baseline, then the entries.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use chervil_standin::control::ServerInfo;
use chervil_standin::faults::Faults;
use serde_json::json;
use tokio::time;

use crate::balancer::Balancer;
use crate::control::Control;
use crate::phase::Load;
use crate::phase::Phase;
use crate::phase::PhaseError;
use crate::policy::Naive;
use crate::policy::Policy;
use crate::policy::Tier;
use crate::report::Effort;
use crate::report::PhaseReport;
use crate::report::Report;
use crate::scenario::Scenario;
use crate::settings::BenchSettings;

/// Policies to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policies {
    /// The baseline, then the entries.
    Both,
    /// The baseline only.
    Naive,
    /// The entries only.
    Tier,
}

/// Measures the scenarios one after the other. Lines for the script that controls
/// the hosts are appended to `announce`.
pub async fn run(
    settings: &BenchSettings,
    scenarios: &[Scenario],
    policies: Policies,
    announce: Option<&Path>,
) -> Result<Report, PhaseError> {
    let control = Control::new(settings.control);
    let servers = control.servers().await?;
    let bench = Bench { settings, control, servers, announce };
    let mut phases = Vec::new();
    for &scenario in scenarios {
        if policies != Policies::Tier {
            phases.push(bench.measure_naive(scenario).await?);
        }
        if policies != Policies::Naive {
            phases.push(bench.measure_tier(scenario).await?);
        }
    }
    Ok(Report { phases })
}

struct Bench<'a> {
    settings: &'a BenchSettings,
    control: Control,
    /// Servers with the faults they had before the first phase, which each phase
    /// starts from.
    servers: Vec<ServerInfo>,
    announce: Option<&'a Path>,
}

impl Bench<'_> {
    async fn measure_naive(&self, scenario: Scenario) -> Result<PhaseReport, PhaseError> {
        let BenchSettings { service, seed, timeout_ms, .. } = self.settings;
        let timeout = Duration::from_millis(*timeout_ms);
        let naive = Naive::new(&self.servers, service, timeout, *seed);
        self.measure(scenario, Arc::new(naive), None, None).await
    }

    async fn measure_tier(&self, scenario: Scenario) -> Result<PhaseReport, PhaseError> {
        let BenchSettings { service, entries, admins, timeout_ms, .. } = self.settings;
        let balancer = Balancer::new(entries, admins);
        let tier = Tier::new(balancer, service, Duration::from_millis(*timeout_ms));
        let tier = Arc::new(tier);
        self.measure(scenario, tier.clone(), Some(tier), self.announce).await
    }

    async fn measure(
        &self,
        scenario: Scenario,
        policy: Arc<dyn Policy>,
        runs: Option<Arc<Tier>>,
        announce: Option<&Path>,
    ) -> Result<PhaseReport, PhaseError> {
        let BenchSettings { service, zone, .. } = self.settings;
        self.prepare(scenario, &*policy).await?;
        let load = self.load(scenario);
        let (rate, name) = (load.rate, policy.name().into());
        let events = scenario.events(service, zone);
        let phase = Phase { policy, runs, control: &self.control, events, announce, load };
        let (callers, runs) = phase.run().await?;
        let stats = self.control.stats().await?;
        let effort = Effort::new(&stats, callers.needed);
        let report = PhaseReport {
            scenario: scenario.name().into(),
            policy: name,
            rate,
            callers,
            runs,
            effort,
        };
        eprintln!("{report}");
        Ok(report)
    }

    /// Restores platform and servers, warms up the policy with each query once and
    /// resets the counters.
    async fn prepare(&self, scenario: Scenario, policy: &dyn Policy) -> Result<(), PhaseError> {
        self.control.send("platform", "faults", &json!({"down": false})).await.ok();
        for server in &self.servers {
            self.control.send(&server.name, "down", &json!({"on": false})).await?;
            self.control.send(&server.name, "mark", &json!({"on": false})).await?;
            self.control.send(&server.name, "warm", &json!({})).await?;
            self.control
                .send(&server.name, "faults", &json!(self.initial_faults(server, scenario)))
                .await?;
        }
        time::sleep(Duration::from_secs_f64(self.settings.pause_s)).await;
        for i in 0..self.settings.bodies {
            policy.ask(&format!("{{\"query\":{i}}}")).await;
        }
        Ok(self.control.reset_stats().await?)
    }

    fn initial_faults(&self, server: &ServerInfo, scenario: Scenario) -> Faults {
        let base = &server.faults;
        Faults { slow_share: scenario.slow_share().max(base.slow_share), ..base.clone() }
    }

    fn load(&self, scenario: Scenario) -> Load {
        let settings = self.settings;
        Load {
            rate: settings.rate.unwrap_or_else(|| self.derived_rate(scenario)),
            duration: Duration::from_secs_f64(settings.duration_s),
            bodies: settings.bodies,
            run_rate: settings.run_rate,
            seed: settings.seed,
        }
    }

    /// Queries per second at which the needed sub-requests occupy the share `load`
    /// of the service's slots.
    fn derived_rate(&self, scenario: Scenario) -> f64 {
        let mut capacity = 0.0;
        let mut shards = 1;
        for server in self.servers.iter().filter(|s| s.service == self.settings.service) {
            let f = self.initial_faults(server, scenario);
            let mean_ms = f.base_ms + f.jitter_ms / 2.0 + f.slow_share * f.slow_ms;
            capacity += f64::from(server.slots) * 1_000.0 / mean_ms.max(0.1);
            shards = server.versions.iter().map(|v| v.shards).max().unwrap_or(1).max(shards);
        }
        capacity * self.settings.load / f64::from(shards)
    }
}

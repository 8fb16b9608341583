//! Weighted round robin over the services of a traffic split.

use chervil_base::value;

use crate::config::WeightedService;

value! {
    /// Smooth weighted round robin over the services of one route.
    pub struct WeightedRoundRobin {
        /// Current weight of each service; the highest is chosen next.
        credits: Vec<f64>,
    }
}

impl WeightedRoundRobin {
    /// Starts at a position in the cycle that follows from `offset` (0 to 1).
    /// Hosts pass different offsets so that they do not all begin with the same
    /// service.
    pub fn new(services: &[WeightedService], offset: f64) -> WeightedRoundRobin {
        let total: f64 = services.iter().map(|s| s.weight).sum();
        let mut robin = WeightedRoundRobin { credits: vec![0.0; services.len()] };
        let steps = (offset * total.clamp(0.0, 100.0)) as usize;
        for _ in 0..steps {
            robin.next(services);
        }
        robin
    }

    /// Index of the service that gets the next request. None if no service has a
    /// positive weight.
    pub fn next(&mut self, services: &[WeightedService]) -> Option<usize> {
        self.credits.resize(services.len(), 0.0);
        let total: f64 = services.iter().map(|s| s.weight).sum();
        if total <= 0.0 {
            return None;
        }
        for (credit, service) in self.credits.iter_mut().zip(services) {
            *credit += service.weight;
        }
        let weighted = services.iter().enumerate().filter(|(_, s)| s.weight > 0.0);
        let best = weighted.map(|(i, _)| i).max_by(|&a, &b| {
            let order = self.credits[a].total_cmp(&self.credits[b]);
            // Ties go to the service listed first.
            order.then(b.cmp(&a))
        })?;
        self.credits[best] -= total;
        Some(best)
    }
}

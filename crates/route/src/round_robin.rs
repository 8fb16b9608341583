//! Distribution of requests over weighted services.

use chervil_base::value;

use crate::config::WeightedService;

value! {
    /// Smooth weighted round robin over the shares of one route.
    pub struct WeightedRoundRobin {
        credit: Vec<f64>,
    }
}

impl WeightedRoundRobin {
    /// Starts at a point of the cycle that `offset` (0 to 1) chooses, so that
    /// hosts do not begin with the same service.
    pub fn new(shares: &[WeightedService], offset: f64) -> WeightedRoundRobin {
        let total: f64 = shares.iter().map(|s| s.weight).sum();
        let mut split = WeightedRoundRobin { credit: vec![0.0; shares.len()] };
        let steps = (offset * total.clamp(0.0, 100.0)) as usize;
        for _ in 0..steps {
            split.next(shares);
        }
        split
    }

    /// Index of the share that gets the next request.
    pub fn next(&mut self, shares: &[WeightedService]) -> Option<usize> {
        self.credit.resize(shares.len(), 0.0);
        let total: f64 = shares.iter().map(|s| s.weight).sum();
        if total <= 0.0 {
            return None;
        }
        for (c, s) in self.credit.iter_mut().zip(shares) {
            *c += s.weight;
        }
        let weighted = shares.iter().enumerate().filter(|(_, s)| s.weight > 0.0);
        let best = weighted.map(|(i, _)| i).max_by(|&a, &b| {
            let order = self.credit[a].total_cmp(&self.credit[b]);
            order.then(b.cmp(&a))
        })?;
        self.credit[best] -= total;
        Some(best)
    }
}

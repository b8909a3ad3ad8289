//! Weighted max-min fairness.

/// What an organisation demands of a capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Amount, in the unit of the capacity.
    pub amount: f64,
    /// Weight; a share is proportional to it.
    pub weight: f64,
}

impl Demand {
    /// A demand of weight 1.
    pub fn of(amount: f64) -> Self {
        Self {
            amount,
            weight: 1.0,
        }
    }

    /// The demand by unit of weight.
    fn per_weight(&self) -> f64 {
        self.amount / self.weight
    }

    /// Bounded to finite, positive values.
    fn bounded(self) -> Self {
        const MIN_WEIGHT: f64 = 1e-3;
        const MAX_WEIGHT: f64 = 1e6;
        const MAX_AMOUNT: f64 = 1e15;
        let or_zero = |value: f64| if value.is_nan() { 0.0 } else { value };
        Self {
            amount: or_zero(self.amount).clamp(0.0, MAX_AMOUNT),
            weight: or_zero(self.weight).clamp(MIN_WEIGHT, MAX_WEIGHT),
        }
    }
}

/// The share by unit of weight of a demand that is not met in full; `None` if all are.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{Demand, water_level};
///
/// let demands = [1.0, 5.0, 9.0].map(Demand::of);
/// assert_eq!(water_level(9.0, &demands), Some(4.0));
/// assert_eq!(water_level(15.0, &demands), None);
/// ```
pub fn water_level(capacity: f64, demands: &[Demand]) -> Option<f64> {
    let mut sorted: Vec<Demand> = demands.iter().map(|demand| demand.bounded()).collect();
    sorted.sort_by(|a, b| a.per_weight().total_cmp(&b.per_weight()));
    let mut left = if capacity.is_nan() {
        0.0
    } else {
        capacity.max(0.0)
    };
    let mut weight: f64 = sorted.iter().map(|demand| demand.weight).sum();
    for demand in sorted {
        let level = left / weight;
        if demand.per_weight() > level {
            return Some(level);
        }
        left = (left - demand.amount).max(0.0);
        weight = (weight - demand.weight).max(demand.weight * f64::EPSILON);
    }
    None
}

/// Weighted max-min fair shares of a capacity, in the order of the demands: none exceeds
/// its demand, and what one does not demand is left to the others.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{Demand, max_min};
///
/// let demands = [1.0, 5.0, 9.0].map(Demand::of);
/// assert_eq!(max_min(9.0, &demands), [1.0, 4.0, 4.0]);
/// ```
pub fn max_min(capacity: f64, demands: &[Demand]) -> Vec<f64> {
    let level = water_level(capacity, demands);
    let shares = demands.iter().map(|demand| {
        let demand = demand.bounded();
        level.map_or(demand.amount, |level| {
            demand.amount.min(level * demand.weight)
        })
    });
    shares.collect()
}

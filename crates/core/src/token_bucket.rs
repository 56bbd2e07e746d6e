//! The token bucket of one tenant.
//!
//! In the notation of the paper that the design follows (Dynamic Admission Control for Improving Utilization
//! of Parlay X Gateway): `tokens` is mu_i, `arrivals` V_i, `guaranteed_rate` u_g_i and `size` T_i.

/// Seconds of a tenant's own demand that its bucket can hold.
const DEMAND_SECONDS: f64 = 0.2;
/// Tokens that every bucket can hold, so that chance pairs of requests of a small tenant are admitted.
const MIN_TOKENS: f64 = 3.0;
/// Share of the guaranteed rate withheld for each unit of overload, where demand exceeds the guarantee.
const CUT_OVER_GUARANTEE: f64 = 20.0;
/// The same where demand is within the guarantee ...
const CUT_WITHIN_GUARANTEE: f64 = 2.0;
/// ... and only for the overload beyond this share.
const TOLERATED_OVERLOAD: f64 = 0.25;

/// What a refill depends on besides the bucket itself; the same for all tenants.
pub(crate) struct Refill {
    /// Seconds since the last refill.
    pub(crate) elapsed: f64,
    /// Seconds over which demand is averaged.
    pub(crate) demand_window: f64,
    /// Demand of all tenants in requests per second.
    pub(crate) total_demand: f64,
    /// Share of that demand that exceeds the guarantees.
    pub(crate) surge_share: f64,
    /// Seconds of the guaranteed rate that a bucket can hold.
    pub(crate) guarantee_seconds: f64,
    /// Spare capacity of the upstreams (W) in requests.
    pub(crate) spare_capacity: f64,
    /// Share of the requests in flight that exceeds the upstreams' capacity.
    pub(crate) overload: f64,
    /// The same, smoothed.
    pub(crate) smoothed_overload: f64,
}

/// The token bucket of one tenant.
#[derive(Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    /// Requests since the last refill.
    arrivals: f64,
    /// Smoothed requests per second.
    demand: f64,
    /// This balancer's equal part of the tenant's quota, in requests per second.
    quota: f64,
    /// The rate at which tokens are granted whatever the spare capacity; `quota` or a multiple of it.
    guaranteed_rate: f64,
}

impl TokenBucket {
    /// A full bucket for a tenant with this balancer's part of its quota.
    pub(crate) fn full(quota: f64, guarantee_seconds: f64) -> Self {
        let tokens = MIN_TOKENS + quota * guarantee_seconds;
        Self { tokens, quota, guaranteed_rate: quota, ..Self::default() }
    }

    /// Counts an arriving request and returns whether there is a token for it.
    pub(crate) fn record_arrival(&mut self) -> bool {
        self.arrivals += 1.0;
        self.tokens >= 1.0
    }

    /// Takes the token of an admitted request.
    pub(crate) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Smoothed requests per second.
    pub(crate) fn demand(&self) -> f64 {
        self.demand
    }

    /// Demand in relation to the quota.
    pub(crate) fn relative_demand(&self) -> f64 {
        self.demand / self.quota.max(1e-9)
    }

    /// Demand beyond the guaranteed rate, in requests per second.
    pub(crate) fn surge(&self) -> f64 {
        (self.demand - self.guaranteed_rate).max(0.0)
    }

    /// Sets the guaranteed rate to a multiple of the quota.
    pub(crate) fn scale_guarantee(&mut self, factor: f64) {
        self.guaranteed_rate = self.quota * factor;
    }

    /// Grants tokens for the time since the last refill and updates the demand.
    pub(crate) fn refill(&mut self, refill: &Refill) {
        let size = self.size(refill);
        self.tokens = self.tokens.min(size);
        let demand_share = if refill.total_demand > 0.0 { self.demand / refill.total_demand } else { 0.0 };
        // Only whole tokens count against the spare capacity: otherwise a share below one request would never
        // add up to a token.
        let grantable = (refill.spare_capacity - self.tokens.floor()).max(0.0);
        let guaranteed_share = (1.0 - self.guarantee_cut(refill.overload)).clamp(0.0, 1.0);
        let grant = guaranteed_share * self.guaranteed_rate * refill.elapsed + demand_share * grantable;
        self.tokens += grant.min((size - self.tokens).max(0.0));
        let arrival_rate = self.arrivals / refill.elapsed.max(1e-6);
        self.demand += (refill.elapsed / refill.demand_window).min(1.0) * (arrival_rate - self.demand);
        self.arrivals = 0.0;
    }

    /// The most tokens that the bucket holds. It shrinks under overload: tokens saved earlier would go on
    /// being admitted for seconds. Within the guarantees, the overload that other tenants' surges explain
    /// does not count.
    fn size(&self, refill: &Refill) -> f64 {
        let explained_by_others = if self.demand > self.guaranteed_rate { 0.0 } else { refill.surge_share };
        let tolerated = TOLERATED_OVERLOAD + explained_by_others;
        let kept_share =
            (1.0 - CUT_WITHIN_GUARANTEE * (refill.smoothed_overload - tolerated)).clamp(0.0, 1.0);
        let saved = (DEMAND_SECONDS * self.demand).max(self.guaranteed_rate * refill.guarantee_seconds);
        kept_share * (MIN_TOKENS + saved)
    }

    /// Share of the guaranteed rate that is withheld. Under overload, tenants over their guarantee lose it
    /// first; the others only under heavy overload, as after the loss of half the upstreams, because full
    /// queues serve nobody in time.
    fn guarantee_cut(&self, overload: f64) -> f64 {
        if self.demand > self.guaranteed_rate {
            CUT_OVER_GUARANTEE * overload
        } else {
            CUT_WITHIN_GUARANTEE * (overload - TOLERATED_OVERLOAD)
        }
    }
}

//! The token bucket of one tenant.
//!
//! In the notation of the paper that the design follows (Dynamic Admission Control for Improving Utilization
//! of Parlay X Gateway): `tokens` is mu_i, `arrivals` V_i, `guaranteed_rate` u_g_i and `size` T_i.

/// Burst that a bucket allows, in seconds of its tenant's demand.
const DEMAND_BURST_SECONDS: f64 = 0.2;
/// Tokens that every bucket can hold without overload, regardless of its tenant's rate, so that a
/// tenant with little traffic may send a few requests at once.
const BASE_SIZE_TOKENS: f64 = 3.0;
/// Share of the guaranteed rate that is withheld per unit of overload from a tenant whose demand exceeds the
/// guaranteed rate.
const WITHHELD_SHARE_OVER_GUARANTEE: f64 = 20.0;
/// Share of the guaranteed rate that is withheld per unit of overload beyond [`TOLERATED_OVERLOAD`] from a
/// tenant whose demand is within the guaranteed rate. Also the share by which buckets shrink per unit of
/// smoothed overload beyond the tolerated one.
const WITHHELD_SHARE_WITHIN_GUARANTEE: f64 = 2.0;
/// Overload, as a share of the requests in flight, up to which buckets do not shrink and no tenant within its
/// guaranteed rate loses a part of it.
const TOLERATED_OVERLOAD: f64 = 0.25;

/// Inputs of a refill that are the same for all tenants.
pub(crate) struct RefillInputs {
    /// Time since the last refill.
    pub(crate) elapsed_seconds: f64,
    /// Time over which demand is averaged.
    pub(crate) demand_window_seconds: f64,
    /// Smoothed demand of all tenants, in requests per second.
    pub(crate) total_demand: f64,
    /// Share of the total demand that exceeds the tenants' guaranteed rates.
    pub(crate) excess_demand_share: f64,
    /// Burst that a bucket allows, in seconds of the guaranteed rate.
    pub(crate) guarantee_burst_seconds: f64,
    /// Spare capacity W of the upstreams, in requests; negative if they are overloaded.
    pub(crate) spare_capacity: f64,
    /// Share of the requests in flight that exceeds the upstreams' capacity.
    pub(crate) overload: f64,
    /// `overload`, smoothed over recent ticks.
    pub(crate) smoothed_overload: f64,
}

/// The token bucket of one tenant.
#[derive(Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    /// Number of requests that arrived since the last refill, admitted or not.
    arrivals: f64,
    /// Smoothed rate of arriving requests, per second.
    demand: f64,
    /// This balancer's equal part of the tenant's quota, in requests per second.
    quota: f64,
    /// Tokens per second that are granted regardless of the spare capacity, less the share that is
    /// withheld under overload; a multiple of `quota`, at least `quota`.
    guaranteed_rate: f64,
}

impl TokenBucket {
    /// Creates a full bucket. `quota` is this balancer's part of the tenant's quota, in requests per second.
    pub(crate) fn full(quota: f64, guarantee_burst_seconds: f64) -> Self {
        let tokens = BASE_SIZE_TOKENS + quota * guarantee_burst_seconds;
        Self { tokens, quota, guaranteed_rate: quota, ..Self::default() }
    }

    /// Counts an arriving request and returns whether the bucket holds a token for it.
    pub(crate) fn record_arrival(&mut self) -> bool {
        self.arrivals += 1.0;
        self.tokens >= 1.0
    }

    /// Takes the token for an admitted request.
    pub(crate) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the smoothed rate of arriving requests, per second.
    pub(crate) fn demand(&self) -> f64 {
        self.demand
    }

    /// Returns the demand as a multiple of the quota.
    pub(crate) fn relative_demand(&self) -> f64 {
        self.demand / self.quota.max(1e-9)
    }

    /// Returns the demand beyond the guaranteed rate, in requests per second.
    pub(crate) fn excess_demand(&self) -> f64 {
        (self.demand - self.guaranteed_rate).max(0.0)
    }

    /// Sets the guaranteed rate to a multiple of the quota.
    pub(crate) fn scale_guarantee(&mut self, factor: f64) {
        self.guaranteed_rate = self.quota * factor;
    }

    /// Adds the tokens for the time since the last refill and updates the demand.
    pub(crate) fn refill(&mut self, inputs: &RefillInputs) {
        let size = self.size(inputs);
        self.tokens = self.tokens.min(size);
        let demand_share = if inputs.total_demand > 0.0 { self.demand / inputs.total_demand } else { 0.0 };
        // Only whole tokens are subtracted from the spare capacity. If fractions were, a tenant whose share
        // is below one request per refill would never accumulate a token.
        let grantable = (inputs.spare_capacity - self.tokens.floor()).max(0.0);
        let guaranteed_share = (1.0 - self.withheld_guarantee_share(inputs.overload)).clamp(0.0, 1.0);
        let grant =
            guaranteed_share * self.guaranteed_rate * inputs.elapsed_seconds + demand_share * grantable;
        self.tokens += grant.min((size - self.tokens).max(0.0));
        let arrival_rate = self.arrivals / inputs.elapsed_seconds.max(1e-6);
        self.demand +=
            (inputs.elapsed_seconds / inputs.demand_window_seconds).min(1.0) * (arrival_rate - self.demand);
        self.arrivals = 0.0;
    }

    /// Returns the maximum number of tokens that the bucket may hold. The size shrinks under overload,
    /// because saved tokens would otherwise keep admitting requests for seconds. For a tenant within its
    /// guaranteed rate, overload caused by the excess demand of other tenants is not counted.
    fn size(&self, inputs: &RefillInputs) -> f64 {
        let caused_by_others =
            if self.demand > self.guaranteed_rate { 0.0 } else { inputs.excess_demand_share };
        let tolerated_overload = TOLERATED_OVERLOAD + caused_by_others;
        let kept_share = (1.0
            - WITHHELD_SHARE_WITHIN_GUARANTEE * (inputs.smoothed_overload - tolerated_overload))
            .clamp(0.0, 1.0);
        let burst_tokens =
            (DEMAND_BURST_SECONDS * self.demand).max(self.guaranteed_rate * inputs.guarantee_burst_seconds);
        kept_share * (BASE_SIZE_TOKENS + burst_tokens)
    }

    /// Returns the share of the guaranteed rate that is withheld, before it is limited to 0..1. Tenants over
    /// their guaranteed rate lose it at any overload. The others lose it only under heavy overload, such as
    /// after the loss of half the upstreams, because full queues serve no request in time.
    fn withheld_guarantee_share(&self, overload: f64) -> f64 {
        if self.demand > self.guaranteed_rate {
            WITHHELD_SHARE_OVER_GUARANTEE * overload
        } else {
            WITHHELD_SHARE_WITHIN_GUARANTEE * (overload - TOLERATED_OVERLOAD)
        }
    }
}

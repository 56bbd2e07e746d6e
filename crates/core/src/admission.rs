//! Admission: one token bucket for each tenant, refilled every tick by a guaranteed rate and a share of the
//! spare room, in proportion to demand.

use crate::room::Room;
use crate::settings::Settings;

/// Seconds and requests over which demand V_i is counted at least: a tick sees too few to go by.
const DEMAND_OVER: f64 = 1.0;
const DEMAND_COUNT: f64 = 10.0;
/// Bucket size T_i: these seconds of the guarantee, but no more than the longest aim, as they are admitted
/// even when room has just gone; or this share of the tenant's demand, whichever is more, and this many
/// tokens, so that a small tenant's chance pairs are not refused.
const BUCKET_OVER: f64 = 1.0;
const BUCKET: f64 = 0.2;
const BUCKET_LEAST: f64 = 3.0;
/// Guarantees grow with the middle tenant's demand and this much more, up to so many equal parts.
const PART_SPARE: f64 = 1.3;
const PART_MOST: f64 = 4.0;
/// Part of a guarantee lost for each part of what is held that is too much: for demand over the guarantee,
/// and inside it, where the loss begins only past so much.
const CUT_OVER: f64 = 20.0;
const CUT_INSIDE: f64 = 2.0;
const CUT_INSIDE_FROM: f64 = 0.25;
/// Seconds over which what is missing is averaged before saved tokens go the same way.
const MISSING_OVER: f64 = 0.3;

/// The token bucket of a tenant.
#[derive(Default)]
struct Bucket {
    /// mu_i.
    tokens: f64,
    /// V_i of the running tick.
    arrivals: f64,
    /// V_i a second, smoothed.
    demand: f64,
    /// This balancer's equal part of the tenant's allowance, a second.
    part: f64,
    /// u_g_i a second.
    guarantee: f64,
}

/// Seconds of a tenant's guarantee that its bucket holds.
fn bucket_over(settings: &Settings) -> f64 {
    settings.classes.iter().map(|c| c.latency_objective.as_secs_f64()).fold(0.0, f64::max).min(BUCKET_OVER)
}

/// The buckets of all tenants.
#[derive(Default)]
pub(crate) struct Admission {
    buckets: Vec<Bucket>,
    bucket_over: f64,
    /// Part of what is held at upstreams that is too much, smoothed.
    missing: f64,
}

impl Admission {
    /// Full buckets for the settings' tenants; for one where none are stated.
    pub(crate) fn new(settings: &Settings) -> Self {
        let bucket_over = bucket_over(settings);
        let buckets = (0..settings.tenants.len().max(1)).map(|i| {
            let stated = settings.tenants.get(i).map_or(0.0, |t| t.quota_per_second);
            let guarantee = if stated > 0.0 { stated / f64::from(settings.balancers) } else { 1.0 };
            let tokens = BUCKET_LEAST + guarantee * bucket_over;
            Bucket { tokens, part: guarantee, guarantee, ..Bucket::default() }
        });
        Self { buckets: buckets.collect(), bucket_over, missing: 0.0 }
    }

    /// A request of a tenant has come. Whether there is a token for it; an unknown tenant shares the last
    /// one's bucket.
    pub(crate) fn arrival(&mut self, tenant: usize) -> bool {
        let bucket = self.bucket(tenant);
        bucket.arrivals += 1.0;
        bucket.tokens >= 1.0
    }

    /// The request is admitted.
    pub(crate) fn take_token(&mut self, tenant: usize) {
        self.bucket(tenant).tokens -= 1.0;
    }

    fn bucket(&mut self, tenant: usize) -> &mut Bucket {
        let last = self.buckets.len() - 1;
        &mut self.buckets[tenant.min(last)]
    }

    /// Refills the buckets, `tau` seconds after the last time.
    pub(crate) fn refill(&mut self, tau: f64, room: &Room) {
        let total: f64 = self.buckets.iter().map(|b| b.demand).sum();
        // Long enough to hold a few requests: a tenant that happened to be silent is not without demand.
        let demand_over = DEMAND_OVER.max(DEMAND_COUNT / total.max(0.1));
        let missing = room.missing_share();
        self.grow_guarantees(missing);
        self.missing += (tau / MISSING_OVER).min(1.0) * (missing.min(1.0) - self.missing);
        let surge: f64 = self.buckets.iter().map(|b| (b.demand - b.guarantee).max(0.0)).sum();
        let surge_share = surge / total.max(1e-9);
        for bucket in &mut self.buckets {
            let size = bucket.size(self.bucket_over, self.missing, surge_share);
            bucket.tokens = bucket.tokens.min(size);
            let share = if total > 0.0 { bucket.demand / total } else { 0.0 };
            // Only whole tokens count against a share of W under one request: else it stops short of one.
            let open = (room.free() - bucket.tokens.floor()).max(0.0);
            let grant = (1.0 - bucket.cut(missing)).clamp(0.0, 1.0) * bucket.guarantee * tau + share * open;
            bucket.tokens += grant.min((size - bucket.tokens).max(0.0));
            bucket.demand += (tau / demand_over).min(1.0) * (bucket.arrivals / tau.max(1e-6) - bucket.demand);
            bucket.arrivals = 0.0;
        }
    }

    /// Where the middle tenant asks for more than its part, this balancer carries more, and no tenant
    /// surges; unless much is missing: then all surge, as with retries in a jam.
    fn grow_guarantees(&mut self, missing: f64) {
        let mut asks: Vec<f64> = self.buckets.iter().map(|b| b.demand / b.part.max(1e-9)).collect();
        asks.sort_by(f64::total_cmp);
        let more = (asks.get(asks.len() / 2).unwrap_or(&1.0) * PART_SPARE).clamp(1.0, PART_MOST);
        let more = 1.0 + (more - 1.0) * (1.0 - missing).max(0.0);
        for bucket in &mut self.buckets {
            bucket.guarantee = bucket.part * more;
        }
    }
}

impl Bucket {
    /// T_i. What was saved up would go on being admitted for seconds where room is missing: buckets shrink
    /// too, inside the guarantees by what the surge of others does not account for.
    fn size(&self, bucket_over: f64, missing: f64, surge_share: f64) -> f64 {
        let from = CUT_INSIDE_FROM + if self.demand > self.guarantee { 0.0 } else { surge_share };
        let part = (1.0 - CUT_INSIDE * (missing - from)).clamp(0.0, 1.0);
        let saved = (BUCKET * self.demand).max(self.guarantee * bucket_over);
        part * (BUCKET_LEAST + saved)
    }

    /// Part of the guarantee that is not granted. Where room is missing, those over their guarantee lose it
    /// first; the rest too when much is missing, as after the loss of half the fleet: nobody is served from
    /// full queues.
    fn cut(&self, missing: f64) -> f64 {
        if self.demand > self.guarantee {
            CUT_OVER * missing
        } else {
            CUT_INSIDE * (missing - CUT_INSIDE_FROM)
        }
    }
}

//! The estimate of the room W that the upstreams have left for this balancer: the sum over the upstreams
//! in turn of tau * C_j, what one completes in a tick, and Q_j - q_j, the free part of its queue.
//!
//! C_j is learned from completions and, where there are any, from reports of how busy the cores are; Q_j
//! follows from C_j and the time that work may spend in the fleet.

use crate::settings::Settings;
use crate::state::Upstream;

/// Seconds over which completions are counted: a tick sees too few to go by.
const COUNTED_OVER: f64 = 1.0;
/// Seconds over which a gain of C is believed, and a rate once reached is forgotten while there is no
/// strain.
const GAIN_OVER: f64 = 2.0;
const RATE_KEPT: f64 = 30.0;
/// Share of the upstreams' cores that spare room may keep busy where reports tell, and what is added for
/// demand over the shares, by its worth: where it is worth little, so is the risk. Below it queues are
/// short.
const UTILIZATION_WANTED: f64 = 0.8;
const UTILIZATION_MORE: f64 = 0.4;
/// How much more than it completes an idle fleet is held to be able to do, at most.
const EXTRAPOLATED_MOST: f64 = 2.0;
/// Seconds for which an upstream's report stands without a further one.
pub(crate) const REPORT_STANDS: f64 = 3.0;
/// The least utilization that a rate is judged by.
pub(crate) const UTILIZATION_LEAST: f64 = 0.1;

/// Mean share of their cores that these upstreams use, by the latest report of each; `None` without any.
pub(crate) fn mean_utilization<'a>(upstreams: impl Iterator<Item = &'a Upstream>, now: f64) -> Option<f64> {
    let reported = upstreams.filter(|u| u.weight > 0.0 && now - u.utilization_at < REPORT_STANDS);
    let (count, sum) = reported.fold((0.0, 0.0), |(count, sum), u| (count + 1.0, sum + u.utilization));
    (count > 0.0).then(|| sum / count)
}

/// How the latency of answers compares with what is allowed. Times are seconds.
pub(crate) struct Latency {
    /// The mean over the classes as they are admitted.
    pub(crate) mean: f64,
    /// What is left to the class that comes closest to its allowed time; negative past it.
    pub(crate) slack: f64,
}

/// What is known of the upstreams' room.
#[derive(Default)]
pub(crate) struct Room {
    /// C for each unit of turn weight, requests a second.
    rate: f64,
    /// Completions a second, smoothed, and those of the running tick.
    completion_rate: f64,
    completed: f64,
    /// W by the latest estimate, in requests, and what was held in all then.
    free: f64,
    held: f64,
}

impl Room {
    /// Of a balancer that has seen nothing yet and expects so many requests a second.
    pub(crate) fn new(expected_rate: f64) -> Self {
        Self { completion_rate: expected_rate, ..Self::default() }
    }

    /// An upstream has served a request.
    pub(crate) fn completed(&mut self) {
        self.completed += 1.0;
    }

    /// C for each unit of turn weight, requests a second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// W, in requests; negative where too much is held.
    pub(crate) fn free(&self) -> f64 {
        self.free
    }

    /// The part of what is held that is too much.
    pub(crate) fn missing_share(&self) -> f64 {
        (-self.free / f64::max(self.held, 1e-9)).max(0.0)
    }

    /// Estimates W anew, `tau` seconds after the last time.
    pub(crate) fn estimate(
        &mut self,
        tau: f64,
        settings: &Settings,
        latency: &Latency,
        utilization: Option<f64>,
        upstreams: &[&Upstream],
    ) {
        let weights = upstreams.iter().map(|u| u.weight).sum::<f64>().max(1e-9);
        let completion_rate = self.completed / tau.max(1e-6);
        self.completion_rate += (tau / COUNTED_OVER).min(1.0) * (completion_rate - self.completion_rate);
        self.completed = 0.0;
        self.follow_rate(tau, self.completion_rate / weights, settings, latency, utilization);
        let mut time_in_fleet = (latency.mean + latency.slack).max(0.0);
        if utilization.is_some() {
            time_in_fleet = time_in_fleet.min(latency.mean);
        }
        self.measure(tau, f64::from(settings.balancers), time_in_fleet, upstreams);
    }

    /// Takes in the rate just seen. A loss is followed at once: until it is, what is admitted for what was
    /// lost fills the queues.
    fn follow_rate(
        &mut self,
        tau: f64,
        seen: f64,
        settings: &Settings,
        latency: &Latency,
        utilization: Option<f64>,
    ) {
        if let Some(utilization) = utilization {
            let wanted = UTILIZATION_WANTED + UTILIZATION_MORE * settings.over_quota_weight.min(0.5);
            // A rate once reached under load would go on admitting what turns a crowded upstream slow.
            let able = seen * (wanted / utilization.max(UTILIZATION_LEAST)).min(EXTRAPOLATED_MOST);
            self.rate = (self.rate + (tau / GAIN_OVER).min(1.0) * (able - self.rate)).min(able);
        } else if latency.slack < 0.0 {
            self.rate = seen;
        } else {
            self.rate = (self.rate + (tau / RATE_KEPT).min(1.0) * (seen - self.rate)).max(seen);
        }
    }

    /// Sums the room up over the upstreams, of whose time each request may take so much.
    fn measure(&mut self, tau: f64, balancers: f64, time_in_fleet: f64, upstreams: &[&Upstream]) {
        (self.free, self.held) = (0.0, 0.0);
        for u in upstreams.iter().filter(|u| u.weight > 0.0) {
            let rate = self.rate * u.weight;
            // One place in all at least: where nothing is stated a start from nothing takes long. One whose
            // requests are overdue has no room, in part or all, but what it holds is held: else, when all
            // are stuck, W and what is missing are nil together and no guarantee is cut.
            let held = f64::from(u.in_flight) + u.ghosts;
            let usable = 1.0 - (f64::from(u.overdue) + u.ghosts) / held.max(1.0);
            let places = (rate * time_in_fleet).max(u.weight / balancers) * usable;
            self.free += tau * rate * usable + places - held;
            self.held += held;
        }
    }
}

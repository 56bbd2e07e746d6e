//! The load that upstreams report, and how its influence decreases with the age of the report.

use crate::settings::LoadField;
use crate::time::Timestamp;
use crate::upstreams::Upstream;

/// Time constant with which the reported requests in flight decay.
const IN_FLIGHT_DECAY_SECONDS: f64 = 1.0;
/// Age in seconds from which a reported utilization is no longer used.
const UTILIZATION_VALID_SECONDS: f64 = 3.0;
/// Maximum of every value in a load report. Higher values count as this one.
const MAX_REPORTED_VALUE: f64 = 1e4;

/// The load that an upstream reported most recently.
pub(crate) struct ReportedLoad {
    /// Requests in flight that other balancers sent, at `in_flight_updated_at`.
    in_flight: f64,
    in_flight_updated_at: Timestamp,
    /// Share of the CPU in use, from 0 to 1, at `utilization_reported_at`.
    utilization: f64,
    utilization_reported_at: Timestamp,
}

impl Default for ReportedLoad {
    /// Returns the state of an upstream that has not reported its load.
    fn default() -> Self {
        Self {
            in_flight: 0.0,
            in_flight_updated_at: Timestamp::ZERO,
            utilization: 0.0,
            utilization_reported_at: Timestamp::DISTANT_PAST,
        }
    }
}

impl ReportedLoad {
    /// Records a load report. `fields` gives the meaning of each of the `values`; values that are not finite
    /// are ignored. If a report states both the requests in flight and the queue, the larger number counts.
    /// `share_of_others` is the share of that number that is attributed to other balancers.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        fields: &[LoadField],
        values: &[f32],
        share_of_others: f64,
    ) {
        let mut in_flight: Option<f64> = None;
        for (field, value) in fields.iter().zip(values).filter(|(_, value)| value.is_finite()) {
            let value = f64::from(*value).clamp(0.0, MAX_REPORTED_VALUE);
            match field {
                LoadField::InFlight | LoadField::Queue => {
                    in_flight = Some(value.max(in_flight.unwrap_or(0.0)));
                }
                LoadField::Utilization => {
                    self.utilization = value.min(1.0);
                    self.utilization_reported_at = now;
                }
                LoadField::ServiceTimeMs
                | LoadField::RequestRate
                | LoadField::ErrorRate
                | LoadField::Other => {}
            }
        }
        if let Some(in_flight) = in_flight {
            self.set_in_flight(now, in_flight * share_of_others);
        }
    }

    /// Sets the number of requests in flight that other balancers sent. A number above
    /// [`MAX_REPORTED_VALUE`] counts as that value, and so does NaN.
    pub(crate) fn set_in_flight(&mut self, now: Timestamp, in_flight: f64) {
        self.in_flight = in_flight.min(MAX_REPORTED_VALUE);
        self.in_flight_updated_at = now;
    }

    /// Raises the number of requests in flight that other balancers sent to at least `min_in_flight`.
    pub(crate) fn raise_in_flight(&mut self, now: Timestamp, min_in_flight: f64) {
        self.set_in_flight(now, self.in_flight.max(min_in_flight));
    }

    /// Returns the number of requests in flight that other balancers sent, decayed exponentially with its
    /// age.
    pub(crate) fn decayed_in_flight(&self, now: Timestamp) -> f64 {
        let age_seconds = (now - self.in_flight_updated_at).max(0.0);
        self.in_flight * (-age_seconds / IN_FLIGHT_DECAY_SECONDS).exp()
    }

    /// Returns the reported utilization, from 0 to 1, or `None` if no report is recent enough.
    pub(crate) fn valid_utilization(&self, now: Timestamp) -> Option<f64> {
        (now - self.utilization_reported_at < UTILIZATION_VALID_SECONDS).then_some(self.utilization)
    }
}

/// Returns the share of an upstream's requests in flight that is attributed to other balancers. Every
/// balancer is assumed to have sent an equal part. Subtracting this balancer's current requests from a
/// report would not tell what the others sent, because the report is older.
pub(crate) fn share_of_other_balancers(balancers: u32) -> f64 {
    1.0 - 1.0 / f64::from(balancers.max(1))
}

/// Returns the mean reported utilization of the upstreams in rotation, or `None` if none of them has a
/// recent report.
pub(crate) fn mean_utilization<'a>(
    upstreams: impl Iterator<Item = &'a Upstream>,
    now: Timestamp,
) -> Option<f64> {
    let mut count = 0.0;
    let mut sum = 0.0;
    for upstream in upstreams.filter(|upstream| upstream.rotation.takes_turns()) {
        if let Some(utilization) = upstream.reported_load.valid_utilization(now) {
            count += 1.0;
            sum += utilization;
        }
    }
    (count > 0.0).then(|| sum / count)
}

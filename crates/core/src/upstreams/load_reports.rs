//! Load reports of upstreams and how they age.

use crate::settings::LoadField;
use crate::time::Timestamp;
use crate::upstreams::Upstream;

/// Time constant with which the reported requests in flight decay.
const IN_FLIGHT_DECAY_SECONDS: f64 = 1.0;
/// How long a reported utilization is valid.
const UTILIZATION_VALID_SECONDS: f64 = 3.0;
/// Largest value in a load report that is believed.
const MAX_REPORTED_VALUE: f64 = 1e4;

/// What an upstream reported of its load.
pub(crate) struct ReportedLoad {
    /// Requests in flight from other balancers.
    in_flight: f64,
    in_flight_at: Timestamp,
    /// Share of the CPU in use.
    utilization: f64,
    utilization_at: Timestamp,
}

impl Default for ReportedLoad {
    /// No report yet.
    fn default() -> Self {
        Self {
            in_flight: 0.0,
            in_flight_at: Timestamp::ZERO,
            utilization: 0.0,
            utilization_at: Timestamp::DISTANT_PAST,
        }
    }
}

impl ReportedLoad {
    /// Takes in a load report with these fields. Values that are not finite are ignored.
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
                    self.utilization_at = now;
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

    /// Sets the requests in flight from other balancers. A number beyond what is believed counts as the
    /// largest one that is, and so does NaN.
    pub(crate) fn set_in_flight(&mut self, now: Timestamp, in_flight: f64) {
        self.in_flight = in_flight.min(MAX_REPORTED_VALUE);
        self.in_flight_at = now;
    }

    /// Raises the requests in flight from other balancers to at least this many.
    pub(crate) fn raise_in_flight(&mut self, now: Timestamp, least: f64) {
        self.set_in_flight(now, self.in_flight.max(least));
    }

    /// The reported requests in flight, decayed with the age of the report.
    pub(crate) fn decayed_in_flight(&self, now: Timestamp) -> f64 {
        let age = (now - self.in_flight_at).max(0.0);
        self.in_flight * (-age / IN_FLIGHT_DECAY_SECONDS).exp()
    }

    /// The reported utilization, if it is still valid.
    pub(crate) fn valid_utilization(&self, now: Timestamp) -> Option<f64> {
        (now - self.utilization_at < UTILIZATION_VALID_SECONDS).then_some(self.utilization)
    }
}

/// Share of an upstream's requests that come from other balancers. Reports are old: subtracting this
/// balancer's present requests from them would say nothing of the others, so the others are assumed to hold
/// their equal part.
pub(crate) fn share_of_other_balancers(balancers: u32) -> f64 {
    1.0 - 1.0 / f64::from(balancers.max(1))
}

/// Mean utilization of the upstreams in rotation that have a valid report; `None` if none has.
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

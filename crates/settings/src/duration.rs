//! Conversion of durations: the settings object and the simulator's wire format state them in fractional
//! milliseconds.

use std::time::Duration;

const MS_PER_SECOND: f64 = 1e3;

/// Converts milliseconds to a `Duration`. Negative values and NaN become zero; values too large for a
/// `Duration` become `Duration::MAX`.
pub fn duration_from_ms(value: f64) -> Duration {
    if value.is_nan() || value <= 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(value / MS_PER_SECOND).unwrap_or(Duration::MAX)
}

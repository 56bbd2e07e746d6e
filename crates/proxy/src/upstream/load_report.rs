//! Extracts the load reports of upstreams from their responses and parses them.

use crate::headers::LOAD_REPORT;
use crate::rate_limited_log::RateLimitedLog;
use balancer_core::{LoadField, LoadReporting, Settings};
use hyper::HeaderMap;
use hyper::header::HeaderValue;

#[cfg(test)]
mod tests;

/// Maximum length of the part of an unreadable report that is logged.
const MAX_LOGGED_REPORT_BYTES: usize = 80;

/// Reads the load reports of upstreams. Takes from each report the fields that the settings list.
pub struct LoadReportReader {
    reporting: LoadReporting,
    fields: Vec<LoadField>,
    unreadable_report_log: RateLimitedLog,
}

impl LoadReportReader {
    /// Creates a reader that returns the values of a report in the order in which `settings` lists its
    /// fields.
    pub fn new(settings: &Settings) -> Self {
        Self {
            reporting: settings.load_reporting,
            fields: settings.load_report_fields.clone(),
            unreadable_report_log: RateLimitedLog::default(),
        }
    }

    /// Returns whether upstreams report their load at all.
    pub fn is_enabled(&self) -> bool {
        self.reporting != LoadReporting::Off
    }

    /// Removes the load report from the headers of a response and returns its values, one for each field of
    /// the settings. Returns no values if there is no report, if the report is unreadable, or if the settings
    /// do not state that upstreams report with every response.
    pub fn take_from_headers(&self, headers: &mut HeaderMap<HeaderValue>) -> Vec<f32> {
        match headers.remove(LOAD_REPORT) {
            Some(report) if self.reporting == LoadReporting::Inline => self.read(report.as_bytes()),
            _ => Vec::new(),
        }
    }

    /// Returns the values of a report, one for each field of the settings. If the report is unreadable, logs
    /// it at a limited rate and returns no values.
    pub fn read(&self, report: &[u8]) -> Vec<f32> {
        let values = std::str::from_utf8(report).ok().and_then(|text| parse(text, &self.fields));
        values.unwrap_or_else(|| {
            self.unreadable_report_log.warn(|skipped| {
                let shown = &report[..report.len().min(MAX_LOGGED_REPORT_BYTES)];
                tracing::warn!(
                    skipped,
                    report = ?String::from_utf8_lossy(shown),
                    "load report of an upstream is unreadable"
                );
            });
            Vec::new()
        })
    }
}

/// Parses a load report of the form `name=value,name=value` and returns the values of `fields`. A value that
/// is missing or not a finite number becomes NaN, which the balancer ignores. Returns `None` if no value is
/// readable.
fn parse(text: &str, fields: &[LoadField]) -> Option<Vec<f32>> {
    let mut values = vec![f32::NAN; fields.len()];
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let field = balancer_settings::load_field(name.trim());
        let position = fields.iter().position(|wanted| *wanted == field);
        let value = value.trim().parse().ok().filter(|value: &f32| value.is_finite());
        if let (Some(position), Some(value)) = (position, value) {
            values[position] = value;
        }
    }
    values.iter().any(|value| !value.is_nan()).then_some(values)
}

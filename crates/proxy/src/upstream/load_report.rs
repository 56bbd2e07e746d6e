//! Load reports of upstreams: where they are found in a response, and how their text is read.

use crate::headers::LOAD_REPORT;
use crate::rate_limited_log::RateLimitedLog;
use balancer_core::{LoadField, LoadReporting, Settings};
use hyper::HeaderMap;
use hyper::header::HeaderValue;

#[cfg(test)]
mod tests;

/// How much of an unreadable report is logged.
const MAX_LOGGED_BYTES: usize = 80;

/// Reads the load reports of upstreams in the form that the settings describe.
pub struct LoadReportReader {
    reporting: LoadReporting,
    fields: Vec<LoadField>,
    unreadable_log: RateLimitedLog,
}

impl LoadReportReader {
    /// A reader for reports whose values are wanted in the order of the settings.
    pub fn new(settings: &Settings) -> Self {
        Self {
            reporting: settings.load_reporting,
            fields: settings.load_report_fields.clone(),
            unreadable_log: RateLimitedLog::default(),
        }
    }

    /// Whether upstreams report their load at all.
    pub fn is_enabled(&self) -> bool {
        self.reporting != LoadReporting::Off
    }

    /// Removes the report from the headers of a response and returns its values, one for each field of the
    /// settings. Returns no values if there is no report, if it is unreadable, or if the settings don't have
    /// upstreams report with every response.
    pub fn take_from_headers(&self, headers: &mut HeaderMap<HeaderValue>) -> Vec<f32> {
        match headers.remove(LOAD_REPORT) {
            Some(report) if self.reporting == LoadReporting::Inline => self.read(report.as_bytes()),
            _ => Vec::new(),
        }
    }

    /// Returns the values of a report, one for each field of the settings. Logs an unreadable report, at a
    /// limited rate, and returns no values for it.
    pub fn read(&self, report: &[u8]) -> Vec<f32> {
        let values = std::str::from_utf8(report).ok().and_then(|text| parse(text, &self.fields));
        values.unwrap_or_else(|| {
            self.unreadable_log.warn(|skipped| {
                let shown = &report[..report.len().min(MAX_LOGGED_BYTES)];
                tracing::warn!(skipped, report = ?String::from_utf8_lossy(shown), "unreadable load report");
            });
            Vec::new()
        })
    }
}

/// Parses a load report, `name=value,name=value`, into the values of `fields`. A value that is missing or not
/// a finite number is NaN, which the core ignores. Returns `None` if no value is readable.
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

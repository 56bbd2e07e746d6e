//! The upstreams in the endpoint list: the state of each upstream, and the selection of those that take
//! requests.

mod ejection_limit;
mod load_reports;
mod outlier_detection;
mod process_start;
mod set;
mod slow_start;
mod subset;
mod upstream;
mod upstream_list;
mod weights;

pub(crate) use load_reports::mean_utilization;
pub(crate) use outlier_detection::{AttemptResult, is_well_within_objective};
pub(crate) use set::UpstreamSet;
pub(crate) use upstream::Upstream;
pub(crate) use upstream_list::{UpstreamList, UpstreamPosition};
pub(crate) use weights::WeightInputs;

//! Reloads the configuration on SIGHUP.

use crate::config::Config;
use crate::driver::Driver;
use crate::signals::SignalFlag;
use std::rc::Rc;

/// Reads the configuration again at each SIGHUP and moves `driver` to its discovery address. All other fields
/// keep the values of the start. A configuration that can't be loaded changes nothing.
pub async fn reload_on_hangup(hangup: SignalFlag, driver: Rc<Driver>) {
    loop {
        hangup.received().await;
        match Config::from_env() {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "configuration reloaded");
                driver.discovery_moved(config.discovery);
            }
            Err(error) => tracing::warn!(%error, "configuration reload failed"),
        }
    }
}

//! Reloads the configuration on SIGHUP.

use crate::config::Config;
use crate::driver::Driver;
use crate::signals::SignalFlag;
use std::rc::Rc;

/// Reads the configuration again after each SIGHUP and passes its discovery address to `driver`. All other
/// fields keep the values that they had at startup. A configuration that can't be loaded changes nothing.
/// Never returns.
pub async fn reload_on_sighup(sighup: SignalFlag, driver: Rc<Driver>) {
    loop {
        sighup.received().await;
        match Config::from_env() {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "configuration reloaded");
                driver.set_discovery_address(config.discovery);
            }
            Err(error) => tracing::warn!(%error, "configuration reload failed"),
        }
    }
}

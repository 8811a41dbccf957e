//! Creates the client of the platform's store from the settings.

use marjoramwing_settings::settings;
use marjoramwing_store_client::client;
use marjoramwing_store_client::dialect;

/// Returns a client for the store at the configured address, in the configured dialect.
#[must_use]
pub fn make_client(settings: &settings::InstanceSettings) -> client::StoreClient {
    let dialect = match settings.dialect {
        settings::InterfaceDialect::Native => dialect::StoreDialect::Native,
        settings::InterfaceDialect::Platform => dialect::StoreDialect::Platform,
    };
    client::StoreClient::new(settings.store.address, settings.store.timeout, dialect)
}

//! The client of the platform's store, as the settings say.

use marjoramwing_settings::settings;
use marjoramwing_store_client::client;
use marjoramwing_store_client::dialect;

/// Makes the client of the store that the settings name.
#[must_use]
pub fn make_client(settings: &settings::InstanceSettings) -> client::StoreClient {
    let dialect = match settings.dialect {
        settings::InterfaceDialect::Native => dialect::StoreDialect::Native,
        settings::InterfaceDialect::Platform => dialect::StoreDialect::Platform,
    };
    client::StoreClient::new(settings.store.address, settings.store.timeout, dialect)
}

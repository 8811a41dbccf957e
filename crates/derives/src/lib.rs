//! Attribute macros that expand to the project's common derive lists.
//!
//! One attribute instead of a list keeps the lists the same in all crates.

use proc_macro::TokenStream;

const VALUE_DERIVES: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]";
const RECORD_DERIVES: &str = "#[derive(Debug, Clone, PartialEq, Eq)]";
const NAME_DERIVES: &str = "#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]";
const MEASURE_DERIVES: &str = "#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]";
const DOCUMENT_DERIVES: &str =
    "#[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]";

/// Derives the traits of a small copyable key or number: comparison, ordering and hashing.
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(VALUE_DERIVES, item)
}

/// Derives the traits of cloned data that is compared for equality.
#[proc_macro_attribute]
pub fn record(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(RECORD_DERIVES, item)
}

/// Derives the traits of a textual name: those of [`macro@value`] except `Copy`.
#[proc_macro_attribute]
pub fn name(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(NAME_DERIVES, item)
}

/// Derives the traits of copyable data with floating-point fields, so without `Eq` and `Ord`.
#[proc_macro_attribute]
pub fn measure(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(MEASURE_DERIVES, item)
}

/// Derives the traits of a serialized document, with Serde's `Serialize` and `Deserialize`.
#[proc_macro_attribute]
pub fn document(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(DOCUMENT_DERIVES, item)
}

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream = derives.parse().expect("the derive list is valid Rust");
    tokens.extend(item);
    tokens
}

//! Attribute macros that add the project's common sets of derives.
//!
//! One attribute in place of a list keeps the sets alike across crates: a
//! `value` is a small copyable key or number, a `record` is cloned data.

use proc_macro::TokenStream;

const VALUE_DERIVES: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]";
const RECORD_DERIVES: &str = "#[derive(Debug, Clone, PartialEq, Eq)]";
const NAME_DERIVES: &str = "#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]";
const MEASURE_DERIVES: &str = "#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]";
const DOCUMENT_DERIVES: &str =
    "#[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]";

/// Derives what a small copyable key or number needs.
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(VALUE_DERIVES, item)
}

/// Derives what cloned, comparable data needs.
#[proc_macro_attribute]
pub fn record(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(RECORD_DERIVES, item)
}

/// Derives what a text name used as an ordered key needs.
#[proc_macro_attribute]
pub fn name(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(NAME_DERIVES, item)
}

/// Derives what a copyable floating-point measure needs.
#[proc_macro_attribute]
pub fn measure(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(MEASURE_DERIVES, item)
}

/// Derives what a serialized document needs.
#[proc_macro_attribute]
pub fn document(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(DOCUMENT_DERIVES, item)
}

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream = derives.parse().expect("the derive list is valid Rust");
    tokens.extend(item);
    tokens
}

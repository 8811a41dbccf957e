//! Canonical form of a request's path and host.
//!
//! Invariant: two requests that a backend server could resolve to the same
//! resource never match different routes. Percent-encoded unreserved characters
//! are decoded, and a path that servers are known to interpret differently is
//! refused.

use std::borrow;
use std::sync;

use marjoramwing_derives as derives;

/// Why a request's target or host is refused.
#[derives::value]
#[derive(derive_more::Display)]
pub enum TargetFault {
    /// The path does not start with a slash.
    #[display("the target has no path; send one that starts with `/`")]
    NoPath,
    /// The path has a `.` or `..` segment.
    #[display("the path has a `.` or `..` segment; send the path without it")]
    DotSegment,
    /// The path has an empty segment.
    #[display("the path has an empty segment; send single slashes")]
    EmptySegment,
    /// The path has a percent-encoded slash, backslash or control character.
    #[display("the path has an escaped slash, backslash or control character; send none")]
    EscapedDelimiter,
    /// The path has a backslash.
    #[display("the path has a backslash; send `/` between segments")]
    Backslash,
    /// The path has a percent sign without two hexadecimal digits.
    #[display("the path has `%` without two hexadecimal digits; send `%25` for a percent sign")]
    BadEscape,
    /// Escapes in the path hide which route it belongs to.
    #[display("escapes in the path hide its route; send letters, digits and `-._~` unescaped")]
    HiddenRoute,
    /// The request has no host.
    #[display("the request names no host; send one Host header")]
    NoHost,
    /// The request has several Host headers.
    #[display("the request names more than one host; send one Host header")]
    SeveralHosts,
    /// The host is not a valid host with an optional port.
    #[display("the Host header is not a host and port; correct it")]
    BadHost,
    /// The target and the Host header name different hosts.
    #[display("the URL and the Host header name different hosts; send one")]
    HostsDiffer,
    /// The target has a scheme other than http and https.
    #[display("the target has a scheme other than http and https; send one of these")]
    BadScheme,
}

/// Path of a request as the caller sent it, kept beside the request if the canonical form differs.
#[derive(Debug, Clone)]
pub struct SentPath(pub sync::Arc<str>);

/// Returns the canonical form of a path.
///
/// # Errors
///
/// Returns a fault when the path is invalid or servers are known to interpret it differently.
pub fn canonical_path(path: &str) -> Result<borrow::Cow<'_, str>, TargetFault> {
    if !path.starts_with('/') {
        return Err(TargetFault::NoPath);
    }
    let path = normalize_escapes(path)?;
    let mut segments = path.split('/').skip(1).peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        check_segment(segment, is_last)?;
    }
    Ok(path)
}

fn check_segment(segment: &str, is_last: bool) -> Result<(), TargetFault> {
    // Some servers strip path parameters (`;x`) before they resolve dot segments.
    let name = segment.split(';').next().unwrap_or_default();
    if matches!(name, "." | "..") {
        return Err(TargetFault::DotSegment);
    }
    if segment.is_empty() && !is_last {
        return Err(TargetFault::EmptySegment);
    }
    if segment.contains('\\') {
        return Err(TargetFault::Backslash);
    }
    Ok(())
}

fn normalize_escapes(path: &str) -> Result<borrow::Cow<'_, str>, TargetFault> {
    if !path.contains('%') {
        return Ok(borrow::Cow::Borrowed(path));
    }
    let mut normalized = String::with_capacity(path.len());
    let mut rest = path;
    while let Some((before, after)) = rest.split_once('%') {
        normalized.push_str(before);
        let digits = after.get(..2).ok_or(TargetFault::BadEscape)?;
        let byte = parse_escape(digits).ok_or(TargetFault::BadEscape)?;
        match byte {
            b'/' | b'\\' | 0x7f | 0..0x20 => return Err(TargetFault::EscapedDelimiter),
            byte if is_unreserved(byte) => normalized.push(char::from(byte)),
            byte => normalized.push_str(&format!("%{byte:02X}")),
        }
        rest = &after[2..];
    }
    normalized.push_str(rest);
    Ok(borrow::Cow::Owned(normalized))
}

fn parse_escape(digits: &str) -> Option<u8> {
    let is_hex = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
    if is_hex { u8::from_str_radix(digits, 16).ok() } else { None }
}

fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~')
}

/// Checks that a request has one valid host.
///
/// # Errors
///
/// Returns a fault when the host is missing, ambiguous or invalid, or the scheme
/// is not HTTP.
pub fn check_host<B>(request: &http::Request<B>) -> Result<(), TargetFault> {
    check_scheme(request.uri())?;
    let mut header_hosts = request.headers().get_all(http::header::HOST).into_iter();
    let first = header_hosts.next();
    if header_hosts.next().is_some() {
        return Err(TargetFault::SeveralHosts);
    }
    let header_host = first.map(parse_host).transpose()?;
    match (request.uri().authority(), header_host) {
        (Some(target), _) if target.as_str().contains('@') => Err(TargetFault::BadHost),
        (Some(target), Some(header_host)) if *target != header_host => {
            Err(TargetFault::HostsDiffer)
        }
        (None, None) if request.version() >= http::Version::HTTP_11 => Err(TargetFault::NoHost),
        _ => Ok(()),
    }
}

fn check_scheme(uri: &http::Uri) -> Result<(), TargetFault> {
    match uri.scheme_str() {
        None | Some("http" | "https") => Ok(()),
        Some(_) => Err(TargetFault::BadScheme),
    }
}

fn parse_host(value: &http::HeaderValue) -> Result<http::uri::Authority, TargetFault> {
    let text = value.to_str().map_err(|_| TargetFault::BadHost)?;
    if text.contains('@') {
        return Err(TargetFault::BadHost);
    }
    text.parse().map_err(|_| TargetFault::BadHost)
}

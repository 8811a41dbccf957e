//! Parsing of request heads.
//!
//! Invariant: a head with ambiguous body framing is refused, which prevents
//! request smuggling.

use marjoramwing_derives as derives;

/// Largest number of headers in a head.
const MAX_HEADERS: usize = 128;

/// A complete request head.
#[derive(Debug)]
pub struct RequestHead {
    /// Method, target, version and headers.
    pub parts: http::request::Parts,
    /// Framing of the body.
    pub body: BodyFraming,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether this is the last request on the connection.
    pub is_last: bool,
    /// Length of the head, in bytes.
    pub length: usize,
}

/// Framing of a request body.
#[derives::value]
pub enum BodyFraming {
    /// The body has this many bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
}

/// Why a head is refused.
#[derives::value]
pub enum HeadFault {
    /// The head is not valid HTTP/1, or its framing is ambiguous.
    Malformed,
    /// The head has too many bytes or headers.
    TooLarge,
}

/// Parses the head at the start of `bytes`; returns `None` if it is incomplete.
///
/// # Errors
///
/// Returns a fault when the head is malformed or too large.
pub fn read_head(bytes: &[u8], max_bytes: usize) -> Result<Option<RequestHead>, HeadFault> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() < max_bytes => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(HeadFault::TooLarge);
        }
        Err(_) => return Err(HeadFault::Malformed),
    };
    if length > max_bytes {
        return Err(HeadFault::TooLarge);
    }
    let parts = read_parts(&parsed)?;
    let body = find_framing(&parts)?;
    let is_http10 = parts.version == http::Version::HTTP_10;
    Ok(Some(RequestHead {
        body,
        expects_continue: has_token(&parts.headers, &http::header::EXPECT, "100-continue"),
        is_last: is_http10 || has_token(&parts.headers, &http::header::CONNECTION, "close"),
        length,
        parts,
    }))
}

fn read_parts(parsed: &httparse::Request<'_, '_>) -> Result<http::request::Parts, HeadFault> {
    let version = match parsed.version {
        Some(0) => http::Version::HTTP_10,
        Some(1) => http::Version::HTTP_11,
        _ => return Err(HeadFault::Malformed),
    };
    let mut builder = http::Request::builder()
        .method(parsed.method.ok_or(HeadFault::Malformed)?)
        .uri(parsed.path.ok_or(HeadFault::Malformed)?)
        .version(version);
    for line in parsed.headers.iter() {
        builder = builder.header(line.name, line.value);
    }
    let request = builder.body(()).map_err(|_| HeadFault::Malformed)?;
    Ok(request.into_parts().0)
}

fn find_framing(parts: &http::request::Parts) -> Result<BodyFraming, HeadFault> {
    let mut lengths = parts.headers.get_all(http::header::CONTENT_LENGTH).into_iter();
    let length = lengths.next();
    let has_transfer_coding = parts.headers.contains_key(http::header::TRANSFER_ENCODING);
    let is_http10 = parts.version == http::Version::HTTP_10;
    match (length, has_transfer_coding) {
        _ if lengths.next().is_some() => Err(HeadFault::Malformed),
        (Some(_), true) => Err(HeadFault::Malformed),
        (None, true) if is_http10 => Err(HeadFault::Malformed),
        // The request handler refuses all other codings and closes the connection.
        (None, true) => Ok(BodyFraming::Chunked),
        (None, false) => Ok(BodyFraming::Length(0)),
        (Some(value), false) => {
            let digits = value.as_bytes();
            let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
            let text = value.to_str().ok().filter(|_| is_number);
            let length = text.and_then(|text| text.parse().ok());
            length.map(BodyFraming::Length).ok_or(HeadFault::Malformed)
        }
    }
}

fn has_token(headers: &http::HeaderMap, name: &http::HeaderName, token: &str) -> bool {
    let texts = headers.get_all(name).into_iter().filter_map(|value| value.to_str().ok());
    texts.flat_map(|text| text.split(',')).any(|listed| listed.trim().eq_ignore_ascii_case(token))
}

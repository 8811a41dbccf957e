//! The head of a request.
//!
//! Invariant: a head whose body's end two readers could see in different
//! places is refused, so that no request hides in another one's body.

use marjoramwing_derives as derives;

/// Header lines that one head may have.
const MAX_HEADERS: usize = 128;

/// A head that was read whole.
#[derive(Debug)]
pub struct RequestHead {
    /// The request, still without its body.
    pub parts: http::request::Parts,
    /// How the body's end is found.
    pub body: BodyFraming,
    /// Whether the caller waits to be told to send the body.
    pub expects_continue: bool,
    /// Whether the caller sends no request after this one.
    pub is_last: bool,
    /// Bytes of the head.
    pub length: usize,
}

/// How the end of a body is found.
#[derives::value]
pub enum BodyFraming {
    /// After this many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
}

/// Why a head cannot be read.
#[derives::value]
pub enum HeadFault {
    /// It is not a request, or two readers could see it in different ways.
    Malformed,
    /// It is larger than it may be.
    TooLarge,
}

/// Reads the head at the start of the bytes, if it is there whole.
///
/// # Errors
///
/// Returns a fault when no request can begin with the bytes.
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
    let is_old = parts.version == http::Version::HTTP_10;
    Ok(Some(RequestHead {
        body,
        expects_continue: has_word(&parts.headers, &http::header::EXPECT, "100-continue"),
        is_last: is_old || has_word(&parts.headers, &http::header::CONNECTION, "close"),
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
    let is_coded = parts.headers.contains_key(http::header::TRANSFER_ENCODING);
    let is_old = parts.version == http::Version::HTTP_10;
    match (length, is_coded) {
        _ if lengths.next().is_some() => Err(HeadFault::Malformed),
        (Some(_), true) => Err(HeadFault::Malformed),
        (None, true) if is_old => Err(HeadFault::Malformed),
        // The guard refuses every coding but this one; it ends the connection.
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

fn has_word(headers: &http::HeaderMap, name: &http::HeaderName, word: &str) -> bool {
    let texts = headers.get_all(name).into_iter().filter_map(|value| value.to_str().ok());
    texts.flat_map(|text| text.split(',')).any(|told| told.trim().eq_ignore_ascii_case(word))
}

//! The form of messages between instances, and their size.

use serde::{Deserialize, Serialize};

use crate::peers::{Digest, Forward, Message, Report};
use crate::zone_news::ZoneNews;

/// Maximum size of a datagram, in bytes. Longer ones are not received.
pub const MAX_DATAGRAM_BYTES: usize = 32 * 1024;

/// Size of a report from which the digests of further zones are put into another one, in bytes.
const FULL_REPORT_BYTES: usize = 16 * 1024;

/// Version of the message format; datagrams of other versions are ignored.
const VERSION: u16 = 4;

/// A message with the version of its format.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Datagram {
    version: u16,
    message: Message,
}

/// Decodes a datagram; `None` if its format is another one.
///
/// # Errors
/// Fails if the datagram is incomplete, or has a message of an unknown kind.
pub fn decode(bytes: &[u8]) -> Result<Option<Message>, ciborium::de::Error<std::io::Error>> {
    let datagram: Datagram = ciborium::from_reader(bytes)?;
    Ok((datagram.version == VERSION).then_some(datagram.message))
}

/// Encodes a message as a datagram; `None` if that fails.
pub fn encode(message: Message) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let datagram = Datagram {
        version: VERSION,
        message,
    };
    match ciborium::into_writer(&datagram, &mut bytes) {
        Ok(()) => Some(bytes),
        Err(error) => {
            log::warn!("cannot encode a datagram, nothing sent to peers: {error}");
            None
        }
    }
}

/// Encodes a report. The digests that it forwards are spread over as many datagrams as their size
/// takes; each of them has the whole of the instance's own part, which a receiver may apply repeatedly.
pub fn encode_report(mut report: Report) -> Vec<Vec<u8>> {
    let digests = std::mem::take(&mut report.digests);
    let own = encode_shortened(report.clone(), Message::Report, Report::shorten);
    let own_size = own.as_ref().map_or(0, Vec::len);
    let with_digests = grouped(digests, own_size).into_iter().map(|digests| {
        let mut report = report.clone();
        report.digests = digests;
        encode_shortened(report, Message::Report, Report::shorten)
    });
    with_digests.flatten().collect()
}

/// Encodes what an instance forwards, spread over as many datagrams as its size takes.
pub fn encode_forward(forward: Forward) -> Vec<Vec<u8>> {
    let Forward { digests, news, to } = forward;
    let news = match news.is_empty() {
        true => Vec::new(),
        false => news.into_parts(),
    };
    let news = news.into_iter().map(|news| Forward {
        digests: Vec::new(),
        news,
        to: to.clone(),
    });
    let groups = grouped(digests, 0).into_iter().filter(|g| !g.is_empty());
    let digests = groups.map(|digests| Forward {
        digests,
        news: ZoneNews::default(),
        to: to.clone(),
    });
    let parts = news.chain(digests);
    parts
        .filter_map(|part| encode_shortened(part, Message::Forward, Forward::shorten))
        .collect()
}

/// Divides digests into groups that fit into a message which has `own_size` bytes without them. There is at
/// least one group.
fn grouped(digests: Vec<Digest>, own_size: usize) -> Vec<Vec<Digest>> {
    let mut groups = Vec::new();
    let mut group = Vec::new();
    let mut size = own_size;
    for digest in digests {
        let digest_size = encode(Message::Digest(digest.clone())).map_or(0, |bytes| bytes.len());
        if !group.is_empty() && size + digest_size > FULL_REPORT_BYTES {
            groups.push(std::mem::take(&mut group));
            size = own_size;
        }
        size += digest_size;
        group.push(digest);
    }
    groups.push(group);
    groups
}

/// Encodes a digest.
pub fn encode_digest(digest: Digest) -> Option<Vec<u8>> {
    encode_shortened(digest, Message::Digest, Digest::shorten)
}

/// Encodes a message. One that is too long for a datagram would not arrive at all, so it is shortened
/// until it fits.
fn encode_shortened<T: Clone>(
    mut content: T,
    message: fn(T) -> Message,
    shorten: fn(&mut T) -> bool,
) -> Option<Vec<u8>> {
    loop {
        let bytes = encode(message(content.clone()))?;
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            return Some(bytes);
        }
        if !shorten(&mut content) {
            log::warn!("a message of {} bytes is not sent to peers", bytes.len());
            return None;
        }
        log::debug!("a message of {} bytes is shortened", bytes.len());
    }
}

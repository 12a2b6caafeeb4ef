//! What gateways tell each other about a relayed request, in headers of the HTTP request and
//! its answer. The request itself is passed on as its caller sent it.

use std::fmt::{self, Write as _};
use std::num::ParseIntError;
use std::str::FromStr;

use garnet_routes::WorkKind;
use garnet_types::{BuildId, Framing, Millis, ServiceId, TenantId};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use serde::{Deserialize, Serialize};

use crate::answers::OwnAnswer;

/// Holds a [`RelayedCall`], encoded by `bincode` and written as hexadecimal digits.
const CALL: HeaderName = HeaderName::from_static("garnet-relayed-call");
/// Tells the sender what the answer is, see [`RelayOutcome`].
const OUTCOME: HeaderName = HeaderName::from_static("garnet-relay-outcome");
/// Value of [`OUTCOME`] for an answer of a back end.
const ANSWERED: &str = "answered";
/// Value of [`OUTCOME`] for a request that the relay does not take.
const UNAVAILABLE: &str = "unavailable";
/// Value of [`OUTCOME`] for a request that the relay leaves to its peer. Earlier builds take it for
/// one that may have run.
const LEFT: &str = "left";

/// Tells the sender how the back end marked the end of its answer. Encoding version 18 has no such
/// header.
const FRAMING: HeaderName = HeaderName::from_static("garnet-relay-framing");
/// Value of [`FRAMING`] for [`Framing::Delimited`].
const DELIMITED: &str = "delimited";
/// Value of [`FRAMING`] for [`Framing::UntilClose`].
const UNTIL_CLOSE: &str = "until-close";

/// The build of the engine that began a stream, in either direction. Gateways of version 18 ignore
/// it.
const BUILD: HeaderName = HeaderName::from_static("garnet-relay-build");

/// The latest version of relayed calls that the relay takes. Relays before
/// [`RelayVersion::MATCHES_ANSWERS`] have no such header.
const VERSION: HeaderName = HeaderName::from_static("garnet-relay-version");

/// Version of the calls between gateways. A relay takes no call of a later version than its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RelayVersion(pub u32);

impl RelayVersion {
    /// The first version.
    pub const FIRST: Self = RelayVersion(18);
    /// The relay matches each answer of a back end to its request. Earlier relays took a rejection
    /// of another request for one of the relayed request, which they sent again or reported as not
    /// run.
    pub const MATCHES_ANSWERS: Self = RelayVersion(21);
    /// The relay continues a stream only if it knows which build began it. Earlier relays take a
    /// service for one of a single build until they have received another one.
    pub const KNOWS_BUILDS: Self = RelayVersion(22);
    /// The version of this build.
    pub const CURRENT: Self = Self::KNOWS_BUILDS;

    /// The earliest version of relays that may take work of this kind.
    pub(super) fn required_for(kind: WorkKind) -> Self {
        match kind.may_repeat() {
            true => Self::FIRST,
            false => Self::MATCHES_ANSWERS,
        }
    }
}

impl fmt::Display for RelayVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for RelayVersion {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(RelayVersion)
    }
}

/// What the first gateway decided about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedCall {
    /// The earliest version of relays that may take the request.
    pub version: RelayVersion,
    /// Version of the route table by which the sender works.
    pub routes_version: u64,
    /// The service that takes the request.
    pub service: ServiceId,
    /// The caller's tenant.
    pub tenant: Option<TenantId>,
    /// Time since the request arrived at the sender.
    pub elapsed: Millis,
    /// Time that remains for the request.
    pub remaining: Millis,
    /// Number of back ends to which the request may still be sent.
    pub attempts_left: u32,
    /// Id of the event after which the stream resumes.
    pub resume_after: Option<String>,
    /// Whether usage has counted the request.
    pub is_counted: bool,
}

impl RelayedCall {
    /// Adds the call to the headers of a request.
    pub fn write(&self, headers: &mut HeaderMap) {
        let config = bincode::config::standard();
        // Encoding plain data into memory can't fail.
        let bytes = bincode::serde::encode_to_vec(self, config).unwrap_or_default();
        if let Ok(value) = HeaderValue::from_str(&hex(&bytes)) {
            headers.insert(CALL, value);
        }
    }

    /// Takes the call out of the headers of a request. `None` if there is none or this build
    /// can't read it.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(CALL)?;
        let bytes = from_hex(value.to_str().ok()?)?;
        let config = bincode::config::standard();
        let (call, _): (RelayedCall, usize) =
            bincode::serde::decode_from_slice(&bytes, config).ok()?;
        (call.version <= RelayVersion::CURRENT).then_some(call)
    }
}

/// What a relay's answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RelayOutcome {
    /// The answer of a back end.
    Answered,
    /// The relay does not take the request, which has not run.
    Unavailable,
    /// The relay stops and gives up the request, which may have run.
    Left,
    /// The relay's own final answer to the request.
    Own(OwnAnswer),
}

impl RelayOutcome {
    /// Adds the outcome to the headers of an answer.
    pub(super) fn write(self, headers: &mut HeaderMap) {
        let name = match self {
            RelayOutcome::Answered => ANSWERED,
            RelayOutcome::Unavailable => UNAVAILABLE,
            RelayOutcome::Left => LEFT,
            RelayOutcome::Own(answer) => answer.as_str(),
        };
        headers.insert(OUTCOME, HeaderValue::from_static(name));
    }

    /// Takes the outcome out of the headers of an answer. `None` if it is not the answer of a
    /// relay.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(OUTCOME)?;
        match value.to_str().ok()? {
            ANSWERED => Some(RelayOutcome::Answered),
            UNAVAILABLE => Some(RelayOutcome::Unavailable),
            LEFT => Some(RelayOutcome::Left),
            name => OwnAnswer::from_name(name, retry_after(headers)).map(RelayOutcome::Own),
        }
    }
}

/// Adds the build that began a stream to the headers of a request or an answer.
pub(super) fn write_build(build: Option<&BuildId>, headers: &mut HeaderMap) {
    let value = build.and_then(|build| HeaderValue::from_str(build.as_str()).ok());
    if let Some(value) = value {
        headers.insert(BUILD, value);
    }
}

/// Takes the build that began a stream out of the headers of a request or an answer.
pub(super) fn take_build(headers: &mut HeaderMap) -> Option<BuildId> {
    let value = headers.remove(BUILD)?;
    Some(BuildId::new(value.to_str().ok()?))
}

/// Adds the version of this relay to the headers of an answer.
pub(super) fn write_version(headers: &mut HeaderMap) {
    headers.insert(VERSION, HeaderValue::from(RelayVersion::CURRENT.0));
}

/// Takes the version of the relay out of the headers of an answer.
pub(super) fn take_version(headers: &mut HeaderMap) -> RelayVersion {
    let value = headers.remove(VERSION);
    let text = value.as_ref().and_then(|value| value.to_str().ok());
    let version = text.and_then(|text| text.parse().ok());
    version.unwrap_or(RelayVersion::FIRST)
}

/// Adds the framing of a back end's answer to the headers of an answer.
pub(super) fn write_framing(framing: Framing, headers: &mut HeaderMap) {
    let name = match framing {
        Framing::Delimited => DELIMITED,
        Framing::UntilClose => UNTIL_CLOSE,
    };
    headers.insert(FRAMING, HeaderValue::from_static(name));
}

/// Takes the framing of a back end's answer out of the headers of an answer. A relay that does not
/// report it may have marked an end that the back end has not.
pub(super) fn take_framing(headers: &mut HeaderMap) -> Framing {
    match headers.remove(FRAMING) {
        Some(value) if value == DELIMITED => Framing::Delimited,
        _ => Framing::UntilClose,
    }
}

/// The time of `Retry-After`, which relays write as a fraction of seconds.
fn retry_after(headers: &HeaderMap) -> Millis {
    let value = headers.get(RETRY_AFTER);
    let text = value.and_then(|value| value.to_str().ok());
    let seconds: f64 = text.and_then(|text| text.parse().ok()).unwrap_or_default();
    Millis((seconds.max(0.0) * 1000.0) as u64)
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        // Writing to a string can't fail.
        let _written = write!(text, "{byte:02x}");
    }
    text
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    let value = |digit: u8| char::from(digit).to_digit(16);
    let byte = |pair: &[u8]| match pair {
        [high, low] => u8::try_from(value(*high)? * 16 + value(*low)?).ok(),
        _ => None,
    };
    digits.chunks(2).map(byte).collect()
}

//! Conversion between the types of the `decision` crate and capnp messages.

use std::time::Duration;

use decision::ids::Head;
use decision::ids::Incarnation;
use decision::ids::Priority;
use decision::ids::RequestId;
use decision::job::Job;
use decision::job::Target;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::wire_capnp::head;
use crate::wire_capnp::job;

pub(crate) fn write_head(mut out: head::Builder<'_>, value: &Head) {
    out.set_generation(value.generation);
    out.set_digest(&*value.digest);
}

pub(crate) fn read_head(from: head::Reader<'_>) -> capnp::Result<Head> {
    Ok(Head {
        generation: from.get_generation(),
        digest: from.get_digest()?.to_string()?,
    })
}

/// Splits a request identifier into its high and low 64 bits.
pub(crate) fn split_id(id: RequestId) -> (u64, u64) {
    ((id.0 >> 64) as u64, id.0 as u64)
}

/// Builds a request identifier from its high and low 64 bits.
pub(crate) fn join_id(high: u64, low: u64) -> RequestId {
    RequestId((u128::from(high) << 64) | u128::from(low))
}

pub(crate) fn write_job(mut out: job::Builder<'_>, value: &Job) {
    let (high, low) = split_id(value.request);
    out.set_request_high(high);
    out.set_request_low(low);
    out.set_attempt(value.attempt);
    write_head(out.reborrow().init_head(), &value.head);
    out.set_workspace(&*value.workspace);
    out.set_route(&*value.route);
    write_target(out.reborrow().init_target(), &value.target);
    out.set_priority(match value.priority {
        Priority::Interactive => 0,
        Priority::Booking => 1,
        Priority::Overnight => 2,
    });
    out.set_left_micros(value.left.as_micros() as u64);
    out.set_claimed(value.claim.is_some());
    out.set_claim(value.claim.map_or(0, |claim| claim.0));
    if let Some(row) = &value.row {
        out.set_row(&**row);
    }
    out.set_path(&*value.path);
    out.set_stream(value.stream);
    out.set_prefix(value.prefix);
}

fn write_target(mut out: job::target::Builder<'_>, target: &Target) {
    match target {
        Target::Version {
            name,
            weights,
            digest,
        } => {
            let mut version = out.init_version();
            version.set_name(&**name);
            version.set_weights(&**weights);
            version.set_digest(&**digest);
        }
        Target::Model(name) => out.set_model(&**name),
        Target::Service(name) => out.set_service(&**name),
    }
}

pub(crate) fn read_job(from: job::Reader<'_>) -> capnp::Result<Job> {
    let row = from.get_row()?.to_str()?;
    Ok(Job {
        request: join_id(from.get_request_high(), from.get_request_low()),
        attempt: from.get_attempt(),
        head: read_head(from.get_head()?)?,
        workspace: from.get_workspace()?.to_str()?.into(),
        route: from.get_route()?.to_str()?.into(),
        target: read_target(from.get_target())?,
        priority: read_priority(from.get_priority())?,
        left: Duration::from_micros(from.get_left_micros()),
        claim: from.get_claimed().then(|| Incarnation(from.get_claim())),
        row: (!row.is_empty()).then(|| row.to_owned()),
        path: from.get_path()?.to_string()?,
        stream: from.get_stream(),
        prefix: from.get_prefix(),
    })
}

fn read_target(from: job::target::Reader<'_>) -> capnp::Result<Target> {
    match from.which()? {
        job::target::Version(version) => Ok(Target::Version {
            name: version.get_name()?.to_str()?.into(),
            weights: version.get_weights()?.to_str()?.into(),
            digest: version.get_digest()?.to_str()?.into(),
        }),
        job::target::Model(name) => Ok(Target::Model(name?.to_str()?.into())),
        job::target::Service(name) => Ok(Target::Service(name?.to_str()?.into())),
    }
}

fn read_priority(code: u8) -> capnp::Result<Priority> {
    match code {
        0 => Ok(Priority::Interactive),
        1 => Ok(Priority::Booking),
        2 => Ok(Priority::Overnight),
        _ => Err(capnp::Error::failed(format!(
            "unknown priority code {code}"
        ))),
    }
}

/// Encodes the value of a message field that holds JSON.
pub(crate) fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("values in messages have string keys and finite numbers")
}

/// Decodes the value of a message field that holds JSON.
pub(crate) fn from_json<T: DeserializeOwned>(data: &[u8]) -> capnp::Result<T> {
    serde_json::from_slice(data).map_err(|err| capnp::Error::failed(err.to_string()))
}

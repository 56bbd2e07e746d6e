//! Decoder for batches of event records.

use crate::codes::{self, EventCode};
use crate::error::{WireError, WireProblem};
use crate::frame::LENGTH_BYTES;
use crate::reader::FieldReader;
use crate::record::{BalancerEvent, Batch, Record, RecordBody, UpstreamResult};
use balancer_core::{
    AttemptIndex, Availability, CellId, ClassId, EndpointEntry, HardwareId, Outcome, ProcessStart, RequestId,
    TenantId, TimerId, UpdateScope, ZoneId,
};
use balancer_settings::duration_from_ms;

#[cfg(test)]
mod tests;

/// Size of one entry of an endpoint list on the wire.
const ENDPOINT_ENTRY_BYTES: usize = 24;

/// Decodes a batch from a frame, which includes the length field. Returns an error with the offset of the
/// first malformed field.
pub fn decode_batch(frame: &[u8]) -> Result<Batch, WireError> {
    let mut reader = FieldReader::new(frame);
    let stated = reader.u32("length")? as usize;
    let actual = frame.len() - LENGTH_BYTES;
    if stated != actual {
        return Err(WireProblem::LengthMismatch { stated, actual }.at(0));
    }
    let clock = reader.duration("clock")?;
    let mut records = Vec::new();
    while !reader.is_at_end() {
        records.push(decode_record(&mut reader)?);
    }
    Ok(Batch { clock, records })
}

fn decode_record(reader: &mut FieldReader<'_>) -> Result<Record, WireError> {
    let offset = reader.offset();
    let code = EventCode::try_from(reader.u8("record code")?).map_err(|problem| problem.at(offset))?;
    let body = match code {
        EventCode::EndpointList => decode_endpoint_list(reader)?,
        EventCode::Start => decode_start(reader)?,
        EventCode::Kill => RecordBody::Kill { instance: read_instance(reader)? },
        EventCode::PeerMessage => decode_peer_message(reader)?,
        EventCode::ClientDisconnected => decode_balancer_event(reader, decode_client_disconnected)?,
        EventCode::StreamStarted => decode_balancer_event(reader, decode_stream_started)?,
        EventCode::TimerFired => decode_balancer_event(reader, decode_timer_fired)?,
        EventCode::HealthCheckEnded => decode_balancer_event(reader, decode_health_check_ended)?,
        EventCode::EndpointUpdate => decode_balancer_event(reader, decode_endpoint_update)?,
        EventCode::AttemptEnded => decode_balancer_event(reader, decode_attempt_ended)?,
        EventCode::RequestArrived => decode_balancer_event(reader, decode_request_arrived)?,
    };
    Ok(Record { offset, body })
}

fn decode_balancer_event(
    reader: &mut FieldReader<'_>,
    decode_event: fn(&mut FieldReader<'_>) -> Result<BalancerEvent, WireError>,
) -> Result<RecordBody, WireError> {
    let instance = read_instance(reader)?;
    let event = decode_event(reader)?;
    Ok(RecordBody::BalancerEvent { instance, event })
}

fn decode_endpoint_list(reader: &mut FieldReader<'_>) -> Result<RecordBody, WireError> {
    let offset = reader.offset();
    let number = reader.u32("list number")?;
    let count = reader.count(ENDPOINT_ENTRY_BYTES, "number of entries")?;
    if number > codes::MAX_LIST_NUMBER {
        return Err(WireProblem::ListNumberOutOfRange(number).at(offset));
    }
    let entries = (0..count).map(|_| decode_endpoint_entry(reader)).collect::<Result<_, _>>()?;
    Ok(RecordBody::EndpointList { number, entries })
}

fn decode_endpoint_entry(reader: &mut FieldReader<'_>) -> Result<EndpointEntry, WireError> {
    Ok(EndpointEntry {
        id: reader.upstream_id()?,
        zone: ZoneId(reader.u8("zone")?),
        hardware: HardwareId(reader.u16("kind")?),
        cell: CellId(reader.u16("cell")?),
        availability: read_availability(reader)?,
        weight: f64::from(reader.f32("weight")?),
        process_start: read_process_start(reader)?,
    })
}

fn read_availability(reader: &mut FieldReader<'_>) -> Result<Availability, WireError> {
    let offset = reader.offset();
    codes::availability_from_code(reader.u8("availability")?).map_err(|problem| problem.at(offset))
}

/// Reads the time at which a process started, on the clock of the batches. A value that is not positive
/// stands for an unknown time.
fn read_process_start(reader: &mut FieldReader<'_>) -> Result<ProcessStart, WireError> {
    let ms = reader.f64("start time")?;
    let is_known = ms > 0.0;
    Ok(if is_known { ProcessStart::At(duration_from_ms(ms)) } else { ProcessStart::Unknown })
}

fn decode_start(reader: &mut FieldReader<'_>) -> Result<RecordBody, WireError> {
    let instance = read_instance(reader)?;
    let seed = reader.u64("seed")?;
    let length = reader.count(1, "settings' length")?;
    let offset = reader.offset();
    let settings = std::str::from_utf8(reader.bytes(length, "settings")?)
        .map_err(|error| WireProblem::SettingsEncoding(error).at(offset))?;
    Ok(RecordBody::Start { instance, seed, settings: settings.to_owned() })
}

fn decode_peer_message(reader: &mut FieldReader<'_>) -> Result<RecordBody, WireError> {
    let instance = read_instance(reader)?;
    reader.u16("sender")?;
    let length = reader.u16("message's length")?;
    reader.bytes(usize::from(length), "message")?;
    Ok(RecordBody::PeerMessage { instance })
}

fn decode_client_disconnected(reader: &mut FieldReader<'_>) -> Result<BalancerEvent, WireError> {
    Ok(BalancerEvent::ClientDisconnected { id: read_request_id(reader)? })
}

fn decode_stream_started(reader: &mut FieldReader<'_>) -> Result<BalancerEvent, WireError> {
    let id = read_request_id(reader)?;
    reader.upstream_id()?;
    let attempt = read_attempt_index(reader)?;
    let latency = reader.duration("latency")?;
    Ok(BalancerEvent::StreamStarted { id, attempt, latency })
}

fn decode_timer_fired(reader: &mut FieldReader<'_>) -> Result<BalancerEvent, WireError> {
    Ok(BalancerEvent::TimerFired { timer: TimerId(reader.u32("timer")?) })
}

fn decode_health_check_ended(reader: &mut FieldReader<'_>) -> Result<BalancerEvent, WireError> {
    let upstream = reader.upstream_id()?;
    let latency = reader.duration("latency")?;
    let outcome = read_outcome(reader)?;
    let load_report = read_load_report(reader)?;
    let result = UpstreamResult { upstream, outcome, latency, load_report };
    Ok(BalancerEvent::HealthCheckEnded { result })
}

fn decode_endpoint_update(reader: &mut FieldReader<'_>) -> Result<BalancerEvent, WireError> {
    let scope = read_update_scope(reader)?;
    reader.u32("version")?;
    let list = reader.u32("list number")?;
    Ok(BalancerEvent::EndpointUpdate { scope, list })
}

fn read_update_scope(reader: &mut FieldReader<'_>) -> Result<UpdateScope, WireError> {
    let offset = reader.offset();
    codes::update_scope_from_code(reader.u8("scope")?).map_err(|problem| problem.at(offset))
}

fn decode_attempt_ended(reader: &mut FieldReader<'_>) -> Result<BalancerEvent, WireError> {
    let id = read_request_id(reader)?;
    let attempt = read_attempt_index(reader)?;
    let upstream = reader.upstream_id()?;
    let outcome = read_outcome(reader)?;
    let latency = reader.duration("latency")?;
    let request_finished = reader.u8("done flag")? != 0;
    let load_report = read_load_report(reader)?;
    let result = UpstreamResult { upstream, outcome, latency, load_report };
    Ok(BalancerEvent::AttemptEnded { id, attempt, request_finished, result })
}

fn decode_request_arrived(reader: &mut FieldReader<'_>) -> Result<BalancerEvent, WireError> {
    let id = read_request_id(reader)?;
    let class = ClassId(reader.u16("class")?);
    let tenant = TenantId(reader.u32("tenant")?);
    reader.u64("key")?;
    let time_left = reader.duration("time left")?;
    let work_hint_ms = reader.f64("work hint")?;
    let flags = reader.u8("flags")?;
    let is_work_known = flags & codes::WORK_HINT_FLAG != 0 && work_hint_ms.is_finite() && work_hint_ms > 0.0;
    Ok(BalancerEvent::RequestArrived {
        id,
        class,
        tenant,
        time_left,
        expected_work_ms: is_work_known.then_some(work_hint_ms),
        is_client_retry: flags & codes::CLIENT_RETRY_FLAG != 0,
    })
}

fn read_instance(reader: &mut FieldReader<'_>) -> Result<u32, WireError> {
    reader.u32("instance")
}

fn read_request_id(reader: &mut FieldReader<'_>) -> Result<RequestId, WireError> {
    Ok(RequestId(reader.u32("request")?))
}

fn read_attempt_index(reader: &mut FieldReader<'_>) -> Result<AttemptIndex, WireError> {
    Ok(AttemptIndex(reader.u8("attempt")?))
}

fn read_outcome(reader: &mut FieldReader<'_>) -> Result<Outcome, WireError> {
    let offset = reader.offset();
    codes::outcome_from_code(reader.u16("outcome")?).map_err(|problem| problem.at(offset))
}

fn read_load_report(reader: &mut FieldReader<'_>) -> Result<Vec<f32>, WireError> {
    let count = reader.u8("load report's length")?;
    (0..count).map(|_| reader.f32("load report")).collect()
}

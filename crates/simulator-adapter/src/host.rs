//! Hosts the balancers of all instances.

use crate::error::{WireError, WireProblem};
use crate::record::{BalancerEvent, Record, RecordBody};
use balancer_core::{Action, Balancer, EndpointEntry, Event, UpdateScope};
use balancer_settings::InvalidSettings;
use std::collections::HashMap;
use std::time::Duration;

/// The endpoint lists by their numbers.
type EndpointLists = HashMap<u32, Vec<EndpointEntry>>;

/// The running instances and the actions that they have asked for in this batch.
#[derive(Default)]
pub struct Host {
    instances: HashMap<u32, Balancer>,
    lists: EndpointLists,
    pending: Vec<InstanceAction>,
    /// Buffer for the actions of one event.
    actions: Vec<Action>,
}

/// An action of an instance.
pub struct InstanceAction {
    /// The instance.
    pub instance: u32,
    /// What it asks for.
    pub action: Action,
}

impl Host {
    /// Applies a record and keeps the resulting actions for the reply.
    ///
    /// Fails, with the offset of the record, on unusable settings, on an undefined endpoint list and on an
    /// instance that does not run.
    pub fn apply(&mut self, now: Duration, record: Record) -> Result<(), WireError> {
        self.apply_body(now, record.body).map_err(|problem| problem.at(record.offset))
    }

    /// Removes and returns the actions since the last call, in order.
    pub fn drain_actions(&mut self) -> impl Iterator<Item = InstanceAction> {
        self.pending.drain(..)
    }

    fn apply_body(&mut self, now: Duration, body: RecordBody) -> Result<(), WireProblem> {
        match body {
            RecordBody::EndpointList { number, entries } => {
                self.lists.insert(number, entries);
                Ok(())
            }
            RecordBody::Start { instance, seed, settings } => self.start(instance, seed, &settings),
            RecordBody::Kill { instance } => {
                self.instances.remove(&instance);
                self.discard_actions(instance);
                Ok(())
            }
            RecordBody::PeerMessage { instance } => self.require_running(instance),
            RecordBody::BalancerEvent { instance, event } => self.deliver(now, instance, &event),
        }
    }

    fn start(&mut self, instance: u32, seed: u64, settings: &str) -> Result<(), WireProblem> {
        let site = balancer_settings::parse(settings)?;
        let balancer = Balancer::new(site.settings, seed).map_err(InvalidSettings)?;
        self.instances.insert(instance, balancer);
        self.discard_actions(instance);
        Ok(())
    }

    /// Drops the actions of an earlier life: an instance may be killed and started again within one batch.
    fn discard_actions(&mut self, instance: u32) {
        self.pending.retain(|pending| pending.instance != instance);
    }

    fn require_running(&self, instance: u32) -> Result<(), WireProblem> {
        if self.instances.contains_key(&instance) {
            Ok(())
        } else {
            Err(WireProblem::UnknownInstance(instance))
        }
    }

    fn deliver(&mut self, now: Duration, instance: u32, event: &BalancerEvent) -> Result<(), WireProblem> {
        let event = core_event(event, &self.lists)?;
        let balancer = self.instances.get_mut(&instance).ok_or(WireProblem::UnknownInstance(instance))?;
        self.actions.clear();
        balancer.handle(now, event, &mut self.actions);
        let actions = self.actions.drain(..);
        self.pending.extend(actions.map(|action| InstanceAction { instance, action }));
        Ok(())
    }
}

/// Converts an event to the core's form, which borrows endpoint lists and load reports.
fn core_event<'a>(event: &'a BalancerEvent, lists: &'a EndpointLists) -> Result<Event<'a>, WireProblem> {
    Ok(match event {
        BalancerEvent::EndpointUpdate { scope, list } => {
            Event::EndpointUpdate { scope: *scope, entries: update_entries(*scope, *list, lists)? }
        }
        BalancerEvent::RequestArrived { id, class, tenant, time_left, expected_work_ms, is_client_retry } => {
            Event::RequestArrived {
                id: *id,
                class: *class,
                tenant: *tenant,
                time_left: *time_left,
                expected_work_ms: *expected_work_ms,
                is_client_retry: *is_client_retry,
            }
        }
        BalancerEvent::StreamStarted { id, attempt, latency } => {
            Event::StreamStarted { id: *id, attempt: *attempt, latency: *latency }
        }
        BalancerEvent::AttemptEnded { id, attempt, request_finished, result } => Event::AttemptEnded {
            id: *id,
            attempt: *attempt,
            upstream: result.upstream,
            outcome: result.outcome,
            latency: result.latency,
            request_finished: *request_finished,
            load_report: &result.load_report,
        },
        BalancerEvent::HealthCheckEnded { result } => Event::HealthCheckEnded {
            upstream: result.upstream,
            outcome: result.outcome,
            latency: result.latency,
            load_report: &result.load_report,
        },
        BalancerEvent::ClientDisconnected { id } => Event::ClientDisconnected { id: *id },
        BalancerEvent::TimerFired { timer } => Event::TimerFired { timer: *timer },
    })
}

/// Returns the entries of an update. A failed call has none, whatever list it names.
fn update_entries(
    scope: UpdateScope,
    list: u32,
    lists: &EndpointLists,
) -> Result<&[EndpointEntry], WireProblem> {
    if scope == UpdateScope::Failed {
        return Ok(&[]);
    }
    lists.get(&list).map(Vec::as_slice).ok_or(WireProblem::UndefinedList(list))
}

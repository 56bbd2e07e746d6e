//! Runs the balancers of all instances and collects their actions.

use crate::error::{WireError, WireProblem};
use crate::record::{BalancerEvent, Record, RecordBody};
use balancer_core::{Action, Balancer, EndpointEntry, Event, UpdateScope};
use balancer_settings::InvalidSettings;
use std::collections::HashMap;
use std::time::Duration;

/// The endpoint lists, keyed by their numbers.
type EndpointLists = HashMap<u32, Vec<EndpointEntry>>;

/// The balancers of the running instances, the defined endpoint lists, and the actions that wait for the
/// reply to the current batch.
#[derive(Default)]
pub struct InstanceHost {
    instances: HashMap<u32, Balancer>,
    lists: EndpointLists,
    pending_actions: Vec<InstanceAction>,
    /// The actions of the event being delivered. Kept between events to reuse its memory.
    action_buffer: Vec<Action>,
}

/// An action and the instance that asks for it.
pub struct InstanceAction {
    /// The number of the instance.
    pub instance: u32,
    /// The action of its balancer.
    pub action: Action,
}

impl InstanceHost {
    /// Applies a record and keeps the resulting actions for the reply.
    ///
    /// Returns an error with the offset of the record if its settings are invalid, if it refers to an
    /// endpoint list that is not defined, or if it is addressed to an instance that is not running.
    pub fn apply(&mut self, now: Duration, record: Record) -> Result<(), WireError> {
        self.apply_body(now, record.body).map_err(|problem| problem.at(record.offset))
    }

    /// Removes the pending actions and returns them in the order in which the balancers asked for them.
    pub fn drain_actions(&mut self) -> impl Iterator<Item = InstanceAction> {
        self.pending_actions.drain(..)
    }

    fn apply_body(&mut self, now: Duration, body: RecordBody) -> Result<(), WireProblem> {
        match body {
            RecordBody::EndpointList { number, entries } => {
                self.lists.insert(number, entries);
                Ok(())
            }
            RecordBody::Start { instance, seed, settings } => self.start_instance(instance, seed, &settings),
            RecordBody::Kill { instance } => {
                self.instances.remove(&instance);
                self.discard_actions(instance);
                Ok(())
            }
            RecordBody::PeerMessage { instance } => self.require_running(instance),
            RecordBody::BalancerEvent { instance, event } => self.deliver_event(now, instance, &event),
        }
    }

    fn start_instance(&mut self, instance: u32, seed: u64, settings: &str) -> Result<(), WireProblem> {
        let site = balancer_settings::parse(settings)?;
        let balancer = Balancer::new(site.settings, seed).map_err(InvalidSettings)?;
        self.instances.insert(instance, balancer);
        self.discard_actions(instance);
        Ok(())
    }

    /// Discards the pending actions of an earlier run of this instance, which may be killed and started again
    /// within one batch.
    fn discard_actions(&mut self, instance: u32) {
        self.pending_actions.retain(|pending| pending.instance != instance);
    }

    fn require_running(&self, instance: u32) -> Result<(), WireProblem> {
        if self.instances.contains_key(&instance) {
            Ok(())
        } else {
            Err(WireProblem::InstanceNotRunning(instance))
        }
    }

    fn deliver_event(
        &mut self,
        now: Duration,
        instance: u32,
        event: &BalancerEvent,
    ) -> Result<(), WireProblem> {
        let event = core_event(event, &self.lists)?;
        let balancer = self.instances.get_mut(&instance).ok_or(WireProblem::InstanceNotRunning(instance))?;
        self.action_buffer.clear();
        balancer.handle(now, event, &mut self.action_buffer);
        let actions = self.action_buffer.drain(..);
        self.pending_actions.extend(actions.map(|action| InstanceAction { instance, action }));
        Ok(())
    }
}

/// Converts an event to the form of `balancer_core`, which borrows endpoint entries and load reports. Returns
/// an error if the event refers to an endpoint list that is not defined.
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

/// Returns the entries of an endpoint update, or an error if its list is not defined. An update with the
/// scope `Failed` has no entries, and its list number is ignored.
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

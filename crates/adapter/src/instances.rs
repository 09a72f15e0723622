//! The running instances and their events.

use crate::decode;
use crate::encode::encode_actions;
use crate::error::AdapterError;
use cottondyke_admission::{Actions, AdmissionController, LoadSample, ShutdownNotice, Time};
use cottondyke_settings::{admission_controller, string, unsigned, wire_names, WireNames};
use serde_json::{json, Value};
use std::collections::BTreeMap;

struct Instance {
    controller: AdmissionController,
    wire_names: WireNames,
}

/// One controller for each running instance; instances are independent of each other.
#[derive(Default)]
pub(crate) struct Instances(BTreeMap<String, Instance>);

impl Instances {
    /// Processes the events of a batch and returns the resulting commands.
    pub(crate) fn handle_batch(&mut self, line: &str) -> Result<Value, AdapterError> {
        let batch: Value = serde_json::from_str(line).map_err(AdapterError::NotJson)?;
        let now = decode::batch_time(&batch)?;
        let events = batch.get("arrivals").and_then(Value::as_array);
        let mut commands = Vec::new();
        for event in events.ok_or(AdapterError::MissingEvents)? {
            let instance = string(event, "who")?;
            let name = string(event, "cmd")?;
            let actions = match name {
                "Create" => self.create(now, instance, event)?,
                "Destroy" => {
                    self.0.remove(instance);
                    continue;
                }
                _ => self
                    .running_instance(instance, name)?
                    .handle_event(now, name, event)?,
            };
            encode_actions(instance, &actions, &mut commands);
        }
        Ok(json!({ "cmds": commands }))
    }

    fn create(&mut self, now: Time, name: &str, event: &Value) -> Result<Actions, AdapterError> {
        let settings = event.get("conf").filter(|c| c.is_object());
        let settings = settings.ok_or(AdapterError::MissingSettings)?;
        let mut controller = admission_controller(now, unsigned(event, "salt")?, settings)?;
        let actions = controller.tick(now, LoadSample::default());
        let instance = Instance {
            controller,
            wire_names: wire_names(settings),
        };
        self.0.insert(name.to_string(), instance);
        Ok(actions)
    }

    fn running_instance(
        &mut self,
        instance: &str,
        event: &str,
    ) -> Result<&mut Instance, AdapterError> {
        let running = self.0.get_mut(instance);
        running.ok_or_else(|| AdapterError::NotRunning {
            event: event.to_string(),
            instance: instance.to_string(),
        })
    }
}

impl Instance {
    fn handle_event(
        &mut self,
        now: Time,
        name: &str,
        event: &Value,
    ) -> Result<Actions, AdapterError> {
        let controller = &mut self.controller;
        Ok(match name {
            "Incoming" => {
                let arrival = decode::arrival(event, self.wire_names.handlers.len())?;
                controller.arrival(now, arrival)
            }
            "Ended" => {
                let id = decode::request_id(event)?;
                controller.run_ended(now, id, decode::run_outcome(event)?)
            }
            "NeedsDep" => controller.call_requested(now, decode::request_id(event)?),
            "CallResult" => {
                let id = decode::request_id(event)?;
                controller.call_ended(now, id, decode::call_outcome(event)?)
            }
            "Abandoned" => controller.request_abandoned(now, decode::request_id(event)?),
            "Leaving" => {
                let notice = ShutdownNotice {
                    received_at: now,
                    timeout: decode::duration(event, "grace_ms")?,
                };
                controller.drain(now, notice)
            }
            "Wake" => controller.tick(now, decode::load_sample(event, &self.wire_names)?),
            _ => {
                return Err(AdapterError::UnknownEvent {
                    event: name.to_string(),
                })
            }
        })
    }
}

//! Reads the settings under the names that the simulator's documentation gives them.

use super::error::SettingsError;
use crate::interface::{Budget, Class, Effect, Settings, Time};
use serde_json::Value;

/// A JSON value in the settings, and its path for error messages.
struct Group<'a> {
    path: String,
    value: &'a Value,
}

impl<'a> Group<'a> {
    fn path_of(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }

    fn sub(&self, key: &str) -> Group<'a> {
        Group {
            path: self.path_of(key),
            value: &self.value[key],
        }
    }

    fn items(&self) -> Vec<Group<'a>> {
        let items = self.value.as_array().map(Vec::as_slice).unwrap_or_default();
        let numbered = items.iter().enumerate();
        numbered
            .map(|(i, value)| Group {
                path: format!("{}[{i}]", self.path),
                value,
            })
            .collect()
    }

    fn optional(&self, key: &str) -> Result<Option<f64>, SettingsError> {
        match &self.value[key] {
            Value::Null => Ok(None),
            value => match value.as_f64() {
                Some(number) if number >= 0.0 => Ok(Some(number)),
                _ => Err(SettingsError::NotANumber(self.path_of(key))),
            },
        }
    }

    fn real(&self, key: &str) -> Result<f64, SettingsError> {
        self.optional(key)?
            .ok_or_else(|| SettingsError::Missing(self.path_of(key)))
    }

    fn real_or(&self, key: &str, absent: f64) -> Result<f64, SettingsError> {
        Ok(self.optional(key)?.unwrap_or(absent))
    }

    fn time_or(&self, key: &str, absent: Time) -> Result<Time, SettingsError> {
        Ok(self.optional(key)?.map_or(absent, |number| number as Time))
    }

    fn flag(&self, key: &str) -> bool {
        self.value[key].as_bool().unwrap_or(false)
    }
}

/// The number for a class in a list with one value per class.
fn number_at(list: &[Group<'_>], index: usize, absent: f64) -> f64 {
    list.get(index)
        .and_then(|item| item.value.as_f64())
        .unwrap_or(absent)
}

/// Reads the settings that an aggregator starts with. Unknown keys are ignored.
///
/// # Errors
///
/// If the text is not valid JSON, or a setting is missing or invalid.
pub fn read_settings(text: &str) -> Result<Settings, SettingsError> {
    let value: Value =
        serde_json::from_str(text).map_err(|e| SettingsError::NotJson(e.to_string()))?;
    let root = Group {
        path: "boot_info".to_owned(),
        value: &value,
    };
    let (limits, rules, extra) = (
        root.sub("limits"),
        root.sub("guarantees"),
        root.sub("extra"),
    );
    let prices = root.sub("prices");
    let classes = read_classes(&root, &limits, &extra)?;
    let budget = match rules.optional("counted_over")? {
        Some(window) => Some(Budget {
            free: rules.time_or("budget_free", 0)?,
            ratio: rules.real_or("repeat_ratio", 0.0)?,
            window: window as Time,
        }),
        None => None,
    };
    Ok(Settings {
        aggregators: root.real_or("group_size", 1.0)?.max(1.0) as u32,
        zone: root.real_or("zone", 0.0)? as u32,
        tick: root.time_or("tick", 0)?,
        discovery_on_request: value["discovery"].as_str() == Some("ask"),
        classes,
        cells: extra.real_or("sets", 1.0)?.max(1.0) as u32,
        replication_factor: extra.real_or("in_a_row", 1.0)?.max(1.0) as u32,
        call_parts: extra.real_or("batch", 1.0)?.max(1.0) as u32,
        call_work: extra.time_or("per_call_work", 0)?,
        max_open: limits.real_or("max_open", f64::from(u32::MAX))? as u32,
        can_cancel: limits.flag("cancel"),
        can_probe: limits.flag("probes"),
        probe_price: prices.real_or("probe", 0.0)?,
        waste_price: prices.real_or("waste", 0.0)?,
        can_hedge: limits.flag("second_copies"),
        retries_marked: root.sub("clients").flag("marks_retry"),
        max_retry_after: if limits.flag("retry_after") {
            limits.time_or("max_retry_after", 0)?
        } else {
            0
        },
        max_list_age: rules.time_or("ask_within", Time::MAX)?,
        drain_grace: rules.time_or("drain_grace", 0)?,
        initial_capacity: rules.real_or("start_capacity", 1.0)?,
        slow_start: rules.time_or("ramp_time", 0)?,
        overload_multiple: rules.real_or("tip_multiple", f64::INFINITY)?,
        overload_window: rules.time_or("fall", 0)?,
        budget,
    })
}

fn read_classes(
    root: &Group<'_>,
    limits: &Group<'_>,
    extra: &Group<'_>,
) -> Result<Vec<Class>, SettingsError> {
    let floors = extra.sub("floor_by_class").items();
    let needs = extra.sub("class_need").items();
    let partial_values = extra.sub("short_worth").items();
    let second_steps = extra.sub("class_fetch").items();
    let mut classes = Vec::new();
    for (i, class) in root.sub("request_classes").items().iter().enumerate() {
        classes.push(Class {
            latency_target: class.real("target")? as Time,
            deadline: class.real("deadline")? as Time,
            value: class.real_or("credit", 1.0)?,
            late_value: class.real_or("late_share", 0.0)?,
            effect: match class.value["effect"].as_str() {
                Some("read_like") => Effect::Safe,
                Some("idempotency_key") => Effect::Keyed,
                Some("non_idempotent") => Effect::Unsafe,
                _ => return Err(SettingsError::Unknown(class.path_of("effect"))),
            },
            key_lifetime: class.time_or("key_ttl", 0)?,
            floor: number_at(&floors, i, 1.0),
            need: number_at(&needs, i, 1.0),
            partial_value: number_at(&partial_values, i, 0.0),
            second_step: number_at(&second_steps, i, 0.0) as u32,
            max_attempts: limits.real_or("max_attempts", 1.0)? as u32,
            retired: false,
        });
    }
    if classes.is_empty() {
        return Err(SettingsError::Missing(root.path_of("request_classes")));
    }
    Ok(classes)
}

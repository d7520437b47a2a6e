//! The Sort service (section 3.2.7).

use super::SetStatus;
use crate::ber::{Class, Item, Writer, universal};
use crate::fault::{Fault, Kind};
use crate::index;
use crate::rpn;
use crate::sort::{Missing, SortKey};

/// The status of a sort.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SortStatus {
    /// All records are sorted.
    Success = 0,
    /// Slices are missing.
    Partial = 1,
    /// The sort failed.
    Failure = 2,
}

/// A sort request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SortRequest {
    /// The result sets to sort.
    pub input: Vec<String>,
    /// The result set to create.
    pub output: String,
    /// The sort keys.
    pub keys: Vec<SortKey>,
}

fn malformed(what: &str) -> Fault {
    Kind::SYNTAX.of(what)
}

/// Reads a sort request with at most `max_keys` keys.
pub fn read_request(unit: &Item, max_keys: usize) -> Result<SortRequest, Fault> {
    let input: Option<Vec<String>> = unit
        .get(3)
        .map(Item::items)
        .unwrap_or_default()
        .iter()
        .map(Item::text)
        .collect();
    let output = unit
        .get(4)
        .and_then(Item::text)
        .ok_or_else(|| malformed("the output set is missing"))?;
    let specs = unit.get(5).map(Item::items).unwrap_or_default();
    if specs.len() > max_keys {
        return Err(Kind::SORT_KEYS.of(max_keys.to_string()));
    }
    let keys = specs.iter().map(read_key).collect::<Result<Vec<_>, _>>()?;
    if keys.is_empty() {
        return Err(malformed("the sort keys are missing"));
    }
    Ok(SortRequest {
        input: input.ok_or_else(|| malformed("invalid name of an input set"))?,
        output,
        keys,
    })
}

fn read_key(spec: &Item) -> Result<SortKey, Fault> {
    // SortKeySpec: the element, then the relation, the case and the action for missing values. The
    // element and the relation have the same tag, so only their order distinguishes them.
    let [element, rest @ ..] = spec.items() else {
        return Err(malformed("sort key without an element"));
    };
    // SortElement: generic [1] or per database [2].
    let generic = Some(element)
        .filter(|e| e.tag == 1)
        .ok_or_else(|| Kind::SORT_KEY.of("sort elements per database"))?;
    let choice = generic
        .items()
        .first()
        .ok_or_else(|| malformed("empty sort element"))?;
    let mut key = match choice.tag {
        // A field name.
        0 => SortKey::named(&choice.text().unwrap_or_default())?,
        2 => {
            let list = choice.items().iter().find(|i| {
                matches!(i.tag, 44) || i.tag == universal::SEQUENCE && i.class == Class::Universal
            });
            let list = list.ok_or_else(|| malformed("the sort attributes are missing"))?;
            let number = |i: &Item, tag| i.get(tag).and_then(Item::integer);
            let wanted = list
                .items()
                .iter()
                .find(|a| number(a, rpn::tag::TYPE) == Some(1));
            let value = wanted
                .and_then(|a| number(a, rpn::tag::VALUE))
                .ok_or_else(|| Kind::SORT_KEY.of("the use attribute is missing"))?;
            let index = index::by_use(value)
                .filter(|i| i.sort)
                .ok_or_else(|| Kind::SORT_KEY.of(value.to_string()))?;
            SortKey::by(&index)
        }
        other => return Err(Kind::SORT_KEY.of(format!("element specification {other}"))),
    };
    let part = |tag| {
        rest.iter()
            .find(|i| i.class == Class::Context && i.tag == tag)
    };
    let number = |tag| part(tag).and_then(Item::integer);
    key.ascending = match number(1) {
        Some(0) | None => true,
        Some(1) => false,
        Some(other) => return Err(Kind { bib1: 214, sru: 82 }.of(format!("relation {other}"))),
    };
    key.case = number(2) == Some(0);
    key.missing = match part(3).and_then(|m| m.items().first()) {
        None => Missing::High,
        Some(choice) => match choice.tag {
            1 => Missing::Fail,
            2 => Missing::High,
            3 => Missing::Constant(choice.text().unwrap_or_default()),
            other => return Err(Kind::SORT_MISSING_ACTION.of(other.to_string())),
        },
    };
    Ok(key)
}

/// Writes the fields of a sort request that sorts one set in place. Fails if the service cannot
/// express a key.
pub fn write_request(w: &mut Writer, set: &str, keys: &[SortKey]) -> Result<(), Fault> {
    for key in keys {
        // The standard does not define whether the null action sorts below or above other values.
        if key.missing == Missing::Low {
            return Err(Kind::SORT_MISSING_ACTION.of("lowValue"));
        }
    }
    w.inside(3, |sets| sets.universal(universal::GENERAL, set.as_bytes()));
    w.bytes(4, set.as_bytes());
    w.inside(5, |specs| {
        for key in keys {
            let use_attribute = index::by_name(&key.index).map_or(4, |i| i.use_attribute);
            specs.inside_universal(universal::SEQUENCE, |spec| {
                spec.inside(1, |generic| {
                    generic.inside(2, |attributes| {
                        attributes.oid(rpn::BIB1);
                        attributes.inside(rpn::tag::ATTRIBUTES, |list| {
                            list.inside_universal(universal::SEQUENCE, |a| {
                                a.integer(rpn::tag::TYPE, 1);
                                a.integer(rpn::tag::VALUE, use_attribute);
                            });
                        });
                    });
                });
                spec.integer(1, i64::from(!key.ascending));
                spec.integer(2, i64::from(!key.case));
                spec.inside(3, |missing| match &key.missing {
                    Missing::Fail => missing.bytes(1, b""),
                    Missing::Constant(text) => missing.bytes(3, text.as_bytes()),
                    _ => missing.bytes(2, b""),
                });
            });
        }
    });
    Ok(())
}

/// Writes the fields of a sort response.
pub fn write_response(w: &mut Writer, status: SortStatus, fault: Option<&Fault>) {
    w.integer(3, status as i64);
    match status {
        SortStatus::Success => {}
        SortStatus::Partial => w.integer(5, SetStatus::Subset as i64),
        SortStatus::Failure => w.integer(5, SetStatus::None as i64),
    }
    if let Some(fault) = fault {
        w.inside(4, |all| {
            all.inside_universal(universal::SEQUENCE, |d| super::write_fault(d, fault))
        });
    }
}

/// Reads a sort response.
pub fn read_response(unit: &Item) -> Result<(), Fault> {
    match unit.get(3).and_then(Item::integer) {
        Some(0) => Ok(()),
        _ => {
            let fault = unit.get(4).and_then(|all| all.items().first());
            Err(fault.map_or(Kind::SORT.of(""), super::read_fault))
        }
    }
}

#[cfg(test)]
mod tests;

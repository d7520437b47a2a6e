//! The Scan service (section 3.2.8).

use super::{read_fault, tag, write_fault};
use crate::ber::{Item, Writer, universal};
use crate::cql::Clause;
use crate::fault::{Fault, Kind};
use crate::merge::{Term, Terms};
use crate::rpn;

/// The status of a scan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScanStatus {
    /// As many terms as requested.
    Success = 0,
    /// Incomplete, because slices are missing.
    Partial = 4,
    /// The list ends before the requested number.
    EndOfList = 5,
    /// The scan failed.
    Failure = 6,
}

/// A scan request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScanRequest {
    /// The database names.
    pub databases: Vec<String>,
    /// The index and the starting point.
    pub clause: Clause,
    /// The number of terms.
    pub number: u64,
    /// Position of the starting point in the list, from 1.
    pub position: u64,
}

/// Reads a scan request.
pub fn read_request(unit: &Item) -> Result<ScanRequest, Fault> {
    let number = |tag| {
        unit.get(tag)
            .and_then(Item::integer)
            .and_then(|n| u64::try_from(n).ok())
    };
    if number(5).is_some_and(|step| step != 0) {
        return Err(Kind::SCAN_STEP.of("step size must be 0"));
    }
    let databases = unit
        .get(3)
        .map(Item::items)
        .unwrap_or_default()
        .iter()
        .filter_map(Item::text)
        .collect();
    let set = unit
        .items()
        .iter()
        .find(|i| i.tag == universal::OID && i.class == crate::ber::Class::Universal);
    let operand = unit
        .get(rpn::tag::OPERAND)
        .ok_or_else(|| Kind::SYNTAX.of("the starting point is missing"))?;
    Ok(ScanRequest {
        databases,
        clause: rpn::read_clause(set, operand)?,
        number: number(6).ok_or_else(|| Kind::SYNTAX.of("the number of terms is missing"))?,
        position: number(7).unwrap_or(1),
    })
}

/// Writes the fields of a scan request.
pub fn write_request(
    w: &mut Writer,
    database: &str,
    clause: &Clause,
    number: u32,
    position: u32,
) -> Result<(), Fault> {
    w.inside(3, |names| names.bytes(tag::DATABASE, database.as_bytes()));
    w.oid(rpn::BIB1);
    rpn::write_clause(clause, w)?;
    w.integer(5, 0);
    w.integer(6, i64::from(number));
    w.integer(7, i64::from(position));
    Ok(())
}

/// Writes the fields of a scan response; a diagnostic may accompany terms.
pub fn write_response(
    w: &mut Writer,
    status: ScanStatus,
    terms: &[Term],
    position: u64,
    fault: Option<&Fault>,
) {
    w.integer(3, 0);
    w.integer(4, status as i64);
    w.integer(5, terms.len() as i64);
    w.integer(6, position as i64);
    w.inside(7, |list| {
        if !terms.is_empty() {
            list.inside(1, |entries| {
                for term in terms {
                    entries.inside(1, |info| {
                        info.bytes(rpn::tag::TERM, term.text.as_bytes());
                        if let Some(display) = &term.display {
                            info.bytes(0, display.as_bytes());
                        }
                        info.integer(2, i64::try_from(term.count).unwrap_or(i64::MAX));
                    });
                }
            });
        }
        if let Some(fault) = fault {
            list.inside(2, |all| {
                all.inside_universal(universal::SEQUENCE, |d| write_fault(d, fault))
            });
        }
    });
}

/// Reads a scan response.
pub fn read_response(unit: &Item) -> Result<Terms, Fault> {
    let status = unit
        .get(4)
        .and_then(Item::integer)
        .ok_or_else(|| Kind::GENERAL.of("scan response without a status"))?;
    let entries = unit.get(7);
    if status == ScanStatus::Failure as i64 {
        let fault = entries
            .and_then(|e| e.get(2))
            .and_then(|all| all.items().first());
        return Err(fault.map_or(Kind::SCAN.of("failure"), read_fault));
    }
    let list = entries
        .and_then(|e| e.get(1))
        .map(Item::items)
        .unwrap_or_default();
    let term = |entry: &Item| {
        // An entry may be a diagnostic instead of a term.
        if entry.tag != 1 {
            return None;
        }
        let text = entry
            .items()
            .iter()
            .find(|i| matches!(i.tag, 45 | 216))
            .and_then(Item::text)?;
        let count = entry
            .get(2)
            .and_then(Item::integer)
            .and_then(|n| u64::try_from(n).ok());
        Some(Term {
            text,
            display: entry.get(0).and_then(Item::text),
            count: count.unwrap_or(0),
        })
    };
    Ok(Terms {
        terms: list.iter().filter_map(term).collect(),
        host: 0,
    })
}

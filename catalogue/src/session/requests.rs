//! Validates requests and starts their operations.

use super::{Form, Purpose, Session, SessionContext};
use crate::ber::Item;
use crate::cql::Node;
use crate::fault::{Fault, Kind};
use crate::operation::{Operation, Search, Step, Want};
use crate::record::{Schema, Syntax};
use crate::rpn;
use crate::sets::Owner;
use crate::sort::SortKey;
use crate::z3950::init::Ability;
use crate::z3950::{records, scan, sort, tag};
use std::collections::BTreeSet;

type Started = Result<(Purpose, Operation, Step), Fault>;

fn number(unit: &Item, tag: u32, what: &str) -> Result<u64, Fault> {
    let value = unit
        .get(tag)
        .and_then(Item::integer)
        .and_then(|n| u64::try_from(n).ok());
    value.ok_or_else(|| Kind::SYNTAX.of(format!("{what} is missing")))
}

/// The schema and brevity that the request's element set name selects. The first of `tags` present
/// in the request counts.
fn elements(unit: &Item, tags: &[u32]) -> Result<(Schema, bool), Fault> {
    let value = tags.iter().find_map(|tag| unit.get(*tag));
    let name = match value {
        None => return Ok((Schema::Dc, false)),
        // ElementSetNames: generic, or per database.
        Some(names) => names
            .get(0)
            .and_then(Item::text)
            .ok_or_else(|| Kind::SCHEMA.of("element set names per database"))?,
    };
    records::element_set(&name).ok_or_else(|| Kind::SCHEMA.of(name))
}

fn syntax(unit: &Item) -> Result<Syntax, Fault> {
    let Some(oid) = unit.get(tag::SYNTAX).and_then(Item::oid) else {
        return Ok(Syntax::Xml);
    };
    Syntax::of_oid(&oid).ok_or_else(|| Kind::RECORD_SYNTAX.of(oid))
}

impl Session {
    fn check_databases(&self, names: &[String]) -> Result<(), Fault> {
        match names {
            [name] if name.eq_ignore_ascii_case(&self.config.database) => Ok(()),
            [name] if name == "IR-Explain-1" => Err(Kind::DATABASE_CLOSED
                .of("no Explain database; SRU explain has the same information")),
            [name] => Err(Kind::DATABASE.of(name.as_str())),
            _ => Err(Kind::DATABASES.of("one database at a time")),
        }
    }

    /// Checks whether a result set of this name may be created.
    fn check_set(&self, name: &str, replace: bool) -> Result<(), Fault> {
        if name.is_empty() || name.len() > self.config.name_bytes {
            return Err(Kind::SET_NAME.of(""));
        }
        if name != "default" && !self.abilities.has(Ability::NamedResultSets) {
            return Err(Kind { bib1: 22, sru: 50 }.of(name));
        }
        // If two running operations created the same set, the outcome would depend on which
        // finished last.
        let in_progress = self.running.values().any(
            |r| matches!(&r.purpose, Purpose::Search { set, .. } | Purpose::Sort { set } if set == name),
        );
        if in_progress {
            return Err(Kind { bib1: 28, sru: 52 }.of(name));
        }
        if self.sets.contains_key(name) {
            return if replace {
                Ok(())
            } else {
                Err(Kind::SET_EXISTS.of(name))
            };
        }
        if self.sets.len() >= self.config.sets {
            return Err(Kind::TOO_MANY_SETS.of(self.config.sets.to_string()));
        }
        Ok(())
    }

    /// Replaces result sets in the query by the queries that created them. Also returns the slices
    /// that at least one of these sets lacks.
    fn resolve(
        &self,
        query: Node,
        context: &mut SessionContext<'_>,
    ) -> Result<(Node, Vec<u32>), Fault> {
        let mut left_out: BTreeSet<u32> = BTreeSet::new();
        let query = query.resolve(&mut |name| {
            let id = self.sets.get(name).ok_or_else(|| Kind::NO_SET.of(name))?;
            let set = context
                .sets
                .get(*id, context.now)
                .ok_or_else(|| Kind::SET_GONE.of(name))?;
            left_out.extend(&set.missing);
            Ok(set.query.clone())
        })?;
        if query.clauses() > self.config.clauses {
            return Err(Kind::TOO_COMPLEX.of(self.config.clauses.to_string()));
        }
        Ok((query, left_out.into_iter().collect()))
    }

    fn build_search(
        &self,
        query: Node,
        left_out: Vec<u32>,
        sort: Vec<SortKey>,
        schema: Schema,
        want: Want,
    ) -> Search {
        let slices = self
            .config
            .slices
            .iter()
            .copied()
            .filter(|s| !left_out.contains(s))
            .collect();
        Search {
            query,
            sort,
            schema,
            start: 1,
            want,
            slices,
            left_out,
            facets: Vec::new(),
            owner: Owner::Session(self.owner),
            ttl: Some(self.config.ttl),
        }
    }

    pub(super) fn search(&mut self, unit: &Item, context: &mut SessionContext<'_>) -> Started {
        let small = number(unit, tag::SMALL_SET, "small-set-upper-bound")?;
        let large = number(unit, tag::LARGE_SET, "large-set-lower-bound")?;
        let medium = number(unit, tag::MEDIUM_SET, "medium-set-present-number")?;
        let set = unit
            .get(tag::SET_NAME)
            .and_then(Item::text)
            .ok_or_else(|| Kind::SET_NAME.of(""))?;
        let replace = unit.get(tag::REPLACE).and_then(Item::boolean);
        self.check_set(
            &set,
            replace.ok_or_else(|| Kind::SYNTAX.of("replace-indicator is missing"))?,
        )?;
        let names = unit
            .get(tag::DATABASES)
            .map(Item::items)
            .unwrap_or_default();
        self.check_databases(&names.iter().filter_map(Item::text).collect::<Vec<_>>())?;
        let query = unit
            .get(tag::QUERY)
            .ok_or_else(|| Kind::SYNTAX.of("the query is missing"))?;
        let (query, left_out) = self.resolve(rpn::read(query, self.config.clauses)?, context)?;
        // An unsupported record form does not prevent the search itself.
        let form = elements(unit, &[tag::SMALL_ELEMENTS, tag::MEDIUM_ELEMENTS]).and_then(
            |(schema, brief)| {
                Ok(Form {
                    syntax: syntax(unit)?,
                    schema,
                    brief,
                })
            },
        );
        let (form, form_fault) = match form {
            Ok(form) => (form, None),
            Err(fault) => (
                Form {
                    syntax: Syntax::Xml,
                    schema: Schema::Dc,
                    brief: false,
                },
                Some(fault),
            ),
        };
        let want = if form_fault.is_some() {
            Want::Count(0)
        } else {
            Want::Sized {
                small,
                large,
                medium,
            }
        };
        // The replaced set is deleted even if the new search fails (section 3.2.2.1.3).
        if let Some(old) = self.sets.remove(&set) {
            context.sets.remove(old);
        }
        let search = self.build_search(query, left_out, Vec::new(), form.schema, want);
        let (operation, step) = Operation::search(search, self.config.bounds);
        Ok((
            Purpose::Search {
                set,
                form,
                form_fault,
            },
            operation,
            step,
        ))
    }

    pub(super) fn present(&mut self, unit: &Item, context: &mut SessionContext<'_>) -> Started {
        let name = unit
            .get(tag::SET_ID)
            .and_then(Item::text)
            .unwrap_or_default();
        let id = *self
            .sets
            .get(&name)
            .ok_or_else(|| Kind::NO_SET.of(name.as_str()))?;
        let Some(set) = context.sets.get(id, context.now) else {
            // The name is kept, so that every later request also reports that the set is gone.
            return Err(Kind::SET_GONE.of(name));
        };
        let hits = set.count().hits;
        let start = number(unit, tag::START, "result-set-start-point")?;
        let count = number(unit, tag::REQUESTED, "number-of-records-requested")?;
        if unit.get(tag::RANGES).is_some() {
            return Err(Kind { bib1: 243, sru: 6 }.of("additional ranges"));
        }
        if unit.get(209).is_some() {
            return Err(Kind { bib1: 244, sru: 6 }.of("a composition specification"));
        }
        let (schema, brief) = elements(unit, &[tag::ELEMENT_SET])?;
        let form = Form {
            syntax: syntax(unit)?,
            schema,
            brief,
        };
        if start == 0 || count == 0 || start.saturating_add(count) - 1 > hits {
            return Err(Kind::RANGE.of(format!("{start}+{count} of {hits}")));
        }
        let max_records = self.config.bounds.page;
        let (operation, step) = Operation::page(
            id,
            (start, count.min(max_records)),
            form.schema,
            None,
            self.config.bounds,
            context.sets,
            context.now,
        );
        Ok((
            Purpose::Present {
                form,
                clipped: count > max_records,
            },
            operation,
            step,
        ))
    }

    pub(super) fn scan(&mut self, unit: &Item) -> Started {
        let request = scan::read_request(unit)?;
        self.check_databases(&request.databases)?;
        if !request.clause.index.scan {
            return Err(Kind::SCAN.of(request.clause.index.name));
        }
        if request.number == 0 {
            return Err(Kind::SYNTAX.of("the number of terms is 0"));
        }
        if request.number > u64::from(self.config.terms) {
            return Err(Kind::SCAN_TOO_MANY.of(self.config.terms.to_string()));
        }
        if request.position > request.number + 1 {
            return Err(Kind::SCAN_POSITION.of(request.position.to_string()));
        }
        let (number, position) = (request.number as u32, request.position as u32);
        let slices = self.config.slices.clone();
        let (operation, step) = Operation::scan(
            &request.clause,
            number,
            position,
            slices,
            self.config.bounds,
        );
        Ok((Purpose::Scan, operation, step))
    }

    pub(super) fn sort(&mut self, unit: &Item, context: &mut SessionContext<'_>) -> Started {
        let request = sort::read_request(unit, self.config.sort_keys)?;
        let [input] = request.input.as_slice() else {
            return Err(Kind::SORT_TOO_MANY.of("one result set at a time"));
        };
        self.check_set(&request.output, true)?;
        let (query, left_out) = self.resolve(Node::Set(input.clone()), context)?;
        // One record of each slice is enough to show whether its host can sort.
        let search = self.build_search(query, left_out, request.keys, Schema::Dc, Want::Count(1));
        let (operation, step) = Operation::search(search, self.config.bounds);
        Ok((
            Purpose::Sort {
                set: request.output,
            },
            operation,
            step,
        ))
    }
}

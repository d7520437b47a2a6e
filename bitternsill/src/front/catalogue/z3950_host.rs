//! Z39.50 as spoken to an index host.

use super::found::{Found, read_text};
use super::link::{Dialect, Nonsense, Reply};
use crate::core::ports::Outgoing;
use crate::limits::Limits;
use catalogue::ber::{self, Class, Item};
use catalogue::z3950::{self, tag};
use catalogue::{cql, rpn};
use std::net::SocketAddr;

/// One session's state; all of it is with the link.
pub struct Z3950Host;

impl Z3950Host {
    /// A session with this address.
    pub fn dialect(_to: SocketAddr) -> Box<dyn Dialect> {
        Box::new(Z3950Host)
    }
}

fn understand(unit: &Item) -> Result<Reply, Nonsense> {
    match (unit.class, unit.tag) {
        (Class::Context, tag::INIT_RESPONSE) => match unit.get(tag::RESULT).and_then(Item::boolean) {
            Some(true) => Ok(Reply::Welcome),
            _ => Err(Nonsense("the host does not take the session".to_owned())),
        },
        (Class::Context, tag::SEARCH_RESPONSE) => {
            let status = unit.get(tag::SEARCH_STATUS).and_then(Item::boolean);
            let hits =
                unit.get(tag::RESULT_COUNT).and_then(Item::integer).and_then(|n| u64::try_from(n).ok());
            match (status, hits, z3950::read_records(unit)) {
                (Some(true), Some(hits), Some(records)) if unit.get(tag::DIAGNOSTIC).is_none() => {
                    Ok(Reply::Found(Found { hits, records }))
                }
                // A subset is no whole slice.
                (Some(_), ..) => {
                    let (condition, addinfo) = z3950::read_diagnostic(unit).unwrap_or_default();
                    Ok(Reply::Failed(format!("diagnostic {condition} {addinfo}")))
                }
                _ => Err(Nonsense("a search response without its parts".to_owned())),
            }
        }
        (Class::Context, tag::CLOSE) => Ok(Reply::Bye),
        (_, other) => Err(Nonsense(format!("a data unit with the tag {other}"))),
    }
}

impl Dialect for Z3950Host {
    fn hello(&self) -> Option<Vec<u8>> {
        Some(z3950::unit(tag::INIT_REQUEST, None, |w| {
            z3950::introduce(w, 128 << 10);
            z3950::name_self(w);
        }))
    }

    fn search(&mut self, part: &Outgoing, database: &str) -> Result<Vec<u8>, Nonsense> {
        let (wanted, text) = read_text(&part.text).ok_or_else(|| Nonsense("no search".to_owned()))?;
        // The text was parsed when it came in; here it is only nested as deep as it was written.
        let node = cql::parse(text, 256).map_err(|e| Nonsense(e.to_string()))?;
        Ok(z3950::unit(tag::SEARCH_REQUEST, None, |w| {
            // Every result is of medium size, so that the first records come along.
            w.integer(tag::SMALL_SET, 0);
            w.integer(tag::LARGE_SET, if wanted > 0 { i64::from(i32::MAX) } else { 1 });
            w.integer(tag::MEDIUM_SET, wanted as i64);
            w.boolean(tag::REPLACE, true);
            w.bytes(tag::SET_NAME, b"default");
            w.inside(tag::DATABASES, |names| names.bytes(tag::DATABASE, database.as_bytes()));
            w.bytes(tag::SYNTAX, &ber::oid(z3950::XML));
            w.inside(tag::QUERY, |query| rpn::write(&node, query));
        }))
    }

    fn read(&mut self, input: &mut Vec<u8>, limits: &Limits) -> Result<Option<Reply>, Nonsense> {
        match ber::read(input, limits.frame_bytes, limits.ber_depth) {
            Ok(Some(unit)) => understand(&unit).map(Some),
            Ok(None) => Ok(None),
            Err(problem) => Err(Nonsense(problem.to_string())),
        }
    }
}

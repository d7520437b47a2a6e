//! Writes the result of an operation as Z39.50 responses.

use super::{Form, Purpose, Running, Session};
use crate::fault::{Fault, Kind};
use crate::operation::{FailureReason, Outcome, Page, Scanned, ShortReason};
use crate::record::{Record, Schema, Syntax};
use crate::z3950::records::{self, EncodedRecord, SegmentLimits, SegmentedRecords};
use crate::z3950::scan::ScanStatus;
use crate::z3950::sort::SortStatus;
use crate::z3950::{self, Service, SetStatus, scan, sort, tag};

/// Present-status (section 3.2.3.1.10).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PresentStatus {
    Success = 0,
    /// Not all records fit into the message.
    MessageSize = 2,
    /// Cancelled by the client.
    ByOrigin = 3,
    /// Some records are missing for a reason on the server's side.
    ByTarget = 4,
    Failure = 5,
}

/// The response for an operation that never started or failed.
pub fn failure(service: Service, reference: Option<&[u8]>, fault: &Fault) -> Vec<u8> {
    match service {
        Service::Search => search_failed(reference, fault),
        Service::Present => present_failed(reference, PresentStatus::Failure, Some(fault)),
        Service::Scan => z3950::unit(tag::SCAN_RESPONSE, reference, |w| {
            scan::write_response(w, ScanStatus::Failure, &[], 0, Some(fault));
        }),
        Service::Sort => z3950::unit(tag::SORT_RESPONSE, reference, |w| {
            sort::write_response(w, SortStatus::Failure, Some(fault));
        }),
        // Status: done, with failure.
        _ => z3950::unit(tag::EXTENDED_RESPONSE, reference, |w| {
            w.integer(3, 3);
            w.inside(4, |all| {
                all.inside_universal(crate::ber::universal::SEQUENCE, |d| {
                    z3950::write_fault(d, fault)
                });
            });
        }),
    }
}

fn search_failed(reference: Option<&[u8]>, fault: &Fault) -> Vec<u8> {
    z3950::unit(tag::SEARCH_RESPONSE, reference, |w| {
        w.integer(tag::RESULT_COUNT, 0);
        w.integer(tag::RETURNED, 0);
        w.integer(tag::NEXT_POSITION, 0);
        w.boolean(tag::SEARCH_STATUS, false);
        w.integer(tag::SET_STATUS, SetStatus::None as i64);
        w.inside(tag::DIAGNOSTIC, |d| z3950::write_fault(d, fault));
    })
}

fn present_failed(
    reference: Option<&[u8]>,
    status: PresentStatus,
    fault: Option<&Fault>,
) -> Vec<u8> {
    z3950::unit(tag::PRESENT_RESPONSE, reference, |w| {
        w.integer(tag::RETURNED, 0);
        w.integer(tag::NEXT_POSITION, 0);
        w.integer(tag::PRESENT_STATUS, status as i64);
        if let Some(fault) = fault {
            w.inside(tag::DIAGNOSTIC, |d| z3950::write_fault(d, fault));
        }
    })
}

/// The response for an operation that the client cancelled.
pub fn cancelled(running: &Running) -> Vec<u8> {
    let reference = running.reference.as_deref();
    let fault = Kind::TIME.of("cancelled by the client");
    match running.purpose {
        Purpose::Search { .. } => search_failed(reference, &fault),
        Purpose::Present { .. } => present_failed(reference, PresentStatus::ByOrigin, None),
        Purpose::Scan => failure(Service::Scan, reference, &fault),
        Purpose::Sort { .. } => failure(Service::Sort, reference, &fault),
    }
}

fn service(purpose: &Purpose) -> Service {
    match purpose {
        Purpose::Search { .. } => Service::Search,
        Purpose::Present { .. } => Service::Present,
        Purpose::Scan => Service::Scan,
        Purpose::Sort { .. } => Service::Sort,
    }
}

fn short_fault(short: ShortReason) -> Fault {
    match short {
        ShortReason::Refused { .. } => Kind::BUSY.of("ask again later"),
        ShortReason::Failed(FailureReason::TimeUp) => Kind::TIME.of("no answer in time"),
        ShortReason::Failed(FailureReason::GivenUp) => Kind::BUSY.of("a slice did not answer"),
        ShortReason::Reach => Kind::RANGE.of("position not reachable in one operation"),
    }
}

/// The messages that end an operation: any segments, then the response.
pub fn answer(
    running: &Running,
    outcome: Outcome,
    database: &str,
    limits: SegmentLimits,
    output_left: usize,
) -> Vec<Vec<u8>> {
    let reference = running.reference.as_deref();
    let failed = |fault: &Fault| vec![failure(service(&running.purpose), reference, fault)];
    let page = match outcome {
        Outcome::Refused { .. } => return failed(&Kind::BUSY.of("ask again later")),
        Outcome::Failed(FailureReason::TimeUp) => {
            return failed(&Kind::TIME.of("no answer in time"));
        }
        Outcome::Failed(FailureReason::GivenUp) => {
            return failed(&Kind::TIME.of("the operation failed"));
        }
        Outcome::Fault(fault) => return failed(&fault),
        Outcome::Scan(scanned) => return vec![scan_done(reference, &scanned)],
        Outcome::Page(page) => page,
    };
    match &running.purpose {
        Purpose::Search {
            form, form_fault, ..
        } => searched(
            reference,
            &page,
            *form,
            form_fault.as_ref(),
            database,
            limits,
            output_left,
        ),
        Purpose::Present { form, clipped } => presented(
            reference,
            &page,
            *form,
            *clipped,
            database,
            limits,
            output_left,
        ),
        Purpose::Sort { .. } => vec![sort_done(reference, &page)],
        Purpose::Scan => Vec::new(),
    }
}

fn scan_done(reference: Option<&[u8]>, scanned: &Scanned) -> Vec<u8> {
    let status = match (scanned.complete, scanned.terms.is_empty()) {
        (false, _) => ScanStatus::Partial,
        (true, true) => ScanStatus::EndOfList,
        (true, false) => ScanStatus::Success,
    };
    z3950::unit(tag::SCAN_RESPONSE, reference, |w| {
        scan::write_response(
            w,
            status,
            &scanned.terms,
            scanned.position,
            scanned.diagnostics.first(),
        );
    })
}

fn sort_done(reference: Option<&[u8]>, page: &Page) -> Vec<u8> {
    let disorder = page.diagnostics.iter().find(|f| f.kind == Kind::SORT);
    let status = if page.complete && disorder.is_none() {
        SortStatus::Success
    } else {
        SortStatus::Partial
    };
    z3950::unit(tag::SORT_RESPONSE, reference, |w| {
        sort::write_response(w, status, disorder.or_else(|| page.diagnostics.first()));
    })
}

fn encode(record: &Record, form: Form) -> EncodedRecord {
    if let Some(fault) = &record.fault {
        return Err(fault.clone());
    }
    match record.to_bytes(form.syntax, form.schema, form.brief) {
        Ok(bytes) => Ok(bytes),
        // A record in an unknown schema is delivered unchanged if XML in the default schema was
        // requested.
        Err(_)
            if record.schema.is_none()
                && form.syntax == Syntax::Xml
                && form.schema == Schema::Dc =>
        {
            Ok(record.xml.clone().into_bytes())
        }
        Err(problem) => Err(Kind::NOT_IN_SCHEMA.of(problem.to_string())),
    }
}

fn segmented(
    page: &Page,
    form: Form,
    database: &str,
    limits: SegmentLimits,
    output_left: usize,
) -> SegmentedRecords {
    let records = page
        .records
        .iter()
        .map(|record| encode(record, form))
        .collect();
    records::segment_records(database, form.syntax, records, limits, output_left)
}

fn status_of(page: &Page, segmented: &SegmentedRecords, clipped: bool) -> PresentStatus {
    match segmented.delivered {
        0 if page.wanted > 0 => PresentStatus::Failure,
        _ if segmented.truncated => PresentStatus::MessageSize,
        _ if clipped || page.short.is_some() || !page.complete => PresentStatus::ByTarget,
        _ => PresentStatus::Success,
    }
}

fn next_position(page: &Page, delivered: usize) -> i64 {
    let next = page.start + delivered as u64;
    if next > page.count.hits {
        0
    } else {
        i64::try_from(next).unwrap_or(0)
    }
}

fn segments(reference: Option<&[u8]>, segmented: &SegmentedRecords) -> Vec<Vec<u8>> {
    segmented
        .segments
        .iter()
        .map(|(count, bytes)| records::segment(reference, *count, bytes))
        .collect()
}

fn presented(
    reference: Option<&[u8]>,
    page: &Page,
    form: Form,
    clipped: bool,
    database: &str,
    limits: SegmentLimits,
    output_left: usize,
) -> Vec<Vec<u8>> {
    let segmented = segmented(page, form, database, limits, output_left);
    let status = status_of(page, &segmented, clipped);
    let mut messages = segments(reference, &segmented);
    messages.push(z3950::unit(tag::PRESENT_RESPONSE, reference, |w| {
        w.integer(tag::RETURNED, segmented.delivered as i64);
        w.integer(tag::NEXT_POSITION, next_position(page, segmented.delivered));
        w.integer(tag::PRESENT_STATUS, status as i64);
        if status == PresentStatus::Failure {
            let fault = page
                .short
                .map_or_else(|| Kind::BUSY.of("too many unread responses"), short_fault);
            w.inside(tag::DIAGNOSTIC, |d| z3950::write_fault(d, &fault));
        } else {
            records::write(w, &segmented.last.1);
        }
    }));
    messages
}

fn searched(
    reference: Option<&[u8]>,
    page: &Page,
    form: Form,
    form_fault: Option<&Fault>,
    database: &str,
    limits: SegmentLimits,
    output_left: usize,
) -> Vec<Vec<u8>> {
    // A search response cannot be segmented. The client presents the records that do not fit.
    let segmented = segmented(
        page,
        form,
        database,
        SegmentLimits {
            segmentation: 0,
            ..limits
        },
        output_left,
    );
    let status = status_of(page, &segmented, false);
    let records_requested = page.wanted > 0 || form_fault.is_some();
    vec![z3950::unit(tag::SEARCH_RESPONSE, reference, |w| {
        w.integer(
            tag::RESULT_COUNT,
            i64::try_from(page.count.hits).unwrap_or(i64::MAX),
        );
        w.integer(tag::RETURNED, segmented.delivered as i64);
        w.integer(tag::NEXT_POSITION, next_position(page, segmented.delivered));
        // A search with missing slices counts as failed, but its result set is a valid subset.
        w.boolean(tag::SEARCH_STATUS, page.complete);
        if let Some(set) = Session::set_status(page.complete) {
            w.integer(tag::SET_STATUS, set as i64);
        }
        if records_requested {
            let status = if form_fault.is_some() {
                PresentStatus::Failure
            } else {
                status
            };
            w.integer(tag::PRESENT_STATUS, status as i64);
        }
        let partial = page.diagnostics.iter().find(|f| f.kind == Kind::PARTIAL);
        let short = page.short.map(short_fault);
        if segmented.delivered > 0 {
            records::write(w, &segmented.last.1);
        } else if let Some(fault) = form_fault.or(partial).or(short.as_ref()) {
            w.inside(tag::DIAGNOSTIC, |d| z3950::write_fault(d, fault));
        }
    })]
}

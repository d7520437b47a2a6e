//! Encodes actions as lines of the protocol.

use crate::interface::Action;
use std::fmt::{self, Write as _};

/// Appends a line to the output.
pub(super) fn write_line(out: &mut String, line: fmt::Arguments<'_>) {
    out.write_fmt(line)
        .expect("writing to a String does not fail");
    out.push('\n');
}

/// Appends the message for an action to the output.
pub(super) fn write_action(out: &mut String, action: &Action) {
    match action {
        Action::Send {
            part,
            server,
            until,
        } => {
            write_line(
                out,
                format_args!("PLACE tid={} leaf={} try_until={until}", part.0, server.0),
            );
        }
        Action::Cancel { part, attempt } => {
            write_line(
                out,
                format_args!("STOP_ATTEMPT tid={} leg={attempt}", part.0),
            );
        }
        Action::Answer { query, complete } => {
            write_line(
                out,
                format_args!("ANSWER tid={} on={}", query.0, u8::from(*complete)),
            );
        }
        Action::Reject { query, retry_after } => {
            write_line(
                out,
                format_args!("REFUSE tid={} hold_off={retry_after}", query.0),
            );
        }
        Action::Fail { query } => write_line(out, format_args!("RESPOND_ERROR tid={}", query.0)),
        Action::WakeAt(instant) => {
            write_line(out, format_args!("NOTIFY_ME instant={instant} label=wake"))
        }
        Action::Probe(server) => write_line(out, format_args!("ASK_LOAD leaf={}", server.0)),
        Action::Watch(on) => write_line(out, format_args!("WATCH on={}", u8::from(*on))),
        Action::Fetch => write_line(out, format_args!("FETCH")),
        Action::Close(server) => write_line(out, format_args!("DISCONNECT leaf={}", server.0)),
        Action::Log(text) => write_line(
            out,
            format_args!("NOTE_DOWN line={}", text.replace(['\r', '\n'], " ")),
        ),
    }
}

//! Trails as they are collected: fetched from each gatherer in pieces, and kept in a folder if one
//! is named, so that the next collection, or one that was broken off, goes on from what is there,
//! and a trail outlives its gatherer's disk.

use crate::store::client::exchange_line;
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, OpenOptions};
use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Trails by gatherer and by their own number; each has its segments.
#[derive(Debug, Default)]
pub struct Trails {
    all: BTreeMap<String, BTreeMap<u64, BTreeMap<u64, String>>>,
    /// The one that a gatherer has now.
    fetched: BTreeMap<String, u64>,
}

impl Trails {
    /// Every trail of a gatherer, and the number of the one that was fetched just now.
    pub fn of(&self, name: &str) -> (Vec<BTreeMap<u64, String>>, Option<u64>) {
        let trails = self
            .all
            .get(name)
            .map(|trails| trails.values().cloned().collect());
        (trails.unwrap_or_default(), self.fetched.get(name).copied())
    }

    /// What a folder has kept. Errors: it cannot be read.
    pub fn kept(folder: &Path) -> io::Result<Trails> {
        let mut trails = Trails::default();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            let Some((name, trail, segment)) =
                path.file_name().and_then(|name| parts(name.to_str()?))
            else {
                continue;
            };
            // What was cut in the middle of a letter is asked for again.
            let text = whole_letters(fs::read(&path)?);
            trails.segments(&name, trail).insert(segment, text);
        }
        Ok(trails)
    }

    fn segments(&mut self, name: &str, trail: u64) -> &mut BTreeMap<u64, String> {
        self.all
            .entry(name.to_owned())
            .or_default()
            .entry(trail)
            .or_default()
    }

    /// Fetches what one gatherer has beyond what is here, a piece at a time; each is kept before
    /// the next is asked for. Errors: a piece could not be had, also when it was asked for again,
    /// or not be kept; what came before stays.
    pub fn fetch(
        &mut self,
        at: SocketAddr,
        folder: Option<&Path>,
        patience: Duration,
    ) -> Result<(), String> {
        let ask = |segment: u64, from: u64| {
            let asked = json!({"ask": "trail", "segment": segment, "from": from}).to_string();
            exchange_line(at, &asked, patience).or_else(|_| exchange_line(at, &asked, patience))
        };
        // Which trail it has now, before anything is taken for a part of one.
        let first = ask(u64::MAX, 0)?;
        let (name, trail) = (
            first["trail"]["name"].as_str(),
            first["trail"]["trail"].as_u64(),
        );
        let (Some(name), Some(trail)) = (name, trail) else {
            return Err("it has no trail".to_owned());
        };
        self.fetched.insert(name.to_owned(), trail);
        let held = self.segments(name, trail);
        let (mut segment, mut from) = held
            .last_key_value()
            .map_or((0, 0), |(at, text)| (*at, text.len() as u64));
        loop {
            let told = ask(segment, from)?;
            let told = &told["trail"];
            let (text, at) = (told["text"].as_str(), told["segment"].as_u64());
            let (Some(text), Some(at), Some(last)) = (text, at, told["last"].as_u64()) else {
                return Err("an answer that cannot be read".to_owned());
            };
            if told["trail"].as_u64() != Some(trail) {
                return Err("it has begun another trail meanwhile".to_owned());
            }
            if at != segment {
                // What was to come next was let go there; it tells the oldest that is left instead.
                (segment, from) = (at, 0);
                continue;
            }
            if let Some(folder) = folder.filter(|_| !text.is_empty()) {
                let path = folder.join(file_name(name, trail, segment));
                let kept = OpenOptions::new().create(true).append(true).open(&path);
                let kept = kept.and_then(|mut file| file.write_all(text.as_bytes()));
                kept.map_err(|problem| format!("{}: {problem}", path.display()))?;
            }
            held.entry(segment).or_default().push_str(text);
            from += text.len() as u64;
            if told["more"] != true {
                if segment >= last {
                    return Ok(());
                }
                (segment, from) = (segment + 1, 0);
            }
        }
    }
}

/// As much of these bytes as is whole letters.
pub fn whole_letters(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).unwrap_or_else(|problem| {
        let whole = problem.utf8_error().valid_up_to();
        String::from_utf8_lossy(&problem.as_bytes()[..whole]).into_owned()
    })
}

/// A file's name: the gatherer's, in which only plain letters stand as they are, the trail's number
/// and the segment's.
fn file_name(name: &str, trail: u64, segment: u64) -> PathBuf {
    let plain = name.bytes().fold(String::new(), |mut plain, byte| {
        if byte.is_ascii_alphanumeric() || byte == b'-' {
            plain.push(char::from(byte));
        } else {
            let _ = write!(plain, "%{byte:02x}");
        }
        plain
    });
    PathBuf::from(format!("{plain}.{trail:016x}.{segment:06}.trail"))
}

/// What a file's name says; `None` where it is no such file.
fn parts(file: &str) -> Option<(String, u64, u64)> {
    let mut words = file.strip_suffix(".trail")?.split('.');
    let (plain, trail, segment) = (words.next()?, words.next()?, words.next()?);
    let (mut name, mut rest) = (Vec::new(), plain.bytes());
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digit = |byte: u8| char::from(byte).to_digit(16);
            name.push((digit(rest.next()?)? * 16 + digit(rest.next()?)?) as u8);
        } else {
            name.push(byte);
        }
    }
    let number = (u64::from_str_radix(trail, 16).ok()?, segment.parse().ok()?);
    Some((String::from_utf8(name).ok()?, number.0, number.1))
}

#[cfg(test)]
mod tests;

//! Measures what control costs at a given size: `cargo run --release --example capacity -- ROUTERS BACKENDS`.
//!
//! Hollow routers share this process: each is a directory and what it would send, without sockets.

use control::directory::{
    Backend, BackendPhase, Directory, Key, Member, MemberStatus, Origin, Value, VersionVector,
};
use control::state::Position;
use router::frame::encode;
use router::protocol::{Frame, PullRequest, Pulled, Request, Response};
use routing::locations::{Locations, Placement, PrefixKey};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Instant;

/// Nodes that hold the control state.
const REPLICAS: u64 = 5;
/// Rounds of each measurement.
const ROUNDS: u32 = 200;

fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number as u32), 8080)
}

fn backend(number: usize, sequence: u64) -> Value {
    Value::Backend(Backend {
        service: "service-with-a-name".into(),
        address: address(number),
        zone: "zone-a".into(),
        slots: 64,
        phase: BackendPhase::Ready,
        sequence,
        silent: false,
        owner: "router-zone-a-1".into(),
        models: (0..5).map(|model| (format!("model-{model}").into(), 3)).collect(),
    })
}

fn member(number: usize) -> Member {
    Member {
        zone: "zone-a".into(),
        internal: address(number),
        control: Some(address(number)),
        replica: None,
        life: number as u64,
        incarnation: 1,
        status: MemberStatus::Up,
    }
}

fn memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn bytes(frame: &Frame) -> usize {
    encode(frame).map_or(0, |bytes| bytes.len())
}

fn pulled(directory: &Directory, vector: &VersionVector) -> Frame {
    let pulled = Pulled {
        records: directory.news_for(vector),
        vector: directory.vector().clone(),
        state: None,
        leader: None,
        age_ms: Some(100),
    };
    Frame::Response(1, Response::Pulled(Box::new(pulled)))
}

fn request(directory: &Directory) -> Frame {
    let request = PullRequest {
        name: "router-zone-a-1".into(),
        member: member(1),
        vector: directory.vector().clone(),
        position: Position::default(),
        base: None,
        epoch: 1,
        wait_ms: 1_500,
        missing: Vec::new(),
    };
    Frame::Request(1, Request::Pull(request))
}

fn main() {
    let mut sizes = std::env::args().skip(1).map(|text| text.parse().unwrap_or(0));
    let routers: usize = sizes.next().unwrap_or(420);
    let backends: usize = sizes.next().unwrap_or(620);

    let mut holders: Vec<Directory> = (1..=REPLICAS).map(|origin| Directory::new(Origin(origin))).collect();
    for number in 0..routers {
        let at = number % holders.len();
        holders[at].put(Key::Member(format!("router-{number}").into()), Value::Member(member(number)));
    }
    for number in 0..backends {
        let at = number % holders.len();
        holders[at].put(Key::Backend(format!("i-{number:010x}").into()), backend(number, 1));
    }
    let mut full = Directory::new(Origin(99));
    for holder in &holders {
        full.merge(holder.news_for(full.vector()), holder.vector());
    }
    println!("{routers} routers, {backends} backends, {REPLICAS} replicas");
    println!(
        "a pull without news: {} bytes asked, {} answered",
        bytes(&request(&full)),
        bytes(&pulled(&full, full.vector()))
    );
    println!("the whole directory: {} bytes", bytes(&pulled(&full, &VersionVector::new())));

    let before = full.vector().clone();
    full.put(Key::Backend("i-0000000001".into()), backend(1, 2));
    println!("one changed backend: {} bytes", bytes(&pulled(&full, &before)));
    let began = Instant::now();
    for _ in 0..ROUNDS {
        std::hint::black_box(bytes(&pulled(&full, &before)));
    }
    println!("  to make and write it: {:.1} us", began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS));
    let began = Instant::now();
    for _ in 0..ROUNDS {
        std::hint::black_box(bytes(&pulled(&full, &VersionVector::new())));
    }
    println!(
        "the whole directory, to make and write it: {:.1} us",
        began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
    );

    let start = memory_kb();
    let hollow: Vec<Directory> = (0..50)
        .map(|origin| {
            let mut directory = Directory::new(Origin(1_000 + origin));
            directory.merge(full.news_for(&VersionVector::new()), full.vector());
            directory
        })
        .collect();
    println!("a router's directory: {} KB", (memory_kb() - start) / hollow.len() as u64);

    measure_prefixes();
}

/// The index of kept prompts at one owner, full, and what a question takes there.
fn measure_prefixes() {
    const PREFIXES: u64 = 16_000;
    let holder = |number: u64| Placement { backend: format!("i-{number:010x}").into(), version: 3 };
    let mut locations = Locations::default();
    let start = memory_kb();
    for number in 0..PREFIXES {
        for backend in 0..3 {
            locations.placed(PrefixKey(number), &holder(number + backend), 1);
        }
    }
    println!("the index: {} bytes a prefix with three holders", (memory_kb() - start) * 1024 / PREFIXES);
    let began = Instant::now();
    for number in 0..PREFIXES {
        std::hint::black_box(locations.locate(PrefixKey(number), &holder(number), true, Some(1), 2));
    }
    println!("  a question: {:.2} us", began.elapsed().as_secs_f64() * 1e6 / PREFIXES as f64);
    let began = Instant::now();
    for number in 0..PREFIXES {
        locations.evicted(PrefixKey(number * 7), &holder(number));
    }
    println!("  an event: {:.2} us", began.elapsed().as_secs_f64() * 1e6 / PREFIXES as f64);
    let key = PrefixKey(1);
    let question = Request::Locate { key, planned: holder(1), wants_save: true };
    let answer = Response::Located(locations.locate(key, &holder(1), true, Some(1), 3));
    println!(
        "  bytes: {} asked, {} answered; an eviction {}",
        bytes(&Frame::Request(1, question)),
        bytes(&Frame::Response(1, answer)),
        bytes(&Frame::Request(
            0,
            Request::Evicted { backend: "i-0000000001".into(), prefixes: vec![(key, 3)] }
        )),
    );
}

//! Stand-in index hosts for SRU and Z39.50, and clients of both, for the catalogue tests.

use super::*;
use catalogue::ber::{self, Item, Writer};
use catalogue::cql;
use catalogue::fault::Kind;
use catalogue::merge::Term;
use catalogue::record::{Record, Schema, Syntax};
use catalogue::rpn;
use catalogue::sru::request::parameters;
use catalogue::z3950::init::{self, Abilities, Ability, OFFERED};
use catalogue::z3950::{self, records, scan, sort, tag};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize};

/// Content and behaviour of a stand-in index host. The hosts of a slice may share one.
pub struct HostScript {
    /// Titles of each slice, in the host's order.
    pub titles: Mutex<BTreeMap<usize, Vec<String>>>,
    /// While set, no request is answered except Init.
    pub silent: AtomicBool,
    /// While set, searches are not answered.
    pub ignores_searches: AtomicBool,
    /// While set, presents are not answered.
    pub ignores_presents: AtomicBool,
    /// While set, a connection closes as soon as a request arrives.
    pub closes_connections: AtomicBool,
    /// Delay before each answer, in milliseconds.
    pub delay: AtomicUsize,
    /// Every n-th search takes this many milliseconds longer.
    pub periodic_delay: Mutex<(usize, u64)>,
    /// No request is answered before this time.
    pub paused_until: Mutex<Option<Instant>>,
    /// While set, result sets are dropped before each present.
    pub drops_result_sets: AtomicBool,
    /// Abilities offered in the Init response.
    pub abilities: Mutex<Vec<Ability>>,
    /// The one SRU version that the host speaks.
    pub version: Mutex<&'static str>,
    /// HTTP responses have no length and end with the connection: closed in order, or reset if
    /// `true`.
    pub without_length: Mutex<Option<bool>>,
    /// While set, scans get a diagnostic.
    pub no_scan: AtomicBool,
    pub searches: AtomicUsize,
    pub presents: AtomicUsize,
    pub records_sent: AtomicUsize,
    pub open_connections: AtomicUsize,
    pub connections: AtomicUsize,
    pub received: Mutex<Vec<String>>,
}

impl Default for HostScript {
    fn default() -> Self {
        // Slice n has n + 1 titles.
        let titles = |slice: usize| (0..=slice).map(|i| format!("{slice}.{i}")).collect();
        HostScript {
            titles: Mutex::new((0..3).map(|slice| (slice, titles(slice))).collect()),
            silent: AtomicBool::default(),
            ignores_searches: AtomicBool::default(),
            ignores_presents: AtomicBool::default(),
            closes_connections: AtomicBool::default(),
            delay: AtomicUsize::default(),
            periodic_delay: Mutex::default(),
            paused_until: Mutex::default(),
            drops_result_sets: AtomicBool::default(),
            abilities: Mutex::new(vec![
                Ability::Search,
                Ability::Present,
                Ability::Sort,
                Ability::Scan,
                Ability::NamedResultSets,
            ]),
            version: Mutex::new("1.2"),
            without_length: Mutex::default(),
            no_scan: AtomicBool::default(),
            searches: AtomicUsize::default(),
            presents: AtomicUsize::default(),
            records_sent: AtomicUsize::default(),
            open_connections: AtomicUsize::default(),
            connections: AtomicUsize::default(),
            received: Mutex::default(),
        }
    }
}

pub fn set_flag(flag: &AtomicBool, value: bool) {
    flag.store(value, Ordering::SeqCst);
}

pub fn count(counter: &AtomicUsize) -> usize {
    counter.load(Ordering::SeqCst)
}

fn slice_of(database: &str) -> usize {
    database
        .rsplit('-')
        .next()
        .and_then(|n| n.parse().ok())
        .expect("a slice")
}

fn xml(title: &str) -> String {
    format!("<dc><title>{title}</title></dc>")
}

pub fn read_unit(socket: &mut TcpStream, input: &mut Vec<u8>) -> Option<Item> {
    loop {
        if let Some(unit) = ber::read(input, 1 << 20, 64).expect("a data unit") {
            return Some(unit);
        }
        let mut bytes = [0; 4096];
        match socket.read(&mut bytes) {
            Ok(n) if n > 0 => input.extend_from_slice(&bytes[..n]),
            _ => return None,
        }
    }
}

impl HostScript {
    /// A host with these titles in each named slice.
    pub fn with(titles: &[(usize, &[&str])]) -> Arc<HostScript> {
        let own = |(slice, titles): &(usize, &[&str])| {
            (*slice, titles.iter().map(|t| (*t).to_owned()).collect())
        };
        Arc::new(HostScript {
            titles: Mutex::new(titles.iter().map(own).collect()),
            ..HostScript::default()
        })
    }

    fn titles(&self, database: &str) -> Vec<String> {
        self.titles
            .lock()
            .unwrap()
            .get(&slice_of(database))
            .cloned()
            .unwrap_or_default()
    }

    fn record(&self, entry: String) {
        self.received.lock().unwrap().push(entry);
    }

    fn terms(&self, database: &str, seed: &str, number: usize, position: usize) -> Vec<Term> {
        let mut titles = self.titles(database);
        titles.sort();
        let at = titles
            .iter()
            .position(|t| t.as_str() >= seed)
            .unwrap_or(titles.len());
        let from = at.saturating_sub(position.saturating_sub(1));
        let to = (at + number + 1)
            .saturating_sub(position.max(1))
            .min(titles.len());
        let term = |t: &String| Term {
            text: t.clone(),
            display: None,
            count: 1,
        };
        titles[from.min(to)..to].iter().map(term).collect()
    }

    /// Simulates a slow host.
    fn apply_delay(&self) {
        let paused_until = *self.paused_until.lock().unwrap();
        if let Some(left) =
            paused_until.and_then(|until| until.checked_duration_since(Instant::now()))
        {
            thread::sleep(left);
        }
        let (every, delay) = *self.periodic_delay.lock().unwrap();
        let extra = if every > 0 && count(&self.searches) % every == every - 1 {
            delay
        } else {
            0
        };
        let wait = count(&self.delay) as u64 + extra;
        if wait > 0 {
            thread::sleep(Duration::from_millis(wait));
        }
    }

    pub fn z3950(self: &Arc<Self>) -> SocketAddr {
        let script = self.clone();
        accept(move |mut socket| {
            script.connections.fetch_add(1, Ordering::SeqCst);
            script.open_connections.fetch_add(1, Ordering::SeqCst);
            let (mut input, mut sets) = (Vec::new(), BTreeMap::new());
            while let Some(unit) = read_unit(&mut socket, &mut input) {
                if script.closes_connections.load(Ordering::SeqCst) {
                    break;
                }
                script.apply_delay();
                let Some(reply) = script.z3950_reply(&unit, &mut sets) else {
                    continue;
                };
                if socket.write_all(&reply).is_err() {
                    break;
                }
            }
            script.open_connections.fetch_sub(1, Ordering::SeqCst);
        })
    }

    fn z3950_reply(
        &self,
        unit: &Item,
        sets: &mut BTreeMap<String, (String, Vec<String>)>,
    ) -> Option<Vec<u8>> {
        let text = |tag| unit.get(tag).and_then(Item::text).unwrap_or_default();
        let number = |tag| unit.get(tag).and_then(Item::integer).unwrap_or(0) as usize;
        let given = |w: &mut Writer, database: &str, titles: &[String]| {
            self.records_sent.fetch_add(titles.len(), Ordering::SeqCst);
            let record = |t: &String| {
                Record::new(xml(t))
                    .to_bytes(Syntax::Xml, Schema::Dc, false)
                    .unwrap()
            };
            let records: Vec<Vec<u8>> = titles.iter().map(record).collect();
            records::write_all(w, database, Syntax::Xml, &records);
        };
        if self.silent.load(Ordering::SeqCst) && unit.tag != tag::INIT_REQUEST {
            return None;
        }
        Some(match unit.tag {
            tag::INIT_REQUEST => z3950::unit(tag::INIT_RESPONSE, None, |w| {
                let abilities = Abilities::of(&self.abilities.lock().unwrap());
                init::write_negotiation(w, true, abilities, 1 << 16, 1 << 16);
                w.boolean(tag::RESULT, true);
            }),
            tag::SEARCH_REQUEST => {
                let database = unit.get(tag::DATABASES)?.items()[0].text()?;
                let node = rpn::read(unit.get(tag::QUERY)?, 64).unwrap();
                self.searches.fetch_add(1, Ordering::SeqCst);
                self.record(format!("{database}: {node}"));
                if self.ignores_searches.load(Ordering::SeqCst) {
                    return None;
                }
                let name = text(tag::SET_NAME);
                let named = self
                    .abilities
                    .lock()
                    .unwrap()
                    .contains(&Ability::NamedResultSets);
                assert!(
                    named || name == "default",
                    "result set {name} sent to a host without named sets"
                );
                let titles = self.titles(&database);
                let along = number(tag::MEDIUM_SET).min(titles.len());
                sets.insert(name, (database.clone(), titles.clone()));
                z3950::unit(tag::SEARCH_RESPONSE, None, |w| {
                    w.integer(tag::RESULT_COUNT, titles.len() as i64);
                    w.integer(tag::RETURNED, along as i64);
                    w.boolean(tag::SEARCH_STATUS, true);
                    given(w, &database, &titles[..along]);
                })
            }
            tag::SORT_REQUEST => {
                let set = sets.get_mut(&text(4))?;
                let request = sort::read_request(unit, 8).unwrap();
                set.1.sort();
                if !request.keys[0].ascending {
                    set.1.reverse();
                }
                z3950::unit(tag::SORT_RESPONSE, None, |w| {
                    sort::write_response(w, sort::SortStatus::Success, None)
                })
            }
            tag::PRESENT_REQUEST => {
                self.presents.fetch_add(1, Ordering::SeqCst);
                if self.drops_result_sets.load(Ordering::SeqCst) {
                    sets.clear();
                }
                if self.ignores_presents.load(Ordering::SeqCst) {
                    return None;
                }
                let set = sets.get(&text(tag::SET_ID));
                z3950::unit(tag::PRESENT_RESPONSE, None, |w| match set {
                    Some((database, titles)) => {
                        let from = number(tag::START) - 1;
                        let to = (from + number(tag::REQUESTED)).min(titles.len());
                        given(w, database, &titles[from..to]);
                    }
                    None => w.inside(tag::DIAGNOSTIC, |d| {
                        z3950::write_fault(d, &Kind::NO_SET.of(""))
                    }),
                })
            }
            tag::SCAN_REQUEST => {
                let request = scan::read_request(unit).unwrap();
                let (n, p) = (request.number as usize, request.position as usize);
                let terms = self.terms(&request.databases[0], &request.clause.term, n, p);
                let refused = Kind::SCAN.of("no index");
                let fault = self.no_scan.load(Ordering::SeqCst).then_some(&refused);
                z3950::unit(tag::SCAN_RESPONSE, None, |w| match fault {
                    Some(_) => scan::write_response(w, scan::ScanStatus::Failure, &[], 0, fault),
                    None => {
                        scan::write_response(w, scan::ScanStatus::Success, &terms, p as u64, None)
                    }
                })
            }
            other => panic!("unexpected data unit {other}"),
        })
    }

    pub fn sru(self: &Arc<Self>) -> SocketAddr {
        let script = self.clone();
        accept(move |socket| {
            script.connections.fetch_add(1, Ordering::SeqCst);
            script.open_connections.fetch_add(1, Ordering::SeqCst);
            let mut reader = BufReader::new(socket.try_clone().unwrap());
            let mut socket = socket;
            let mut line = String::new();
            while reader.read_line(&mut line).unwrap_or(0) > 0 {
                if line.starts_with("GET /") {
                    script.apply_delay();
                }
                if let Some(target) = line.strip_prefix("GET /")
                    && let Some(body) = script.sru_reply(target.split(' ').next().unwrap())
                {
                    let without_length = *script.without_length.lock().unwrap();
                    if let Some(reset) = without_length {
                        let _ =
                            socket.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{body}").as_bytes());
                        let linger = reset.then_some(Duration::ZERO);
                        rustix::net::sockopt::set_socket_linger(&socket, linger).unwrap();
                        break;
                    }
                    let reply = format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if socket.write_all(reply.as_bytes()).is_err() {
                        break;
                    }
                }
                line.clear();
            }
            script.open_connections.fetch_sub(1, Ordering::SeqCst);
        })
    }

    fn sru_reply(&self, target: &str) -> Option<String> {
        let (database, query) = target.split_once('?').unwrap();
        let fields = parameters(query);
        let number = |name: &str| fields.get(name).and_then(|n| n.parse::<usize>().ok());
        let version = *self.version.lock().unwrap();
        let requested = fields.get("version").map_or("2.0", String::as_str);
        if requested != version {
            return Some(format!(
                "<r xmlns:d=\"x\"><d:diagnostics><d:diagnostic><d:uri>info:srw/diagnostic/1/5</d:uri>\
                 <d:details>{version}</d:details></d:diagnostic></d:diagnostics></r>"
            ));
        }
        if self.silent.load(Ordering::SeqCst) {
            self.record(format!("{database}: not answered"));
            self.searches.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        if let Some(clause) = fields.get("scanClause") {
            if self.no_scan.load(Ordering::SeqCst) {
                return Some(
                    "<scanResponse><diagnostics><diagnostic><uri>info:srw/diagnostic/1/4</uri>\
                     </diagnostic></diagnostics></scanResponse>"
                        .to_owned(),
                );
            }
            let cql::Node::Clause(clause) = cql::parse(clause, 4).unwrap().root else {
                panic!("{clause}")
            };
            let terms = self.terms(
                database,
                &clause.term,
                number("maximumTerms").unwrap(),
                number("responsePosition").unwrap(),
            );
            let terms: String = terms
                .iter()
                .map(|t| {
                    format!(
                        "<term><value>{}</value><numberOfRecords>{}</numberOfRecords></term>",
                        t.text, t.count
                    )
                })
                .collect();
            return Some(format!(
                "<scanResponse><terms>{terms}</terms></scanResponse>"
            ));
        }
        self.searches.fetch_add(1, Ordering::SeqCst);
        self.record(format!("{database}: {}", fields["query"]));
        if self.ignores_searches.load(Ordering::SeqCst) {
            return None;
        }
        let mut titles = self.titles(database);
        let sorted = fields.contains_key("sortKeys") || fields["query"].contains(" sortBy ");
        if sorted {
            titles.sort();
        }
        let down = fields.get("sortKeys").is_some_and(|k| k.contains(",,0"))
            || fields["query"].contains("descending");
        if sorted && down {
            titles.reverse();
        }
        let start = number("startRecord").unwrap_or(1) - 1;
        let wanted = number("maximumRecords").unwrap_or(10);
        let kept: Vec<&String> = titles.iter().skip(start).take(wanted).collect();
        self.records_sent.fetch_add(kept.len(), Ordering::SeqCst);
        let records: String = kept
            .iter()
            .map(|t| {
                format!(
                    "<s:record><s:recordData>{}</s:recordData></s:record>",
                    xml(t)
                )
            })
            .collect();
        Some(format!(
            "<?xml version=\"1.0\"?><s:searchRetrieveResponse xmlns:s=\"http://www.loc.gov/zing/srw/\">\
             <s:version>{version}</s:version><s:numberOfRecords>{}</s:numberOfRecords>\
             <s:records>{records}</s:records></s:searchRetrieveResponse>",
            titles.len()
        ))
    }
}

/// The program over scripted index hosts.
pub struct Catalogue {
    pub program: Program,
    pub sru: SocketAddr,
    pub z3950: SocketAddr,
    pub discovery: Discovery,
    pub scripts: Vec<Arc<HostScript>>,
    pub hosts: Vec<SocketAddr>,
}

/// Settings for three slices, each on this many hosts.
pub fn catalogue_settings(replicas: u32) -> Value {
    sliced_settings(3, replicas)
}

/// Settings for this many slices, each on `replicas` of as many hosts.
pub fn sliced_settings(slices: u32, replicas: u32) -> Value {
    let mut settings = settings();
    settings["extra"]["sets"] = json!(slices);
    settings["extra"]["ranges"] = json!(slices);
    settings["extra"]["in_a_row"] = json!(replicas);
    settings["extra"]["class_fetch"] = json!([0, 0, 0]);
    settings["request_classes"][0]["target"] = json!(1_200_000_000u64);
    settings.as_object_mut().unwrap().remove("tick");
    settings
}

impl Catalogue {
    /// Three slices on one host each, so that a silent host leaves out exactly its own slice.
    pub fn start(speak: &str) -> Catalogue {
        let scripts = (0..3).map(|_| Arc::default()).collect();
        Self::start_with(speak, scripts, catalogue_settings(1), json!({}))
    }

    /// One host per cell, with further keys in the configuration file.
    pub fn start_with(
        speak: &str,
        scripts: Vec<Arc<HostScript>>,
        settings: Value,
        more: Value,
    ) -> Catalogue {
        let hosts: Vec<SocketAddr> = scripts
            .iter()
            .map(|s| if speak == "sru" { s.sru() } else { s.z3950() })
            .collect();
        let targets = hosts
            .iter()
            .enumerate()
            .map(|(i, a)| target(i, *a, "active"))
            .collect();
        let discovery = Discovery::start(targets);
        let (sru, z3950) = (free_address(), free_address());
        let mut setup = json!({
            "listen": {"sru": sru.to_string(), "z3950": z3950.to_string()},
            "database": "comics", "title": "Comics & more", "class": "search", "budget_ms": 5000, "seed": 7,
            "index_hosts": {"speak": speak, "database": "comics-{slice}",
                            "discovery": discovery.address.to_string()},
            "settings": settings
        });
        for (key, value) in more.as_object().unwrap() {
            setup[key] = value.clone();
        }
        let descriptors = setup["sockets"].as_u64().unwrap_or(1024) as u32;
        let program = Program::start_with("--catalogue", &setup, descriptors);
        let catalogue = Catalogue {
            program,
            sru,
            z3950,
            discovery,
            scripts,
            hosts,
        };
        wait_until("listening", || {
            TcpStream::connect(sru).is_ok()
                && TcpStream::connect(z3950).is_ok()
                && catalogue.discovery.open_watches() == 1
        });
        wait_until("serving", || {
            catalogue
                .sru("/comics?query=moon")
                .starts_with("HTTP/1.1 200")
        });
        catalogue
    }

    /// Sends one SRU request and reads until the connection ends.
    pub fn sru(&self, target: &str) -> String {
        self.http(&format!(
            "GET {target} HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n"
        ))
    }

    pub fn http(&self, request: &str) -> String {
        let mut socket = TcpStream::connect(self.sru).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        socket.write_all(request.as_bytes()).unwrap();
        let mut answer = String::new();
        socket.read_to_string(&mut answer).unwrap();
        assert_eq!(
            answer.matches("HTTP/1.1 ").count(),
            1,
            "not exactly one response: {answer}"
        );
        answer.replace('\r', "")
    }

    /// The response body, with the result set id replaced by a fixed one.
    pub fn body(&self, target: &str) -> String {
        let body = self.sru(target).split_once("\n\n").unwrap().1.to_owned();
        match between(&body, "<resultSetId>", "</resultSetId>") {
            Some(id) => body.replace(&id, "SET"),
            None => body,
        }
    }

    /// Titles of the records of an SRU response.
    pub fn titles(&self, target: &str) -> Vec<String> {
        titles(&self.sru(target))
    }
}

pub fn titles(text: &str) -> Vec<String> {
    text.split("<title>")
        .skip(1)
        .filter_map(|t| t.split('<').next())
        .map(str::to_owned)
        .collect()
}

pub fn between(text: &str, start: &str, end: &str) -> Option<String> {
    let rest = text.split_once(start)?.1;
    Some(rest.split_once(end)?.0.to_owned())
}

pub struct Z3950Client {
    pub socket: TcpStream,
    pub input: Vec<u8>,
}

impl Z3950Client {
    pub fn open(address: SocketAddr) -> Z3950Client {
        let all: Vec<Ability> = OFFERED
            .iter()
            .copied()
            .filter(|a| !matches!(a, Ability::Level1Segmentation | Ability::Level2Segmentation))
            .collect();
        let (client, response) = Self::init(address, &all, 1 << 16, |_| {});
        assert_eq!(
            response.get(tag::RESULT).and_then(Item::boolean),
            Some(true)
        );
        assert_eq!(
            response.get(tag::REFERENCE).map(Item::bytes),
            Some(b"ref".to_vec())
        );
        client
    }

    pub fn init(
        address: SocketAddr,
        abilities: &[Ability],
        size: usize,
        more: impl FnOnce(&mut Writer),
    ) -> (Z3950Client, Item) {
        let mut client = Z3950Client {
            socket: TcpStream::connect(address).unwrap(),
            input: Vec::new(),
        };
        client.socket.set_nodelay(true).unwrap();
        client
            .socket
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        let response = client.request(z3950::unit(tag::INIT_REQUEST, Some(b"ref"), |w| {
            init::write_negotiation(w, true, Abilities::of(abilities), size, size);
            more(w);
        }));
        (client, response)
    }

    pub fn request(&mut self, bytes: Vec<u8>) -> Item {
        self.send(&bytes);
        self.receive().expect("an answer")
    }

    pub fn send(&mut self, bytes: &[u8]) {
        // Sent in two pieces, as a network may deliver them.
        let (a, b) = bytes.split_at(bytes.len() / 2);
        self.socket.write_all(a).unwrap();
        self.socket.write_all(b).unwrap();
    }

    pub fn receive(&mut self) -> Option<Item> {
        read_unit(&mut self.socket, &mut self.input)
    }

    pub fn search(&mut self, database: &str, query: &str, small: i64) -> String {
        describe(&self.request(search_unit(None, "default", database, query, small)))
    }

    pub fn present(&mut self, start: i64, count: i64) -> String {
        describe(&self.request(present_unit(None, "default", start, count)))
    }
}

pub fn search_unit(
    reference: Option<&[u8]>,
    set: &str,
    database: &str,
    query: &str,
    small: i64,
) -> Vec<u8> {
    let node = cql::parse(query, 64).unwrap().root;
    z3950::unit(tag::SEARCH_REQUEST, reference, |w| {
        w.integer(tag::SMALL_SET, small);
        w.integer(tag::LARGE_SET, small + 1);
        w.integer(tag::MEDIUM_SET, 0);
        w.boolean(tag::REPLACE, true);
        w.bytes(tag::SET_NAME, set.as_bytes());
        w.inside(tag::DATABASES, |names| {
            names.bytes(tag::DATABASE, database.as_bytes())
        });
        w.inside(tag::QUERY, |q| rpn::write(&node, q).unwrap());
    })
}

pub fn present_unit(reference: Option<&[u8]>, set: &str, start: i64, count: i64) -> Vec<u8> {
    z3950::unit(tag::PRESENT_REQUEST, reference, |w| {
        w.bytes(tag::SET_ID, set.as_bytes());
        w.integer(tag::START, start);
        w.integer(tag::REQUESTED, count);
    })
}

/// The condition of the first diagnostic in a unit.
pub fn condition(unit: &Item) -> Option<i64> {
    let is_integer = unit.class == ber::Class::Universal && unit.tag == ber::universal::INTEGER;
    if is_integer {
        unit.integer()
    } else {
        unit.items().iter().find_map(condition)
    }
}

/// Summary of a response as text.
pub fn describe(unit: &Item) -> String {
    let number = |tag| unit.get(tag).and_then(Item::integer);
    let mut words = vec![format!("unit {}", unit.tag)];
    let named = [
        ("count", tag::RESULT_COUNT),
        ("returned", tag::RETURNED),
        ("next", tag::NEXT_POSITION),
        ("set status", tag::SET_STATUS),
        ("present status", tag::PRESENT_STATUS),
        ("reason", tag::CLOSE_REASON),
    ];
    words.extend(
        named
            .iter()
            .filter_map(|(name, tag)| Some(format!("{name} {}", number(*tag)?))),
    );
    if let Some(success) = unit.get(tag::SEARCH_STATUS).and_then(Item::boolean) {
        words.push(format!("success {success}"));
    }
    if unit.tag == tag::SORT_RESPONSE {
        words.push(format!("sort status {}", number(3).unwrap_or(-1)));
    }
    let records = if unit.tag == tag::SEGMENT {
        0
    } else {
        tag::RECORDS
    };
    for given in records::read(unit, records).unwrap_or_default() {
        words.push(match given {
            Ok(record) => titles(&record.xml).join(""),
            Err(fault) => format!("surrogate {}", fault.kind.bib1),
        });
    }
    words.extend(condition(unit).map(|n| format!("diagnostic {n}")));
    words.join(", ")
}

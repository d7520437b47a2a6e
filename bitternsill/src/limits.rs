//! Every size, count and time that bounds the program, in one place.
//!
//! Filled once at start, from the defaults here and from what the settings say, and handed down by
//! reference.

use dispatch::interface::Time;

/// One millisecond in the clock's unit.
pub const MS: Time = 1_000_000;

/// The program's bounds.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Bytes of a message's start line and headers.
    pub head_bytes: usize,
    /// Bytes of a message's body.
    pub body_bytes: usize,
    /// Bytes of one frame, or of one protocol data unit.
    pub frame_bytes: usize,
    /// Bytes of one line of a watch.
    pub watch_line_bytes: usize,
    /// Nesting of a catalogue query.
    pub depth: usize,
    /// Nesting of a Z39.50 data unit.
    pub ber_depth: usize,
    /// Records of one page.
    pub records: usize,
    /// Records that one part asks an index host for.
    pub part_records: u32,
    /// Bytes of one catalogue response of an index host.
    pub host_message: usize,
    /// Positions of a sorted result that can be reached.
    pub sorted_reach: u64,
    /// Records that are sorted here for a host that does not sort.
    pub local_sort: u32,
    /// Rounds of parts that one client's operation may take.
    pub rounds: u32,
    /// Exchanges that one part may take on its session.
    pub exchanges: u32,
    /// Terms of one scan.
    pub terms: u32,
    /// Sort keys.
    pub sort_keys: usize,
    /// Facets, and values of each.
    pub facets: (usize, u32),
    /// Clauses of a Z39.50 query.
    pub clauses: usize,
    /// Result sets that one Z39.50 session keeps.
    pub result_sets: usize,
    /// Result sets of all clients, and their bytes.
    pub all_sets: (usize, usize),
    /// How long a result set is kept unused.
    pub set_ttl: Time,
    /// Names of result sets that are gone, remembered to tell them from those that never were.
    pub removed_sets: usize,
    /// Operations of one Z39.50 session at once.
    pub operations: usize,
    /// Bytes of one Z39.50 message to a client.
    pub message: usize,
    /// Bytes that wait to be written to one catalogue client.
    pub output: usize,
    /// A catalogue client that reads nothing for this long is let go.
    pub stalled_reader: Time,
    /// Sets that a session to a Z39.50 host keeps there, and how long they are presented from.
    pub host_sets: (usize, Time),
    /// Rests of a catalogue host whose connections fail: the first and the longest.
    pub host_backoff: (Time, Time),
    /// How long what a catalogue host cannot do is held against it.
    pub capability_ttl: Time,
    /// How long an abandoned search is outlived: at the least and at the most.
    pub abandoned_search_time: (Time, Time),
    /// Number of open queries up to which turns are not delayed, if the settings have no `tick`.
    pub unbatched_queries: usize,
    /// How much each further open query adds to the time between turns.
    pub turn_gap_step: Time,
    /// Upper bound of that time.
    pub max_turn_gap: Time,
    /// Entries of the store's log before they are folded into a snapshot.
    pub store_log: usize,
    /// Keys that the store holds.
    pub store_keys: usize,
    /// Sessions that the store holds.
    pub store_sessions: usize,
    /// Keys that one change names.
    pub store_txn_keys: usize,
    /// What is asked of the store through one member at once.
    pub store_calls: usize,
    /// Changes that are kept for those who watch from a revision on.
    pub store_history: usize,
    /// How long an answer of the store is waited for by those who ask in lines.
    pub store_request_timeout: Time,
    /// Between two heartbeats of the store's leader.
    pub store_heartbeat: Time,
    /// How long a member of the store waits for its leader, at the least.
    pub store_election: Time,
    /// Between two attempts to connect to another member.
    pub store_retry: Time,
    /// Between two attempts to ask a peer for its phase.
    pub recovery_retry: Time,
    /// Between two lines of the log on a member that waits for others.
    pub store_log_interval: Time,
    /// Between two times that the store is told how far a trail goes.
    pub audit_report_interval: Time,
    /// How long a full disk is left alone before the next attempt.
    pub disk_full_backoff: Time,
    /// Characters of a query's id, of its key and of a catalogue query.
    pub name_bytes: usize,
    /// Bytes of the texts in one call; a part with a longer one travels alone.
    pub call_bytes: usize,
    /// Bytes read from a connection before others get their turn.
    pub read_burst: usize,
    /// File descriptors the process may hold.
    pub descriptors: usize,
    /// Client connections held at once.
    pub clients: usize,
    /// Client connections kept that have asked once and no more.
    pub single_request_clients: usize,
    /// Client connections held at once where catalogue sessions are served.
    pub sessions: usize,
    /// Connections to all index hosts: what clients may not have, less what the program itself
    /// needs.
    pub host_links: usize,
    /// Connections to one index host.
    pub connections_per_host: usize,
    /// The same where each carries one part at a time.
    pub host_sessions: usize,
    /// Parts in flight on one connection.
    pub parts_per_connection: usize,
    /// Parts that wait for room on one connection.
    pub queued_parts: usize,
    /// Ids remembered on one connection after they were given up or answered.
    pub past_parts: usize,
    /// Probes that wait for their answer on one connection.
    pub queued_probes: usize,
    /// Index hosts held in the table, those that have left included: twice the largest fleet, while
    /// it is replaced, and more.
    pub hosts: usize,
    /// Idle connections closed at once to make room.
    pub eviction_burst: usize,
    /// Connections accepted before others get their turn.
    pub accept_burst: usize,
    /// How long a connection may take to come up.
    pub connect: Time,
    /// A connection to an index host idle for this long is closed, before the host does it.
    pub host_idle: Time,
    /// A connection on which parts are out and nothing has come for this long takes no more of
    /// them.
    pub link_unresponsive: Time,
    /// How long a frame of an index host may be there in part.
    pub frame_read: Time,
    /// How long a probe is awaited.
    pub probe: Time,
    /// How long a client may take over one request's bytes; over its first, counted from when it
    /// connected.
    pub request_read: Time,
    /// How long a connection may stay without a request after its last one.
    pub client_idle: Time,
    /// The same after its only one.
    pub single_request_idle: Time,
    /// The same for a catalogue session, whose result sets go with it.
    pub session_idle: Time,
    /// A connection that has said nothing for this long gives way to others before those that have
    /// asked.
    pub unused_grace: Time,
    /// The same for one that has been half-way through a request, or idle after its only one, this
    /// long.
    pub partial_grace: Time,
    /// How long a closed connection's next bytes are waited for.
    pub linger: Time,
    /// How long what a client still sends after its last answer is read and dropped.
    pub drain: Time,
    /// How long accepting rests after descriptors ran out.
    pub accept_backoff: Time,
    /// How long a discovery call may take to be answered. What changes counts as told 6 s after
    /// discovery had it: a silent watch, the wait for the next call, that call given up and the
    /// wait behind it have to fit in. With less patience a large fleet that all calls at once is
    /// answered seldom: its calls are worked on and thrown away.
    pub discovery_timeout: Time,
    /// The same behind a call that was refused, as nothing has been missed until then. A discovery
    /// that has too many callers says so after some 2 s; given up before, a call has been worked on
    /// for nothing.
    pub discovery_busy_timeout: Time,
    /// A watch silent for this long is broken; an empty line comes every 2 s.
    pub watch_timeout: Time,
    /// Taken off the time the module is told a client will wait.
    pub client_timeout_margin: Time,
    /// An open query is failed this long before its client's time ends.
    pub answer_margin: Time,
    /// How long after a notice new work to a leaving host may go on.
    pub drain_grace: Time,
    /// After SIGTERM: how long connections are accepted and kept.
    pub keep_serving: Time,
    /// The last part of that time, in which each answer closes its connection.
    pub farewell: Time,
    /// After SIGTERM: when whatever is left is failed and the program ends.
    pub shutdown_deadline: Time,
    /// How long the end waits for the last picture of what was learned to be written.
    pub final_snapshot_timeout: Time,
    /// How long a start waits for discovery before it reports ready with the list it was given.
    pub first_endpoints_timeout: Time,
    /// How long after new settings the former names and meanings of classes hold beside the new
    /// ones.
    pub settings_overlap: Time,
    /// Classes held at once, those that only open queries are of included.
    pub classes: usize,
    /// Callers at the operators' door at once; so many descriptors are kept back for them.
    pub admin_connections: usize,
    /// How long an operator's call may take to come.
    pub admin_read_timeout: Time,
    /// A drain: from when on answers close connections, idle ones are closed, and half requests
    /// ended.
    pub drain_times: (Time, Time, Time),
    /// Between two looks for connections that have become idle in a drain, and how long a
    /// connection is left alone.
    pub drain_sweep: (Time, Time),
    /// How long it is remembered that a host is back, for the other process.
    pub exclusion_retention: Time,
    /// Between two looks at what the other process has noted.
    pub handover_poll_interval: Time,
    /// Processes of one name that can know of each other.
    pub handover_processes: usize,
    /// Reasons for which requests are turned away that are counted apart.
    pub rejection_reasons: usize,
    /// Between two lines of the log on one such reason.
    pub rejection_log_interval: Time,
    /// Characters of what such a request asked for that are kept.
    pub rejection_example_chars: usize,
}

/// The defaults, before settings and machine size are taken into account.
const DEFAULTS: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 64 << 10,
    frame_bytes: 128 << 10,
    watch_line_bytes: 256 << 10,
    depth: 16,
    ber_depth: 128,
    records: 200,
    part_records: 100,
    host_message: 1 << 20,
    sorted_reach: 2_000,
    local_sort: 200,
    rounds: 12,
    exchanges: 24,
    terms: 100,
    sort_keys: 4,
    facets: (8, 100),
    clauses: 64,
    result_sets: 32,
    all_sets: (10_000, 32 << 20),
    set_ttl: 300_000 * MS,
    removed_sets: 1_000,
    operations: 64,
    message: 256 << 10,
    output: 1 << 20,
    stalled_reader: 5_000 * MS,
    host_sets: (8, 60_000 * MS),
    host_backoff: (100 * MS, 5_000 * MS),
    capability_ttl: 600_000 * MS,
    abandoned_search_time: (300 * MS, 3_000 * MS),
    unbatched_queries: 4,
    turn_gap_step: MS / 5,
    max_turn_gap: 5 * MS,
    store_log: 256,
    store_keys: 1_024,
    store_sessions: 256,
    store_txn_keys: 256,
    store_calls: 256,
    store_history: 1_024,
    store_request_timeout: 3_000 * MS,
    store_heartbeat: 150 * MS,
    store_election: 600 * MS,
    store_retry: 100 * MS,
    recovery_retry: 200 * MS,
    store_log_interval: 30_000 * MS,
    audit_report_interval: 1_000 * MS,
    disk_full_backoff: 500 * MS,
    name_bytes: 256,
    call_bytes: 64 << 10,
    read_burst: 64 << 10,
    descriptors: 1024,
    clients: 512,
    single_request_clients: 85,
    sessions: 4096,
    host_links: 1024,
    connections_per_host: 4,
    host_sessions: 16,
    parts_per_connection: 32,
    queued_parts: 1024,
    past_parts: 256,
    queued_probes: 16,
    hosts: 1_024,
    eviction_burst: 64,
    accept_burst: 64,
    connect: 250 * MS,
    host_idle: 22_500 * MS,
    link_unresponsive: 400 * MS,
    frame_read: 400 * MS,
    probe: 250 * MS,
    request_read: 2_200 * MS,
    client_idle: 15_000 * MS,
    single_request_idle: 2_000 * MS,
    session_idle: 120_000 * MS,
    unused_grace: 50 * MS,
    partial_grace: 150 * MS,
    linger: 500 * MS,
    drain: 5_000 * MS,
    accept_backoff: 5 * MS,
    discovery_timeout: 1_500 * MS,
    discovery_busy_timeout: 2_200 * MS,
    watch_timeout: 2_400 * MS,
    client_timeout_margin: 15 * MS,
    answer_margin: 8 * MS,
    drain_grace: 2_000 * MS,
    keep_serving: 900 * MS,
    farewell: 500 * MS,
    shutdown_deadline: 3_300 * MS,
    final_snapshot_timeout: 90 * MS,
    first_endpoints_timeout: 1_500 * MS,
    settings_overlap: 1_250 * MS,
    classes: 64,
    admin_connections: 8,
    admin_read_timeout: 5_500 * MS,
    drain_times: (400 * MS, 800 * MS, 1_700 * MS),
    drain_sweep: (100 * MS, 150 * MS),
    exclusion_retention: 60_000 * MS,
    handover_poll_interval: 200 * MS,
    handover_processes: 8,
    rejection_reasons: 32,
    rejection_log_interval: 60_000 * MS,
    rejection_example_chars: 96,
};

impl Default for Limits {
    fn default() -> Self {
        DEFAULTS
    }
}

impl Limits {
    /// So many milliseconds.
    pub fn ms(count: u64) -> Time {
        count.saturating_mul(MS)
    }

    /// Shares out the descriptors: some for the program itself, some for index hosts, the rest for
    /// clients.
    pub fn with_descriptors(mut self, descriptors: usize) -> Self {
        self.descriptors = descriptors;
        let own = 16 + descriptors / 8;
        self.clients = descriptors.saturating_sub(own).clamp(4, 4096) * 3 / 4;
        // Discovery's two connections, the operators' callers, listeners, signals and files come
        // out of what is left.
        self.host_links = descriptors
            .saturating_sub(self.clients + 24 + self.admin_connections)
            .max(4);
        // Clients hold a third of the descriptors at most; a quarter of that may be idle after one
        // request.
        self.single_request_clients = (descriptors / 12).max(4);
        self
    }

    /// Sizes what peers can make the program hold by the memory that there is, in MB.
    pub fn with_memory(mut self, memory_mb: usize) -> Self {
        let bytes = memory_mb << 20;
        // Half of the memory for what clients have sent in part, an eighth for what index hosts
        // have.
        self.read_burst = (bytes >> 11).clamp(8 << 10, self.read_burst);
        self.clients = self.clients.min((bytes / 2 / self.body_bytes).max(4));
        self.frame_bytes = (bytes >> 9).clamp(32 << 10, self.frame_bytes);
        self.queued_parts = (bytes >> 16).clamp(256, self.queued_parts);
        self
    }

    /// Shares out the time between SIGTERM and SIGKILL, which comes 0.7 s after the longest
    /// deadline or later. Clients may have nowhere else to go until another gatherer is back, so
    /// they are served for as long as what they ask at the end is still answered: the module ends
    /// each query at its class's aim.
    pub fn with_end(mut self, deadline: Time, latency_target: Time) -> Self {
        let kill = deadline.min(3_000 * MS) + 700 * MS;
        self.shutdown_deadline = kill.saturating_sub(100 * MS);
        self.keep_serving = self
            .keep_serving
            .max(kill.saturating_sub(latency_target + 400 * MS));
        // Where deadlines are short, what is asked last has to be answered before the kill all the
        // same; new connections come for 0.4 s at the most.
        let latest = self
            .shutdown_deadline
            .saturating_sub(latency_target + 50 * MS)
            .max(450 * MS);
        self.keep_serving = self.keep_serving.min(latest);
        self
    }

    /// Judges connections by the least time in which an answer is wanted.
    pub fn with_latency_target(mut self, latency_target: Time) -> Self {
        self.link_unresponsive = (latency_target / 4).clamp(50 * MS, self.link_unresponsive);
        self
    }

    /// Closing idle connections at three quarters of the host's own limit leaves a request time to
    /// cross.
    pub fn with_host_idle(mut self, host_limit: Time) -> Self {
        self.host_idle = host_limit / 4 * 3;
        self
    }
}

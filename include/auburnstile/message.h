/*
 * Messages exchanged between auburnstile processes.
 *
 * A frame is a 4-byte big-endian length followed by one msgpack array
 * [protocol version, type, field...]. Fields are positional and defined by one
 * table per type (src/protocol/message_fields.c). The decoder rejects unknown
 * versions and types, missing or surplus fields, wrong types and values beyond
 * a field's limit; the connection is then closed.
 *
 * Every message is a struct that begins with `struct aub_message`. A message
 * owns its strings, byte strings and lists.
 */
#ifndef AUBURNSTILE_MESSAGE_H
#define AUBURNSTILE_MESSAGE_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_PROTOCOL_VERSION 6
#define AUB_FRAME_BYTES_MAX (9u << 20) /* an 8 MiB body with its headers */

enum aub_message_type {
	AUB_MESSAGE_HELLO = 1,
	AUB_MESSAGE_PING, /* answered by a PONG with the same number */
	AUB_MESSAGE_PONG,
	AUB_MESSAGE_VIEW, /* control -> its entry */
	AUB_MESSAGE_VIEW_ACK, /* entry -> its control */
	AUB_MESSAGE_GOSSIP, /* control <-> control */
	AUB_MESSAGE_CONFIG_PULL, /* control -> control with a newer version */
	AUB_MESSAGE_CONFIG, /* response to CONFIG_PULL */
	AUB_MESSAGE_CALL, /* entry -> entry */
	AUB_MESSAGE_ANSWER, /* entry -> entry */
	AUB_MESSAGE_CANCEL, /* entry -> entry */
	AUB_MESSAGE_KEYS, /* stopping entry -> successor: part of its keys */
	AUB_MESSAGE_KEYS_ACK, /* successor -> stopping entry */
	AUB_MESSAGE_UPSTREAM_STATES, /* owner -> its standby */
	AUB_MESSAGE_HEARTBEAT, /* gateway <-> gateway, several per second */
	AUB_MESSAGE_INTRODUCTION, /* gateway -> newly started gateway */
	AUB_MESSAGE_CRASHES, /* gateway -> all: requests that crashed
				upstreams */
	AUB_MESSAGE_STORE_CHANGES, /* gateway watching the store -> its zone */
	AUB_MESSAGE_PLACE_REQUEST, /* gateway -> placer of a service */
	AUB_MESSAGE_PLACE_DECISION, /* response to PLACE_REQUEST */
	AUB_MESSAGE_PLACE_REPORT, /* gateway -> granting placer: result */
	AUB_MESSAGE_PLACE_OUTSTANDING, /* gateway -> placer: grants in use */
	AUB_MESSAGE_PLACE_HEALTH, /* placer -> all gateways */
	AUB_MESSAGE_PLACE_ROLLOUT, /* placer -> gateways: rollout progress */
	AUB_MESSAGE_PLACE_PROBE_RESULTS, /* a zone's prober -> placer */
	AUB_MESSAGE_QUOTA_USE, /* placer -> placers: grants by workspace */
	AUB_MESSAGE_TYPE_COUNT
};

enum aub_role { AUB_ROLE_ENTRY = 1, AUB_ROLE_CONTROL };

struct aub_message {
	enum aub_message_type type;
};

/* Byte string that is part of a message. */
struct aub_bytes {
	guint8 *data; /* NULL when length is 0 */
	gsize length;
};

/* First message in each direction of a connection. */
struct aub_hello {
	struct aub_message base;
	enum aub_role role;
	char *name;
	char *zone;
	guint64 incarnation; /* identifies one start; see incarnation.h */
	char *address; /* "ip:port" of the listener for peers */
	char *callers_address; /* entry: listener for callers; control: "" */
	char *admin_address; /* listener for metrics, events and operators */
};

struct aub_ping {
	struct aub_message base;
	guint64 number;
};

enum aub_member_state {
	AUB_MEMBER_LIVE = 1,
	AUB_MEMBER_LEAVING, /* planned stop: accepts no new callers */
	AUB_MEMBER_DEAD, /* no update received for too long */
	AUB_MEMBER_STOPPED /* stopped as planned; `successor` has its keys */
};

/* An entry VM, with its control and its entry process. */
struct aub_member {
	char *name;
	char *zone;
	enum aub_member_state state;
	guint64 incarnation; /* of the entry process; 0: none running */
	guint64 control_incarnation;
	char *callers_address;
	char *inner_address; /* the entry's listener for other entries */
	char *control_address; /* the control's listener for other controls */
	char *entry_admin;
	char *control_admin;
	guint64 successor; /* incarnation of the entry that took over its keys,
			      or 0 */
	guint32 age_ms; /* since the last update from it, direct or relayed */
	guint64 config_version; /* active at its entry, as last reported */
	guint32 load_permille; /* load of its entry in 1/1000 */
	guint64 revision; /* count of changes by its control since its start */
};

/* Assignment of one service to an owner and a standby. */
struct aub_assignment {
	char *service;
	char *owner; /* member name */
	guint64 owner_incarnation;
	char *standby; /* member name, "" for none */
	guint64 standby_incarnation;
	guint64 epoch; /* of the last change of this assignment */
};

/*
 * Cluster state that an entry operates on. `config` is the JSON of the
 * configuration object; empty if the entry has acknowledged `config_version`.
 */
struct aub_view {
	struct aub_message base;
	guint64 config_version;
	struct aub_bytes config;
	guint64 epoch; /* version of the assignments */
	GPtrArray *assignments; /* of struct aub_assignment */
	GPtrArray *members; /* of struct aub_member */
	bool serve; /* false: the state may be stale, so accept no requests */
	guint32 serve_ms; /* validity of `serve` unless it is renewed */
	guint64 echo; /* `number` of the last VIEW_ACK received */
};

struct aub_view_ack {
	struct aub_message base;
	guint64 config_version;
	guint64 epoch;
	guint32 load_permille;
	bool stopping; /* the entry has begun a planned stop */
	guint64 successor; /* incarnation that took over its keys, or 0 */
	guint64 number; /* entry's clock, ms. serve_ms counts from here, so
			   that a view which was buffered while the entry was
			   paused doesn't extend its permission to serve */
};

struct aub_gossip {
	struct aub_message base;
	guint64 config_version; /* version that the sender has */
	guint64 epoch;
	bool store_reachable;
	guint32 fresh_ms; /* time since the store last confirmed the version */
	GPtrArray *members; /* of struct aub_member */
	guint64 number; /* sender's clock in ms, echoed; 0: no reply expected */
	guint64 echo; /* `number` that this message replies to; 0: none */
	guint64 roster; /* hash of the members known to the sender and their
			   revisions */
	guint32 member_count; /* members covered by `roster` */
	struct aub_bytes ages; /* one row per member, see membership.h */
};

/* Requests the objects newer than these versions. */
struct aub_config_pull {
	struct aub_message base;
	guint64 config_version;
	guint64 epoch;
};

struct aub_config_push {
	struct aub_message base;
	guint64 config_version; /* 0: nothing newer, `config` is empty */
	struct aub_bytes config; /* JSON, in zlib format */
	guint64 epoch; /* 0: nothing newer, `assignments` is empty */
	struct aub_bytes assignments; /* JSON, in zlib format */
};

struct aub_header {
	char *name;
	char *value;
};

enum aub_call_purpose {
	/* The receiver owns the idempotency key and enforces at-most-once. */
	AUB_CALL_KEY_OWNER = 1,
	/* The receiver owns the service's queue and dispatches the call. */
	AUB_CALL_OWNER
};

/* A caller's request, forwarded to another entry. */
struct aub_call {
	struct aub_message base;
	guint64 id; /* request id, unique within the fleet */
	enum aub_call_purpose purpose;
	guint64 receiver; /* target incarnation; any other rejects the call */
	char *service;
	bool at_most_once; /* must be executed at most once */
	char *key; /* idempotency key; "" for none */
	guint32 deadline_ms; /* time left */
	guint32 retry_budget; /* retries left, in 1/100 of an attempt */
	char *method;
	char *path; /* path and query */
	GPtrArray *headers; /* of struct aub_header */
	struct aub_bytes body;
};

/*
 * Whether a request was executed by an upstream; returned to the caller in a
 * header. RUN and NOT_RUN are reported only if they are certain.
 */
enum aub_outcome {
	AUB_OUTCOME_RUN = 1,
	AUB_OUTCOME_NOT_RUN,
	AUB_OUTCOME_UNKNOWN
};

struct aub_answer {
	struct aub_message base;
	guint64 id;
	enum aub_outcome outcome;
	guint32 status; /* HTTP */
	guint32 retry_after_ms; /* 0: not given */
	char *reason; /* short identifier; "" if the upstream responded */
	GPtrArray *headers; /* of struct aub_header */
	struct aub_bytes body;
};

struct aub_cancel {
	struct aub_message base;
	guint64 id;
};

/* An idempotency key and the result stored under it. */
struct aub_key_record {
	char *key;
	struct aub_bytes fingerprint; /* of the request with this key */
	guint32 ttl_ms; /* time until the record expires */
	enum aub_outcome outcome; /* UNKNOWN while in progress */
	guint32 status;
	GPtrArray *headers; /* of struct aub_header */
	struct aub_bytes body;
	bool payload_discarded; /* headers and body have been discarded */
};

struct aub_keys {
	struct aub_message base;
	guint64 incarnation; /* of the entry that hands over its keys */
	guint32 part; /* sequence number from 0 */
	bool last;
	GPtrArray *records; /* of struct aub_key_record */
};

struct aub_keys_ack {
	struct aub_message base;
	guint64 incarnation;
	guint32 part;
};

/* A request that was in progress when upstreams crashed. */
struct aub_crash_record {
	guint64 fingerprint;
	guint32 crash_count; /* upstreams that crashed during it */
	guint32 age_ms; /* since the last crash */
};

/* State of one upstream, as seen by the service's owner. */
struct aub_upstream_state {
	char *name;
	guint64 boot_id;
	bool cold; /* not warmed up yet */
	bool draining;
	guint32 age_ms; /* since the last response or probe */
	guint32 mean_us; /* smoothed service time */
};

/* Lets a standby take over with the owner's state; see dispatch.h. */
struct aub_upstream_states {
	struct aub_message base;
	char *service;
	GPtrArray *upstreams; /* of struct aub_upstream_state */
	GPtrArray *crashes; /* of struct aub_crash_record */
};

#define AUB_HEARTBEAT_REVISION_COUNT 4 /* kinds of store object */

/* Liveness and state of a gateway. */
struct aub_heartbeat {
	struct aub_message base;
	guint64 incarnation;
	char *name;
	char *zone;
	char *address; /* "ip:port" for datagrams from peers */
	char *callers_address;
	guint32 capacity; /* in 1/1000 of a CPU core */
	bool ready;
	bool stopping;
	guint64 config_version;
	guint32 peers; /* other gateways, alive or just announced */
	bool reply_requested; /* no heartbeat of the receiver received yet */
	bool store_current; /* the sender has not been without the store for
			       long */
	bool store_reachable; /* the sender currently reaches the store */
	/* Store revision of the sender's data, by kind of object. */
	guint64 revisions[AUB_HEARTBEAT_REVISION_COUNT];
	bool egress_down; /* the sender reaches no upstream itself */
};

/* Addresses of the other gateways. */
struct aub_introduction {
	struct aub_message base;
	struct aub_bytes addresses; /* six bytes each: IPv4, port */
};

struct aub_crashes {
	struct aub_message base;
	GPtrArray *crashes; /* of struct aub_crash_record */
};

/* Changes of one kind of object as received from the store (store_sync.h). */
struct aub_store_changes {
	struct aub_message base;
	guint32 kind;
	guint64 after_revision; /* `body` has the changes after this revision */
	guint64 until_revision; /* up to and including this one */
	struct aub_bytes body;
};

/* What a gateway knows of an upstream's limit on its requests. */
struct aub_place_limit {
	char *upstream;
	guint32 per_1000_s; /* AUB_LIMIT_NONE: it was lifted */
	guint32 age_ms; /* of the answer that says so */
};

/*
 * A request for an upstream slot. The fields of this message and of those
 * below are documented in placement.h.
 */
struct aub_place_request {
	struct aub_message base;
	guint64 holder;
	guint64 ticket;
	char *service;
	char *zone;
	guint32 priority;
	guint32 target_ms;
	guint32 on_time_ms;
	guint32 max_wait_ms;
	bool retry;
	bool replaces;
	bool forward; /* the receiver may forward it to a better placer */
	char *address; /* the holder's datagram address if forwarded, else "" */
	guint32 route; /* key of the request's route */
	char *workspace; /* "": none */
	guint64 fingerprint; /* of the request; 0: unknown */
	guint32 retry_credit; /* handed over with it, in thousandths of a retry
			       */
	GPtrArray *avoid; /* of struct aub_name */
	GPtrArray *limits; /* of struct aub_place_limit, known to the holder */
};

struct aub_place_decision {
	struct aub_message base;
	guint64 ticket;
	guint64 placer; /* incarnation */
	guint32 verdict; /* enum aub_verdict */
	char *upstream;
	char *address;
	guint32 retry_after_ms;
	guint32 silent_after_ms;
};

/* Load reported by an upstream. Each value is plus one; 0: not reported. */
struct aub_reported_load {
	guint32 running;
	guint32 waiting;
	guint32 slots;
	guint32 slowdown; /* service time in percent of the baseline */
	guint32 warmup_ms; /* remaining warm-up */
	guint32 limit; /* enum aub_limit_header; not plus one */
	guint32 limit_per_1000_s; /* likewise not plus one */
	bool leaving;
};

struct aub_place_report {
	struct aub_message base;
	guint64 ticket;
	char *service;
	guint32 end; /* enum aub_grant_result */
	guint64 elapsed_us;
	struct aub_reported_load load;
};

/* A grant in use. */
struct aub_outstanding {
	guint64 ticket;
	char *upstream;
	guint32 target_ms;
};

struct aub_place_outstanding {
	struct aub_message base;
	guint64 holder;
	char *service;
	GPtrArray *grants; /* of struct aub_outstanding */
};

/* Health of one upstream, as seen by its placer. */
struct aub_place_health_row {
	char *upstream;
	bool down;
	bool unknown; /* not probed yet */
	guint32 cold_ms; /* remaining warm-up */
	guint32 slowdown; /* service time in percent of the baseline */
	bool leaving; /* its answers said so */
	guint64 started_ms; /* start of the incarnation that leaves, Unix time
			     */
};

struct aub_place_health {
	struct aub_message base;
	char *service;
	bool relay; /* to be relayed within the receiver's zone */
	GPtrArray *rows; /* of struct aub_place_health_row */
	GPtrArray *limits; /* of struct aub_place_limit */
};

/* Evidence about a new version on one route. */
struct aub_place_evidence {
	guint32 route;
	guint32 answers;
	guint32 timed; /* answers whose duration could be judged */
	guint32 failures;
	guint32 slow;
	guint32 slow_ms; /* threshold of a slow response; 0: unknown */
	/*
	 * Strength of each test in hundredths, by fault and by whether the
	 * upstreams were saturated.
	 */
	guint32 strength[4];
	guint32 rate[4]; /* alternative hypothesis of each test */
};

struct aub_place_rollout {
	struct aub_message base;
	char *service;
	bool relay; /* to be relayed within the receiver's zone */
	char *version; /* version, duration and creation identify the rollout */
	guint32 duration_ms;
	guint64 created;
	guint32 age_ms;
	guint32 state; /* enum aub_rollout_state */
	guint64 reached; /* requests that reached an upstream, counted by this
			    and earlier placers */
	guint64 exposed; /* of these, those sent to the new version */
	guint32 allowance; /* requests that the placer may send beyond its
			      share */
	GPtrArray *evidence; /* of struct aub_place_evidence */
};

/* Result of a probe. */
struct aub_reported_probe {
	char *upstream;
	guint32 result; /* enum aub_probe_result */
	struct aub_reported_load load;
};

struct aub_place_probe_results {
	struct aub_message base;
	char *service;
	GPtrArray *probed; /* of struct aub_reported_probe */
};

/* What the sender has granted of a workspace's quota; see quota.h. */
struct aub_quota_use_row {
	char *workspace;
	guint64 used;
	guint32 recent;
};

struct aub_quota_use_message {
	struct aub_message base;
	guint64 origin; /* incarnation of the sender */
	GPtrArray *rows; /* of struct aub_quota_use_row */
};

struct aub_name {
	char *name;
};

/*
 * Returns an empty message of a type (numbers 0, enumerations 1, strings "",
 * lists empty), owned by the caller. aub_message_free() accepts any message
 * and NULL.
 */
struct aub_message *aub_message_new(enum aub_message_type type);
void aub_message_free(struct aub_message *message);

/* Replace the value of a field by a copy. A NULL string becomes "". */
void aub_string_set(char **field, const char *value);
void aub_bytes_set(struct aub_bytes *field, const void *data, gsize length);

/* Constructors of message parts. Lists of parts are GPtrArrays. */
struct aub_member *aub_member_new(void);
struct aub_member *aub_member_copy(const struct aub_member *member);
void aub_member_free(struct aub_member *member);
struct aub_assignment *aub_assignment_new(void);
struct aub_assignment *aub_assignment_copy(
	const struct aub_assignment *assignment);
void aub_assignment_free(struct aub_assignment *assignment);
struct aub_header *aub_header_new(const char *name, const char *value);
void aub_header_free(struct aub_header *header);
struct aub_upstream_state *aub_upstream_state_new(void);
struct aub_key_record *aub_key_record_new(void);
void aub_key_record_free(struct aub_key_record *record);
struct aub_crash_record *aub_crash_record_new(void);
struct aub_name *aub_name_new(const char *name);
struct aub_outstanding *aub_outstanding_new(void);
struct aub_reported_probe *aub_reported_probe_new(void);
struct aub_place_health_row *aub_place_health_row_new(void);
struct aub_place_evidence *aub_place_evidence_new(void);
struct aub_place_limit *aub_place_limit_new(void);
struct aub_quota_use_row *aub_quota_use_row_new(void);

/*
 * Returns the frame of a message, without its length prefix, owned by the
 * caller. Returns NULL and sets AUB_ERROR_TOO_LARGE if it is larger than
 * AUB_FRAME_BYTES_MAX.
 */
GBytes *aub_message_encode(const struct aub_message *message, GError **error);

/*
 * Decodes a frame without its length prefix. Returns the message, owned by the
 * caller, or NULL with AUB_ERROR_INVALID set. `peer` is used in errors.
 */
struct aub_message *aub_message_decode(const void *data, gsize length,
				       const char *peer, GError **error);

/* Return constant English names ("gossip", "live", "not-run"); never NULL. */
const char *aub_message_type_name(enum aub_message_type type);
const char *aub_member_state_name(enum aub_member_state state);
const char *aub_outcome_name(enum aub_outcome outcome);

G_END_DECLS

#endif

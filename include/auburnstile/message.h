/*
 * Messages between the system's own processes.
 *
 * A frame is a 4-byte big-endian length, then one msgpack array
 * [protocol version, type, field...]. Fields are positional and given by one
 * table a type (src/protocol/message.c). A decoder refuses unknown versions,
 * unknown types, missing or surplus fields, wrong types and values past a
 * field's limit; the connection is then closed.
 *
 * Every message is a struct that begins with `struct aub_message`. Strings,
 * byte strings and lists in a decoded message are owned by it.
 */
#ifndef AUBURNSTILE_MESSAGE_H
#define AUBURNSTILE_MESSAGE_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_PROTOCOL_VERSION 1
#define AUB_FRAME_BYTES_MAX (9u << 20) /* bytes: an 8 MiB body and its headers */

enum aub_message_type {
	AUB_MESSAGE_HELLO = 1,
	AUB_MESSAGE_PING, /* answered by a pong with the same number */
	AUB_MESSAGE_PONG,
	AUB_MESSAGE_VIEW, /* control -> its entry */
	AUB_MESSAGE_VIEW_ACK, /* entry -> its control */
	AUB_MESSAGE_GOSSIP, /* control <-> control */
	AUB_MESSAGE_CONFIG_PULL, /* control -> control that holds more */
	AUB_MESSAGE_CONFIG, /* its answer */
	AUB_MESSAGE_CALL, /* entry -> entry */
	AUB_MESSAGE_ANSWER, /* entry -> entry */
	AUB_MESSAGE_CANCEL, /* entry -> entry */
	AUB_MESSAGE_KEYS, /* stopping entry -> heir: part of the key table */
	AUB_MESSAGE_KEYS_ACK, /* heir -> stopping entry */
	AUB_MESSAGE_UPSTREAM_STATES, /* owner -> its stand-by */
	AUB_MESSAGE_HEARTBEAT, /* gateway -> gateway, several times a second */
	AUB_MESSAGE_INTRODUCTION, /* gateway -> gateway that has appeared */
	AUB_MESSAGE_CRASHES, /* gateway -> all: requests that upstreams died
				under */
	AUB_MESSAGE_STORE_CHANGES, /* gateway that watches -> its zone */
	AUB_MESSAGE_PLACE_REQUEST, /* gateway -> a service's placer */
	AUB_MESSAGE_PLACE_DECISION, /* its answer */
	AUB_MESSAGE_PLACE_REPORT, /* gateway -> the placer that granted */
	AUB_MESSAGE_PLACE_OUTSTANDING, /* gateway -> placer: grants in use */
	AUB_MESSAGE_PLACE_HEALTH, /* placer -> all gateways */
	AUB_MESSAGE_PLACE_ROLLOUT, /* the same: how far an order is */
	AUB_MESSAGE_PLACE_PROBE_RESULTS, /* a zone's prober -> placer */
	AUB_MESSAGE_TYPE_COUNT
};

enum aub_role { AUB_ROLE_ENTRY = 1, AUB_ROLE_CONTROL };

struct aub_message {
	enum aub_message_type type;
};

/* Part of a message: a byte string with its length. */
struct aub_bytes {
	guint8 *data; /* NULL when length is 0 */
	gsize length;
};

/* First message each way on a link. */
struct aub_hello {
	struct aub_message base;
	enum aub_role role;
	char *name;
	char *zone;
	guint64 incarnation; /* wall clock at start, us: new with each start */
	char *address; /* "ip:port" it listens on for its peers */
	char *callers_address; /* entry: where callers connect, else "" */
	char *admin_address; /* metrics, events; control: also operators */
};

struct aub_ping {
	struct aub_message base;
	guint64 number;
};

enum aub_member_state {
	AUB_MEMBER_LIVE = 1,
	AUB_MEMBER_LEAVING, /* planned stop: takes no new callers */
	AUB_MEMBER_DEAD, /* not heard of for too long */
	AUB_MEMBER_STOPPED /* left in order; its keys are with `heir` */
};

/* One entry VM: its control and its entry. Lists of these are GPtrArray. */
struct aub_member {
	char *name;
	char *zone;
	enum aub_member_state state;
	guint64 incarnation; /* of the entry; 0 when it has no entry */
	guint64 control_incarnation;
	char *callers_address;
	char *inner_address; /* of the entry, for other entries */
	char *control_address; /* of the control, for other controls */
	char *entry_admin;
	char *control_admin;
	guint64 successor; /* entry incarnation that took its keys over, or 0 */
	guint32 age_ms; /* since last heard of, directly or not */
	guint64 config_version; /* in force at its entry, as last heard */
	guint32 load_permille; /* busy share of its entry, for placement */
	guint64 revision; /* changes its control made to it since its start */
};

/* One service's owner. Lists of these are GPtrArray. */
struct aub_assignment {
	char *service;
	char *owner; /* member name */
	guint64 owner_incarnation;
	char *standby; /* member name, "" for none */
	guint64 standby_incarnation;
	guint64 epoch; /* of the last change of this line */
};

/*
 * What an entry works by. `config` is the configuration object's JSON, empty
 * when the entry already acknowledged `config_version`.
 */
struct aub_view {
	struct aub_message base;
	guint64 config_version;
	struct aub_bytes config;
	guint64 epoch; /* version of the assignment object */
	GPtrArray *assignments; /* of struct aub_assignment */
	GPtrArray *members; /* of struct aub_member */
	bool serve; /* false: freshness can't be confirmed, no new work */
	guint32 serve_ms; /* how long this permission holds, unrenewed */
	guint64 echo; /* `number` of the last VIEW_ACK read before this */
};

struct aub_view_ack {
	struct aub_message base;
	guint64 config_version;
	guint64 epoch;
	guint32 load_permille;
	bool stopping; /* the entry began a planned stop */
	guint64 successor; /* that took its keys, 0 for none yet */
	guint64 number; /* entry's clock, ms. serve_ms counts from this one:
			   a view that waited in a buffer while the entry was
			   paused then gives no permission */
};

struct aub_gossip {
	struct aub_message base;
	guint64 config_version; /* held by the sender */
	guint64 epoch;
	bool store_reachable;
	guint32 fresh_ms; /* age of the last confirmation by the store */
	GPtrArray *members; /* of struct aub_member */
	guint64 number; /* sender's clock, to be echoed; 0: no answer wanted */
	guint64 echo; /* number this one answers; 0: none */
	guint64 roster; /* hash over the members known and their revisions */
	guint32 member_count; /* how many those are */
	struct aub_bytes ages; /* a row a member: see membership.h */
};

/* Names an object and the version held; the answer carries a newer one. */
struct aub_config_pull {
	struct aub_message base;
	guint64 config_version;
	guint64 epoch;
};

struct aub_config_push {
	struct aub_message base;
	guint64 config_version; /* 0: `config` empty, nothing newer */
	struct aub_bytes config; /* the object's JSON, in zlib's format */
	guint64 epoch; /* 0: `assignments` empty, nothing newer */
	struct aub_bytes assignments; /* the same of the assignments */
};

struct aub_header {
	char *name;
	char *value;
};

enum aub_call_purpose {
	AUB_CALL_KEY_OWNER = 1, /* receiver keeps the key: run it at most once */
	AUB_CALL_OWNER /* receiver owns the service's queue: dispatch it */
};

/* A caller's request, handed to another entry. */
struct aub_call {
	struct aub_message base;
	guint64 id; /* request id, unique over the fleet */
	enum aub_call_purpose purpose;
	guint64 receiver; /* incarnation meant; another one refuses */
	char *service;
	bool once; /* may not be repeated */
	char *key; /* "" for none */
	guint32 deadline_ms; /* time left */
	guint32 retry_budget; /* attempts left beyond the first, in 1/100 */
	char *method;
	char *path; /* path and query */
	GPtrArray *headers; /* of struct aub_header */
	struct aub_bytes body;
};

/* Exactly one of three, each provable; goes to the caller in a header. */
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
	guint32 retry_after_ms; /* 0: not said */
	char *reason; /* short word, "" when the upstream answered */
	GPtrArray *headers; /* of struct aub_header */
	struct aub_bytes body;
};

struct aub_cancel {
	struct aub_message base;
	guint64 id;
};

/* One remembered key. Lists of these are GPtrArray. */
struct aub_key_record {
	char *key;
	struct aub_bytes fingerprint; /* of the request it is bound to */
	guint32 ttl_ms; /* left to be remembered */
	enum aub_outcome outcome; /* UNKNOWN while it ran */
	guint32 status;
	GPtrArray *headers; /* of struct aub_header */
	struct aub_bytes body;
	bool stripped; /* headers and body are not kept any more */
};

struct aub_keys {
	struct aub_message base;
	guint64 incarnation; /* whose keys they are */
	guint32 part; /* from 0 */
	bool last;
	GPtrArray *records; /* of struct aub_key_record */
};

struct aub_keys_ack {
	struct aub_message base;
	guint64 incarnation;
	guint32 part;
};

/* A request that upstreams died under. Lists of these are GPtrArray. */
struct aub_crash_record {
	guint64 fingerprint;
	guint32 deaths;
	guint32 age_ms; /* since the last death */
};

/* What an owner knows of one upstream. Lists of these are GPtrArray. */
struct aub_upstream_state {
	char *name;
	guint64 boot_id;
	bool cold;
	bool draining;
	guint32 age_ms; /* since it was last heard of */
	guint32 mean_us; /* smoothed service time */
};

/* So that a stand-by needn't begin in ignorance; see dispatch.h. */
struct aub_upstream_states {
	struct aub_message base;
	char *service;
	GPtrArray *upstreams; /* of struct aub_upstream_state */
	GPtrArray *crashes; /* of struct aub_crash_record */
};

#define AUB_HEARTBEAT_REVISION_COUNT 4 /* kinds of object that gateways follow */

/* "I am here": membership among gateways. */
struct aub_heartbeat {
	struct aub_message base;
	guint64 incarnation;
	char *name;
	char *zone;
	char *address; /* "ip:port" for datagrams of its peers */
	char *callers_address;
	guint32 capacity; /* thousandths of a core */
	bool ready;
	bool stopping;
	guint64 config_version;
	guint32 peers; /* others that it hears, or was just told of */
	bool reply_requested; /* it has not heard the receiver yet */
	bool current; /* it has not been without the store for long */
	bool hears; /* the store answers it at this moment */
	/* The store's revisions of what it knows, by kind. */
	guint64 revisions[AUB_HEARTBEAT_REVISION_COUNT];
};

/* Where the other gateways are. */
struct aub_introduction {
	struct aub_message base;
	struct aub_bytes addresses; /* six bytes each: IPv4, port */
};

struct aub_crashes {
	struct aub_message base;
	GPtrArray *crashes; /* of struct aub_crash_record */
};

/* What the store told of one kind, as it was told; see store_sync.h. */
struct aub_store_changes {
	struct aub_message base;
	guint32 kind;
	guint64 after; /* the sender knew all changes up to this revision */
	guint64 until; /* and with these all up to this one */
	struct aub_bytes body;
};

/* See placement.h for what these ask, decide and report. */
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
	bool forward; /* the receiver may pass it on to a better placer */
	char *address; /* of the holder's datagrams, where it was passed on */
	guint32 route; /* key of the request's route */
	GPtrArray *avoid; /* of struct aub_name */
};

struct aub_place_decision {
	struct aub_message base;
	guint64 ticket;
	guint64 placer; /* its incarnation */
	guint32 verdict;
	char *upstream;
	char *address;
	guint32 retry_after_ms;
};

/* What an upstream told of its load, each figure plus one; 0: not told. */
struct aub_reported_load {
	guint32 running;
	guint32 waiting;
	guint32 slots;
	guint32 slowdown;
	guint32 warmup_ms;
};

struct aub_place_report {
	struct aub_message base;
	guint64 ticket;
	char *service;
	guint32 end;
	guint64 elapsed_us;
	struct aub_reported_load load;
};

/* One grant in use. Lists of these are GPtrArray. */
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

/* The state of one upstream, as its placer sees it. Lists of these are
 * GPtrArray. */
struct aub_place_health_row {
	char *upstream;
	bool down;
	bool unknown; /* not probed so far */
	guint32 cold_ms;
	guint32 slowdown;
};

struct aub_place_health {
	struct aub_message base;
	char *service;
	bool relay; /* to be passed on within the receiver's zone */
	GPtrArray *rows; /* of struct aub_place_health_row */
};

/* Evidence about a new version on one route. Lists of these are GPtrArray. */
struct aub_place_evidence {
	guint32 route;
	guint32 answers;
	guint32 timed; /* of these, those whose time could be judged */
	guint32 failures;
	guint32 slow;
	guint32 slow_ms; /* from which on an answer is slow; 0: not known */
	/* Strength of each test, by fault and whether upstreams were full, in
	 * hundredths. */
	guint32 strength[4];
	guint32 rate[4]; /* the alternative that it is about */
};

struct aub_place_rollout {
	struct aub_message base;
	char *service;
	bool relay; /* to be passed on within the receiver's zone */
	char *version; /* these three name the order */
	guint32 duration_ms;
	guint64 created;
	guint32 age_ms;
	guint32 state; /* enum aub_rollout_state */
	guint64 reached; /* requests sent by this and earlier placers */
	guint64 exposed; /* of these, to the new version */
	guint32 allowance; /* requests of this placer beyond the share */
	GPtrArray *evidence; /* of struct aub_place_evidence */
};

/* How one probe ended. Lists of these are GPtrArray. */
struct aub_probe_result {
	char *upstream;
	guint32 end;
	struct aub_reported_load load;
};

struct aub_place_probe_results {
	struct aub_message base;
	char *service;
	GPtrArray *probed; /* of struct aub_probe_result */
};

struct aub_name {
	char *name;
};

/*
 * Make an empty message of a type: numbers 0, strings "", lists empty.
 * aub_message_free() takes any message and NULL.
 */
struct aub_message *aub_message_new(enum aub_message_type type);
void aub_message_free(struct aub_message *message);

/* Setters that free what was there and copy what is given. */
void aub_string_set(char **field, const char *value);
void aub_bytes_set(struct aub_bytes *field, const void *data, gsize length);

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
struct aub_probe_result *aub_probe_result_new(void);
struct aub_place_health_row *aub_place_health_row_new(void);
struct aub_place_evidence *aub_place_evidence_new(void);

/*
 * Frame payload (without the length prefix) of a message. Owned by caller;
 * NULL with AUB_ERROR_TOO_LARGE past AUB_FRAME_BYTES_MAX.
 */
GBytes *aub_message_encode(const struct aub_message *message, GError **error);

/* The message in a payload, owned by the caller; `peer` goes into errors. */
struct aub_message *aub_message_decode(const void *data, gsize length,
				       const char *peer, GError **error);

/* Fixed English names: "gossip", "live", "not-run"; never NULL. */
const char *aub_message_type_name(enum aub_message_type type);
const char *aub_member_state_name(enum aub_member_state state);
const char *aub_outcome_name(enum aub_outcome outcome);

G_END_DECLS

#endif

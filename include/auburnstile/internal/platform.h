/*
 * The platform interface: header names, and conversion of the store's objects
 * to types of this project. The rest of the code is independent of the
 * platform.
 */
#ifndef AUBURNSTILE_INTERNAL_PLATFORM_H
#define AUBURNSTILE_INTERNAL_PLATFORM_H

#include <auburnstile/internal/http_stream.h>
#include <auburnstile/internal/rollout.h>
#include <auburnstile/internal/routing.h>

G_BEGIN_DECLS

/* Kinds of objects in the store. */
enum aub_store_kind {
	AUB_STORE_ROUTING, /* a single object: the operators' configuration */
	AUB_STORE_UPSTREAMS, /* upstreams' registrations */
	AUB_STORE_EVACUATIONS, /* zones that get no new requests */
	AUB_STORE_ROLLOUTS, /* orders to move services to new versions */
	AUB_STORE_MEMBERS, /* addresses of the gateways */
	AUB_STORE_KINDS
};

/* Role of a process in watching the store. */
enum aub_watch_duty {
	AUB_WATCH_NONE, /* learns of changes from other gateways */
	AUB_WATCH_STANDBY, /* watches for changes that the primary misses */
	AUB_WATCH_PRIMARY /* watches and announces changes to the others */
};

/* A process among the store's watchers of all zones. */
struct aub_watch_role {
	enum aub_watch_duty duty;
	guint index; /* 0 to count - 1; primaries come first */
	guint count; /* watchers of all zones, including this process */
	guint primary_count; /* of these: primaries */
};

struct aub_upstream_record {
	char *service;
	char *address; /* "ip:port" */
	char *zone;
	char *version; /* software version */
	guint slots; /* number of concurrent requests */
	bool draining;
	guint warmup_left_ms;
	/* Unix time of its start; distinguishes incarnations */
	gint64 born_ms;
};

struct aub_member_record {
	char *ip;
	char *zone;
};

/* A rollout order, named after its service, with its stored state. */
struct aub_rollout_record {
	struct aub_rollout_order order;
	enum aub_rollout_state state; /* NONE: no state is stored */
};

/* An object from a listing or a watch. Unreadable objects have no content. */
struct aub_record {
	char *name;
	gint64 revision;
	bool removed;
	struct aub_upstream_record *upstream; /* of AUB_STORE_UPSTREAMS */
	struct aub_member_record *member; /* of AUB_STORE_MEMBERS */
	struct aub_routing *routing; /* of AUB_STORE_ROUTING */
	struct aub_rollout_record *rollout; /* of AUB_STORE_ROLLOUTS */
	char *problem; /* why the object is unreadable; else NULL */
};

/* An answer to a listing or a watch. */
struct aub_store_page {
	gint64 revision; /* store revision to start a watch from */
	bool more; /* continue the listing after `last` */
	/*
	 * Name of the last object that has one, as the store sent it: it need
	 * not be text. NULL: none has one.
	 */
	GBytes *last;
	guint unnamed; /* objects without a readable name: no records */
	GPtrArray *records; /* of struct aub_record */
};

/* What an answer says of a limit on its upstream's requests. */
enum aub_limit_header {
	AUB_LIMIT_UNKNOWN, /* no answer, or unreadable */
	AUB_LIMIT_NOT_NAMED,
	AUB_LIMIT_NAMED
};

/* The load that an upstream reports in an answer; -1 where unknown. */
struct aub_load {
	gint running; /* requests that are running */
	gint waiting; /* requests that wait for a slot */
	gint slots;
	gint slowdown; /* service time in percent of the baseline */
	gint warmup_ms; /* remaining time of the warm-up */
	enum aub_limit_header limit;
	guint32 limit_per_1000_s; /* requests from all gateways; if named */
	bool leaving; /* the upstream leaves: it wants no new requests */
};

/* Initializer for a load that was not reported. */
#define AUB_LOAD_UNKNOWN                                                   \
	{                                                                  \
		.running = -1, .waiting = -1, .slots = -1, .slowdown = -1, \
		.warmup_ms = -1, .limit = AUB_LIMIT_UNKNOWN,               \
		.limit_per_1000_s = 0, .leaving = false                    \
	}

struct aub_platform {
	/* Header names. */
	const char *request_id;
	const char *deadline_ms; /* remaining time of the caller */
	const char *target_upstream; /* the only incarnation that may run it */
	const char *answer_stamp; /* proof that the answer is the upstream's */
	const char *not_run; /* marks an answer to a request that did not run */
	const char *upstream_id;
	const char *api_key; /* "SCHEME KEY", of a caller */
	const char *api_key_scheme;
	const char *workspace; /* that holds the key, for upstreams */

	/*
	 * Return the paths of store calls, to be freed with g_free(). `after`
	 * may be NULL; it and names may contain any bytes.
	 */
	char *(*list_path)(enum aub_store_kind kind, GBytes *after,
			   bool allow_stale);
	char *(*watch_path)(enum aub_store_kind kind, gint64 revision,
			    guint wait_ms);
	char *(*create_path)(enum aub_store_kind kind);
	char *(*object_path)(enum aub_store_kind kind, const char *name);
	/* Returns the path that the state of an object is written to. */
	char *(*state_path)(enum aub_store_kind kind, const char *name);
	GBytes *(*member_body)(const char *name,
			       const struct aub_member_record *member);
	/* The store accepts the body only if the object is at `revision`. */
	GBytes *(*rollout_body)(const char *name, gint64 revision,
				const struct aub_rollout_record *rollout);

	/*
	 * Decodes a listing or a watch answer. Returns NULL and sets an error.
	 */
	struct aub_store_page *(*decode_page)(enum aub_store_kind kind,
					      const void *data, gsize length,
					      GError **error);

	/*
	 * Returns a copy of a store answer in which API keys are replaced by
	 * digests, so that it can be sent to other gateways. NULL if it is
	 * unreadable.
	 */
	GBytes *(*without_keys)(const void *data, gsize length);

	/* Reads the load headers of an answer. */
	void (*decode_load)(const struct aub_http_head *head,
			    struct aub_load *load);

	/* Media type of bodies, for the store and for callers. */
	const char *content_type;
	/* Returns the body of the answer to an address request. */
	GBytes *(*addresses_body)(GPtrArray *addresses, guint ttl_ms);
	/* Path of address requests, and the query parameter with the zone. */
	const char *addresses_path;
	const char *zone_parameter;
	const char *ready_path; /* of the readiness check */
};

struct aub_record *aub_record_new(const char *name);
void aub_record_free(struct aub_record *record);
struct aub_store_page *aub_store_page_new(void);
void aub_store_page_free(struct aub_store_page *page);
void aub_upstream_record_free(struct aub_upstream_record *record);
void aub_rollout_record_free(struct aub_rollout_record *record);

extern const struct aub_platform aub_platform;

G_END_DECLS

#endif

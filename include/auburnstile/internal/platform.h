/*
 * What a platform has to translate: names of headers, and the objects of its
 * store as types of this project. Everything else is decided here.
 */
#ifndef AUBURNSTILE_INTERNAL_PLATFORM_H
#define AUBURNSTILE_INTERNAL_PLATFORM_H

#include <auburnstile/internal/http_stream.h>
#include <auburnstile/internal/rollout.h>
#include <auburnstile/internal/routing.h>

G_BEGIN_DECLS

/* The kinds of object that the store keeps for this project. */
enum aub_store_kind {
	AUB_STORE_ROUTING, /* one object: the operators' configuration */
	AUB_STORE_UPSTREAMS, /* each upstream's own entry */
	AUB_STORE_EVACUATIONS, /* zones whose upstreams get nothing new */
	AUB_STORE_ROLLOUTS, /* orders to move services to new versions */
	AUB_STORE_MEMBERS, /* this project's entries, where to find them */
	AUB_STORE_KINDS
};

/* Whether a process watches the store. */
enum aub_watch_duty {
	AUB_WATCH_NONE, /* others tell it of changes */
	AUB_WATCH_STANDBY, /* others do, too; it makes good what they miss */
	AUB_WATCH_PRIMARY /* it tells the others */
};

struct aub_upstream_record {
	char *service;
	char *address; /* "ip:port" */
	char *zone;
	char *version; /* of its software */
	guint slots; /* requests it runs at once */
	bool draining;
	guint warmup_left_ms;
	gint64 born_ms; /* Unix time of its start; tells incarnations apart */
};

struct aub_member_record {
	char *ip;
	char *zone;
};

/* An order, under its service's name, and how far it is as stored. */
struct aub_rollout_record {
	struct aub_rollout_order order;
	enum aub_rollout_state state; /* NONE: nothing is stored about it */
};

/* One object, as listed or as a change. Unreadable ones have no content. */
struct aub_record {
	char *name;
	gint64 revision;
	bool removed;
	struct aub_upstream_record *upstream; /* of AUB_STORE_UPSTREAMS */
	struct aub_member_record *member; /* of AUB_STORE_MEMBERS */
	struct aub_routing *routing; /* of AUB_STORE_ROUTING */
	struct aub_rollout_record *rollout; /* of AUB_STORE_ROLLOUTS */
	char *problem; /* why the content could not be read; else NULL */
};

struct aub_store_page {
	gint64 revision; /* of the store: watch from here */
	bool more; /* ask again after `last` */
	char *last;
	GPtrArray *records; /* of struct aub_record */
};

/* What an upstream says of itself in an answer; -1 where it says nothing. */
struct aub_load {
	gint running;
	gint waiting;
	gint slots;
	gint slowdown; /* work takes this many percent of its usual time */
	gint warmup_ms;
};

/* Nothing was told. */
#define AUB_LOAD_UNKNOWN                                                   \
	{                                                                  \
		.running = -1, .waiting = -1, .slots = -1, .slowdown = -1, \
		.warmup_ms = -1                                            \
	}

struct aub_platform {
	/* Names of headers. */
	const char *request_id;
	const char *deadline_ms; /* what is left of the caller's time */
	const char *target_upstream; /* only this incarnation may run it */
	const char *answer_stamp; /* the upstream's own mark on its answer */
	const char *not_run; /* the upstream says that it did not run it */
	const char *upstream_id;

	/* Paths of calls to the store; g_free. `after` may be NULL. */
	char *(*list_path)(enum aub_store_kind kind, const char *after,
			   bool allow_stale);
	char *(*watch_path)(enum aub_store_kind kind, gint64 revision,
			    guint wait_ms);
	char *(*create_path)(enum aub_store_kind kind);
	char *(*object_path)(enum aub_store_kind kind, const char *name);
	/* Where the state of an object is written. */
	char *(*state_path)(enum aub_store_kind kind, const char *name);
	GBytes *(*member_body)(const char *name,
			       const struct aub_member_record *member);
	/* Taken only while the object is at `revision`. */
	GBytes *(*rollout_body)(const char *name, gint64 revision,
				const struct aub_rollout_record *rollout);

	/* Decode a listing or a watch's answer; NULL with an error. */
	struct aub_store_page *(*decode_page)(enum aub_store_kind kind,
					      const void *data, gsize length,
					      GError **error);

	/* Read the load that an answer tells. */
	void (*decode_load)(const struct aub_http_head *head,
			    struct aub_load *load);

	/* Media type of bodies, to the store and to callers. */
	const char *content_type;
	/* Body of the answer to "which addresses". */
	GBytes *(*addresses_body)(GPtrArray *addresses, guint ttl_ms);
	/* Its path, and the query that names the caller's zone. */
	const char *addresses_path;
	const char *zone_parameter;
	const char *ready_path;
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

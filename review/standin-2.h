/*
 * Stand-ins of the platform for the second review: the metadata store, backends
 * and clients, in one process, and the gateways, which are processes of their
 * own. They do what the users' PROTOCOL.md says; a case adds one disruption.
 */
#ifndef REVIEW_STANDIN_2_H
#define REVIEW_STANDIN_2_H

#include <auburnstile/internal/http_client.h>
#include <auburnstile/internal/http_stream.h>
#include <auburnstile/timer.h>

#include <stdio.h>

#define DRAIN_MS 2000 /* bounds.drain_ms of a small deployment */
#define APPLY_MS 2000 /* bounds.config_apply_ms */
#define STABLE_MS 3000 /* bounds.stable_window_ms */
#define EVACUATION_MS 5000 /* bounds.evacuation_ms */
#define STORE_ANSWER_MS 4

struct world;

/* A change in the store; the objects of a revision follow from these. */
struct change {
	gint64 revision;
	gint64 at_us;
	char *kind;
	char *name;
	GBytes *spec; /* msgpack */
	gint64 created;
	bool removed;
};

struct store {
	struct world *world;
	int listener;
	char *address;
	GPtrArray *changes; /* of struct change */
	GPtrArray *connections; /* of struct connection */
	gint64 revision;
	gint64 forgotten_revision; /* watches from before it get 410 */
	guint answer_ms;
	guint stale_ms; /* by how much "stale_ok" listings are behind */
	bool first_page_is_fresh; /* only the pages after it are behind */
	guint page_size; /* objects in a page of a listing */
	guint64 calls;
};

struct backend {
	struct world *world;
	char *id;
	char *service;
	char *zone;
	guint slots;
	guint work_ms;
	gint64 born_ms;
	int listener;
	struct aub_poll_watch *watch;
	char *address;
	GPtrArray *connections; /* of struct connection */
	GQueue waiting; /* of struct connection */
	guint running;
	guint sequence;
	char state[16];
	gint64 draining_us; /* the store acknowledged that it drains */
	/*
	 * After each answer of this number the backend sends the bytes of
	 * another one, late: where the next answer on the connection is
	 * expected. 0: never.
	 */
	guint extra_every;
	guint64 answers;
	guint64 extras;
	guint64 runs;
	guint64 late_arrivals; /* that break the rule of a case */
};

struct gateway {
	struct world *world;
	char *name;
	char *zone;
	char *ip;
	char *callers;
	char *readiness;
	char *file;
	char *log;
	GPid pid; /* 0: not running */
	bool without_clients;
	gint64 in_touch_us; /* set by a case: in touch since; 0: not counted */
};

/* One request of a client. */
struct call {
	struct world *world;
	struct gateway *gateway;
	struct aub_exchange *exchange;
	char id[24];
	bool safe;
	gint64 sent_us;
	gint64 answered_us;
	guint status; /* 0: no answer */
	bool ended;
	guint runs; /* by backends */
	GString *ran_at; /* the backends and when they began */
	guint timer;
};

struct world {
	struct aub_timer_service *timers;
	struct aub_poller *poller;
	struct aub_http_client *client;
	struct store *store;
	GPtrArray *backends; /* of struct backend */
	GPtrArray *gateways; /* of struct gateway */
	GPtrArray *calls; /* of struct call, all that were sent */
	GHashTable *calls_by_id;
	FILE *record;
	char *folder;
	guint16 ports[5];
	guint host_block; /* 127.B.C.n are the gateways' addresses */
	gint64 start_us;
	bool trouble;
	/* What differs between deployments. */
	guint grace_s;
	guint once_timeout_ms; /* of the route of unsafe requests */
	guint deadline_ms; /* of clients */
	guint next_call;
	guint load_timer;
	guint load_turn;
	/* May be NULL: a request that isn't answered 421 reaches a backend. */
	void (*on_arrival)(struct backend *backend, struct call *call);
	/* May be NULL: a backend begins to run a request. */
	void (*on_run)(struct backend *backend, struct call *call);
};

struct world *world_new(const char *record);
/* Records all requests, ends all gateways and returns `result`. */
int world_end(struct world *world, int result);
void world_run_for(struct world *world, guint ms);
gint64 world_now_us(const struct world *world);
/* Writes a line with the time since the start into the record. */
void world_note(struct world *world, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/* The configuration: one host "site", "/safe/" and "/once/" to `svc`. */
void world_configure(struct world *world, guint version, guint header_bytes);
struct backend *backend_new(struct world *world, const char *id,
			    const char *zone, guint slots, guint work_ms);
/* Writes the backend's entry; returns when the store acknowledged it. */
gint64 backend_register(struct backend *backend, const char *state,
			guint warmup_ms);
struct gateway *gateway_new(struct world *world, const char *name,
			    const char *zone);
void gateway_start(struct gateway *gateway);
/* Returns whether all gateways are ready in time. */
bool world_wait_ready(struct world *world, guint ms);
/* Sends `per_s` requests a second, to the gateways in turn. */
void world_set_load(struct world *world, guint per_s);
struct call *world_send(struct world *world, struct gateway *gateway, bool safe,
			guint filler_bytes);

gint64 store_put(struct store *store, const char *kind, const char *name,
		 GBytes *spec);
gint64 store_put_json(struct store *store, const char *kind, const char *name,
		      const char *json);
void store_remove(struct store *store, const char *kind, const char *name);
/* Drops the history: open watches, and those from earlier revisions, get 410.
 */
void store_forget(struct store *store);

#endif

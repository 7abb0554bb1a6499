/*
 * The inside of the soak, shared by its files.
 */
#ifndef TOOLS_SOAK_SOAK_H
#define TOOLS_SOAK_SOAK_H

#include "common/child.h"
#include "platform/store.h"
#include "platform/upstream.h"
#include "proxy/proxy.h"

#include <auburnstile/internal/http_stream.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

#define GATEWAY_COUNT 5
#define FIRST_HOST_NUMBER 10
#define GATEWAY_PORT_COUNT 5 /* that a gateway listens on */
#define UPSTREAM_COUNT 8
#define CALLER_COUNT 12 /* fewer than the slots of one zone */
#define ANSWER_BYTES 500
#define SERVICE_TIME_MS 20
#define CALL_DEADLINE_MS 3000 /* a caller's deadline */
#define THINK_TIME_MEAN_MS 15
#define FAULT_INTERVAL_MEAN_MS 400 /* mean time between two faults */
#define FAULT_FREE_MS 9000 /* at the end, without new faults */
#define RECOVERY_MS 6000 /* of it, until the last fault has been mended */
#define DRAIN_LIMIT_US \
	(3 * AUB_SECOND) /* from an entry's change to the last run */

struct rollout;
struct soak;

struct gateway {
	struct soak *soak;
	guint number;
	struct child *child;
	char *callers;
	char *settings;
	gint64 resume_us; /* paused until then; 0: running */
	gint64 restart_us; /* dead until then */
};

struct upstream {
	struct soak *soak;
	guint number;
	guint generation; /* a new id each time it is replaced */
	struct platform_upstream *server;
	struct proxy_route *route;
	char *id;
	gint64 draining_us; /* since when; 0: not */
	gint64 repair_us; /* its fault ends then; 0: none */
	bool of_new_version; /* of the version that an order moves to */
};

struct request {
	bool at_most_once;
	bool refused; /* the caller was told that it did not run */
	guint runs;
};

struct caller {
	struct soak *soak;
	struct aub_http_stream *stream;
	struct gateway *gateway;
	char *id;
	gint64 start_us; /* of the call under way; 0: thinks */
	gint64 next_us;
	guint status;
	gsize body_bytes;
	char body_start[64]; /* how its body begins */
	bool is_own_answer;
};

struct soak {
	GRand *random;
	struct rollout *rollout; /* an order to change versions; or NULL */
	struct aub_timer_service *timers;
	struct aub_poller *poller;
	struct platform_store *store;
	struct gateway gateways[GATEWAY_COUNT];
	struct upstream upstreams[UPSTREAM_COUNT];
	struct caller callers[CALLER_COUNT];
	GHashTable *requests; /* id -> struct request */
	char *folder;
	guint16 ports[GATEWAY_PORT_COUNT];
	guint serial;
	guint version;
	gint64 store_repair_us; /* 0: it is well */
	gint64 store_healthy_us; /* since when, at the last mend */
	gint64 store_faulty_us; /* since when, at the last fault */
	gint64 next_fault_us;
	gint64 faults_end_us; /* no fault begins later */
	bool zone_evacuated;
	guint faults;
	guint calls;
	guint served;
	guint recovered_calls; /* once all was mended */
	guint recovered_served;
	guint violations;
};

/* In this process's own time. */
gint64 soak_now(const struct soak *soak);
/* A moment between `min_ms` and `max_ms` from now. */
gint64 soak_random_time(struct soak *soak, guint min_ms, guint max_ms);
/* A rule was broken; `id` of the request, or "-". */
void soak_report_violation(struct soak *soak, const char *rule, const char *id);

void soak_configure(struct soak *soak);
/* Write the entry of an upstream in `state`. */
void soak_upstream_register(struct upstream *upstream, const char *state);
/* A new incarnation of `upstream`; its number and soak are set. */
void soak_upstream_start(struct upstream *upstream);
void soak_upstream_stop(struct upstream *upstream);

void soak_gateway_write_settings(struct gateway *gateway);
void soak_gateway_start(struct gateway *gateway);
/* Of its listener `port`; g_free. */
char *soak_gateway_address(const struct gateway *gateway, guint port);

/* A fault of any kind, from the soak's seed. */
void soak_inject_fault(struct soak *soak);
/* What is due to be mended. */
void soak_repair_due(struct soak *soak, gint64 now_us);
void soak_end_evacuation(struct soak *soak);

/* Go on calling, or wait. */
void soak_caller_step(struct caller *caller, gint64 now_us);
void soak_caller_disconnect(struct caller *caller);

/*
 * An order to change versions in the middle of the faults: good or bad by
 * `seed`. Its upstreams are its own.
 */
struct rollout *soak_rollout_new(struct soak *soak, guint32 seed);
void soak_rollout_free(struct rollout *rollout);
void soak_rollout_step(struct rollout *rollout, gint64 now_us);
/* A request begins to run at `upstream`. */
void soak_rollout_count_request(struct rollout *rollout,
				const struct upstream *upstream,
				const char *id);
/* Is the old version stopped? */
bool soak_rollout_is_done(const struct rollout *rollout);
/* One line about what became of it. */
void soak_rollout_report(const struct rollout *rollout);

G_END_DECLS

#endif

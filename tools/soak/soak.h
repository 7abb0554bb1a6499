/* Internal declarations shared by the files of the soak test. */
#ifndef TOOLS_SOAK_SOAK_H
#define TOOLS_SOAK_SOAK_H

#include "common/child.h"
#include "platform/store.h"
#include "platform/upstream.h"
#include "proxy/proxy.h"
#include "soak/soak_run.h"

#include <auburnstile/internal/http_stream.h>
#include <auburnstile/timer.h>

#include <stdio.h>

G_BEGIN_DECLS

#define GATEWAY_COUNT 5 /* unless another number is asked for */
#define GATEWAY_MAX 60
#define FIRST_HOST_NUMBER 10 /* last byte of the first gateway address */
#define GATEWAY_PORT_COUNT 5 /* listeners of a gateway */
#define UPSTREAM_COUNT 8
#define CALLER_COUNT 12 /* fewer than the slots of one zone */
#define ANSWER_BYTES 500
#define SERVICE_TIME_MS 20
#define CALL_DEADLINE_MS 3000 /* deadline of a caller */
#define THINK_TIME_MEAN_MS 15
#define FAULT_INTERVAL_MEAN_MS 400 /* mean time between two faults */
#define FAULT_FREE_MS 9000 /* at the end, without new faults */
/* Within FAULT_FREE_MS, the time until the last fault has been repaired. */
#define RECOVERY_MS 6000
/* From the update of the store to the last new request. */
#define DRAIN_LIMIT_US (3 * AUB_SECOND)

struct notices;
struct soak_ahead;
struct soak_partitions;
struct soak_pauses;
struct soak_refusals;
struct rollout;
struct soak;
struct soak_key;
struct soak_workspaces;

/* The gateways that calls are counted for while some have lost their links. */
enum soak_link_group {
	SOAK_LINKS_NOT_COUNTED, /* none is cut off, or not for long enough */
	SOAK_LINKS_LOST,
	SOAK_LINKS_KEPT,
	SOAK_LINK_GROUPS
};

struct gateway {
	struct soak *soak;
	guint number;
	struct child *child;
	char *callers_address;
	char *settings_file;
	gint64 resume_us; /* paused until then; 0 if not paused */
	gint64 restart_us; /* stopped until then; 0 if running */
	gint64 disturbed_us; /* last kill, stop, pause, start or resumption */
};

struct upstream {
	struct soak *soak;
	guint number;
	/* Incremented at each replacement, which gives a new id. */
	guint generation;
	struct platform_upstream *server;
	struct proxy_route *route;
	char *id;
	gint64 draining_us; /* start of draining; 0 if not draining */
	gint64 repair_us; /* end of its fault; 0 if none */
	bool of_new_version; /* belongs to the target version of the rollout */
};

struct request {
	bool at_most_once;
	/* The caller was told that the request was not run. */
	bool reported_not_run;
	guint executions;
	guint arrivals; /* at upstreams; counted in runs with refusals */
	guint gateway; /* that it was sent to */
	enum soak_link_group link_group;
	gint64 sent_us;
	/* The valid API key that it bears; NULL: none, or an unknown one. */
	const struct soak_key *key;
	/* The upstream that answered last, and its generation; or NULL. */
	const struct upstream *answered_by;
	guint answered_generation;
};

struct caller {
	struct soak *soak;
	struct aub_http_stream *stream;
	struct gateway *gateway;
	char *id;
	gint64 start_us; /* start of the current call; 0 if idle */
	gint64 next_call_us;
	guint status;
	gsize body_bytes;
	char body_start[64]; /* the beginning of the body */
	bool is_own_answer;
};

struct soak {
	GRand *random;
	struct rollout *rollout; /* NULL without a rollout */
	struct notices *notices; /* NULL without notices */
	struct soak_workspaces *workspaces; /* NULL without workspaces */
	struct soak_partitions *partitions; /* NULL without partitions */
	struct soak_refusals *refusals; /* NULL without refusals */
	struct soak_pauses *pauses; /* NULL without pauses */
	struct soak_ahead *ahead; /* NULL without requests sent ahead */
	struct aub_timer_service *timers;
	struct aub_poller *poller;
	struct platform_store *store;
	struct gateway gateways[GATEWAY_MAX];
	guint gateway_count;
	struct upstream upstreams[UPSTREAM_COUNT];
	struct caller callers[CALLER_COUNT];
	GHashTable *requests; /* id -> struct request */
	char *folder;
	FILE *fault_log;
	guint16 ports[GATEWAY_PORT_COUNT];
	guint last_request_id;
	guint config_version;
	gint64 store_repair_us; /* end of its fault; 0 if healthy */
	/* Time of the last repair of the store. */
	gint64 store_healthy_us;
	/* Start of the last fault of the store. */
	gint64 store_faulty_us;
	gint64 next_fault_us;
	/* The next silence may begin then; G_MAXINT64: none does. */
	gint64 next_silence_us;
	gint64 faults_end_us; /* no fault starts later */
	bool zone_evacuated;
	guint faults;
	guint calls;
	guint served;
	guint recovered_calls; /* calls after all repairs */
	guint recovered_served;
	guint violations;
};

/* Returns the current time in us on the clock of this process. */
gint64 soak_now(const struct soak *soak);
/* Returns a random time between `min_ms` and `max_ms` from now, in us. */
gint64 soak_random_time(struct soak *soak, guint min_ms, guint max_ms);
/*
 * Prints and counts a violation of a rule. `id` is the id of the request, or
 * "-".
 */
void soak_report_violation(struct soak *soak, const char *rule, const char *id);

/* Writes a new version of the configuration to the store. */
void soak_configure(struct soak *soak);
/* Writes the record of an upstream with the given state to the store. */
void soak_upstream_register(struct upstream *upstream, const char *state);
/* Starts a new incarnation of `upstream`, whose number and soak are set. */
void soak_upstream_start(struct upstream *upstream);
/* Stops an upstream without draining and removes its record. */
void soak_upstream_stop(struct upstream *upstream);

/* Writes the settings file of a gateway. */
void soak_gateway_write_settings(struct gateway *gateway);
/* Starts the process of a gateway, after ending the previous one if any. */
void soak_gateway_start(struct gateway *gateway);
/* Returns the address of listener `port` of a gateway. Freed with g_free(). */
char *soak_gateway_address(const struct gateway *gateway, guint port);

/*
 * The log of the faults, in the run's folder. Each function writes a line with
 * what began, where, and for how long.
 */
void soak_log_open(struct soak *soak);
void soak_log_close(struct soak *soak, bool keep);
void soak_log_gateway_fault(struct gateway *gateway, const char *fault,
			    gint64 until_us);
void soak_log_upstream_fault(struct upstream *upstream, const char *fault);
void soak_log_store_fault(struct soak *soak, const char *fault);
/* `number` is the version of the configuration, or 0. */
void soak_log_change(struct soak *soak, const char *change, guint number);

/*
 * Makes the store accept calls without answering them for a while, if the run
 * has such faults and the last one was some seconds ago.
 */
void soak_silence_store(struct soak *soak);
/* Injects a random fault of any kind. */
void soak_inject_fault(struct soak *soak);
/* Ends the faults that are due. */
void soak_repair_due(struct soak *soak, gint64 now_us);
/* Ends the evacuation of zone z1. */
void soak_end_evacuation(struct soak *soak);

/*
 * Ends a call that has passed its deadline, or starts the next call if it is
 * due.
 */
void soak_caller_step(struct caller *caller, gint64 now_us);
void soak_caller_disconnect(struct caller *caller);

/*
 * What upstreams say of themselves during the faults, of the given kinds (enum
 * soak_notice_kind), and further kills of gateways, at random by `seed`.
 */
struct notices *soak_notices_new(struct soak *soak, guint32 seed, guint kinds);
void soak_notices_free(struct notices *notices);
void soak_notices_step(struct notices *notices, gint64 now_us);
/* Returns whether `upstream` says something; it has no other fault then. */
bool soak_notice_is_active(const struct upstream *upstream);
/* Checks a request that arrived, whether it will be executed or not. */
void soak_notices_on_arrival(struct upstream *upstream,
			     const struct request *request, const char *id);
void soak_notices_on_answer(struct upstream *upstream, struct request *request,
			    guint status);
/* Called when a caller has received the head of the answer. */
void soak_notices_on_passed(struct request *request,
			    const struct aub_http_head *head);
/* Sets the counts of notices and of checks. */
void soak_notices_count(const struct notices *notices,
			struct soak_result *result);
/* Prints one line with counts. */
void soak_notices_report(const struct notices *notices);

/*
 * Workspaces with keys and quotas, which change at random by `seed` during the
 * faults.
 */
struct soak_workspaces *soak_workspaces_new(struct soak *soak, guint32 seed);
void soak_workspaces_free(struct soak_workspaces *workspaces);
void soak_workspaces_step(struct soak_workspaces *workspaces, gint64 now_us);
/* Appends the table of workspaces to a configuration, JSON. */
void soak_workspaces_append_table(const struct soak_workspaces *workspaces,
				  GString *config);
/* Chooses the key of a new request and appends its headers. */
void soak_workspaces_choose_key(struct soak_workspaces *workspaces,
				struct request *request, GString *headers);
/* Checks a request that starts at `upstream`. */
void soak_workspaces_on_request(struct soak_workspaces *workspaces,
				const struct upstream *upstream,
				const struct request *request, const char *id);
/*
 * Checks the status of an answer. Returns whether it refuses the request for
 * its key or its quota.
 */
bool soak_workspaces_check_answer(struct soak_workspaces *workspaces,
				  const struct request *request, guint status,
				  const char *id);
/* Prints one line with counts. */
void soak_workspaces_report(const struct soak_workspaces *workspaces);

/*
 * Gateways that lose their links to all upstreams, at random by `seed`; with
 * `only_kind` always in that way.
 */
struct soak_partitions *soak_partitions_new(struct soak *soak, guint32 seed,
					    enum proxy_partition only_kind);
/* Sets the counts of cuts and of calls. */
void soak_partitions_get_counts(const struct soak_partitions *partitions,
				struct soak_result *result);
void soak_partitions_free(struct soak_partitions *partitions);
void soak_partitions_step(struct soak_partitions *partitions, gint64 now_us);
/* Cuts a new incarnation of an upstream off from the same gateways. */
void soak_partitions_apply(const struct soak_partitions *partitions,
			   struct upstream *upstream);
/* Returns what a call that starts now at `gateway` counts for. */
enum soak_link_group soak_partitions_group(
	const struct soak_partitions *partitions,
	const struct gateway *gateway);
void soak_partitions_count(struct soak_partitions *partitions,
			   enum soak_link_group group, bool served);
/* Prints one line with counts, and checks how calls were served. */
void soak_partitions_report(struct soak_partitions *partitions);

/* The slack of the gateways' retry budget, as in their settings. */
guint soak_retry_slack(const struct soak *soak);

/* Gateways that run only a part of the time. */
struct soak_pauses *soak_pauses_new(struct soak *soak, guint32 seed);
void soak_pauses_free(struct soak_pauses *pauses);
/* Pauses, continues and kills gateways; called at each step. */
void soak_pauses_step(struct soak_pauses *pauses, gint64 now_us);

/*
 * Phases, at random by `seed`, in which all upstreams refuse a share of the
 * requests although they have free slots.
 */
struct soak_refusals *soak_refusals_new(struct soak *soak, guint32 seed);
void soak_refusals_free(struct soak_refusals *refusals);
void soak_refusals_step(struct soak_refusals *refusals, gint64 now_us);
/* Called when a caller sends a request. */
void soak_refusals_on_sent(struct soak_refusals *refusals);
/*
 * Counts and checks a request that arrives at `upstream`. Makes the upstream
 * refuse it at random.
 */
void soak_refusals_on_arrival(struct soak_refusals *refusals,
			      struct upstream *upstream,
			      struct request *request, const char *id);
/* Prints one line with counts. */
void soak_refusals_report(const struct soak_refusals *refusals);

/*
 * Callers that send requests ahead on connections that they keep, at random by
 * `seed`, until the faults end.
 */
struct soak_ahead *soak_ahead_new(struct soak *soak, guint32 seed);
void soak_ahead_free(struct soak_ahead *ahead);
void soak_ahead_step(struct soak_ahead *ahead, gint64 now_us);
/* Returns the time-out of the next version's routes. */
guint soak_ahead_timeout_ms(struct soak_ahead *ahead);
/* Prints one line with counts. */
void soak_ahead_report(const struct soak_ahead *ahead);

/*
 * A rollout that takes place during the faults. The parity of `seed` determines
 * whether the new version is good (even) or faulty (odd). The rollout owns the
 * upstreams of the new version.
 */
struct rollout *soak_rollout_new(struct soak *soak, guint32 seed);
void soak_rollout_free(struct rollout *rollout);
void soak_rollout_step(struct rollout *rollout, gint64 now_us);
/*
 * Counts and checks a request that starts at `upstream`. Makes it fail at
 * random if the new version is faulty.
 */
void soak_rollout_on_request(struct rollout *rollout,
			     const struct upstream *upstream, const char *id);
/*
 * Returns whether the rollout is completed and the old version has been
 * stopped. `rollout` may be NULL.
 */
bool soak_rollout_is_done(const struct rollout *rollout);
/* Prints one line with the outcome. */
void soak_rollout_report(const struct rollout *rollout);

G_END_DECLS

#endif

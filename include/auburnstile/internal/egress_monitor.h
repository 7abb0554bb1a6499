/*
 * Runs the checks that tell whether this gateway reaches the upstreams, and
 * reports what they show; the decisions are those of egress.h.
 */
#ifndef AUBURNSTILE_INTERNAL_EGRESS_MONITOR_H
#define AUBURNSTILE_INTERNAL_EGRESS_MONITOR_H

#include <auburnstile/internal/egress.h>
#include <auburnstile/internal/http_client.h>

G_BEGIN_DECLS

struct aub_egress_monitor;

/* An upstream to check. The strings are owned by the target. */
struct aub_check_target {
	char *service;
	char *upstream;
	char *address;
	char *path; /* of its health endpoint */
};
void aub_check_target_clear(struct aub_check_target *target);

struct aub_egress_monitor_options {
	struct aub_timer_service *timers;
	struct aub_http_client *client;
	/*
	 * Sets `target` to upstream `id` or, if that is NULL, to one that is
	 * likely to answer and not among `used` (of char *). Returns false if
	 * there is none.
	 */
	bool (*pick_target)(const char *id, const GPtrArray *used,
			    struct aub_check_target *target, void *context);
	/* Called with the answer to a check. */
	void (*on_check_answer)(const struct aub_check_target *target,
				const struct aub_http_head *head,
				void *context);
	/* Called when the state has changed. */
	void (*on_state)(enum aub_egress_state state, void *context);
	/* Called when failures so far are not due to this gateway's links. */
	void (*on_links_cleared)(void *context);
	void *context;
};

struct aub_egress_monitor *aub_egress_monitor_new(
	const struct aub_egress_monitor_options *options);
void aub_egress_monitor_free(struct aub_egress_monitor *monitor);

const struct aub_egress *aub_egress_monitor_state(
	const struct aub_egress_monitor *monitor);
/*
 * Returns whether this gateway should place for others only as a last resort:
 * it is without links, or was a moment ago.
 */
bool aub_egress_monitor_is_demoted(const struct aub_egress_monitor *monitor);
bool aub_egress_monitor_needs_relay(const struct aub_egress_monitor *monitor,
				    const char *upstream);

/* Events of requests and probes that are sent to upstreams directly. */
void aub_egress_monitor_on_sent(struct aub_egress_monitor *monitor);
void aub_egress_monitor_on_ended(struct aub_egress_monitor *monitor);
void aub_egress_monitor_on_answer(struct aub_egress_monitor *monitor);
void aub_egress_monitor_on_failure(struct aub_egress_monitor *monitor,
				   const char *upstream,
				   enum aub_egress_failure failure);

struct aub_egress_counts {
	guint64 checks; /* sent since the start */
	guint64 outages; /* times that the links were found down */
};
const struct aub_egress_counts *aub_egress_monitor_counts(
	const struct aub_egress_monitor *monitor);

G_END_DECLS

#endif

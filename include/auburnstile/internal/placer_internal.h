/* Internals of the placer, shared by its source files. */
#ifndef AUBURNSTILE_INTERNAL_PLACER_INTERNAL_H
#define AUBURNSTILE_INTERNAL_PLACER_INTERNAL_H

#include <auburnstile/internal/placer.h>
#include <auburnstile/internal/retry_earnings.h>

G_BEGIN_DECLS

/* A request of this gateway, from the placement request to its report. */
struct aub_ticket {
	guint64 id;
	char *service;
	struct aub_placement_request request; /* without its pointers */
	char *workspace;
	GPtrArray *avoid; /* of char * */
	/* NULL once it is decided */
	aub_placement_result_callback *callback;
	void *context;
	gint64 start_us;
	guint64 asked_placer; /* incarnation that was asked last */
	bool forwardable; /* the asked placer may have forwarded it */
	guint64 granted_by; /* incarnation of the placer; 0: not granted */
	char *upstream; /* set once granted */
	guint placers_asked; /* number of placers tried */
	guint sends_to_placer; /* transmissions to the last placer asked */
	gint64 sent_us; /* first transmission to that placer */
	gint64 next_action_us; /* time to resend or to skip the placer */
	bool queued; /* the placer has acknowledged it */
	bool placed_locally; /* decided by this process */
};

/* A service whose upstreams this gateway probes. */
struct aub_probed_service {
	gint64 probe_all_until_us; /* as placer: probes all upstreams */
	/* for a remote placer: probes the upstreams in the own zone */
	gint64 probe_zone_until_us;
	struct aub_place_probe_results *pending_results; /* unsent; or NULL */
	guint64 refused_logged; /* count of refusals as last logged */
};

void aub_probed_service_free(void *data);

struct aub_placer {
	struct aub_placer_options options;
	char *zone;
	GHashTable *placements; /* service -> struct aub_placement */
	GHashTable *service_by_upstream; /* upstream id -> service */
	GHashTable *evacuated_zones; /* set */
	GHashTable *tickets; /* &id -> struct aub_ticket */
	GHashTable *probed_services; /* service -> struct aub_probed_service */
	/* by service: struct aub_retry_earnings, struct aub_retry_counts */
	GHashTable *retry_earnings;
	GHashTable *retry_counts_logged;
	/* set of services whose placer was sent a non-empty list of grants */
	GHashTable *outstanding_reported;
	GPtrArray *probes; /* of struct probe, in progress */
	guint64 ticket_serial;
	gint64 start_us; /* start of this process */
	bool startup_over; /* the start-up grace is over */
	guint tick_timer;
	guint drain_timer; /* processes the queues from the main loop */
	guint startup_timer;
	guint round_timer;
	guint rollout_timer; /* 0: no order is open */
	gint64 rollouts_sent_us; /* when evidence was last sent */
	bool orders_known; /* all orders in the store have been read */
	/* of the fleet, and of this gateway while it reaches no placer */
	struct aub_quotas *quotas;
	struct aub_quotas *fallback_quotas;
	/* it is told what others grant, or began without credit */
	bool quotas_informed;
	gint64 last_placed_us; /* when it last placed a request itself */
	gint64 quota_sent_us; /* when it last told others of its grants */
	guint quota_timer; /* 0: nothing to tell */
	guint probe_timer;
	guint report_timer; /* sends queued probe results */
	guint relay_turn; /* spreads relayed probes over the peers */
	guint check_turn; /* spreads checks over the services */
	struct aub_placer_counts counts;
};

/* Returns the placement of `service`, which is created if necessary. */
struct aub_placement *aub_placer_placement(struct aub_placer *placer,
					   const char *service);

#define AUB_STARTUP_CHECK_PERIOD_US (25 * AUB_MS)

/* Time allowed for delivery of a decision beyond a request's maximum wait. */
#define AUB_DECISION_DELIVERY_SLACK_US (150 * AUB_MS)

/* Tickets. */
void aub_ticket_free(void *data);
/*
 * Passes a decision of the placer with incarnation `from` to the request. The
 * ticket ends unless it was granted.
 */
void aub_ticket_resolve(struct aub_placer *placer, struct aub_ticket *ticket,
			const struct aub_placement_decision *decision,
			guint64 from);
void aub_ticket_send_report(struct aub_placer *placer,
			    struct aub_ticket *ticket,
			    const struct aub_grant_report *report);
/* Resends requests without a timely answer, or tries the next placer. */
void aub_tickets_process_due(struct aub_placer *placer, gint64 now_us);

/* Applies a report to a local placement, which may free a slot. */
void aub_placer_apply_report(struct aub_placer *placer, const char *service,
			     const struct aub_grant_report *report);
/* Delivers a decision of a local placement to the requesting gateway. */
void aub_placer_deliver(struct aub_placer *placer,
			const struct aub_placement_decision *decision);
/* Starts the tick timer, which processes tickets and queues. */
void aub_placer_arm_tick(struct aub_placer *placer);

/*
 * Returns whether the process has run long enough to receive replies to its
 * first heartbeats.
 */
bool aub_placer_first_replies_are_due(const struct aub_placer *placer,
				      gint64 now_us);
/*
 * Returns whether the start-up grace, in which the process discovers the other
 * gateways, is over.
 */
bool aub_placer_startup_is_over(const struct aub_placer *placer);
/* Starts to place when the start-up grace is over. */
void aub_placer_on_startup_check(void *context, gint64 now_us);

/* Decides queued requests of `placement` as far as there are free slots. */
void aub_placer_drain_queue(struct aub_placer *placer,
			    struct aub_placement *placement);
/* Does so for all placements from the main loop, as soon as possible. */
void aub_placer_schedule_drain(struct aub_placer *placer);

/* Probes all upstreams of `service`, which this gateway was asked to place. */
void aub_placer_probe_service(struct aub_placer *placer, const char *service);
/* Probes the upstreams of `service` in this zone, for a remote placer. */
void aub_placer_probe_own_zone(struct aub_placer *placer, const char *service);
void aub_placer_apply_probe_results(
	struct aub_placer *placer,
	const struct aub_place_probe_results *message);
/*
 * Returns the placer of `service` in this process's view; NULL if it is this
 * process.
 */
struct aub_peer *aub_placer_peer_for(struct aub_placer *placer,
				     const char *service, gint64 now_us);
void aub_placer_stop_probes(struct aub_placer *placer);

/*
 * Convert loads for messages between gateways. Fields are sent increased by
 * one, since they are unsigned and -1 stands for an unknown value.
 */
struct aub_reported_load aub_load_encode(const struct aub_load *load);
struct aub_load aub_load_decode(const struct aub_reported_load *encoded);

/*
 * Logs a notable change of an upstream's limit, and that it leaves. `source` is
 * "answer", "probe" or "peer", `id` the request or the peer, or "".
 */
void aub_placer_log_notices(struct aub_placement *placement,
			    const char *upstream, const char *source,
			    const char *id);

/*
 * Returns whether this gateway ranks first for `service`. Each placer counts
 * the requests of a cold upstream for itself, so that only the first one may
 * grant its rate: others are asked as well while that one is slow.
 */
bool aub_placer_ranks_first(const struct aub_placer *placer,
			    const char *service);

/*
 * Records and logs that an upstream asked this gateway for rest. `request_id`
 * is NULL if it answered a probe.
 */
void aub_placer_begin_rest(struct aub_placer *placer, const char *service,
			   const char *upstream, gint64 rest_us,
			   const char *request_id);

/* Applies what a placer's message says of leaving upstreams. */
void aub_placer_apply_leaving(struct aub_placement *placement,
			      const GPtrArray *rows);

/* Statements about upstreams of a service in one message. */
#define AUB_NOTICES_MAX 512
/* Appends what is known here of the limits of the service's upstreams. */
void aub_placer_append_limits(struct aub_placer *placer, const char *service,
			      GPtrArray *limits);
/* Applies what `peer`, a name for the log, knows. */
void aub_placer_apply_limits(struct aub_placer *placer, const char *service,
			     const GPtrArray *limits, const char *peer);

/* Rollout orders. */
void aub_placer_apply_rollout(struct aub_placer *placer,
			      struct aub_place_rollout *message);
/* Called every second by the placer of `service`. */
void aub_placer_refresh_rollout(struct aub_placer *placer, const char *service);
/* Sends the progress of the order of `service` to all gateways. */
void aub_placer_send_rollout(struct aub_placer *placer, const char *service);
/* Returns whether this gateway ranks first in its zone for `service`. */
bool aub_placer_ranks_first_in_zone(struct aub_placer *placer,
				    const char *service);
/*
 * Sends `message` to all gateways, with relays in other zones. `relay` points
 * to the message's flag that makes the receiver forward it within its zone.
 */
void aub_placer_send_to_zones(struct aub_placer *placer, const char *service,
			      struct aub_message *message, bool *relay);

/*
 * Gateways that are told what is granted of a service: the placer, and the one
 * that takes over if it fails.
 */
#define AUB_INFORMED_PER_SERVICE 2

/* Retry budgets. */
/*
 * Returns the credit that goes with the next message about `ticket`, in
 * thousandths of a retry. It is handed over to the receiver of that message.
 */
guint32 aub_placer_hand_over_retry_credit(struct aub_placer *placer,
					  struct aub_ticket *ticket);
/* Logs what was counted of the retries of `service` since the last call. */
void aub_placer_log_retry_counts(struct aub_placer *placer,
				 const char *service);

/* Quotas of workspaces. */
/*
 * Called before a request is placed here, by this gateway for all or, in
 * `fallback`, for itself: sets where the request counts.
 */
void aub_placer_set_quota(struct aub_placer *placer,
			  struct aub_placement_request *request, bool fallback);
/* Tells other placers of grants here, at once or within a short time. */
void aub_placer_send_quota_use(struct aub_placer *placer);
void aub_placer_apply_quota_use(struct aub_placer *placer,
				const struct aub_quota_use_message *message);
/* Forgets the counts of a process that has ended. */
void aub_placer_forget_quota_use(struct aub_placer *placer,
				 guint64 incarnation);
/* Called every second: adapts to changes of the fleet. */
void aub_placer_refresh_quotas(struct aub_placer *placer, gint64 now_us);

/* Periodic exchange between gateways. */
/* Called every second. */
void aub_placer_on_round(void *context, gint64 now_us);
void aub_placer_apply_outstanding(struct aub_placer *placer,
				  const struct aub_place_outstanding *message);
void aub_placer_apply_health(struct aub_placer *placer,
			     struct aub_place_health *message);

G_END_DECLS

#endif

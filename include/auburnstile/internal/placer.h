/*
 * Placement of requests on upstreams, by a remote placer or locally.
 *
 * Each gateway has a placement for each service. The gateway that ranks first
 * for a service places for all. The others send it placement requests by
 * datagram, skip it while it doesn't answer, and place locally as a last
 * resort.
 */
#ifndef AUBURNSTILE_INTERNAL_PLACER_H
#define AUBURNSTILE_INTERNAL_PLACER_H

#include <auburnstile/internal/egress_monitor.h>
#include <auburnstile/internal/http_client.h>
#include <auburnstile/internal/peers.h>
#include <auburnstile/internal/placement.h>

G_BEGIN_DECLS

struct aub_placer;

/* The result of a placement request. Strings are valid during the callback. */
struct aub_placement_result {
	enum aub_verdict verdict;
	const char *upstream;
	const char *address;
	guint retry_after_ms;
	guint silent_after_ms; /* see struct aub_placement_decision */
	const char *placer; /* name of the gateway that decided */
	gint64 waited_us; /* from the placement request to the decision */
};
typedef void aub_placement_result_callback(
	const struct aub_placement_result *result, void *context);

struct aub_placer_options {
	const struct aub_platform *platform;
	struct aub_peers *peers;
	struct aub_http_client *client;
	struct aub_timer_service *timers;
	/* this gateway's own links; NULL: they are taken for granted */
	struct aub_egress_monitor *egress;
	guint64 incarnation;
	const char *zone;
	bool bootstrap; /* the whole fleet starts for the first time */
	struct aub_placement_limits limits; /* fleet-wide */
	struct aub_rollout_limits rollouts; /* fleet-wide */
	/*
	 * Called repeatedly until the store holds `state` for the order of
	 * `service`. `placer` is true if this process places for the service.
	 * Returns true if the store already holds the state.
	 */
	bool (*store_rollout_state)(const char *service,
				    enum aub_rollout_state state, bool placer,
				    void *context);
	void *context;
};

struct aub_placer *aub_placer_new(const struct aub_placer_options *options);
void aub_placer_free(struct aub_placer *placer);

/* Apply objects of the store. A NULL `record` removes the upstream. */
void aub_placer_configure(struct aub_placer *placer,
			  const struct aub_routing *routing);
void aub_placer_update_upstream(struct aub_placer *placer, const char *id,
				const struct aub_upstream_record *record);
void aub_placer_set_zone_evacuated(struct aub_placer *placer, const char *zone,
				   bool evacuated);

/* Called when all orders in the store have been read. */
void aub_placer_set_orders_known(struct aub_placer *placer);
/* See aub_placement_set_rollout(). */
void aub_placer_update_order(struct aub_placer *placer, const char *service,
			     const struct aub_rollout_record *record,
			     bool unreadable);
/* Called when the store has accepted `state` from this process. */
void aub_placer_on_order_stored(struct aub_placer *placer, const char *service,
				const struct aub_rollout_record *record);

/* Applies changed settings. */
void aub_placer_set_limits(struct aub_placer *placer,
			   const struct aub_placement_limits *limits);

/* Handles a peer's message and frees it. */
void aub_placer_handle_message(struct aub_placer *placer,
			       struct aub_message *message);
/* Releases the grants of a dead gateway and asks another placer instead. */
void aub_placer_on_peer_lost(struct aub_placer *placer, guint64 incarnation);

/* Returns a new ticket, unique in the fleet and never 0. */
guint64 aub_placer_new_ticket(struct aub_placer *placer);

/*
 * Requests an upstream under the new ticket `id`. The callback is called
 * exactly once, possibly before this function returns, unless
 * aub_placer_cancel() is called first.
 */
void aub_placer_request(struct aub_placer *placer, const char *service,
			const struct aub_placement_request *request, guint64 id,
			aub_placement_result_callback *callback, void *context);
/*
 * Counts an attempt that this gateway sends; `further`: an upstream has had the
 * request before.
 */
void aub_placer_count_attempt(struct aub_placer *placer, const char *service,
			      bool further);
/* Cancels a request whose caller has disconnected before the decision. */
void aub_placer_cancel(struct aub_placer *placer, guint64 ticket);
/* Reports the outcome of a granted request and invalidates the ticket. */
void aub_placer_report(struct aub_placer *placer, guint64 ticket,
		       enum aub_grant_result end, gint64 elapsed_us,
		       const struct aub_load *load);

/* An upstream's answer to a request that this gateway sent. */
struct aub_upstream_answer {
	const char *upstream;
	const char *request_id; /* for the log */
	struct aub_load load;
	gint64 sent_us; /* when the request was sent */
	gint64 rest_us; /* it asks this gateway for so much rest; 0: none */
};
/*
 * Applies what the head of an answer says of its upstream to this gateway's own
 * copy, and logs changes. The placer learns it by aub_placer_report().
 */
void aub_placer_observe_answer(struct aub_placer *placer, const char *service,
			       const struct aub_upstream_answer *answer);

/*
 * Picks an upstream to check this gateway's links with; see
 * aub_egress_monitor_options.
 */
bool aub_placer_pick_check_target(struct aub_placer *placer, const char *id,
				  const GPtrArray *used,
				  struct aub_check_target *target);
/* Applies the answer to such a check, which may ask this gateway for rest. */
void aub_placer_observe_check(struct aub_placer *placer,
			      const struct aub_check_target *target,
			      const struct aub_http_head *head);

/* An upstream as it is registered. Borrowed until the next change. */
struct aub_known_upstream {
	const char *service;
	const char *address;
	gint64 started_ms; /* of its incarnation */
	bool may_send; /* this gateway may send it new requests */
};
/* Returns false if no upstream `id` is registered. */
bool aub_placer_find_upstream(struct aub_placer *placer, const char *id,
			      struct aub_known_upstream *upstream);

/* Calls `visit` for each placement of this gateway, for the metrics. */
typedef void aub_placement_visitor(const char *service,
				   const struct aub_placement_stats *state,
				   void *context);
void aub_placer_visit(struct aub_placer *placer, aub_placement_visitor *visit,
		      void *context);

/* Returns this gateway's copy of the quotas of workspaces. Borrowed. */
struct aub_quotas *aub_placer_quotas(struct aub_placer *placer);

struct aub_placer_counts {
	guint64 requested; /* placement requests of this gateway */
	guint64 placed_here; /* as placer, for any gateway */
	/* placed locally because no placer answered */
	guint64 placed_in_fallback;
	guint64 placers_suspected; /* placers that did not answer in time */
	guint64 grants_rejected; /* own requests' grants known to be stale */
	guint64 forwarded; /* requests passed on to a higher-ranked gateway */
	guint64 probes_sent;
};
const struct aub_placer_counts *aub_placer_get_counts(
	const struct aub_placer *placer);

G_END_DECLS

#endif

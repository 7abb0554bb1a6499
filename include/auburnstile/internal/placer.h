/*
 * Upstreams for requests: asks a service's placer, or places itself.
 *
 * Each gateway holds a placement for each service. The one that ranks first
 * for a service places for all; the others ask it by datagram, pass it by
 * when it does not answer, and place on their own as the last resort.
 */
#ifndef AUBURNSTILE_INTERNAL_PLACER_H
#define AUBURNSTILE_INTERNAL_PLACER_H

#include <auburnstile/internal/http_client.h>
#include <auburnstile/internal/peers.h>
#include <auburnstile/internal/placement.h>

G_BEGIN_DECLS

struct aub_placer;

/* Whether a request got an upstream; strings are borrowed for the call. */
struct aub_placement_result {
	enum aub_verdict verdict;
	const char *upstream;
	const char *address;
	guint retry_after_ms;
	const char *placer; /* name of the gateway that decided */
	gint64 waited_us;
};
typedef void aub_placement_result_callback(
	const struct aub_placement_result *placed, void *context);

struct aub_placer_options {
	const struct aub_platform *platform;
	struct aub_peers *peers;
	struct aub_http_client *client;
	struct aub_timer_service *timers;
	guint64 incarnation;
	const char *zone;
	struct aub_placement_limits limits; /* fleet-wide */
	struct aub_rollout_limits rollouts; /* the same */
	/*
	 * The store should hold `state` for the order of `service`; called
	 * again and again. `placer`: by who places for it. True if the store
	 * holds it already.
	 */
	bool (*store_rollout_state)(const char *service,
				    enum aub_rollout_state state, bool placer,
				    void *context);
	void *context;
};

struct aub_placer *aub_placer_new(const struct aub_placer_options *options);
void aub_placer_free(struct aub_placer *placer);

/* What the store holds. */
void aub_placer_configure(struct aub_placer *placer,
			  const struct aub_routing *routing);
void aub_placer_update_upstream(struct aub_placer *placer, const char *id,
				const struct aub_upstream_record *record);
void aub_placer_set_zone_out(struct aub_placer *placer, const char *zone,
			     bool out);

/* All orders that stand in the store have been told. */
void aub_placer_set_orders_known(struct aub_placer *placer);
/* As aub_placement_order(). */
void aub_placer_update_order(struct aub_placer *placer, const char *service,
			     const struct aub_rollout_record *record,
			     bool unreadable);
/* The store has taken `state` for the order of `service` from this process. */
void aub_placer_on_order_stored(struct aub_placer *placer, const char *service,
				const struct aub_rollout_record *record);

void aub_placer_set_limits(struct aub_placer *placer,
			   const struct aub_placement_limits *limits);

/* A peer's message; owned by the callee. */
void aub_placer_handle_message(struct aub_placer *placer,
			       struct aub_message *message);
void aub_placer_on_peer_lost(struct aub_placer *placer, guint64 incarnation);

/* A new ticket, unique over the fleet; never 0. */
guint64 aub_placer_new_ticket(struct aub_placer *placer);

/*
 * Ask for an upstream under a new ticket. The callback comes exactly once,
 * possibly before this returns, unless aub_placer_cancel() came first.
 */
void aub_placer_request(struct aub_placer *placer, const char *service,
			const struct aub_ask *ask, guint64 id,
			aub_placement_result_callback *placed, void *context);
/* The caller left before the decision. */
void aub_placer_cancel(struct aub_placer *placer, guint64 ticket);
/* What became of a granted request; the ticket is spent. */
void aub_placer_report(struct aub_placer *placer, guint64 ticket,
		       enum aub_attempt_end end, gint64 elapsed_us,
		       const struct aub_load *load);

/* Visit the placements that this gateway keeps, for metrics. */
typedef void aub_placement_visitor(const char *service,
				   const struct aub_placement_state *state,
				   void *context);
void aub_placer_visit(struct aub_placer *placer, aub_placement_visitor *visit,
		      void *context);

struct aub_placer_counts {
	guint64 requested;
	guint64 placed_here; /* for this and other gateways, as placer */
	guint64 placed_in_fallback; /* no placer answered */
	guint64 suspected; /* a placer that did not answer in time */
	guint64 forwarded; /* asks, to a gateway that ranks before this one */
	guint64 probes;
};
const struct aub_placer_counts *aub_placer_get_counts(
	const struct aub_placer *placer);

G_END_DECLS

#endif

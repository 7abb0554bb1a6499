/*
 * The inside of a placer, shared by its files.
 */
#ifndef AUBURNSTILE_INTERNAL_PLACER_PARTS_H
#define AUBURNSTILE_INTERNAL_PLACER_PARTS_H

#include <auburnstile/internal/placer.h>

G_BEGIN_DECLS

/* One request of this gateway, from asking to its report. */
struct aub_ticket {
	guint64 id;
	char *service;
	struct aub_ask ask; /* its pointers are not used */
	GPtrArray *avoid; /* of char * */
	aub_placement_result_callback *callback; /* NULL once it is decided */
	void *context;
	gint64 start_us;
	guint64 asked_placer; /* incarnation of the one that was asked last */
	bool forwardable; /* whoever was asked may have passed it on */
	guint64 granted_by;
	char *upstream; /* once granted */
	guint placers_asked; /* placers so far */
	guint sends_to_placer; /* to the one asked last */
	gint64 sent_us;
	gint64 next_action_us; /* when to send again or pass it by */
	bool queued; /* the one asked says that it has it */
	bool placed_locally; /* placed here */
};

/* A service whose upstreams this gateway probes. */
struct aub_probed_service {
	gint64 all_until_us; /* as its placer, all of them */
	gint64 zone_until_us; /* for its placer, those of the own zone */
	struct aub_place_probed
		*pending_results; /* to tell the placer; or NULL */
	guint64 refused_logged; /* of the placement, as last logged */
};

void aub_probed_service_free(void *data);

struct aub_placer {
	struct aub_placer_options options;
	char *zone;
	GHashTable *placements; /* service -> struct aub_placement */
	GHashTable *service_by_upstream; /* upstream's id -> service */
	GHashTable *evacuated_zones; /* set */
	GHashTable *tickets; /* &id -> struct aub_ticket */
	GHashTable *probed_services; /* service -> struct aub_active */
	GHashTable *outstanding_reported; /* services whose holders were told of
					 grants */
	GPtrArray *probes; /* of struct probe, under way */
	guint64 ticket_serial;
	gint64 start_us; /* its start */
	bool startup_over; /* it has heard the others */
	guint tick_timer;
	guint startup_timer;
	guint round_timer;
	guint rollout_timer; /* while an order is not settled */
	gint64 rollouts_sent_us; /* their evidence, to the others */
	bool orders_known;
	guint probe_timer;
	guint report_timer;
	struct aub_placer_counts counts;
};

struct aub_placement *aub_placer_placement(struct aub_placer *placer,
					   const char *service);

#define AUB_STARTUP_CHECK_PERIOD_US (25 * AUB_MS)

/* On top of an ask's patience, for its decision to arrive. */
#define AUB_DECISION_DELIVERY_SLACK_US (150 * AUB_MS)

/* Tickets. */
void aub_ticket_free(void *data);
/* Pass a decision on to the request; the ticket ends unless it was granted. */
void aub_ticket_resolve(struct aub_placer *placer, struct aub_ticket *ticket,
			const struct aub_decision *decision, guint64 from);
void aub_ticket_send_report(struct aub_placer *placer,
			    struct aub_ticket *ticket,
			    const struct aub_attempt_report *report);
/* Ask again, or the next placer, where one did not answer in time. */
void aub_tickets_process_due(struct aub_placer *placer, gint64 now_us);

/* A report for a placement here: a slot may be free. */
void aub_placer_apply_report(struct aub_placer *placer, const char *service,
			     const struct aub_attempt_report *report);
/* A decision of a placement here, for whoever asked. */
void aub_placer_deliver(struct aub_placer *placer,
			const struct aub_decision *decision);
/* There are tickets or queues that time alone moves on. */
void aub_placer_arm_tick(struct aub_placer *placer);

/* Has it run for as long as first heartbeats take to come back? */
bool aub_placer_heartbeats_are_due(const struct aub_placer *placer,
				   gint64 now_us);
/* Has this process had the time to hear the other gateways? */
bool aub_placer_startup_is_over(const struct aub_placer *placer);
/* ... so: begin to place. */
void aub_placer_on_startup_check(void *context, gint64 now_us);

/* Decide on what is queued in `placement`, as far as there is room. */
void aub_placer_drain_queue(struct aub_placer *placer,
			    struct aub_placement *placement);

/* This gateway was asked to place for `service`: probe its upstreams. */
void aub_placer_probe_service(struct aub_placer *placer, const char *service);
/* This gateway is the prober of its zone for `service`. */
void aub_placer_probe_own_zone(struct aub_placer *placer, const char *service);
void aub_placer_apply_probe_results(struct aub_placer *placer,
				    const struct aub_place_probed *message);
/* The placer of `service` as seen from here; NULL if it is this process. */
struct aub_peer *aub_placer_peer_for(struct aub_placer *placer,
				     const char *service, gint64 now_us);
void aub_placer_stop_probes(struct aub_placer *placer);

/* Loads on their way between gateways: no figure there is negative. */
struct aub_load_told aub_load_encode(const struct aub_load *load);
struct aub_load aub_load_decode(const struct aub_load_told *encoded);

/* Orders to move services to other versions. */
void aub_placer_apply_rollout(struct aub_placer *placer,
			      struct aub_place_rollout *message);
/* Once a second, as the placer of `service`. */
void aub_placer_refresh_rollout(struct aub_placer *placer, const char *service);
/* Tell all how far the order of `service` is. */
void aub_placer_send_rollout(struct aub_placer *placer, const char *service);
/* Is this gateway the first of its zone for `service`? */
bool aub_placer_ranks_first_in_zone(struct aub_placer *placer,
				    const char *service);
/* To all gateways, by relays in other zones; `relay` is a flag in it. */
void aub_placer_send_to_zones(struct aub_placer *placer, const char *service,
			      struct aub_message *message, bool *relay);

/* What gateways tell each other now and then. */
void aub_placer_on_round(void *context, gint64 now_us);
void aub_placer_apply_outstanding(struct aub_placer *placer,
				  const struct aub_place_outstanding *message);
void aub_placer_apply_health(struct aub_placer *placer,
			     struct aub_place_health *message);

G_END_DECLS

#endif

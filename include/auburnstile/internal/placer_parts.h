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
	aub_placed_callback *placed; /* NULL once it is decided */
	void *context;
	gint64 since_us;
	guint64 placer; /* incarnation of the one that was asked last */
	bool forwardable; /* whoever was asked may have passed it on */
	guint64 granted_by;
	char *upstream; /* once granted */
	guint asked; /* placers so far */
	guint sends; /* to the one asked last */
	gint64 sent_us;
	gint64 next_us; /* when to send again or pass it by */
	bool queued; /* the one asked says that it has it */
	bool local; /* placed here */
};

/* A service whose upstreams this gateway probes. */
struct aub_active {
	gint64 until_us; /* as its placer, all of them */
	gint64 near_until_us; /* for its placer, those of the own zone */
	struct aub_place_probe_results *probed; /* to tell the placer; or NULL */
	guint64 refused; /* of the placement, as last logged */
};

void aub_active_free(void *data);

struct aub_placer {
	struct aub_placer_options options;
	char *zone;
	GHashTable *placements; /* service -> struct aub_placement */
	GHashTable *service_of; /* upstream's id -> service */
	GHashTable *zones_out; /* set */
	GHashTable *tickets; /* &id -> struct aub_ticket */
	GHashTable *active; /* service -> struct aub_active */
	GHashTable *outstanding_told; /* services whose holders were told of
					 grants */
	GPtrArray *probes; /* of struct probe, under way */
	guint64 serial;
	gint64 since_us; /* its start */
	bool settled; /* it has heard the others */
	guint tick;
	guint settle_timer;
	guint round;
	guint rollout_timer; /* while an order is not settled */
	gint64 rollouts_told_us; /* their evidence, to the others */
	bool orders_known;
	guint probe_timer;
	guint tell_timer;
	struct aub_placer_counts counts;
};

struct aub_placement *aub_placer_placement(struct aub_placer *placer,
					   const char *service);

#define AUB_SETTLE_CHECK_US (25 * AUB_MS)

/* On top of an ask's patience, for its decision to arrive. */
#define AUB_QUEUED_SLACK_US (150 * AUB_MS)

/* Tickets. */
void aub_ticket_free(void *data);
/* Pass a decision on to the request; the ticket ends unless it was granted. */
void aub_ticket_settle(struct aub_placer *placer, struct aub_ticket *ticket,
		       const struct aub_decision *decision, guint64 from);
void aub_ticket_send_report(struct aub_placer *placer,
			    struct aub_ticket *ticket,
			    const struct aub_attempt_report *report);
/* Ask again, or the next placer, where one did not answer in time. */
void aub_tickets_due(struct aub_placer *placer, gint64 now_us);

/* A report for a placement here: a slot may be free. */
void aub_placer_take_report(struct aub_placer *placer, const char *service,
			    const struct aub_attempt_report *report);
/* A decision of a placement here, for whoever asked. */
void aub_placer_deliver(struct aub_placer *placer,
			const struct aub_decision *decision);
/* There are tickets or queues that time alone moves on. */
void aub_placer_arm(struct aub_placer *placer);

/* Has it run for as long as first heartbeats take to come back? */
bool aub_placer_hears(const struct aub_placer *placer, gint64 now_us);
/* Has this process had the time to hear the other gateways? */
bool aub_placer_is_settled(const struct aub_placer *placer);
/* ... so: begin to place. */
void aub_placer_on_settle_check(void *context, gint64 now_us);

/* Decide on what is queued in `placement`, as far as there is room. */
void aub_placer_drain(struct aub_placer *placer,
		      struct aub_placement *placement);

/* This gateway was asked to place for `service`: probe its upstreams. */
void aub_placer_wake_service(struct aub_placer *placer, const char *service);
/* This gateway is the prober of its zone for `service`. */
void aub_placer_wake_near(struct aub_placer *placer, const char *service);
void aub_placer_take_probed(struct aub_placer *placer,
			    const struct aub_place_probe_results *message);
/* The placer of `service` as seen from here; NULL if it is this process. */
struct aub_peer *aub_placer_of(struct aub_placer *placer, const char *service,
			       gint64 now_us);
void aub_placer_probes_stop(struct aub_placer *placer);

/* Loads on their way between gateways: no figure there is negative. */
struct aub_reported_load aub_load_tell(const struct aub_load *load);
struct aub_load aub_load_of(const struct aub_reported_load *told);

/* Orders to move services to other versions. */
void aub_placer_take_rollout(struct aub_placer *placer,
			     struct aub_place_rollout *message);
/* Once a second, as the placer of `service`. */
void aub_placer_round_rollout(struct aub_placer *placer, const char *service);
/* Tell all how far the order of `service` is. */
void aub_placer_tell_rollout(struct aub_placer *placer, const char *service);
/* Is this gateway the first of its zone for `service`? */
bool aub_placer_is_first_of_zone(struct aub_placer *placer,
				 const char *service);
/* To all gateways, by relays in other zones; `relay` is a flag in it. */
void aub_placer_tell_zones(struct aub_placer *placer, const char *service,
			   struct aub_message *message, bool *relay);

/* What gateways tell each other now and then. */
void aub_placer_on_round(void *context, gint64 now_us);
void aub_placer_take_outstanding(struct aub_placer *placer,
				 const struct aub_place_outstanding *message);
void aub_placer_take_health(struct aub_placer *placer,
			    struct aub_place_health *message);

G_END_DECLS

#endif

/* The components of an entry, shared by entry.c and entry_shutdown.c. */
#ifndef AUBURNSTILE_INTERNAL_ENTRY_INTERNAL_H
#define AUBURNSTILE_INTERNAL_ENTRY_INTERNAL_H

#include <auburnstile/internal/entry.h>

G_BEGIN_DECLS

enum aub_entry_phase {
	ENTRY_RUNNING,
	/* Waits until other entries own its services. */
	ENTRY_RELEASING_SERVICES,
	ENTRY_FINISHING_KEYED_REQUESTS, /* waits for open keyed requests */
	ENTRY_TRANSFERRING_KEYS,
	/* Waits for the control to publish the successor. */
	ENTRY_ANNOUNCING_SUCCESSOR,
	/* Refuses requests; waits until the last answers are written. */
	ENTRY_CLOSING,
	ENTRY_STOPPED
};

struct aub_entry {
	const struct aub_entry_settings *settings;
	struct aub_hello *hello;
	struct aub_timer_service *timers;
	struct aub_event_ring *events;
	struct aub_metrics *metrics;
	struct aub_entry_view *view;
	struct aub_idempotency *idempotency;
	struct aub_dispatch_task *dispatch;
	struct aub_request_router *router;
	struct aub_relay *relay;
	struct aub_caller_server *callers;
	struct aub_admin *admin;
	/* Inventory last passed to `dispatch`; borrowed. */
	const struct aub_inventory *inventory;
	bool local_only;

	guint load_timer;
	guint states_timer;
	gint64 processor_time_us; /* processor time at the last sample */

	enum aub_entry_phase phase;
	guint stop_timer;
	gint64 stop_deadline_us;
	gint64 phase_started_us; /* start of the current phase */
	guint64 successor;
	aub_entry_stopped *stopped;
	void *stopped_context;
};

G_END_DECLS

#endif

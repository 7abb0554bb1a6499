/*
 * The parts of an entry, for the files that put it together and stop it.
 */
#ifndef AUBURNSTILE_INTERNAL_ENTRY_PARTS_H
#define AUBURNSTILE_INTERNAL_ENTRY_PARTS_H

#include <auburnstile/internal/entry.h>

G_BEGIN_DECLS

enum entry_phase {
	ENTRY_RUNNING,
	ENTRY_MOVING, /* waits for others to own its services */
	ENTRY_FINISHING, /* waits for keyed requests to end */
	ENTRY_HANDING_OVER,
	ENTRY_ANNOUNCING, /* waits for the control to hear of the heir */
	ENTRY_CLOSING, /* refuses; waits for the last answers to be written */
	ENTRY_STOPPED
};

struct aub_entry {
	const struct aub_entry_settings *settings;
	struct aub_hello *hello;
	struct aub_timer_service *timers;
	struct aub_event_ring *events;
	struct aub_metrics *metrics;
	struct aub_entry_view *view;
	struct aub_keeper *keeper;
	struct aub_dispatch_task *dispatch;
	struct aub_front *front;
	struct aub_relay *relay;
	struct aub_caller_server *callers;
	struct aub_admin *admin;
	const struct aub_inventory *inventory; /* borrowed: last configured */
	bool local_only;

	guint second_timer;
	guint states_timer;
	gint64 busy_us; /* processor time at the last look */

	enum entry_phase phase;
	guint stop_timer;
	gint64 stop_by_us;
	gint64 phase_us; /* start of this phase */
	guint64 successor;
	aub_entry_stopped *stopped;
	void *stopped_context;
};

G_END_DECLS

#endif

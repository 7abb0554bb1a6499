/*
 * The planned stop of an entry in phases: other entries take over its services,
 * running requests finish, its keys are transferred to a successor, and callers
 * move to other entries.
 *
 * Each phase may take part of the remaining time; at the deadline of the whole
 * stop the entry stops in any phase.
 */
#include <auburnstile/internal/entry_internal.h>
#include <auburnstile/log.h>

#define TICK_INTERVAL_US (20 * AUB_MS)

/*
 * Time for callers to notice the header Auburnstile-Addresses-Stale and move to
 * other entries before new keys are refused, and time for the control to
 * publish the successor to other members.
 */
#define CALLER_NOTICE_US (500 * AUB_MS)
#define SUCCESSOR_ANNOUNCE_US (700 * AUB_MS)

static gint64 now(const struct aub_entry *entry)
{
	return aub_timer_now(entry->timers);
}

static void set_phase(struct aub_entry *entry, enum aub_entry_phase phase,
		      const char *text)
{
	entry->phase = phase;
	entry->phase_started_us = now(entry);
	aub_log_info("stop: %s", text);
	aub_event_record_simple(entry->events, AUB_EVENT_STOPPING, 0, phase,
				NULL, text);
}

static void on_keys_transferred(guint64 successor, void *context)
{
	struct aub_entry *entry = context;

	entry->successor = successor;
	aub_entry_view_set_successor(entry->view, successor);
	set_phase(entry, ENTRY_ANNOUNCING_SUCCESSOR,
		  successor ? "announce successor" : "no successor");
}

/* Returns true once the phase has used half of the time left for the stop. */
static bool phase_time_is_over(const struct aub_entry *entry, gint64 now_us)
{
	return now_us - entry->phase_started_us >
	       (entry->stop_deadline_us - entry->phase_started_us) / 2;
}

static bool services_released(const struct aub_entry *entry, gint64 now_us)
{
	return !aub_request_router_owned_services(entry->router) &&
	       now_us - entry->phase_started_us >= CALLER_NOTICE_US;
}

static bool is_idle(const struct aub_entry *entry)
{
	return !aub_request_router_pending(entry->router) &&
	       !aub_caller_server_active(entry->callers) &&
	       !aub_dispatch_task_pending(entry->dispatch);
}

static void finish_stop(struct aub_entry *entry, const char *text)
{
	set_phase(entry, ENTRY_STOPPED, text);
	aub_timer_cancel(entry->timers, entry->stop_timer);
	entry->stop_timer = 0;
	entry->stopped(entry->stopped_context);
}

static void advance(struct aub_entry *entry, gint64 now_us)
{
	switch (entry->phase) {
	case ENTRY_RELEASING_SERVICES:
		if (!services_released(entry, now_us) &&
		    !phase_time_is_over(entry, now_us))
			return;
		aub_idempotency_close(entry->idempotency);
		set_phase(entry, ENTRY_FINISHING_KEYED_REQUESTS,
			  "finish keyed requests");
		break;
	case ENTRY_FINISHING_KEYED_REQUESTS:
		if (aub_request_router_running_keys(entry->router) &&
		    !phase_time_is_over(entry, now_us))
			return;
		set_phase(entry, ENTRY_TRANSFERRING_KEYS, "transfer keys");
		aub_idempotency_transfer(entry->idempotency, entry->relay,
					 on_keys_transferred, entry);
		break;
	case ENTRY_ANNOUNCING_SUCCESSOR:
		if (now_us - entry->phase_started_us < SUCCESSOR_ANNOUNCE_US)
			return;
		aub_request_router_close(entry->router);
		set_phase(entry, ENTRY_CLOSING, "write last answers");
		break;
	case ENTRY_CLOSING:
		if (is_idle(entry) && aub_entry_view_flushed(entry->view) &&
		    now_us - entry->phase_started_us >= 2 * TICK_INTERVAL_US)
			finish_stop(entry, "all requests finished");
		break;
	case ENTRY_RUNNING:
	case ENTRY_TRANSFERRING_KEYS:
	case ENTRY_STOPPED:
		break;
	}
}

static void on_tick(void *context, gint64 now_us)
{
	struct aub_entry *entry = context;

	if (now_us >= entry->stop_deadline_us) {
		aub_log_warning(
			"stop: deadline reached, aborting %u requests on "
			"%u connections",
			aub_request_router_pending(entry->router),
			aub_caller_server_active(entry->callers));
		finish_stop(entry, "deadline reached");
	} else
		advance(entry, now_us);
}

void aub_entry_stop(struct aub_entry *entry, aub_entry_stopped *stopped,
		    void *context)
{
	if (entry->phase != ENTRY_RUNNING)
		return;
	entry->stopped = stopped;
	entry->stopped_context = context;
	entry->stop_deadline_us =
		now(entry) + entry->settings->stop_ms * AUB_MS;
	set_phase(entry, ENTRY_RELEASING_SERVICES, "redirect callers");
	aub_request_router_stop(entry->router);
	aub_entry_view_set_stopping(entry->view);
	entry->stop_timer = aub_timer_every(entry->timers, "stop",
					    TICK_INTERVAL_US, on_tick, entry);
}

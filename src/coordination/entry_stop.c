/*
 * The planned stop of an entry, step by step: others own its services, what
 * runs ends, its keys go to an heir, its callers are elsewhere.
 *
 * Each step has a share of the time; the last one ends it in any case.
 */
#include <auburnstile/internal/entry_parts.h>
#include <auburnstile/log.h>

#define TICK_US (20 * AUB_MS)

/*
 * Time callers have to notice the stale mark and go elsewhere before new
 * keys are refused, and for the control to tell the others of the heir.
 */
#define NOTICE_US (500 * AUB_MS)
#define ANNOUNCE_US (700 * AUB_MS)

static gint64 now(const struct aub_entry *entry)
{
	return aub_timer_now(entry->timers);
}

static void enter(struct aub_entry *entry, enum entry_phase phase,
		  const char *text)
{
	entry->phase = phase;
	entry->phase_us = now(entry);
	aub_log_info("stop: %s", text);
	aub_event_record_simple(entry->events, AUB_EVENT_STOPPING, 0, phase, NULL, text);
}

static void on_handed_over(guint64 successor, void *context)
{
	struct aub_entry *entry = context;

	entry->successor = successor;
	aub_entry_view_set_heir(entry->view, successor);
	enter(entry, ENTRY_ANNOUNCING, successor ? "announce heir" : "no heir");
}

/* A share of the time that is left for the whole stop. */
static bool used_up(const struct aub_entry *entry, gint64 now_us)
{
	return now_us - entry->phase_us >
	       (entry->stop_by_us - entry->phase_us) / 2;
}

static bool others_own(const struct aub_entry *entry, gint64 now_us)
{
	return !aub_front_owned(entry->front) &&
	       now_us - entry->phase_us >= NOTICE_US;
}

static bool nothing_inside(const struct aub_entry *entry)
{
	return !aub_front_pending(entry->front) &&
	       !aub_caller_server_busy(entry->callers) &&
	       !aub_dispatch_task_pending(entry->dispatch);
}

static void end(struct aub_entry *entry, const char *text)
{
	enter(entry, ENTRY_STOPPED, text);
	aub_timer_cancel(entry->timers, entry->stop_timer);
	entry->stop_timer = 0;
	entry->stopped(entry->stopped_context);
}

static void step(struct aub_entry *entry, gint64 now_us)
{
	switch (entry->phase) {
	case ENTRY_MOVING:
		if (!others_own(entry, now_us) && !used_up(entry, now_us))
			return;
		aub_keeper_close(entry->keeper);
		enter(entry, ENTRY_FINISHING, "finish keyed requests");
		break;
	case ENTRY_FINISHING:
		if (aub_front_keeping(entry->front) && !used_up(entry, now_us))
			return;
		enter(entry, ENTRY_HANDING_OVER, "hand keys over");
		aub_keeper_hand_over(entry->keeper, entry->relay,
				     on_handed_over, entry);
		break;
	case ENTRY_ANNOUNCING:
		if (now_us - entry->phase_us < ANNOUNCE_US)
			return;
		aub_front_close(entry->front);
		enter(entry, ENTRY_CLOSING, "last answers");
		break;
	case ENTRY_CLOSING:
		if (nothing_inside(entry) &&
		    aub_entry_view_flushed(entry->view) &&
		    now_us - entry->phase_us >= 2 * TICK_US)
			end(entry, "in order");
		break;
	case ENTRY_RUNNING:
	case ENTRY_HANDING_OVER:
	case ENTRY_STOPPED:
		break;
	}
}

static void on_tick(void *context, gint64 now_us)
{
	struct aub_entry *entry = context;

	if (now_us >= entry->stop_by_us) {
		aub_log_warning("stop: cut off %u requests, %u connections",
				aub_front_pending(entry->front),
				aub_caller_server_busy(entry->callers));
		end(entry, "time is up");
	} else
		step(entry, now_us);
}

void aub_entry_stop(struct aub_entry *entry, aub_entry_stopped *stopped,
		    void *context)
{
	if (entry->phase != ENTRY_RUNNING)
		return;
	entry->stopped = stopped;
	entry->stopped_context = context;
	entry->stop_by_us = now(entry) + entry->settings->stop_ms * AUB_MS;
	enter(entry, ENTRY_MOVING, "turn callers away");
	aub_front_stop(entry->front);
	aub_entry_view_set_stopping(entry->view);
	entry->stop_timer =
		aub_timer_every(entry->timers, "stop", TICK_US, on_tick, entry);
}

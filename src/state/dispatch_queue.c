/*
 * The bounded FIFO queue of one service, and the timers of its requests.
 *
 * A request that failed before it ran goes back to the head of the queue, since
 * it has waited longer than all others.
 */
#include <auburnstile/internal/dispatch_internal.h>

/*
 * Returns the time in us after which the queue will be empty at the current
 * drain rate.
 */
gint64 dispatch_queue_drain_us(const struct aub_dispatcher *dispatcher,
			       gint64 now_us)
{
	guint slots = upstream_total_allowed(dispatcher, now_us);

	if (!slots)
		slots = 1;
	return (gint64)dispatcher->queue.length * dispatcher->mean_us / slots;
}

/*
 * Returns true if the request cannot be answered in time. Its caller would give
 * up and the work of the slot would be wasted. With other requests ahead, the
 * time left has to cover the drain time of the queue plus a slow answer. With
 * an empty queue the request is always tried; otherwise an estimate that is too
 * high would refuse everything and never be corrected.
 */
bool dispatch_cannot_meet_deadline(const struct aub_dispatcher *dispatcher,
				   const struct aub_dispatch_request *request,
				   gint64 now_us)
{
	gint64 left_us = request->deadline_us - now_us;

	if (left_us <= 0)
		return true;
	if (!dispatcher->queue.length)
		return false;
	return dispatch_queue_drain_us(dispatcher, now_us) +
		       dispatcher->tail_latency_us >
	       left_us;
}

static gint compare_timers(gconstpointer a, gconstpointer b, gpointer context)
{
	const struct request *left = a;
	const struct request *right = b;

	if (left->timer_us != right->timer_us)
		return left->timer_us < right->timer_us ? -1 : 1;
	if (left->id != right->id)
		return left->id < right->id ? -1 : 1;
	return 0;
}

void dispatch_timer_clear(struct aub_dispatcher *dispatcher,
			  struct request *request)
{
	if (!request->timer)
		return;
	g_sequence_remove(request->timer);
	request->timer = NULL;
}

void dispatch_timer_set(struct aub_dispatcher *dispatcher,
			struct request *request, gint64 at_us)
{
	dispatch_timer_clear(dispatcher, request);
	request->timer_us = at_us;
	request->timer = g_sequence_insert_sorted(dispatcher->timers, request,
						  compare_timers, NULL);
}

/* Removes and returns a request whose timer is due; NULL if there is none. */
struct request *dispatch_timer_pop_due(struct aub_dispatcher *dispatcher,
				       gint64 now_us)
{
	GSequenceIter *first = g_sequence_get_begin_iter(dispatcher->timers);
	struct request *request;

	if (g_sequence_iter_is_end(first))
		return NULL;
	request = g_sequence_get(first);
	if (request->timer_us > now_us)
		return NULL;
	dispatch_timer_clear(dispatcher, request);
	return request;
}

void dispatch_enqueue(struct aub_dispatcher *dispatcher,
		      struct request *request, bool at_head)
{
	gint64 left_us = request->deadline_us - request->arrived_us;
	gint64 needed_us = MIN(dispatcher->mean_us, left_us / 2);

	request->queued = true;
	if (at_head)
		g_queue_push_head_link(&dispatcher->queue, &request->link);
	else
		g_queue_push_tail_link(&dispatcher->queue, &request->link);
	dispatch_timer_set(dispatcher, request,
			   request->deadline_us - needed_us);
}

void dispatch_dequeue(struct aub_dispatcher *dispatcher,
		      struct request *request)
{
	g_queue_unlink(&dispatcher->queue, &request->link);
	request->queued = false;
	dispatch_timer_clear(dispatcher, request);
}

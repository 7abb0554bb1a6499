/* Checks the dispatcher's invariants, for tests. */
#include <auburnstile/internal/dispatch_internal.h>

static void check_attempt(const struct request *request,
			  const struct attempt *attempt)
{
	g_assert(attempt->request == request);
	g_assert(attempt->number >= 1);
	g_assert(attempt->number <= request->attempts);
	g_assert(g_list_find(attempt->upstream->running.head, attempt));
	if (request->finished)
		g_assert(attempt->cancelled);
}

/* A request is queued, has active attempts, or is finished. */
static void check_request(const struct aub_dispatcher *dispatcher,
			  const struct request *request)
{
	g_assert(request->queued ==
		 (g_list_find(dispatcher->queue.head, request) != NULL));
	if (request->queued)
		g_assert(!request->finished && request->timer);
	if (request->finished)
		g_assert(!request->timer && request->running->len);
	if (!request->finished)
		g_assert(request->queued !=
			 (request_active_attempts(request) > 0));
	if (request->at_most_once)
		g_assert(request->running->len <= 1);
	for (guint i = 0; i < request->running->len; i++)
		check_attempt(request, request->running->pdata[i]);
}

static void check_upstream(const struct upstream *upstream)
{
	gint64 before = G_MININT64;

	for (GList *l = upstream->running.head; l; l = l->next) {
		const struct attempt *attempt = l->data;

		g_assert(attempt->upstream == upstream);
		g_assert(attempt->sent_us >= before);
		before = attempt->sent_us;
	}
	g_assert(upstream->concurrency_limit <= upstream->slots);
	if (upstream->handle == AUB_NO_HANDLE)
		g_assert(!upstream->accepts_new);
}

void aub_dispatcher_check_invariants(const struct aub_dispatcher *dispatcher)
{
	GHashTableIter iter;
	gpointer value;
	guint attempts = 0;
	guint running = 0;
	guint timers = 0;

	g_hash_table_iter_init(&iter, dispatcher->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct request *request = value;

		check_request(dispatcher, request);
		attempts += request->running->len;
		timers += request->timer ? 1 : 0;
	}
	for (guint i = 0; i < dispatcher->upstreams->len; i++) {
		check_upstream(upstream_at(dispatcher, i));
		running += upstream_in_flight(upstream_at(dispatcher, i));
	}
	g_assert_cmpuint(attempts, ==, running);
	g_assert_cmpuint(timers, ==,
			 (guint)g_sequence_get_length(dispatcher->timers));
	g_assert(dispatcher->probes.tokens >= 0);
	g_assert(dispatcher->probes.tokens <= dispatcher->probes.capacity);
}

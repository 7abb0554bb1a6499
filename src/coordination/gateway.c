/*
 * A gateway: accepting callers' connections, and its start and end. What goes
 * on inside a connection is in gateway_caller.c.
 */
#include <auburnstile/internal/gateway_parts.h>
#include <auburnstile/internal/tcp.h>

#include <string.h>
#include <unistd.h>

#define SWEEP_US (500 * AUB_MS) /* how late a silent connection is closed */
#define ACCEPTS_A_TURN 32

#define HEADER_BYTES_DEFAULT (16u << 10) /* until a configuration is known */

/* Of 4,100 descriptors, what upstreams, peers and the store don't need. */
#define CALLERS_MOST 2500

static guint header_bytes(const struct aub_gateway *gateway)
{
	return gateway->routing ? gateway->routing->limits.header_bytes :
				  HEADER_BYTES_DEFAULT;
}

static void on_acceptable(void *context, guint events)
{
	struct aub_gateway *gateway = context;

	for (guint i = 0; i < ACCEPTS_A_TURN; i++) {
		int fd = aub_tcp_accept(gateway->listener);

		if (fd < 0)
			return;
		if (gateway->callers.length >= CALLERS_MOST) {
			close(fd);
			continue;
		}
		aub_caller_new(gateway, fd, header_bytes(gateway));
	}
}

static void on_sweep(void *context, gint64 now_us)
{
	struct aub_gateway *gateway = context;
	GList *link = gateway->callers.head;

	while (link) {
		struct aub_caller *caller = link->data;

		link = link->next;
		if (aub_caller_is_overdue(caller, now_us))
			aub_caller_free(caller);
	}
	aub_http_client_close_expired(gateway->options.client, now_us);
}

static void register_metrics(struct aub_gateway *gateway)
{
	struct aub_metrics *metrics = gateway->options.metrics;

	gateway->attempts =
		aub_metrics_counter(metrics, "auburnstile_attempts_total", NULL,
				    "tries at upstreams");
	gateway->retries =
		aub_metrics_counter(metrics, "auburnstile_retries_total", NULL,
				    "tries after a failed one");
}

/* Services and reasons are few, however many routes there are. */
void aub_gateway_count(struct aub_gateway *gateway, const char *service,
		       enum aub_request_counter counter, const char *reason,
		       gint64 elapsed_us)
{
	static const char *const outcomes[AUB_REQUEST_COUNTERS] = {
		[AUB_COUNT_ANSWERED] = "answered",
		[AUB_COUNT_REFUSED] = "refused",
		[AUB_COUNT_FAILED] = "failed",
		[AUB_COUNT_DENIED] = "denied",
		[AUB_COUNT_GONE] = "caller-left",
		[AUB_COUNT_BROKEN] = "broken",
	};
	struct aub_metrics *metrics = gateway->options.metrics;
	char *label =
		aub_metrics_labels("service", service, "outcome",
				   outcomes[counter], "reason", reason, NULL);
	char *of_service = aub_metrics_labels("service", service, NULL);

	aub_metrics_add(metrics,
			aub_metrics_counter(metrics,
					    "auburnstile_requests_total", label,
					    "requests by what became of them"),
			1);
	aub_metrics_observe(
		metrics,
		aub_metrics_histogram(metrics, "auburnstile_request_us",
				      of_service,
				      "from a request's head to its answer"),
		elapsed_us);
	g_free(label);
	g_free(of_service);
}

struct aub_gateway *aub_gateway_new(const struct aub_gateway_options *options,
				    GError **error)
{
	int listener = aub_tcp_listen(options->address, error);
	struct aub_gateway *gateway;

	if (listener < 0)
		return NULL;
	gateway = g_new0(struct aub_gateway, 1);
	gateway->options = *options;
	gateway->listener = listener;
	g_queue_init(&gateway->callers);
	gateway->crashes = aub_crash_marks_new();
	register_metrics(gateway);
	gateway->watch = aub_poller_add(options->poller, listener, EPOLLIN,
					on_acceptable, gateway);
	gateway->sweep = aub_timer_every(options->timers, "sweep", SWEEP_US,
					 on_sweep, gateway);
	return gateway;
}

void aub_gateway_free(struct aub_gateway *gateway)
{
	if (!gateway)
		return;
	aub_timer_cancel(gateway->options.timers, gateway->sweep);
	for (GList *link = gateway->callers.head; link;) {
		struct aub_caller *caller = link->data;

		link = link->next;
		aub_caller_free(caller);
	}
	if (!gateway->closed) {
		aub_poll_watch_remove(gateway->watch);
		close(gateway->listener);
	}
	aub_crash_marks_free(gateway->crashes);
	aub_routing_unref(gateway->routing);
	g_free(gateway);
}

void aub_gateway_configure(struct aub_gateway *gateway,
			   struct aub_routing *routing)
{
	aub_routing_inherit(routing, gateway->routing);
	aub_routing_unref(gateway->routing);
	gateway->routing = aub_routing_ref(routing);
}

void aub_gateway_learn_crash(struct aub_gateway *gateway, guint64 fingerprint,
			     guint deaths)
{
	aub_crash_marks_learn(gateway->crashes, fingerprint, deaths,
			      aub_timer_now(gateway->options.timers));
}

void aub_gateway_stop(struct aub_gateway *gateway)
{
	gateway->stopping = true;
}

void aub_gateway_close(struct aub_gateway *gateway)
{
	if (!gateway->closed) {
		gateway->closed = true;
		aub_poll_watch_remove(gateway->watch);
		close(gateway->listener);
	}
	for (GList *link = gateway->callers.head; link; link = link->next) {
		struct aub_caller *caller = link->data;

		if (aub_caller_is_idle(caller))
			aub_caller_finish(caller);
	}
}

guint aub_gateway_requests(const struct aub_gateway *gateway)
{
	return gateway->requests;
}

guint aub_gateway_connections(const struct aub_gateway *gateway)
{
	return gateway->callers.length;
}

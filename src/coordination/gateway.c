/*
 * Start and end of a gateway, and accepting callers' connections. The
 * connections themselves are handled in gateway_caller.c.
 */
#include <auburnstile/internal/gateway_internal.h>
#include <auburnstile/internal/tcp.h>

#include <string.h>
#include <unistd.h>

/* maximum delay in closing a connection that has timed out */
#define SWEEP_PERIOD_US (500 * AUB_MS)
#define ACCEPTS_PER_WAKEUP 32
/* What another gateway adds to a caller's head. */
#define RELAY_HEADER_BYTES 1024u

/* Used until a configuration is known. */
#define HEADER_BYTES_DEFAULT (16u << 10)

/*
 * Of 4,100 file descriptors, those not needed for upstreams, peers and the
 * store.
 */
#define CALLER_CONNECTIONS_MAX 2500

static guint max_header_bytes(const struct aub_gateway *gateway, bool is_peer)
{
	guint limit = gateway->routing ? gateway->routing->limits.header_bytes :
					 HEADER_BYTES_DEFAULT;

	return limit + (is_peer ? RELAY_HEADER_BYTES : 0);
}

static void accept_connections(struct aub_gateway *gateway, int listener,
			       bool are_peers)
{
	guint header_bytes = max_header_bytes(gateway, are_peers);

	for (guint i = 0; i < ACCEPTS_PER_WAKEUP; i++) {
		int fd = aub_tcp_accept(listener);

		if (fd < 0)
			return;
		if (gateway->callers.length >= CALLER_CONNECTIONS_MAX) {
			close(fd);
			continue;
		}
		aub_caller_new(gateway, fd, header_bytes, are_peers);
	}
}

static void on_listener_readable(void *context, guint events)
{
	struct aub_gateway *gateway = context;

	accept_connections(gateway, gateway->listener, false);
}

static void on_relay_listener_readable(void *context, guint events)
{
	struct aub_gateway *gateway = context;

	accept_connections(gateway, gateway->relay_listener, true);
}

static void on_sweep(void *context, gint64 now_us)
{
	struct aub_gateway *gateway = context;
	GList *link = gateway->callers.head;

	while (link) {
		struct aub_caller *caller = link->data;

		link = link->next;
		if (aub_caller_has_timed_out(caller, now_us))
			aub_caller_free(caller);
	}
	aub_http_client_close_expired(gateway->options.client, now_us);
}

static void register_metrics(struct aub_gateway *gateway)
{
	struct aub_metrics *metrics = gateway->options.metrics;

	gateway->attempts_counter = aub_metrics_counter(
		metrics, "auburnstile_attempts_total", NULL,
		"attempts to send a request to an upstream");
	gateway->retries_counter =
		aub_metrics_counter(metrics, "auburnstile_retries_total", NULL,
				    "attempts after a failed one");
	gateway->replacements_counter = aub_metrics_counter(
		metrics, "auburnstile_attempts_replaced_total", NULL,
		"attempts cancelled for another one since the upstream was "
		"silent");
	gateway->relayed_counter = aub_metrics_counter(
		metrics, "auburnstile_relayed_total", NULL,
		"requests sent to an upstream for another gateway");
	gateway->relay_attempts_counter =
		aub_metrics_counter(metrics, "auburnstile_relay_attempts_total",
				    NULL,
				    "attempts sent through another gateway");
}

/*
 * Labels are services and reasons, not routes: their number stays small however
 * many routes there are.
 */
void aub_gateway_count_request(struct aub_gateway *gateway, const char *service,
			       enum aub_request_outcome outcome,
			       const char *reason, gint64 elapsed_us)
{
	static const char *const outcomes[AUB_REQUEST_OUTCOMES] = {
		[AUB_REQUEST_ANSWERED] = "answered",
		[AUB_REQUEST_REFUSED] = "refused",
		[AUB_REQUEST_FAILED] = "failed",
		[AUB_REQUEST_DENIED] = "denied",
		[AUB_REQUEST_CALLER_CLOSED] = "caller-left",
		[AUB_REQUEST_TRUNCATED] = "broken",
	};
	struct aub_metrics *metrics = gateway->options.metrics;
	char *label =
		aub_metrics_labels("service", service, "outcome",
				   outcomes[outcome], "reason", reason, NULL);
	char *service_label = aub_metrics_labels("service", service, NULL);

	aub_metrics_add(metrics,
			aub_metrics_counter(
				metrics, "auburnstile_requests_total", label,
				"finished requests by outcome and reason"),
			1);
	aub_metrics_observe(metrics,
			    aub_metrics_histogram(
				    metrics, "auburnstile_request_us",
				    service_label,
				    "time from a request's head to its answer"),
			    elapsed_us);
	g_free(label);
	g_free(service_label);
}

struct aub_gateway *aub_gateway_new(const struct aub_gateway_options *options,
				    GError **error)
{
	int listener = aub_tcp_listen(options->address, error);
	struct aub_gateway *gateway;
	int relay_listener;

	if (listener < 0)
		return NULL;
	relay_listener = aub_tcp_listen(options->relay_address, error);
	if (relay_listener < 0) {
		close(listener);
		return NULL;
	}
	gateway = g_new0(struct aub_gateway, 1);
	gateway->options = *options;
	gateway->listener = listener;
	gateway->relay_listener = relay_listener;
	gateway->unconfirmed_crashes = aub_unconfirmed_crashes_new();
	/* Gateways that lose their links together begin with different ones. */
	gateway->relay_turn =
		(guint)aub_peers_self(options->peers)->incarnation;
	g_queue_init(&gateway->callers);
	gateway->crash_counts = aub_crash_counts_new();
	register_metrics(gateway);
	gateway->watch = aub_poller_add(options->poller, listener, EPOLLIN,
					on_listener_readable, gateway);
	gateway->relay_watch =
		aub_poller_add(options->poller, relay_listener, EPOLLIN,
			       on_relay_listener_readable, gateway);
	gateway->sweep_timer =
		aub_timer_every(options->timers, "sweep", SWEEP_PERIOD_US,
				on_sweep, gateway);
	return gateway;
}

void aub_gateway_close_listeners(struct aub_gateway *gateway)
{
	if (gateway->listener_closed)
		return;
	gateway->listener_closed = true;
	aub_poll_watch_remove(gateway->watch);
	aub_poll_watch_remove(gateway->relay_watch);
	close(gateway->listener);
	close(gateway->relay_listener);
}

void aub_gateway_free(struct aub_gateway *gateway)
{
	if (!gateway)
		return;
	aub_timer_cancel(gateway->options.timers, gateway->sweep_timer);
	for (GList *link = gateway->callers.head; link;) {
		struct aub_caller *caller = link->data;

		link = link->next;
		aub_caller_free(caller);
	}
	aub_gateway_close_listeners(gateway);
	g_array_unref(gateway->unconfirmed_crashes);
	aub_crash_counts_free(gateway->crash_counts);
	aub_routing_unref(gateway->routing);
	g_free(gateway);
}

void aub_gateway_configure(struct aub_gateway *gateway,
			   struct aub_routing *routing)
{
	aub_routing_copy_statistics(routing, gateway->routing);
	aub_routing_unref(gateway->routing);
	gateway->routing = aub_routing_ref(routing);
	for (GList *link = gateway->callers.head; link; link = link->next) {
		const struct aub_caller *caller = link->data;

		aub_http_stream_set_head_limit(
			caller->stream,
			max_header_bytes(gateway, caller->is_peer));
	}
}

void aub_gateway_add_reported_crashes(struct aub_gateway *gateway,
				      guint64 fingerprint, guint crash_count)
{
	aub_crash_counts_merge(gateway->crash_counts, fingerprint, crash_count,
			       aub_timer_now(gateway->options.timers));
}

guint aub_gateway_active_requests(const struct aub_gateway *gateway)
{
	return gateway->active_requests;
}

guint aub_gateway_open_connections(const struct aub_gateway *gateway)
{
	return gateway->callers.length;
}

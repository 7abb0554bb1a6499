/* The proxy's connections; see proxy.h. */
#include "proxy/proxy.h"

#include "common/tool.h"

#include <auburnstile/error.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#define CHUNK_BYTES 16384
#define BUFFER_BYTES 262144 /* held back for one way at most */

struct chunk {
	gint64 due_us;
	gsize length;
	gsize sent;
	char data[];
};

struct proxy_pair;

/* One way of a pair. */
struct flow {
	struct proxy_pair *pair;
	enum proxy_way way;
	GSocket *from; /* borrowed */
	GSocket *to; /* borrowed */
	GSource *reading;
	GSource *writing;
	GSource *timer;
	GQueue chunks; /* of struct chunk, owned */
	gsize buffered;
	gint64 last_due_us;
	gint64 passed; /* bytes taken in */
	bool ended; /* `from` will send no more */
	bool closed; /* `to` was told so */
};

struct proxy_pair {
	struct proxy_route *route;
	GSocket *ends[PROXY_WAYS]; /* the connecting end, the target's */
	struct flow flows[PROXY_WAYS];
	GSource *connecting;
	bool silent; /* for good */
};

static void source_clear(GSource **source)
{
	if (!*source)
		return;
	g_source_destroy(*source);
	g_source_unref(*source);
	*source = NULL;
}

static void pair_free(void *data)
{
	struct proxy_pair *pair = data;
	struct flow *flow;
	int way;

	source_clear(&pair->connecting);
	for (way = 0; way < PROXY_WAYS; way++) {
		flow = &pair->flows[way];
		source_clear(&flow->reading);
		source_clear(&flow->writing);
		source_clear(&flow->timer);
		g_queue_clear_full(&flow->chunks, g_free);
		g_socket_close(pair->ends[way], NULL);
		g_object_unref(pair->ends[way]);
	}
	g_free(pair);
}

static void pair_end(struct proxy_pair *pair, bool reset)
{
	int way;

	for (way = 0; reset && way < PROXY_WAYS; way++)
		tool_socket_reset_on_close(pair->ends[way]);
	g_ptr_array_remove_fast(pair->route->pairs, pair);
}

static bool is_silent(const struct flow *flow)
{
	return flow->pair->silent || flow->pair->route->fault.silent[flow->way];
}

static void flow_read(struct flow *flow);
static bool flow_write(struct flow *flow);

static gboolean on_writable(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	struct flow *flow = data;

	source_clear(&flow->writing);
	flow_write(flow);
	return G_SOURCE_REMOVE;
}

static gboolean on_due(gpointer data)
{
	struct flow *flow = data;

	source_clear(&flow->timer);
	flow_write(flow);
	return G_SOURCE_REMOVE;
}

static void wait_writable(struct flow *flow)
{
	flow->writing = g_socket_create_source(flow->to, G_IO_OUT, NULL);
	g_source_set_callback(flow->writing, G_SOURCE_FUNC(on_writable), flow,
			      NULL);
	g_source_attach(flow->writing, NULL);
}

static void wait_due(struct flow *flow, gint64 delay_us)
{
	flow->timer = g_timeout_source_new((guint)(delay_us / 1000 + 1));
	g_source_set_callback(flow->timer, on_due, flow, NULL);
	g_source_attach(flow->timer, NULL);
}

/* After the last byte, passes the close on; false when the pair is gone. */
static bool flow_drained(struct flow *flow)
{
	struct proxy_pair *pair = flow->pair;

	if (!flow->ended || flow->closed || is_silent(flow))
		return true;
	flow->closed = true;
	g_socket_shutdown(flow->to, FALSE, TRUE, NULL);
	if (!pair->flows[PROXY_UP].closed || !pair->flows[PROXY_DOWN].closed)
		return true;
	pair_end(pair, false);
	return false;
}

/* Sends what is due. False when the pair is gone. */
static bool flow_write(struct flow *flow)
{
	struct chunk *chunk;
	GError *error = NULL;
	gint64 early_us;
	gssize sent;

	if (flow->writing || flow->timer || flow->pair->connecting)
		return true;
	while (!g_queue_is_empty(&flow->chunks)) {
		chunk = g_queue_peek_head(&flow->chunks);
		early_us = chunk->due_us - g_get_monotonic_time();
		if (early_us > 0) {
			wait_due(flow, early_us);
			return true;
		}
		sent = g_socket_send(flow->to, chunk->data + chunk->sent,
				     chunk->length - chunk->sent, NULL, &error);
		if (sent < 0) {
			bool blocked = g_error_matches(error, G_IO_ERROR,
						       G_IO_ERROR_WOULD_BLOCK);

			g_error_free(error);
			if (blocked)
				wait_writable(flow);
			else
				pair_end(flow->pair, true);
			return blocked;
		}
		chunk->sent += sent;
		flow->buffered -= sent;
		if (chunk->sent == chunk->length)
			g_free(g_queue_pop_head(&flow->chunks));
	}
	flow_read(flow);
	return flow_drained(flow);
}

/* Puts bytes in line; false when the truncation ended the pair. */
static bool flow_take(struct flow *flow, const char *data, gsize length)
{
	struct proxy_route *route = flow->pair->route;
	gint64 limit = route->fault.truncate[flow->way];
	gint64 throttle = route->fault.throttle;
	gint64 now = g_get_monotonic_time();
	struct chunk *chunk;

	if (is_silent(flow))
		return true;
	if (limit >= 0 && flow->passed + (gint64)length >= limit) {
		length = MAX(limit - flow->passed, 0);
		g_socket_send(flow->to, data, length, NULL, NULL);
		pair_end(flow->pair, false);
		return false;
	}
	chunk = g_malloc(sizeof(*chunk) + length);
	memcpy(chunk->data, data, length);
	chunk->length = length;
	chunk->sent = 0;
	chunk->due_us = now + route->fault.delay_ms * (gint64)1000;
	if (throttle)
		chunk->due_us = MAX(chunk->due_us, flow->last_due_us) +
				(gint64)length * G_USEC_PER_SEC / throttle;
	flow->last_due_us = chunk->due_us;
	flow->passed += length;
	route->bytes[flow->way] += length;
	flow->buffered += length;
	g_queue_push_tail(&flow->chunks, chunk);
	return flow_write(flow);
}

static gboolean on_readable(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	struct flow *flow = data;
	char buffer[CHUNK_BYTES];
	GError *error = NULL;
	gssize got =
		g_socket_receive(socket, buffer, sizeof(buffer), NULL, &error);

	if (got < 0 &&
	    g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		g_error_free(error);
		return G_SOURCE_CONTINUE;
	}
	if (got > 0 && flow_take(flow, buffer, got) &&
	    flow->buffered < BUFFER_BYTES)
		return G_SOURCE_CONTINUE;
	if (got > 0)
		return G_SOURCE_REMOVE;
	source_clear(&flow->reading);
	g_clear_error(&error);
	flow->ended = true;
	if (got < 0 && !is_silent(flow))
		pair_end(flow->pair, true);
	else if (g_queue_is_empty(&flow->chunks))
		flow_drained(flow);
	return G_SOURCE_REMOVE;
}

/* Reads on, unless too much is held back already. */
static void flow_read(struct flow *flow)
{
	if (flow->ended || flow->buffered >= BUFFER_BYTES)
		return;
	if (flow->reading && !g_source_is_destroyed(flow->reading))
		return;
	source_clear(&flow->reading);
	flow->reading = g_socket_create_source(flow->from, G_IO_IN, NULL);
	g_source_set_callback(flow->reading, G_SOURCE_FUNC(on_readable), flow,
			      NULL);
	g_source_attach(flow->reading, NULL);
}

static gboolean on_connected(GSocket *socket, GIOCondition condition,
			     gpointer data)
{
	struct proxy_pair *pair = data;

	source_clear(&pair->connecting);
	if (!g_socket_check_connect_result(socket, NULL)) {
		pair_end(pair, true);
		return G_SOURCE_REMOVE;
	}
	flow_read(&pair->flows[PROXY_DOWN]);
	flow_read(&pair->flows[PROXY_UP]);
	return G_SOURCE_REMOVE;
}

static void pair_connect(struct proxy_pair *pair)
{
	GSocket *target = pair->ends[PROXY_DOWN];
	GError *error = NULL;

	if (!g_socket_connect(target, pair->route->target, NULL, &error) &&
	    !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
		g_error_free(error);
		pair_end(pair, true);
		return;
	}
	g_clear_error(&error);
	pair->connecting = g_socket_create_source(target, G_IO_OUT, NULL);
	g_source_set_callback(pair->connecting, G_SOURCE_FUNC(on_connected),
			      pair, NULL);
	g_source_attach(pair->connecting, NULL);
}

static void pair_start(struct proxy_route *route, GSocket *accepted)
{
	struct proxy_pair *pair = g_new0(struct proxy_pair, 1);
	struct flow *flow;
	int way;

	pair->route = route;
	pair->ends[PROXY_UP] = accepted;
	pair->ends[PROXY_DOWN] =
		g_socket_new(g_socket_address_get_family(route->target),
			     G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	for (way = 0; way < PROXY_WAYS; way++) {
		flow = &pair->flows[way];
		flow->pair = pair;
		flow->way = way;
		flow->from = pair->ends[way];
		flow->to = pair->ends[!way];
		g_queue_init(&flow->chunks);
		g_socket_set_blocking(pair->ends[way], FALSE);
		g_socket_set_option(pair->ends[way], IPPROTO_TCP, TCP_NODELAY,
				    1, NULL);
	}
	g_ptr_array_add(route->pairs, pair);
	pair_connect(pair);
}

static gboolean on_incoming(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	struct proxy_route *route = data;
	GSocket *accepted = g_socket_accept(socket, NULL, NULL);

	if (!accepted)
		return G_SOURCE_CONTINUE;
	route->accepted++;
	pair_start(route, accepted);
	return G_SOURCE_CONTINUE;
}

static bool route_listen(struct proxy_route *route, GError **error)
{
	GSocketAddress *bound;

	route->listener =
		g_socket_new(g_socket_address_get_family(route->listen),
			     G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
			     error);
	if (!route->listener)
		return false;
	g_socket_set_listen_backlog(route->listener, 1024);
	g_socket_set_blocking(route->listener, FALSE);
	if (!g_socket_bind(route->listener, route->listen, TRUE, error) ||
	    !g_socket_listen(route->listener, error))
		return false;
	bound = g_socket_get_local_address(route->listener, error);
	if (!bound)
		return false;
	route->port =
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
	g_object_unref(route->listen);
	route->listen = bound;
	route->accepting =
		g_socket_create_source(route->listener, G_IO_IN, NULL);
	g_source_set_callback(route->accepting, G_SOURCE_FUNC(on_incoming),
			      route, NULL);
	g_source_attach(route->accepting, NULL);
	return true;
}

static void route_refuse(struct proxy_route *route)
{
	source_clear(&route->accepting);
	if (route->listener)
		g_socket_close(route->listener, NULL);
	g_clear_object(&route->listener);
}

struct proxy_route *proxy_route_new(const char *listen, const char *target,
				    GError **error)
{
	struct proxy_route *route = g_new0(struct proxy_route, 1);

	route->pairs = g_ptr_array_new_with_free_func(pair_free);
	route->fault.truncate[PROXY_UP] = -1;
	route->fault.truncate[PROXY_DOWN] = -1;
	route->listen = tool_address_parse(listen, error);
	if (route->listen)
		route->target = tool_address_parse(target, error);
	if (route->target && route_listen(route, error))
		return route;
	proxy_route_free(route);
	return NULL;
}

void proxy_route_free(void *data)
{
	struct proxy_route *route = data;

	route_refuse(route);
	g_ptr_array_unref(route->pairs);
	g_clear_object(&route->listen);
	g_clear_object(&route->target);
	g_free(route);
}

static void apply_silence(struct proxy_route *route, const char *text)
{
	bool both = !strcmp(text, "both");

	route->fault.silent[PROXY_UP] = both || !strcmp(text, "up");
	route->fault.silent[PROXY_DOWN] = both || !strcmp(text, "down");
}

static void silence_open(struct proxy_route *route)
{
	struct proxy_pair *pair;
	guint i;

	for (i = 0; i < route->pairs->len; i++) {
		pair = route->pairs->pdata[i];
		pair->silent = true;
	}
}

static void end_open(struct proxy_route *route, bool reset)
{
	while (route->pairs->len)
		pair_end(route->pairs->pdata[0], reset);
}

void proxy_route_apply(struct proxy_route *route, JsonObject *body)
{
	struct proxy_fault *fault = &route->fault;
	GError *error = NULL;

	if (tool_json_int(body, "clear", 0))
		*fault = (struct proxy_fault){ .truncate = { -1, -1 } };
	fault->delay_ms = tool_json_int(body, "delay_ms", fault->delay_ms);
	fault->throttle = tool_json_int(body, "throttle", fault->throttle);
	fault->truncate[PROXY_UP] =
		tool_json_int(body, "truncate_up", fault->truncate[PROXY_UP]);
	fault->truncate[PROXY_DOWN] =
		tool_json_int(body, "truncate_down",
			      fault->truncate[PROXY_DOWN]);
	if (json_object_has_member(body, "silence"))
		apply_silence(route, tool_json_string(body, "silence", "none"));
	if (tool_json_int(body, "silence_open", 0))
		silence_open(route);
	if (tool_json_int(body, "cut", 0))
		end_open(route, false);
	if (tool_json_int(body, "reset", 0))
		end_open(route, true);
	fault->refuse = tool_json_int(body, "refuse", fault->refuse) != 0;
	if (fault->refuse) {
		route_refuse(route);
	} else if (!route->listener && !route_listen(route, &error)) {
		g_warning("listen on port %u: %s", route->port, error->message);
		g_error_free(error);
	}
}

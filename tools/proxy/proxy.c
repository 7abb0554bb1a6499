/* Connections of the proxy; see proxy.h. */
#include "proxy/proxy.h"

#include "common/tool.h"

#include <auburnstile/error.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#define READ_CHUNK_BYTES 16384
#define FLOW_BUFFER_BYTES 262144 /* maximum queued for one direction */

struct chunk {
	gint64 due_us;
	gsize length;
	gsize sent;
	char data[];
};

struct proxy_pair;

/* One direction of a pair. */
struct flow {
	struct proxy_pair *pair;
	enum proxy_direction direction;
	GSocket *from; /* borrowed */
	GSocket *to; /* borrowed */
	GSource *read_source;
	GSource *write_source;
	GSource *delay_timer;
	GQueue chunks; /* of struct chunk, owned */
	gsize buffered_bytes;
	gint64 last_due_us;
	gint64 received_bytes;
	bool eof; /* no more bytes will arrive from `from` */
	bool shutdown_sent; /* the end of file was propagated to `to` */
};

struct proxy_pair {
	struct proxy_route *route;
	/* The client's socket, the target's socket. */
	GSocket *ends[PROXY_DIRECTION_COUNT];
	struct flow flows[PROXY_DIRECTION_COUNT];
	GSource *connect_source;
	char *client; /* its IP */
	/* Set by silence_open and by partitions; stays set. */
	bool blackhole[PROXY_DIRECTION_COUNT];
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
	int direction;

	source_clear(&pair->connect_source);
	for (direction = 0; direction < PROXY_DIRECTION_COUNT; direction++) {
		flow = &pair->flows[direction];
		source_clear(&flow->read_source);
		source_clear(&flow->write_source);
		source_clear(&flow->delay_timer);
		g_queue_clear_full(&flow->chunks, g_free);
		g_socket_close(pair->ends[direction], NULL);
		g_object_unref(pair->ends[direction]);
	}
	g_free(pair->client);
	g_free(pair);
}

static void pair_close(struct proxy_pair *pair, bool reset)
{
	int direction;

	for (direction = 0; reset && direction < PROXY_DIRECTION_COUNT;
	     direction++)
		tool_socket_reset_on_close(pair->ends[direction]);
	g_ptr_array_remove_fast(pair->route->pairs, pair);
}

static bool is_blackholed(const struct flow *flow)
{
	return flow->pair->blackhole[flow->direction] ||
	       flow->pair->route->fault.blackhole[flow->direction];
}

static void flow_read(struct flow *flow);
static bool flow_write(struct flow *flow);

static gboolean on_writable(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	struct flow *flow = data;

	source_clear(&flow->write_source);
	flow_write(flow);
	return G_SOURCE_REMOVE;
}

static gboolean on_chunk_due(gpointer data)
{
	struct flow *flow = data;

	source_clear(&flow->delay_timer);
	flow_write(flow);
	return G_SOURCE_REMOVE;
}

static void wait_writable(struct flow *flow)
{
	flow->write_source = g_socket_create_source(flow->to, G_IO_OUT, NULL);
	g_source_set_callback(flow->write_source, G_SOURCE_FUNC(on_writable),
			      flow, NULL);
	g_source_attach(flow->write_source, NULL);
}

static void wait_until_due(struct flow *flow, gint64 delay_us)
{
	flow->delay_timer = g_timeout_source_new((guint)(delay_us / 1000 + 1));
	g_source_set_callback(flow->delay_timer, on_chunk_due, flow, NULL);
	g_source_attach(flow->delay_timer, NULL);
}

/*
 * Propagates the end of file after the last byte of a flow. Returns false if
 * this closed the pair.
 */
static bool flow_shutdown_if_drained(struct flow *flow)
{
	struct proxy_pair *pair = flow->pair;

	if (!flow->eof || flow->shutdown_sent || is_blackholed(flow))
		return true;
	flow->shutdown_sent = true;
	g_socket_shutdown(flow->to, FALSE, TRUE, NULL);
	if (!pair->flows[PROXY_UP].shutdown_sent ||
	    !pair->flows[PROXY_DOWN].shutdown_sent)
		return true;
	pair_close(pair, false);
	return false;
}

/* Sends the chunks that are due. Returns false if the pair has been closed. */
static bool flow_write(struct flow *flow)
{
	struct chunk *chunk;
	GError *error = NULL;
	gint64 remaining_us;
	gssize sent;

	if (flow->write_source || flow->delay_timer ||
	    flow->pair->connect_source)
		return true;
	while (!g_queue_is_empty(&flow->chunks)) {
		chunk = g_queue_peek_head(&flow->chunks);
		remaining_us = chunk->due_us - g_get_monotonic_time();
		if (remaining_us > 0) {
			wait_until_due(flow, remaining_us);
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
				pair_close(flow->pair, true);
			return blocked;
		}
		chunk->sent += sent;
		flow->buffered_bytes -= sent;
		if (chunk->sent == chunk->length)
			g_free(g_queue_pop_head(&flow->chunks));
	}
	flow_read(flow);
	return flow_shutdown_if_drained(flow);
}

/*
 * Queues received bytes. Returns false if the truncation fault or an error has
 * closed the pair.
 */
static bool flow_enqueue(struct flow *flow, const char *data, gsize length)
{
	struct proxy_route *route = flow->pair->route;
	gint64 limit = route->fault.truncate_bytes[flow->direction];
	gint64 throttle_bytes_per_s = route->fault.throttle_bytes_per_s;
	gint64 now_us = g_get_monotonic_time();
	struct chunk *chunk;

	if (is_blackholed(flow))
		return true;
	if (limit >= 0 && flow->received_bytes + (gint64)length >= limit) {
		length = MAX(limit - flow->received_bytes, 0);
		g_socket_send(flow->to, data, length, NULL, NULL);
		pair_close(flow->pair, false);
		return false;
	}
	chunk = g_malloc(sizeof(*chunk) + length);
	memcpy(chunk->data, data, length);
	chunk->length = length;
	chunk->sent = 0;
	chunk->due_us = now_us + route->fault.delay_ms * (gint64)1000;
	if (throttle_bytes_per_s)
		chunk->due_us =
			MAX(chunk->due_us, flow->last_due_us) +
			(gint64)length * G_USEC_PER_SEC / throttle_bytes_per_s;
	flow->last_due_us = chunk->due_us;
	flow->received_bytes += length;
	route->bytes[flow->direction] += length;
	flow->buffered_bytes += length;
	g_queue_push_tail(&flow->chunks, chunk);
	return flow_write(flow);
}

static gboolean on_readable(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	struct flow *flow = data;
	char buffer[READ_CHUNK_BYTES];
	GError *error = NULL;
	gssize got =
		g_socket_receive(socket, buffer, sizeof(buffer), NULL, &error);

	if (got < 0 &&
	    g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		g_error_free(error);
		return G_SOURCE_CONTINUE;
	}
	if (got > 0 && flow_enqueue(flow, buffer, got) &&
	    flow->buffered_bytes < FLOW_BUFFER_BYTES)
		return G_SOURCE_CONTINUE;
	if (got > 0)
		return G_SOURCE_REMOVE;
	source_clear(&flow->read_source);
	g_clear_error(&error);
	flow->eof = true;
	if (got < 0 && !is_blackholed(flow))
		pair_close(flow->pair, true);
	else if (g_queue_is_empty(&flow->chunks))
		flow_shutdown_if_drained(flow);
	return G_SOURCE_REMOVE;
}

/* Starts or resumes reading, unless the buffer is full. */
static void flow_read(struct flow *flow)
{
	if (flow->eof || flow->buffered_bytes >= FLOW_BUFFER_BYTES)
		return;
	if (flow->read_source && !g_source_is_destroyed(flow->read_source))
		return;
	source_clear(&flow->read_source);
	flow->read_source = g_socket_create_source(flow->from, G_IO_IN, NULL);
	g_source_set_callback(flow->read_source, G_SOURCE_FUNC(on_readable),
			      flow, NULL);
	g_source_attach(flow->read_source, NULL);
}

static gboolean on_connected(GSocket *socket, GIOCondition condition,
			     gpointer data)
{
	struct proxy_pair *pair = data;

	source_clear(&pair->connect_source);
	if (!g_socket_check_connect_result(socket, NULL)) {
		pair_close(pair, true);
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

	if (!g_socket_connect(target, pair->route->target_address, NULL,
			      &error) &&
	    !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
		g_error_free(error);
		pair_close(pair, true);
		return;
	}
	g_clear_error(&error);
	pair->connect_source = g_socket_create_source(target, G_IO_OUT, NULL);
	g_source_set_callback(pair->connect_source, G_SOURCE_FUNC(on_connected),
			      pair, NULL);
	g_source_attach(pair->connect_source, NULL);
}

static char *client_ip(GSocket *accepted)
{
	GSocketAddress *address = g_socket_get_remote_address(accepted, NULL);
	char *ip = NULL;

	if (address)
		ip = g_inet_address_to_string(g_inet_socket_address_get_address(
			G_INET_SOCKET_ADDRESS(address)));
	g_clear_object(&address);
	return ip ? ip : g_strdup("");
}

/* Returns false if the pair has been closed. */
static bool pair_apply_partition(struct proxy_pair *pair, bool is_new)
{
	enum proxy_partition partition = (enum proxy_partition)GPOINTER_TO_INT(
		g_hash_table_lookup(pair->route->partitions, pair->client));

	if (partition == PROXY_PARTITION_RESET ||
	    (partition == PROXY_PARTITION_REFUSE_NEW && is_new)) {
		pair_close(pair, true);
		return false;
	}
	if (partition == PROXY_PARTITION_SILENT)
		pair->blackhole[PROXY_UP] = true;
	if (partition == PROXY_PARTITION_SILENT ||
	    partition == PROXY_PARTITION_ONE_WAY)
		pair->blackhole[PROXY_DOWN] = true;
	return true;
}

void proxy_route_partition(struct proxy_route *route, const char *ip,
			   enum proxy_partition partition)
{
	g_hash_table_replace(route->partitions, g_strdup(ip),
			     GINT_TO_POINTER((gint)partition));
	/* Closing a pair moves the last one into its place. */
	for (guint i = route->pairs->len; i > 0; i--) {
		struct proxy_pair *pair = route->pairs->pdata[i - 1];

		if (!strcmp(pair->client, ip))
			pair_apply_partition(pair, false);
	}
}

static void pair_start(struct proxy_route *route, GSocket *accepted)
{
	struct proxy_pair *pair = g_new0(struct proxy_pair, 1);
	struct flow *flow;
	int direction;

	pair->route = route;
	pair->client = client_ip(accepted);
	pair->ends[PROXY_UP] = accepted;
	pair->ends[PROXY_DOWN] =
		g_socket_new(g_socket_address_get_family(route->target_address),
			     G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	for (direction = 0; direction < PROXY_DIRECTION_COUNT; direction++) {
		flow = &pair->flows[direction];
		flow->pair = pair;
		flow->direction = direction;
		flow->from = pair->ends[direction];
		flow->to = pair->ends[!direction];
		g_queue_init(&flow->chunks);
		g_socket_set_blocking(pair->ends[direction], FALSE);
		g_socket_set_option(pair->ends[direction], IPPROTO_TCP,
				    TCP_NODELAY, 1, NULL);
	}
	g_ptr_array_add(route->pairs, pair);
	if (pair_apply_partition(pair, true))
		pair_connect(pair);
}

static gboolean on_connection_ready(GSocket *socket, GIOCondition condition,
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
		g_socket_new(g_socket_address_get_family(route->listen_address),
			     G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
			     error);
	if (!route->listener)
		return false;
	g_socket_set_listen_backlog(route->listener, 1024);
	g_socket_set_blocking(route->listener, FALSE);
	if (!g_socket_bind(route->listener, route->listen_address, TRUE,
			   error) ||
	    !g_socket_listen(route->listener, error))
		return false;
	bound = g_socket_get_local_address(route->listener, error);
	if (!bound)
		return false;
	route->port =
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
	g_object_unref(route->listen_address);
	route->listen_address = bound;
	route->accept_source =
		g_socket_create_source(route->listener, G_IO_IN, NULL);
	g_source_set_callback(route->accept_source,
			      G_SOURCE_FUNC(on_connection_ready), route, NULL);
	g_source_attach(route->accept_source, NULL);
	return true;
}

static void route_stop_listening(struct proxy_route *route)
{
	source_clear(&route->accept_source);
	if (route->listener)
		g_socket_close(route->listener, NULL);
	g_clear_object(&route->listener);
}

struct proxy_route *proxy_route_new(const char *listen_address,
				    const char *target_address, GError **error)
{
	struct proxy_route *route = g_new0(struct proxy_route, 1);

	route->pairs = g_ptr_array_new_with_free_func(pair_free);
	route->partitions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	route->fault.truncate_bytes[PROXY_UP] = -1;
	route->fault.truncate_bytes[PROXY_DOWN] = -1;
	route->listen_address = tool_address_parse(listen_address, error);
	if (route->listen_address)
		route->target_address =
			tool_address_parse(target_address, error);
	if (route->target_address && route_listen(route, error))
		return route;
	proxy_route_free(route);
	return NULL;
}

void proxy_route_free(void *data)
{
	struct proxy_route *route = data;

	route_stop_listening(route);
	g_ptr_array_unref(route->pairs);
	g_hash_table_unref(route->partitions);
	g_clear_object(&route->listen_address);
	g_clear_object(&route->target_address);
	g_free(route);
}

static void apply_blackhole(struct proxy_route *route, const char *text)
{
	bool both = !strcmp(text, "both");

	route->fault.blackhole[PROXY_UP] = both || !strcmp(text, "up");
	route->fault.blackhole[PROXY_DOWN] = both || !strcmp(text, "down");
}

static void blackhole_open_pairs(struct proxy_route *route)
{
	struct proxy_pair *pair;
	guint i;

	for (i = 0; i < route->pairs->len; i++) {
		pair = route->pairs->pdata[i];
		pair->blackhole[PROXY_UP] = true;
		pair->blackhole[PROXY_DOWN] = true;
	}
}

static void close_open_pairs(struct proxy_route *route, bool reset)
{
	while (route->pairs->len)
		pair_close(route->pairs->pdata[0], reset);
}

void proxy_route_apply(struct proxy_route *route, JsonObject *body)
{
	struct proxy_fault *fault = &route->fault;
	GError *error = NULL;

	if (tool_json_int(body, "clear", 0))
		*fault = (struct proxy_fault){ .truncate_bytes = { -1, -1 } };
	fault->delay_ms = tool_json_int(body, "delay_ms", fault->delay_ms);
	fault->throttle_bytes_per_s =
		tool_json_int(body, "throttle", fault->throttle_bytes_per_s);
	fault->truncate_bytes[PROXY_UP] =
		tool_json_int(body, "truncate_up",
			      fault->truncate_bytes[PROXY_UP]);
	fault->truncate_bytes[PROXY_DOWN] =
		tool_json_int(body, "truncate_down",
			      fault->truncate_bytes[PROXY_DOWN]);
	if (json_object_has_member(body, "silence"))
		apply_blackhole(route,
				tool_json_string(body, "silence", "none"));
	if (tool_json_int(body, "silence_open", 0))
		blackhole_open_pairs(route);
	if (tool_json_int(body, "cut", 0))
		close_open_pairs(route, false);
	if (tool_json_int(body, "reset", 0))
		close_open_pairs(route, true);
	fault->refuse = tool_json_int(body, "refuse", fault->refuse) != 0;
	if (fault->refuse) {
		route_stop_listening(route);
	} else if (!route->listener && !route_listen(route, &error)) {
		g_warning("cannot listen on port %u: %s", route->port,
			  error->message);
		g_error_free(error);
	}
}

/* Accepts callers' connections and manages the groups they are served in. */
#include <auburnstile/error.h>
#include <auburnstile/internal/caller_groups.h>

#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <unistd.h>

/*
 * Connections not yet accepted. Sufficient for the load at the start of a
 * school term.
 */
#define LISTEN_BACKLOG 4096

#define EVENTS_PER_ITERATION 64

/*
 * Connections per group. libsoup retains about 4 KB for each closed connection
 * until its group is freed, which favours small groups. Each group needs a
 * descriptor, which favours large ones.
 */
#define GROUP_CONNECTIONS_MAX 32

/* A full group with at most this many open connections is drained. */
#define GROUP_DRAIN_CONNECTIONS_MAX 8

struct aub_caller_group {
	struct aub_caller_groups *groups;
	SoupServer *soup;
	guint accepted_count; /* all connections of the group, open or closed */
	guint open_count;
};

struct idle_connection {
	struct aub_caller_group *group;
	GSocketConnection *stream; /* owned reference */
	GSocketAddress *remote; /* owned reference */
};

struct aub_caller_groups {
	struct aub_caller_groups_options options;
	GSocket *listener;
	GSource *listener_source;
	guint port;
	int idle_epoll; /* epoll set of connections without input so far */
	guint idle_source_id;
	GHashTable *idle_connections; /* GSocket -> struct idle_connection */
	/* Of struct aub_caller_group; the last takes new connections. */
	GPtrArray *all_groups;
};

static void group_free(void *data)
{
	struct aub_caller_group *group = data;

	soup_server_disconnect(group->soup);
	g_object_unref(group->soup);
	g_free(group);
}

/*
 * libsoup keeps connections open between requests only if its server listens
 * on a socket. Returns a UDP socket connected to itself, which no peer can
 * reach.
 */
static GSocket *self_connected_socket(void)
{
	GInetAddress *loopback;
	GSocketAddress *address;
	GSocketAddress *bound = NULL;
	GSocket *socket;

	socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
			      G_SOCKET_PROTOCOL_UDP, NULL);
	if (!socket)
		return NULL;
	loopback = g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	address = g_inet_socket_address_new(loopback, 0);
	if (g_socket_bind(socket, address, FALSE, NULL))
		bound = g_socket_get_local_address(socket, NULL);
	g_object_unref(address);
	g_object_unref(loopback);
	if (!bound || !g_socket_connect(socket, bound, NULL, NULL))
		g_clear_object(&socket);
	g_clear_object(&bound);
	return socket;
}

/*
 * Returns the group for the next connection, or NULL if no descriptor is
 * available.
 */
static struct aub_caller_group *current_group(struct aub_caller_groups *groups)
{
	struct aub_caller_group *group;
	GSocket *socket;

	if (groups->all_groups->len) {
		group = groups->all_groups->pdata[groups->all_groups->len - 1];
		if (group->accepted_count < GROUP_CONNECTIONS_MAX)
			return group;
	}
	socket = self_connected_socket();
	if (!socket)
		return NULL;
	group = g_new0(struct aub_caller_group, 1);
	group->groups = groups;
	group->soup = soup_server_new("raw-paths", TRUE, NULL);
	soup_server_listen_socket(group->soup, socket, 0, NULL);
	g_object_unref(socket);
	groups->options.configure_server(group->soup, groups->options.context);
	g_ptr_array_add(groups->all_groups, group);
	return group;
}

static void idle_connection_free(void *data)
{
	struct idle_connection *idle = data;

	g_object_unref(idle->stream);
	g_object_unref(idle->remote);
	g_free(idle);
}

/*
 * Passes a connection to libsoup once it is readable (data or end of stream).
 */
static void hand_to_libsoup(struct aub_caller_groups *groups, GSocket *socket)
{
	struct idle_connection *idle =
		g_hash_table_lookup(groups->idle_connections, socket);
	GSocketAddress *local;

	if (!idle)
		return;
	epoll_ctl(groups->idle_epoll, EPOLL_CTL_DEL, g_socket_get_fd(socket),
		  NULL);
	g_hash_table_steal(groups->idle_connections, socket);
	local = g_socket_get_local_address(socket, NULL);
	if (local)
		soup_server_accept_iostream(idle->group->soup,
					    G_IO_STREAM(idle->stream), local,
					    idle->remote, NULL);
	g_clear_object(&local);
	idle_connection_free(idle);
}

/*
 * Called when idle connections have become readable.
 *
 * GLib's main loop checks every source in each iteration, so thousands of
 * connections that send nothing delay all requests (13 ms per request with
 * 3900 of them). Connections are therefore watched outside the main loop, in an
 * epoll set, until they send their first byte.
 */
static gboolean on_idle_readable(int fd, GIOCondition condition, void *context)
{
	struct aub_caller_groups *groups = context;
	struct epoll_event events[EVENTS_PER_ITERATION];
	int count;

	count = epoll_wait(groups->idle_epoll, events, EVENTS_PER_ITERATION, 0);
	for (int i = 0; i < count; i++)
		hand_to_libsoup(groups, events[i].data.ptr);
	return G_SOURCE_CONTINUE;
}

static void add_idle_connection(struct aub_caller_groups *groups,
				struct aub_caller_group *group, GSocket *socket,
				GSocketAddress *remote)
{
	struct epoll_event event = { .events = EPOLLIN, .data.ptr = socket };
	struct idle_connection *idle = g_new(struct idle_connection, 1);

	idle->group = group;
	idle->stream = g_socket_connection_factory_create_connection(socket);
	idle->remote = g_object_ref(remote);
	g_hash_table_insert(groups->idle_connections, socket, idle);
	if (epoll_ctl(groups->idle_epoll, EPOLL_CTL_ADD,
		      g_socket_get_fd(socket), &event) < 0)
		hand_to_libsoup(groups, socket);
}

void aub_caller_group_release(struct aub_caller_group *group, GSocket *socket)
{
	struct aub_caller_groups *groups = group->groups;

	if (!g_hash_table_contains(groups->idle_connections, socket))
		return;
	epoll_ctl(groups->idle_epoll, EPOLL_CTL_DEL, g_socket_get_fd(socket),
		  NULL);
	g_hash_table_remove(groups->idle_connections, socket);
}

static void handle_accepted(struct aub_caller_groups *groups, GSocket *socket)
{
	struct aub_caller_group *group = current_group(groups);
	GSocketAddress *remote = g_socket_get_remote_address(socket, NULL);

	if (group && remote) {
		/*
		 * With Nagle's algorithm, responses wait up to 40 ms for
		 * acknowledgements.
		 */
		g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
		group->accepted_count++;
		group->open_count++;
		groups->options.accepted(group, socket, remote,
					 groups->options.context);
		add_idle_connection(groups, group, socket, remote);
	}
	g_clear_object(&remote);
}

/*
 * Accepts several connections per iteration of the main loop. The loop checks
 * every connection in each iteration, so with one accepted at a time, the last
 * of thousands of simultaneous connections would wait for seconds.
 */
static gboolean on_listener_readable(GSocket *listener, GIOCondition condition,
				     void *context)
{
	struct aub_caller_groups *groups = context;

	for (guint i = 0; i < EVENTS_PER_ITERATION; i++) {
		GSocket *socket = g_socket_accept(listener, NULL, NULL);

		if (!socket)
			break;
		handle_accepted(groups, socket);
		g_object_unref(socket);
	}
	return G_SOURCE_CONTINUE;
}

static GSocketAddress *parse_address(const char *text, GError **error)
{
	GSocketConnectable *connectable;
	GNetworkAddress *network;
	GSocketAddress *address;

	connectable = g_network_address_parse(text, 0, error);
	if (!connectable)
		return NULL;
	network = G_NETWORK_ADDRESS(connectable);
	address = g_inet_socket_address_new_from_string(
		g_network_address_get_hostname(network),
		g_network_address_get_port(network));
	g_object_unref(connectable);
	if (!address)
		aub_error_set(error, AUB_ERROR_INVALID, "listen for callers",
			      text, "not an IP address and port");
	return address;
}

static bool listen_on(struct aub_caller_groups *groups, const char *text,
		      GError **error)
{
	GSocketAddress *address = parse_address(text, error);
	GSocketAddress *bound;
	GSocket *socket;
	GError *cause = NULL;

	if (!address)
		return false;
	socket = g_socket_new(g_socket_address_get_family(address),
			      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
			      &cause);
	groups->listener = socket;
	if (!socket)
		goto out;
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
	if (!g_socket_bind(socket, address, TRUE, &cause) ||
	    !g_socket_listen(socket, &cause))
		goto out;
	bound = g_socket_get_local_address(socket, NULL);
	groups->port =
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
	g_object_unref(bound);
	groups->listener_source = g_socket_create_source(socket, G_IO_IN, NULL);
	g_source_set_callback(groups->listener_source,
			      G_SOURCE_FUNC(on_listener_readable), groups,
			      NULL);
	g_source_attach(groups->listener_source, NULL);
out:
	g_object_unref(address);
	if (!cause)
		return true;
	aub_error_set(error, AUB_ERROR_UNAVAILABLE, "listen for callers", text,
		      "%s", cause->message);
	g_error_free(cause);
	return false;
}

struct aub_caller_groups *aub_caller_groups_new(
	const struct aub_caller_groups_options *options, GError **error)
{
	struct aub_caller_groups *groups = g_new0(struct aub_caller_groups, 1);

	groups->options = *options;
	groups->all_groups = g_ptr_array_new_with_free_func(group_free);
	groups->idle_connections =
		g_hash_table_new_full(NULL, NULL, NULL, idle_connection_free);
	groups->idle_epoll = epoll_create1(EPOLL_CLOEXEC);
	groups->idle_source_id = g_unix_fd_add(groups->idle_epoll, G_IO_IN,
					       on_idle_readable, groups);
	if (!listen_on(groups, options->address, error)) {
		aub_caller_groups_free(groups);
		return NULL;
	}
	return groups;
}

void aub_caller_groups_free(struct aub_caller_groups *groups)
{
	if (!groups)
		return;
	if (groups->listener_source) {
		g_source_destroy(groups->listener_source);
		g_source_unref(groups->listener_source);
	}
	g_clear_object(&groups->listener);
	g_source_remove(groups->idle_source_id);
	g_hash_table_unref(groups->idle_connections);
	close(groups->idle_epoll);
	g_ptr_array_unref(groups->all_groups);
	g_free(groups);
}

guint aub_caller_groups_port(const struct aub_caller_groups *groups)
{
	return groups->port;
}

void aub_caller_group_connection_closed(struct aub_caller_group *group)
{
	group->open_count--;
}

bool aub_caller_group_should_drain(const struct aub_caller_group *group)
{
	return group->accepted_count == GROUP_CONNECTIONS_MAX &&
	       group->open_count <= GROUP_DRAIN_CONNECTIONS_MAX;
}

void aub_caller_groups_free_empty(struct aub_caller_groups *groups)
{
	for (guint i = groups->all_groups->len; i > 0; i--) {
		const struct aub_caller_group *group =
			groups->all_groups->pdata[i - 1];

		if (group->accepted_count == GROUP_CONNECTIONS_MAX &&
		    !group->open_count)
			g_ptr_array_remove_index(groups->all_groups, i - 1);
	}
}

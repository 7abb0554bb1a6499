/*
 * Accepting callers, and the life of the groups they are served in.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/caller_groups.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#define BACKLOG 4096 /* connections not yet accepted; a term opens */

/*
 * Connections in a group. What ended stays in memory (about 4 KB each) until
 * its group goes, so small groups; each costs a descriptor, so not too small.
 */
#define GROUP_CONNECTIONS 32
#define GROUP_THIN 8

struct aub_caller_group {
	struct aub_caller_groups *groups;
	SoupServer *soup;
	guint total; /* connections ever */
	guint open;
};

struct aub_caller_groups {
	struct aub_caller_groups_options options;
	GSocketService *listener;
	guint port;
	GPtrArray *list; /* of struct aub_caller_group, the last one fills */
};

static void group_free(void *data)
{
	struct aub_caller_group *group = data;

	soup_server_disconnect(group->soup);
	g_object_unref(group->soup);
	g_free(group);
}

/*
 * libsoup keeps connections alive only while its server listens somewhere.
 * This socket is connected to itself: nobody can reach it.
 */
static GSocket *unreachable_socket(void)
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

/* The group that takes the next connection; NULL without descriptors. */
static struct aub_caller_group *open_group(struct aub_caller_groups *groups)
{
	struct aub_caller_group *group;
	GSocket *socket;

	if (groups->list->len) {
		group = groups->list->pdata[groups->list->len - 1];
		if (group->total < GROUP_CONNECTIONS)
			return group;
	}
	socket = unreachable_socket();
	if (!socket)
		return NULL;
	group = g_new0(struct aub_caller_group, 1);
	group->groups = groups;
	group->soup = soup_server_new("raw-paths", TRUE, NULL);
	soup_server_listen_socket(group->soup, socket, 0, NULL);
	g_object_unref(socket);
	groups->options.prepare(group->soup, groups->options.context);
	g_ptr_array_add(groups->list, group);
	return group;
}

static gboolean on_incoming(GSocketService *listener, GSocketConnection *stream,
			    GObject *source, void *context)
{
	struct aub_caller_groups *groups = context;
	struct aub_caller_group *group = open_group(groups);
	GSocket *socket = g_socket_connection_get_socket(stream);
	GSocketAddress *remote;
	GSocketAddress *local;

	remote = g_socket_connection_get_remote_address(stream, NULL);
	local = g_socket_connection_get_local_address(stream, NULL);
	if (group && remote && local) {
		/* Without this, answers wait for acknowledgements: 40 ms. */
		g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
		group->total++;
		group->open++;
		groups->options.accepted(group, socket, remote,
					 groups->options.context);
		soup_server_accept_iostream(group->soup, G_IO_STREAM(stream),
					    local, remote, NULL);
	}
	g_clear_object(&remote);
	g_clear_object(&local);
	return TRUE;
}

static bool listen_on(struct aub_caller_groups *groups, const char *text,
		      GError **error)
{
	GSocketListener *listener = G_SOCKET_LISTENER(groups->listener);
	GSocketConnectable *connectable;
	GNetworkAddress *network;
	GSocketAddress *address;
	GSocketAddress *bound = NULL;
	GError *cause = NULL;

	connectable = g_network_address_parse(text, 0, error);
	if (!connectable)
		return false;
	network = G_NETWORK_ADDRESS(connectable);
	address = g_inet_socket_address_new_from_string(
		g_network_address_get_hostname(network),
		g_network_address_get_port(network));
	g_object_unref(connectable);
	if (!address) {
		aub_error_set(error, AUB_ERROR_INVALID, "listen for callers",
			      text, "not an IP number and port");
		return false;
	}
	g_socket_listener_set_backlog(listener, BACKLOG);
	g_socket_listener_add_address(listener, address, G_SOCKET_TYPE_STREAM,
				      G_SOCKET_PROTOCOL_TCP, NULL, &bound,
				      &cause);
	g_object_unref(address);
	if (cause) {
		aub_error_set(error, AUB_ERROR_UNAVAILABLE,
			      "listen for callers", text, "%s", cause->message);
		g_error_free(cause);
		return false;
	}
	groups->port =
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
	g_object_unref(bound);
	return true;
}

struct aub_caller_groups *aub_caller_groups_new(
	const struct aub_caller_groups_options *options, GError **error)
{
	struct aub_caller_groups *groups = g_new0(struct aub_caller_groups, 1);

	groups->options = *options;
	groups->list = g_ptr_array_new_with_free_func(group_free);
	groups->listener = g_socket_service_new();
	g_signal_connect(groups->listener, "incoming", G_CALLBACK(on_incoming),
			 groups);
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
	g_signal_handlers_disconnect_by_data(groups->listener, groups);
	g_socket_service_stop(groups->listener);
	g_socket_listener_close(G_SOCKET_LISTENER(groups->listener));
	g_object_unref(groups->listener);
	g_ptr_array_unref(groups->list);
	g_free(groups);
}

guint aub_caller_groups_port(const struct aub_caller_groups *groups)
{
	return groups->port;
}

void aub_caller_group_left(struct aub_caller_group *group)
{
	group->open--;
}

bool aub_caller_group_thin(const struct aub_caller_group *group)
{
	return group->total == GROUP_CONNECTIONS && group->open <= GROUP_THIN;
}

void aub_caller_groups_sweep(struct aub_caller_groups *groups)
{
	for (guint i = groups->list->len; i > 0; i--) {
		const struct aub_caller_group *group =
			groups->list->pdata[i - 1];

		if (group->total == GROUP_CONNECTIONS && !group->open)
			g_ptr_array_remove_index(groups->list, i - 1);
	}
}

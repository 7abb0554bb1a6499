/*
 * Accepts callers' connections and serves them in groups, each with its own
 * SoupServer.
 *
 * libsoup 3.2 leaks sockets that it accepts itself, and keep-alive connections
 * that the peer closes. Connections are therefore accepted here and added to a
 * group. The group's SoupServer is freed once all connections of the group
 * have closed, which frees everything libsoup retained for them.
 */
#ifndef AUBURNSTILE_INTERNAL_CALLER_GROUPS_H
#define AUBURNSTILE_INTERNAL_CALLER_GROUPS_H

#include <libsoup/soup.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_caller_groups;
struct aub_caller_group;

struct aub_caller_groups_options {
	const char *address; /* "ip:port" to listen on */
	/* Registers handlers and signals on the server of a new group. */
	void (*configure_server)(SoupServer *soup, void *context);
	/*
	 * Called for each accepted connection. `remote` identifies the
	 * messages of the connection: soup_server_message_get_remote_address()
	 * returns the same object.
	 */
	void (*accepted)(struct aub_caller_group *group, GSocket *socket,
			 GSocketAddress *remote, void *context);
	void *context;
};

struct aub_caller_groups *aub_caller_groups_new(
	const struct aub_caller_groups_options *options, GError **error);
void aub_caller_groups_free(struct aub_caller_groups *groups);
guint aub_caller_groups_port(const struct aub_caller_groups *groups);

/* Stops tracking an idle connection that the owner is about to close. */
void aub_caller_group_release(struct aub_caller_group *group, GSocket *socket);

/* Must be called when one of the group's connections has closed. */
void aub_caller_group_connection_closed(struct aub_caller_group *group);

/*
 * Returns true if the group is full and only a few of its connections are
 * still open. They should then be closed after their next response, so that the
 * group can be freed.
 */
bool aub_caller_group_should_drain(const struct aub_caller_group *group);

/*
 * Frees full groups without open connections. Must not be called from within a
 * libsoup callback.
 */
void aub_caller_groups_free_empty(struct aub_caller_groups *groups);

G_END_DECLS

#endif

/*
 * Connections of callers, handed to libsoup in groups.
 *
 * libsoup 3.2 leaks two things: sockets that it accepts itself, and kept
 * connections that the other end closes. So connections are accepted here,
 * and each group of them has a SoupServer that is thrown away when its last
 * connection ended; that frees all.
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
	/* Connect handlers and signals of a new group's server. */
	void (*configure_server)(SoupServer *soup, void *context);
	/*
	 * A connection came. `remote` tells its messages: it is the very
	 * object that soup_server_message_get_remote_address() returns.
	 */
	void (*accepted)(struct aub_caller_group *group, GSocket *socket,
			 GSocketAddress *remote, void *context);
	void *context;
};

struct aub_caller_groups *aub_caller_groups_new(
	const struct aub_caller_groups_options *options, GError **error);
void aub_caller_groups_free(struct aub_caller_groups *groups);
guint aub_caller_groups_port(const struct aub_caller_groups *groups);

/* Let go of a connection that is about to be closed from this side. */
void aub_caller_group_release(struct aub_caller_group *group, GSocket *socket);

/* One of the group's connections ended. */
void aub_caller_group_connection_closed(struct aub_caller_group *group);

/*
 * True when few of a full group are left: they should be closed after their
 * next answer, so that the group can go.
 */
bool aub_caller_group_should_drain(const struct aub_caller_group *group);

/* Throw empty groups away. Not from within libsoup's callbacks. */
void aub_caller_groups_free_empty(struct aub_caller_groups *groups);

G_END_DECLS

#endif

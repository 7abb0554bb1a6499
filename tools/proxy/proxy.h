/*
 * A TCP proxy that breaks connections on purpose. One route listens on one
 * address and forwards to another; each has faults of its own. Runs on the
 * default main context.
 */
#ifndef TOOL_PROXY_H
#define TOOL_PROXY_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Which way bytes go: up is from the connecting end to the target. */
enum proxy_direction { PROXY_UP, PROXY_DOWN, PROXY_DIRECTIONS };

struct proxy_fault {
	guint delay_ms; /* of every byte, each way */
	bool blackhole[PROXY_DIRECTIONS]; /* swallow bytes and closes */
	gint64 truncate_bytes[PROXY_DIRECTIONS]; /* close after so many bytes;
						    -1: never */
	gint64 throttle_bytes_per_s; /* bytes a second, each way; 0: no limit */
	bool refuse; /* new connections */
};

struct proxy_route {
	GSocketAddress *listen;
	GSocketAddress *target;
	guint16 port; /* that it listens on */
	GSocket *listener; /* NULL while it refuses */
	GSource *accept_source;
	GPtrArray *pairs; /* of struct proxy_pair, owned */
	struct proxy_fault fault;
	guint64 accepted;
	guint64 bytes[PROXY_DIRECTIONS];
};

/* Both addresses as "ip:port"; listens at once. Owned by the caller. */
struct proxy_route *proxy_route_new(const char *listen, const char *target,
				    GError **error);
void proxy_route_free(void *route);

/*
 * Change faults as a JSON object says; absent members keep their value:
 *   delay_ms, throttle, refuse, truncate_up, truncate_down (-1: never),
 *   silence "none"|"up"|"down"|"both"  all connections, new ones too
 *   blackhole_open_pairs 1   those open now stay open and swallow everything
 *   cut 1, reset 1   close those open now, in order or by RST
 *   clear 1          take everything back (open silent ones stay silent)
 */
void proxy_route_apply(struct proxy_route *route, JsonObject *body);

G_END_DECLS

#endif

/*
 * A TCP proxy that injects faults. A route listens on one address and forwards
 * to another, and has faults of its own. Runs on the default main context.
 */
#ifndef TOOL_PROXY_H
#define TOOL_PROXY_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Direction of bytes: up is from the client to the target. */
enum proxy_direction { PROXY_UP, PROXY_DOWN, PROXY_DIRECTION_COUNT };

struct proxy_fault {
	guint delay_ms; /* of every byte, in each direction */
	/* Discard bytes and do not propagate closes. */
	bool blackhole[PROXY_DIRECTION_COUNT];
	/* Close after so many bytes; -1: never. */
	gint64 truncate_bytes[PROXY_DIRECTION_COUNT];
	gint64 throttle_bytes_per_s; /* in each direction; 0: no limit */
	bool refuse; /* refuse new connections */
};

/* How clients at one IP are cut off from the target. */
enum proxy_partition {
	PROXY_PARTITION_NONE,
	PROXY_PARTITION_RESET, /* open connections, and new ones at once */
	/* Nothing arrives, and open connections stay silent for good. */
	PROXY_PARTITION_SILENT,
	/* The same, but requests still reach the target. */
	PROXY_PARTITION_ONE_WAY,
	PROXY_PARTITION_REFUSE_NEW, /* open connections live on */
	PROXY_PARTITION_COUNT
};

struct proxy_route {
	GSocketAddress *listen_address;
	GSocketAddress *target_address;
	guint16 port; /* the one it listens on */
	GSocket *listener; /* NULL while it refuses connections */
	GSource *accept_source;
	GPtrArray *pairs; /* of struct proxy_pair, owned */
	struct proxy_fault fault;
	GHashTable *partitions; /* client's IP -> enum proxy_partition */
	guint64 accepted; /* connections */
	guint64 bytes[PROXY_DIRECTION_COUNT]; /* queued for forwarding */
};

/*
 * Creates a route and starts to listen. Both addresses are "ip:port". Returns
 * NULL and sets `error` on failure; the caller frees the result.
 */
struct proxy_route *proxy_route_new(const char *listen_address,
				    const char *target_address, GError **error);
void proxy_route_free(void *route);

/* Applies to connections of the client at `ip`, open and new. */
void proxy_route_partition(struct proxy_route *route, const char *ip,
			   enum proxy_partition partition);

/*
 * Changes faults according to a JSON object; absent members keep their values:
 *   delay_ms, throttle (bytes per second), refuse,
 *   truncate_up, truncate_down (bytes; -1: never),
 *   silence "none"|"up"|"down"|"both"  discard, on open and new connections
 *   silence_open 1   discard on the open connections until they are closed
 *   cut 1, reset 1   close the open connections, normally or by RST
 *   clear 1          clear all faults except silence_open
 */
void proxy_route_apply(struct proxy_route *route, JsonObject *body);

G_END_DECLS

#endif

/*
 * Requests that one gateway sends to an upstream for another one, which has
 * lost its own links to it.
 *
 * The other gateway places the request, counts the attempt and decides on
 * retries. It sends the request over HTTP to the peers' port of this one, with
 * the upstream's id in the header that names it. Here the request is sent to
 * that upstream directly, once, and its answer is passed back unchanged. An
 * answer with AUB_RELAY_FAILURE_HEADER is this gateway's own.
 */
#ifndef AUBURNSTILE_INTERNAL_PEER_RELAY_H
#define AUBURNSTILE_INTERNAL_PEER_RELAY_H

#include <auburnstile/timer.h>

G_BEGIN_DECLS

#define AUB_RELAY_FAILURE_HEADER "Auburnstile-Relay-Failure"

/*
 * Connections to a relay are shared by requests and probes. A request that may
 * run at most once may be sent on any of them, so none is idle for long.
 */
#define AUB_RELAY_POOL_NAME "relay"
#define AUB_RELAY_IDLE_MAX_US (1500 * AUB_MS)

enum aub_relay_failure {
	AUB_RELAY_NO_FAILURE,
	AUB_RELAY_NO_PATH, /* not sent: the relay doesn't reach it either */
	AUB_RELAY_UNREACHABLE, /* not sent: the upstream can't be connected to
				*/
	AUB_RELAY_LOST, /* the connection or the answer broke */
	AUB_RELAY_LINK_LOST, /* the same, and the relay has lost its links */
	AUB_RELAY_TIMEOUT
};

/* Returns the header's value, e.g. "no-path". */
const char *aub_relay_failure_name(enum aub_relay_failure failure);
/*
 * Returns the failure that a header's value names: NO_FAILURE for NULL, LOST
 * for an unknown name.
 */
enum aub_relay_failure aub_relay_failure_parse(const char *name);

G_END_DECLS

#endif

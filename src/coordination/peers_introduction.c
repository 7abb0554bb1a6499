/*
 * Introductions: a gateway that starts gets the addresses of all others from
 * one of them.
 */
#include <auburnstile/internal/peers_internal.h>

#include <arpa/inet.h>
#include <string.h>

/* Wire format of an address: IPv4 address and port, in network order. */
#define ADDRESS_BYTES 6
#define PORT_OFFSET 4

/* After this the other gateways have answered. */
#define INTRODUCTION_GRACE_US (1 * AUB_SECOND)

static void append_address(GByteArray *packed,
			   const struct sockaddr_in *address)
{
	g_byte_array_append(packed, (const guint8 *)&address->sin_addr.s_addr,
			    PORT_OFFSET);
	g_byte_array_append(packed, (const guint8 *)&address->sin_port,
			    ADDRESS_BYTES - PORT_OFFSET);
}

/* Returns "ip:port", to be freed with g_free(). */
static char *read_address(const guint8 *packed)
{
	char host[INET_ADDRSTRLEN];
	guint16 port;

	inet_ntop(AF_INET, packed, host, sizeof(host));
	memcpy(&port, packed + PORT_OFFSET, sizeof(port));
	return g_strdup_printf("%s:%u", host, ntohs(port));
}

/*
 * Sends the addresses of all live gateways to a gateway that knows only this
 * process, as its seed. Its heartbeats then reach all of them.
 */
void aub_peers_introduce(struct aub_peers *peers, const struct aub_peer *to)
{
	struct aub_introduction *message =
		(struct aub_introduction *)aub_message_new(
			AUB_MESSAGE_INTRODUCTION);

	GByteArray *packed = g_byte_array_new();

	for (guint i = 1; i < peers->all->len; i++) {
		const struct aub_peer *peer = g_ptr_array_index(peers->all, i);

		if (peer->alive && peer != to)
			append_address(packed, &peer->socket_address);
	}
	aub_bytes_set(&message->addresses, packed->data, packed->len);
	if (packed->len) {
		peers->counts.introductions++;
		aub_peers_send(peers, to, &message->base);
	}
	aub_message_free(&message->base);
	g_byte_array_unref(packed);
}

bool aub_peers_apply_introduction(struct aub_peers *peers,
				  const struct aub_introduction *message)
{
	if (message->addresses.length % ADDRESS_BYTES)
		return false;
	peers->last_introduction_us = aub_timer_now(peers->options.timers);
	/*
	 * Updated immediately, so that the heartbeats that follow don't request
	 * another introduction.
	 */
	peers->heartbeat->peers = MAX(peers->heartbeat->peers, 1);
	for (gsize i = 0; i < message->addresses.length; i += ADDRESS_BYTES) {
		char *address = read_address(message->addresses.data + i);

		aub_peers_add(peers, address);
		g_free(address);
	}
	return true;
}

/*
 * A starting gateway that has been introduced by its seed sends heartbeats to
 * all others. If these still stated that it knows no peers, each of the others
 * would introduce it too. For a while after an introduction, all addresses in
 * the table count as known peers.
 */
guint aub_peers_count_known(const struct aub_peers *peers, gint64 now_us)
{
	if (peers->last_introduction_us &&
	    now_us - peers->last_introduction_us < INTRODUCTION_GRACE_US)
		return peers->all->len - 1;
	return aub_peers_count_alive(peers);
}

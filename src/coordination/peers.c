/*
 * Membership by heartbeats over UDP.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/peers_parts.h>
#include <auburnstile/internal/tcp.h>

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Four heartbeats a second within a zone, one to the others: bytes between
 * zones are dear, and grow with the square of the gateways. Three lost in a row
 * are rarer than a dead peer even where 3% of packets go. A placer of another
 * zone that is dead is suspected long before its heartbeats are missed.
 */
#define HEARTBEAT_US (250 * AUB_MS)
#define ALIVE_US (1000 * AUB_MS)
#define START_US (50 * AUB_MS)
#define START_ROUNDS 6

/*
 * Heartbeats to other zones go out each so many rounds, and less often the
 * more gateways there are: their bytes grow with the square of these. Nothing
 * waits for them: a dead placer is found out by those who ask it.
 */
#define FAR_ROUNDS 4
#define FAR_PEERS_A_ROUND 4
#define FAR_ALIVE_ROUNDS                                     \
	3.2 /* periods without a heartbeat that make a death \
	     */
#define SILENT_US (15 * AUB_SECOND) /* then it gets one heartbeat in ten */
#define SILENT_EACH 10
#define FORGET_US (300 * AUB_SECOND) /* long after callers forgot it */

#define DATAGRAM_LIMIT \
	60000 /* bytes; a list of upstreams takes some 100 each */
#define DATAGRAMS_A_TURN 64

static void log_peer(enum aub_log_event event, const struct aub_peer *peer,
		     gint64 age_us)
{
	aub_log_begin(event);
	aub_log_text("peer", peer->name);
	aub_log_text("zone", peer->zone);
	aub_log_number("heard_ms", age_us / AUB_MS);
	aub_log_end();
}

static void lose(struct aub_peers *peers, struct aub_peer *peer, gint64 now_us)
{
	peer->alive = false;
	aub_peers_rank_again(peers);
	log_peer(AUB_LOG_PEER_LOST, peer, now_us - peer->heard_us);
	peers->options.lost(peer->incarnation, peers->options.context);
}

/* Whoever is not known to be alive is asked to answer. */
static void send_heartbeat(struct aub_peers *peers, const struct aub_peer *to)
{
	peers->heartbeat->reply_requested = !to->alive;
	aub_peers_send(peers, to, &peers->heartbeat->base);
}

/* Members alone are not followed: heartbeats themselves tell of them. */
G_STATIC_ASSERT(AUB_HEARTBEAT_REVISION_COUNT == AUB_STORE_MEMBERS);

static void announce_revisions(struct aub_peers *peers,
			       const struct aub_heartbeat *heartbeat)
{
	const struct aub_peers_options *options = &peers->options;

	for (guint i = 0; i < AUB_HEARTBEAT_REVISION_COUNT; i++)
		options->announced((enum aub_store_kind)i,
				   (gint64)heartbeat->revisions[i],
				   options->context);
}

static void take_heartbeat(struct aub_peers *peers,
			   const struct aub_heartbeat *heartbeat)
{
	gint64 now = aub_timer_now(peers->options.timers);
	struct aub_peer *peer = aub_peers_by_address(peers, heartbeat->address);
	bool differs;

	if (!peer) {
		peer = aub_peer_new(heartbeat->address, now);
		aub_peers_list_add(peers, peer);
	}
	if (peer->self)
		return;
	/* A datagram of an earlier start may come late. */
	if (heartbeat->incarnation < peer->incarnation)
		return;
	if (peer->alive && peer->incarnation != heartbeat->incarnation)
		lose(peers, peer, now);
	differs = !peer->alive || peer->ready != heartbeat->ready ||
		  peer->stopping != heartbeat->stopping ||
		  peer->current != heartbeat->current ||
		  peer->hears != heartbeat->hears;
	if (!peer->alive || (heartbeat->ready && !peer->ready))
		peers->joined_us = now;
	if (strcmp(peer->name, heartbeat->name) != 0)
		aub_peer_forget_ranks(peer);
	aub_string_set(&peer->name, heartbeat->name);
	aub_string_set(&peer->zone, heartbeat->zone);
	aub_string_set(&peer->callers_address, heartbeat->callers_address);
	peer->capacity = heartbeat->capacity;
	aub_peers_set_incarnation(peers, peer, heartbeat->incarnation);
	peer->ready = heartbeat->ready;
	peer->stopping = heartbeat->stopping;
	peer->current = heartbeat->current;
	peer->hears = heartbeat->hears;
	peer->heard_us = now;
	announce_revisions(peers, heartbeat);
	if (differs) {
		bool appeared = !peer->alive;

		peer->alive = true;
		aub_peers_rank_again(peers);
		if (appeared)
			log_peer(AUB_LOG_PEER_ALIVE, peer, 0);
		if (appeared && !heartbeat->peers)
			aub_peers_introduce(peers, peer);
	}
	/*
	 * Failure: the answer to a first heartbeat is lost. Symptom: its sender
	 * does not know of this gateway until the next round between zones.
	 * Enough: it asks each round until it has been answered.
	 */
	if (heartbeat->reply_requested)
		send_heartbeat(peers, peer);
}

static void refuse(struct aub_peers *peers, const struct sockaddr_in *from,
		   const char *why)
{
	char host[INET_ADDRSTRLEN];

	peers->counts.refused++;
	inet_ntop(AF_INET, &from->sin_addr, host, sizeof(host));
	aub_log_begin(AUB_LOG_DATAGRAM_REFUSED);
	aub_log_text("from", host);
	aub_log_text("error", why);
	aub_log_end();
}

static void take(struct aub_peers *peers, const void *data, gsize length,
		 const struct sockaddr_in *from)
{
	GError *error = NULL;
	struct aub_message *message =
		aub_message_decode(data, length, "datagram", &error);

	if (!message) {
		refuse(peers, from, error->message);
		g_error_free(error);
		return;
	}
	if (message->type == AUB_MESSAGE_HEARTBEAT) {
		take_heartbeat(peers, (struct aub_heartbeat *)message);
		aub_message_free(message);
		return;
	}
	if (message->type == AUB_MESSAGE_INTRODUCTION) {
		if (!aub_peers_take_introduction(
			    peers, (struct aub_introduction *)message))
			refuse(peers, from,
			       "introduction: addresses: a part of one");
		aub_message_free(message);
		return;
	}
	peers->options.message(message, peers->options.context);
}

static void on_readable(void *context, guint events)
{
	struct aub_peers *peers = context;
	char data[DATAGRAM_LIMIT];

	for (guint i = 0; i < DATAGRAMS_A_TURN; i++) {
		struct sockaddr_in from = { 0 };
		socklen_t from_length = sizeof(from);
		ssize_t got = recvfrom(peers->fd, data, sizeof(data), 0,
				       (struct sockaddr *)&from, &from_length);

		if (got < 0)
			return;
		take(peers, data, (gsize)got, &from);
	}
}

static void send_to(struct aub_peers *peers, const struct aub_peer *to,
		    GBytes *bytes)
{
	struct aub_peers_counts *counts = &peers->counts;
	gsize length;
	const void *data = g_bytes_get_data(bytes, &length);

	if (!to->socket_address.sin_port)
		return;
	if (aub_peer_is_near(peers, to)) {
		counts->near_datagrams++;
		counts->near_bytes += length;
	} else {
		counts->far_datagrams++;
		counts->far_bytes += length;
	}
	/* A datagram that can't leave is a lost one. */
	(void)sendto(peers->fd, data, length, MSG_NOSIGNAL,
		     (const struct sockaddr *)&to->socket_address,
		     sizeof(to->socket_address));
}

void aub_peers_send(struct aub_peers *peers, const struct aub_peer *to,
		    const struct aub_message *message)
{
	GBytes *bytes = aub_message_encode(message, NULL);

	if (!bytes)
		return;
	send_to(peers, to, bytes);
	g_bytes_unref(bytes);
}

static void send_alive(struct aub_peers *peers, const char *zone,
		       const struct aub_message *message)
{
	GBytes *bytes = aub_message_encode(message, NULL);

	for (guint i = 1; bytes && i < peers->all->len; i++) {
		struct aub_peer *peer = g_ptr_array_index(peers->all, i);

		if (peer->alive && (!zone || !strcmp(zone, peer->zone)))
			send_to(peers, peer, bytes);
	}
	if (bytes)
		g_bytes_unref(bytes);
}

void aub_peers_send_zone(struct aub_peers *peers,
			 const struct aub_message *message)
{
	send_alive(peers, aub_peers_self(peers)->zone, message);
}

void aub_peers_send_all(struct aub_peers *peers,
			const struct aub_message *message)
{
	send_alive(peers, NULL, message);
}

gint64 aub_peers_joined_us(const struct aub_peers *peers)
{
	return peers->joined_us;
}

static guint far_rounds(const struct aub_peers *peers)
{
	guint far = 0;

	for (guint i = 1; i < peers->all->len; i++)
		far += !aub_peer_is_near(peers,
					 g_ptr_array_index(peers->all, i));
	return MAX(FAR_ROUNDS, far / FAR_PEERS_A_ROUND);
}

/* Silence of a peer that makes it dead. */
static gint64 alive_us(const struct aub_peers *peers,
		       const struct aub_peer *peer)
{
	if (aub_peer_is_near(peers, peer))
		return ALIVE_US;
	return (gint64)(FAR_ALIVE_ROUNDS * peers->far_rounds) * HEARTBEAT_US;
}

static bool is_due(const struct aub_peers *peers, const struct aub_peer *peer,
		   bool all, gint64 now_us)
{
	gint64 last = MAX(peer->heard_us, peer->known_us);

	if (now_us - last >= SILENT_US)
		return peers->round % SILENT_EACH == 0;
	return all || !peer->heard_us || aub_peer_is_near(peers, peer) ||
	       peers->round % peers->far_rounds == 0;
}

static GBytes *encode_heartbeat(struct aub_peers *peers, bool reply)
{
	peers->heartbeat->reply_requested = reply;
	return aub_message_encode(&peers->heartbeat->base, NULL);
}

/* To those whose turn it is, or to `all` where something has changed. */
static void send_heartbeats(struct aub_peers *peers, bool all, gint64 now_us)
{
	peers->heartbeat->peers = aub_peers_count_found(peers, now_us);

	GBytes *asking = encode_heartbeat(peers, true);
	GBytes *telling = encode_heartbeat(peers, false);

	for (guint i = 1; asking && telling && i < peers->all->len; i++) {
		struct aub_peer *peer = g_ptr_array_index(peers->all, i);

		if (is_due(peers, peer, all, now_us))
			send_to(peers, peer, peer->alive ? telling : asking);
	}
	g_bytes_unref(asking);
	g_bytes_unref(telling);
}

static void on_round(void *context, gint64 now_us)
{
	struct aub_peers *peers = context;
	guint i = 1;

	peers->round++;
	peers->far_rounds = far_rounds(peers);
	while (i < peers->all->len) {
		struct aub_peer *peer = g_ptr_array_index(peers->all, i);

		if (peer->alive &&
		    now_us - peer->heard_us > alive_us(peers, peer))
			lose(peers, peer, now_us);
		if (now_us - MAX(peer->heard_us, peer->known_us) > FORGET_US)
			aub_peers_list_remove(peers, i);
		else
			i++;
	}
	send_heartbeats(peers, false, now_us);
}

/*
 * Failure: power returns to all gateways within 0.3 s, and the first ones to
 * start find their seeds not up yet. Symptom: they wait for the next round of
 * heartbeats before they find each other, and callers for a quarter of a second
 * more. Enough: until a gateway that starts has heard anybody, it asks five
 * times as often; whoever answers tells it of the others.
 */
static void on_start_round(void *context, gint64 now_us)
{
	struct aub_peers *peers = context;

	if (aub_peers_count_alive(peers) || !--peers->start_rounds) {
		aub_timer_cancel(peers->options.timers, peers->start_timer);
		peers->start_timer = 0;
		return;
	}
	for (guint i = 1; i < peers->all->len; i++)
		send_heartbeat(peers, g_ptr_array_index(peers->all, i));
}

static void self_add(struct aub_peers *peers)
{
	const struct aub_peers_options *options = &peers->options;
	struct aub_peer *self =
		aub_peer_new(options->address, aub_timer_now(options->timers));

	aub_string_set(&self->name, options->name);
	aub_string_set(&self->zone, options->zone);
	aub_string_set(&self->callers_address, options->callers_address);
	self->capacity = options->capacity;
	self->incarnation = options->incarnation;
	self->alive = true;
	self->self = true;
	aub_peers_list_add(peers, self);
	peers->heartbeat =
		(struct aub_heartbeat *)aub_message_new(AUB_MESSAGE_HEARTBEAT);
	aub_string_set(&peers->heartbeat->name, options->name);
	aub_string_set(&peers->heartbeat->zone, options->zone);
	aub_string_set(&peers->heartbeat->address, options->address);
	aub_string_set(&peers->heartbeat->callers_address,
		       options->callers_address);
	peers->heartbeat->capacity = options->capacity;
	peers->heartbeat->incarnation = options->incarnation;
}

struct aub_peers *aub_peers_new(const struct aub_peers_options *options,
				GError **error)
{
	int fd = aub_udp_bind(options->address, error);
	struct aub_peers *peers;

	if (fd < 0)
		return NULL;
	peers = g_new0(struct aub_peers, 1);
	peers->options = *options;
	peers->fd = fd;
	peers->far_rounds = FAR_ROUNDS;
	peers->all = g_ptr_array_new_with_free_func(aub_peer_free);
	peers->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	peers->by_incarnation = g_hash_table_new(g_int64_hash, g_int64_equal);
	peers->ranked =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	self_add(peers);
	peers->watch = aub_poller_add(options->poller, fd, EPOLLIN, on_readable,
				      peers);
	peers->timer = aub_timer_every(options->timers, "heartbeats",
				       HEARTBEAT_US, on_round, peers);
	peers->start_rounds = START_ROUNDS;
	peers->start_timer = aub_timer_every(options->timers, "start", START_US,
					     on_start_round, peers);
	return peers;
}

void aub_peers_free(struct aub_peers *peers)
{
	if (!peers)
		return;
	aub_timer_cancel(peers->options.timers, peers->timer);
	aub_timer_cancel(peers->options.timers, peers->start_timer);
	aub_poll_watch_remove(peers->watch);
	close(peers->fd);
	aub_message_free(&peers->heartbeat->base);
	g_hash_table_unref(peers->ranked);
	g_clear_pointer(&peers->watchers, g_ptr_array_unref);
	g_hash_table_unref(peers->by_address);
	g_hash_table_unref(peers->by_incarnation);
	g_ptr_array_unref(peers->all);
	g_free(peers);
}

void aub_peers_add(struct aub_peers *peers, const char *address)
{
	struct aub_peer *peer;

	if (aub_peers_by_address(peers, address))
		return;
	peer = aub_peer_new(address, aub_timer_now(peers->options.timers));
	aub_peers_list_add(peers, peer);
	send_heartbeat(peers, peer);
}

/*
 * Failure: each gateway tells every other at once of each change that it
 * learns of. Symptom: a change costs the square of the fleet in datagrams
 * between zones. Enough: those that watch tell their own zone and those that
 * watch for another; the rest hear it from these, or by the next heartbeat of
 * their zone.
 */
static void tell_zone_and_watchers(struct aub_peers *peers)
{
	const GPtrArray *watchers = aub_peers_watchers(peers);

	peers->heartbeat->reply_requested = false;
	aub_peers_send_zone(peers, &peers->heartbeat->base);
	for (guint i = 0; i < watchers->len; i++) {
		const struct aub_peer *peer = g_ptr_array_index(watchers, i);

		if (!aub_peer_is_near(peers, peer))
			send_heartbeat(peers, peer);
	}
}

/* True where some are other ones than before. */
static bool set_revisions(struct aub_heartbeat *heartbeat,
			  const struct aub_peer_state *state)
{
	bool changed = false;

	for (guint i = 0; i < AUB_HEARTBEAT_REVISION_COUNT; i++) {
		guint64 revision = (guint64)state->revisions[i];

		changed = changed || heartbeat->revisions[i] != revision;
		heartbeat->revisions[i] = revision;
	}
	return changed;
}

void aub_peers_set_self(struct aub_peers *peers,
			const struct aub_peer_state *state)
{
	struct aub_peer *self = aub_peers_self(peers);
	bool role_differs = self->ready != state->ready ||
			    self->stopping != state->stopping ||
			    self->current != state->current;
	bool hears_differs = self->hears != state->hears;
	bool changed = set_revisions(peers->heartbeat, state);

	self->ready = state->ready;
	self->stopping = state->stopping;
	self->current = state->current;
	self->hears = state->hears;
	peers->heartbeat->ready = state->ready;
	peers->heartbeat->stopping = state->stopping;
	peers->heartbeat->current = state->current;
	peers->heartbeat->hears = state->hears;
	peers->heartbeat->config_version = (guint64)state->config_version;
	if (role_differs || hears_differs)
		aub_peers_rank_again(peers);
	if (role_differs)
		send_heartbeats(peers, true,
				aub_timer_now(peers->options.timers));
	else if (hears_differs || (changed && aub_peers_self_watches(peers)))
		tell_zone_and_watchers(peers);
}

const struct aub_peers_counts *aub_peers_get_counts(
	const struct aub_peers *peers)
{
	return &peers->counts;
}

const GPtrArray *aub_peers_all(const struct aub_peers *peers)
{
	return peers->all;
}

struct aub_peer *aub_peers_self(const struct aub_peers *peers)
{
	return g_ptr_array_index(peers->all, 0);
}
